package entry

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/adapter/leader"
	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/roster"
)

// Names of the timers of calls to the store. Watches have none because they
// wait for changes.
const (
	storeList    = "store.list"
	storeLease   = "store.lease"
	storeJoin    = "store.join"
	storeUpdate  = "store.update"
	storeMembers = "store.members"
)

// registerGauges registers the gauges. An age is the time in ms since the store
// last answered, and one hour if it never did. load_view.age_ms is 0 while no node is heard.
func (n *Node) registerGauges() {
	n.metrics.Gauge("configuration.version", func() int64 {
		version, _ := n.configs.version()
		return version
	})
	n.metrics.Gauge("configuration.age_ms", func() int64 {
		age, _ := n.configs.age(boottime.Now())
		return age.Milliseconds()
	})
	n.metrics.Gauge("directory.revision", func() int64 { return n.upstreams.view.Load().Revision.Number })
	n.metrics.Gauge("store.epoch", n.epoch.Load)
	n.metrics.Gauge("directory.upstreams", func() int64 { return int64(n.upstreams.view.Load().Len()) })
	n.metrics.Gauge("directory.age_ms", func() int64 {
		age, _ := n.upstreams.age(boottime.Now())
		return age.Milliseconds()
	})
	n.metrics.Gauge("requests.open", n.server.Active)
	n.metrics.Gauge("intake.held_bytes", func() int64 {
		held, _ := n.server.Held()
		return held
	})
	n.metrics.Gauge("intake.connections", func() int64 {
		_, connections := n.server.Held()
		return int64(connections)
	})
	n.metrics.Gauge("load_view.age_ms", func() int64 { return n.server.LoadStatus().Age.Milliseconds() })
	n.metrics.Gauge("load_view.nodes_heard", func() int64 { return int64(n.server.LoadStatus().Heard) })
}

// CountStoreCall adds one to the counter with the given name, and to the counts
// of the periodic log line of calls to the store.
func (n *Node) CountStoreCall(name string) {
	n.metrics.Add(name, 1)
	n.storeCalls.add(name)
}

// callLogInterval is the interval between log lines of the calls to the store.
// A killed process loses the counts of at most one interval.
const callLogInterval = 10 * time.Second

// callCounter counts calls by name between log lines. It is safe for concurrent
// use.
type callCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// newCallCounter returns an empty callCounter.
func newCallCounter() *callCounter { return &callCounter{counts: make(map[string]int)} }

// add adds one to a count.
func (c *callCounter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// drain returns the counts and resets them.
func (c *callCounter) drain() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = make(map[string]int)
	return counts
}

// logCallsPeriodically logs the calls to the store at intervals until ctx ends.
func (n *Node) logCallsPeriodically(ctx context.Context) { every.Do(ctx, callLogInterval, n.logCalls) }

// logCalls logs the number of calls to the store since the previous log line,
// if there were any.
func (n *Node) logCalls() {
	counts := n.storeCalls.drain()
	if len(counts) > 0 {
		n.log.Info().Str("event", "store_calls").Any("calls", counts).Send()
	}
}

// timedLease measures the duration of the lease's calls to the store.
type timedLease struct {
	store   leader.Store
	observe func(name string, d time.Duration)
}

// Call implements leader.Store.
func (t *timedLease) Call(ctx context.Context, c lease.Command) lease.Answer {
	start := boottime.Now()
	defer func() { t.observe(storeLease, boottime.Now().Sub(start)) }()
	return t.store.Call(ctx, c)
}

// timedMembers measures the duration of the calls that read and write the list
// of nodes.
type timedMembers struct {
	members Members
	observe func(name string, d time.Duration)
}

// Join implements Members.
func (t *timedMembers) Join(ctx context.Context, m roster.Member, crashes quarantine.Record, succeed func(bool, *retry.Record) retry.Record) (revision.Revision, error) {
	start := boottime.Now()
	defer func() { t.observe(storeJoin, boottime.Now().Sub(start)) }()
	return t.members.Join(ctx, m, crashes, succeed)
}

// Update implements Members.
func (t *timedMembers) Update(ctx context.Context, m roster.Member, at revision.Revision, crashes quarantine.Record, r retry.Record) (revision.Revision, error) {
	start := boottime.Now()
	defer func() { t.observe(storeUpdate, boottime.Now().Sub(start)) }()
	return t.members.Update(ctx, m, at, crashes, r)
}

// List implements Members.
func (t *timedMembers) List(ctx context.Context) (listwatch.List[roster.Member], []quarantine.Record, error) {
	start := boottime.Now()
	defer func() { t.observe(storeMembers, boottime.Now().Sub(start)) }()
	return t.members.List(ctx)
}
