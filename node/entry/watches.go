package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lossnotice"
	"mimosaarch.example/decide/routing"
)

const (
	// watchUpdateInterval is how often a node checks which engines it watches.
	watchUpdateInterval = 500 * time.Millisecond
	// watchDialTimeout bounds the dial of a watch connection. A refusal arrives within one
	// round trip.
	watchDialTimeout = 300 * time.Millisecond
)

// watchBasis is what the set of watched engines depends on.
type watchBasis struct {
	view     *directory.View
	table    *routing.Table
	members  uint64
	stopping bool
}

// engineWatches keeps an idle connection to each engine that this node watches, and reports
// those whose host refuses to open it again. It runs one goroutine for each watched engine.
type engineWatches struct {
	node *Node
	list *lossnotice.WatchList
	// basis is that of the present watches.
	basis watchBasis
	// stops holds the functions that end the watches.
	stops map[upconn.Target]context.CancelFunc
}

// newEngineWatches returns the watches of a node, of which there are none yet.
func newEngineWatches(n *Node) *engineWatches {
	return &engineWatches{node: n, list: lossnotice.NewWatchList(n.settings.VM), stops: make(map[upconn.Target]context.CancelFunc)}
}

// run starts and ends watches as the fleet, the directory and the configuration change, until
// ctx ends, which ends all of them.
func (e *engineWatches) run(ctx context.Context) {
	every.Do(ctx, watchUpdateInterval, func() { e.update(ctx) })
}

// update starts and ends watches if what they depend on has changed.
func (e *engineWatches) update(ctx context.Context) {
	members, digest := e.node.fleet.memberList()
	basis := watchBasis{e.node.upstreams.view.Load(), e.node.configs.table.Load(), digest, e.node.stopping.Load()}
	if basis == e.basis {
		return
	}
	e.basis = basis
	wanted := make(map[upconn.Target]*directory.Upstream)
	if !basis.stopping {
		for _, id := range e.list.Update(names(members), digest, basis.engines()) {
			u := basis.view.Get(id)
			wanted[upconn.Target{ID: u.ID, Address: u.Address}] = u
		}
	}
	for target, stop := range e.stops {
		if wanted[target] == nil {
			stop()
			delete(e.stops, target)
		}
	}
	for target, u := range wanted {
		if e.stops[target] == nil {
			watchCtx, stop := context.WithCancel(ctx)
			e.stops[target] = stop
			go e.watch(watchCtx, u)
		}
	}
}

// engines returns the engines that have to be watched by some node.
func (b *watchBasis) engines() []ids.Instance {
	var engines []ids.Instance
	for _, service := range lossnotice.Services(b.table) {
		for _, u := range b.view.ByService(service) {
			if !u.Leaving {
				engines = append(engines, u.ID)
			}
		}
	}
	return engines
}

// watch keeps a connection to an engine until ctx ends.
func (e *engineWatches) watch(ctx context.Context, u *directory.Upstream) {
	var w lossnotice.Watch
	reset := false
	for {
		every.Sleep(ctx, w.Wait(boottime.Now(), reset))
		if ctx.Err() != nil {
			return
		}
		began := boottime.Now()
		conn, err := e.dial(ctx, u)
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close() // nothing was sent on it
			}
			return
		}
		var dialed *upconn.DialError
		refused := errors.As(err, &dialed) && dialed.Refused
		if w.Dialed(began, err == nil, refused) {
			e.node.server.WatchedEngineRefused(u.ID, err)
		}
		reset = false
		if err == nil {
			e.node.metrics.Add("loss.watches_opened", 1)
			e.node.server.EngineConnected(u.ID)
			reset = awaitEnd(ctx, conn)
		}
	}
}

// detouredError reports a connection through a peer, whose end says nothing about the engine.
type detouredError struct{ engine ids.Instance }

// Error implements error.
func (e *detouredError) Error() string { return "only a peer connects to " + e.engine.String() }

// dial opens a watch connection. The error is an *upconn.DialError or a *detouredError.
func (e *engineWatches) dial(ctx context.Context, u *directory.Upstream) (upconn.NetConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, watchDialTimeout)
	defer cancel()
	e.node.metrics.Add("loss.watch_dials", 1)
	conn, err := e.node.detours.dialer.Dial(dialCtx, upconn.Target{ID: u.ID, Address: u.Address})
	if err != nil {
		return nil, err
	}
	if _, single := conn.(upconn.SingleExchange); single {
		_ = conn.Close() // nothing was sent on it
		return nil, &detouredError{u.ID}
	}
	return conn, nil
}

// awaitEnd waits until a watch connection or ctx ends, and closes the connection. It reports
// whether the connection was reset. Bytes from the engine are dropped.
func awaitEnd(ctx context.Context, conn upconn.NetConn) (reset bool) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // the read ends either way
	defer stop()
	defer func() { _ = conn.Close() }()
	var dropped [64]byte
	for {
		if _, err := conn.Read(dropped[:]); err != nil {
			return !errors.Is(err, io.EOF)
		}
	}
}
