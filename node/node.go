// Package node runs one mimosaarch node: the decision loop and the duties
// around it, each a goroutine of its own, joined by bounded rings.
package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/adapter/caller"
	"mimosaarch.example/adapter/configfeed"
	"mimosaarch.example/adapter/orders"
	"mimosaarch.example/adapter/peer"
	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/adapter/upstream"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/node/record"
	"mimosaarch.example/node/settings"
	"mimosaarch.example/node/telemetry"
)

// eventCapacity is the most events that wait for the decision loop.
const eventCapacity = 8192

// extraWorkers are the pool's workers beside one for each request held.
const extraWorkers = 64

// Node is one running node. Make it with Start.
type Node struct {
	settings  settings.Settings
	log       zerolog.Logger
	telemetry *telemetry.Telemetry
	records   *record.Book

	events   *ring.Ring[router.Event]
	router   *router.Router
	calls    *calls
	attempts *attempts
	pool     pond.Pool
	runner   *upstream.Runner
	epochs   *upstream.Epochs
	platform *platform.Client
	feed     *configfeed.Feed
	claims   committer
	orders   *orders.Controller
	callers  *caller.Server
	operator *operator
	// identity and peers are nil in a node that has none.
	identity *identity.Identity
	peers    *peer.Service
	shared   *ring.Ring[router.Digest]
	shown    *ring.Ring[router.Status]
	// statusMu lets one question for the status wait at a time.
	statusMu sync.Mutex
	polls    *polls
	newID    func() ids.Request

	callerListener net.Listener

	ctx    context.Context
	stop   context.CancelFunc
	duties sync.WaitGroup
	// view is what the loop last showed of itself to other goroutines.
	view atomic.Pointer[view]
	// own holds events that the loop tells itself; only it touches them.
	own []router.Event
}

// view is what is shown of the decision loop.
type view struct {
	requests int
	ready    bool
}

// Start starts a node. Its errors are typed: *ListenError, *peer.ListenError,
// *identity.FileError or *platform.AddressError. Nothing is left running after
// one.
func Start(s settings.Settings, log zerolog.Logger) (*Node, error) {
	n := newNode(s, log)
	if err := n.connect(); err != nil {
		n.stop()
		return nil, err
	}
	if err := n.listen(); err != nil {
		n.stop()
		return nil, err
	}
	n.runDuties()
	return n, nil
}

// newNode makes the parts that need no address.
func newNode(s settings.Settings, log zerolog.Logger) *Node {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		settings:  s,
		log:       log.With().Str("vm", s.VM).Logger(),
		telemetry: telemetry.New(),
		records:   record.New(s.Records),
		events:    ring.New[router.Event]("events", eventCapacity),
		shared:    ring.New[router.Digest]("shared", 1),
		shown:     ring.New[router.Status]("shown", 1),
		calls:     newCalls(),
		attempts:  newAttempts(),
		pool:      pond.NewPool(s.MaxRequests + extraWorkers),
		newID:     requestNamer(s.VM),
		ctx:       ctx,
		stop:      stop,
	}
	n.router = router.New(router.Options{
		VM:          ids.VM(s.VM),
		Zone:        ids.Zone(s.Zone),
		MaxRequests: s.MaxRequests,
		Seed:        randomSeed(),
	})
	n.epochs = upstream.NewEpochs(upstream.DefaultEpochs)
	n.runner = upstream.New(upstream.Options{
		Epochs:     n.epochs,
		CountStale: func(count int) { n.telemetry.Add("stale_tokens", int64(count)) },
		Log:        n.log,
	})
	n.view.Store(&view{})
	return n
}

// connect makes the clients of the platform.
func (n *Node) connect() error {
	if err := n.loadIdentity(); err != nil {
		return err
	}
	client, err := platform.New(platform.Settings{
		Addresses: n.settings.Platform,
		OnCall:    n.countPlatformCall,
	})
	if err != nil {
		return err
	}
	n.platform = client
	n.feed = n.newFeed(client)
	n.claims = n.newClaims(client)
	n.polls = newPolls(n)
	n.orders = n.newOrders(client)
	return nil
}

// countPlatformCall counts a call of the platform by kind and result.
func (n *Node) countPlatformCall(kind platform.Kind, err error) {
	n.telemetry.Add("platform."+kind.String(), 1)
	if err != nil {
		n.telemetry.Add("platform_failed."+kind.String(), 1)
	}
}

// listen opens the node's ports.
func (n *Node) listen() error {
	listener, err := listen(n.settings.Listen.Callers)
	if err != nil {
		return err
	}
	n.callerListener = listener
	n.callers = caller.New(caller.Options{
		Admitter:     n,
		Ready:        n.Ready,
		NewID:        n.newID,
		MaxBodyBytes: n.settings.MaxBody,
		Count:        n.telemetry.Refused,
		Log:          n.log,
	})
	n.operator, err = newOperator(n)
	if err != nil {
		_ = listener.Close()
		return err
	}
	n.peers, err = n.newPeers()
	if err != nil {
		_ = listener.Close()
		n.operator.close()
		return err
	}
	return nil
}

// runDuties starts a goroutine for each duty.
func (n *Node) runDuties() {
	n.duty("decisions", n.loop)
	n.duty("callers", func() { n.serve("callers", n.callers.Serve(n.callerListener)) })
	n.duty("operators", func() { n.serve("operators", n.operator.serve()) })
	n.duty("config", func() { n.feed.Run(n.ctx) })
	n.duty("claims", func() { n.claims.Run(n.ctx) })
	n.duty("orders", func() { n.orders.Run(n.ctx) })
	n.duty("vms", n.polls.runVMs)
	n.duty("loads", n.polls.runLoads)
	if n.peers != nil {
		n.duty("peers", func() { n.peers.Run(n.ctx) })
	}
	n.log.Info().
		Str("callers", n.CallerAddr()).
		Str("operators", n.OperatorAddr()).
		Str("peers", n.PeerAddr()).
		Str("zone", n.settings.Zone).
		Msg("node started")
}

// duty runs one duty in a goroutine of its own.
func (n *Node) duty(name string, run func()) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		run()
		n.log.Debug().Str("duty", name).Msg("duty ended")
	}()
}

// serve logs the end of a server that was not asked to end.
func (n *Node) serve(name string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.log.Error().Err(err).Str("duty", name).Msg("server failed")
	}
}

// CallerAddr is the address callers use.
func (n *Node) CallerAddr() string { return n.callerListener.Addr().String() }

// OperatorAddr is the address of the operator port.
func (n *Node) OperatorAddr() string { return n.operator.addr() }

// PeerAddr is the address for peers; empty when the node stands alone.
func (n *Node) PeerAddr() string {
	if n.peers == nil {
		return ""
	}
	return n.peers.Addr()
}

// Admit implements caller.Admitter: it hands a request to the decision loop, or
// refuses it at once when the loop's ring is full.
func (n *Node) Admit(ev router.RequestArrived, work *call.Call) *outcome.Error {
	n.calls.add(work)
	if err := n.events.Offer(ev); err != nil {
		n.calls.remove(ev.ID)
		n.telemetry.Refused(outcome.RingFull)
		return outcome.Refuse(outcome.RingFull, err.Error(), ringFullRetry)
	}
	return nil
}

// ringFullRetry is when to come back after a full ring.
const ringFullRetry = time.Second

// CallerGone implements caller.Admitter: the caller of a request went away.
func (n *Node) CallerGone(id ids.Request) {
	if work := n.calls.get(id); work != nil {
		work.MarkCallerGone()
	}
	n.tell(router.CallerGone{ID: id})
}

// tell hands an event to the decision loop, waiting for room while the node
// runs. The loop itself must use later.
func (n *Node) tell(ev router.Event) {
	if err := n.events.Put(n.ctx, ev); err != nil {
		n.telemetry.Failure("event_after_stop")
	}
}
