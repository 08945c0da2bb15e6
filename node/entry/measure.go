package entry

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/adapter/leader"
	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/roster"
)

// Names of timers of calls to the store. Watches are not timed, as they wait.
const (
	storeList    = "store.list"
	storeLease   = "store.lease"
	storeJoin    = "store.join"
	storeMembers = "store.members"
)

// gauges registers what is read with the counters: ages in ms since the store
// last answered, which never exceed an hour where it never did.
func (n *Node) gauges() {
	n.metrics.Gauge("configuration.version", n.configs.version)
	n.metrics.Gauge("configuration.age_ms", func() int64 {
		age, _ := n.configs.age(boottime.Now())
		return age.Milliseconds()
	})
	n.metrics.Gauge("directory.revision", func() int64 { return n.upstreams.view.Load().Revision })
	n.metrics.Gauge("directory.upstreams", func() int64 { return int64(n.upstreams.view.Load().Len()) })
	n.metrics.Gauge("directory.age_ms", func() int64 {
		age, _ := n.upstreams.age(boottime.Now())
		return age.Milliseconds()
	})
	n.metrics.Gauge("requests.open", n.server.Active)
}

// CountStoreCall adds one to a counter of calls to the store.
func (n *Node) CountStoreCall(name string) {
	n.metrics.Add(name, 1)
	n.calls.add(name)
}

// callsEvery is the time between two log lines of the calls to the store: a node
// whose process is killed leaves at most so much untold.
const callsEvery = 10 * time.Second

// tally counts what was not logged yet. Any goroutine may call its methods.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

// newTally makes an empty tally.
func newTally() *tally { return &tally{counts: make(map[string]int)} }

// add adds one.
func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[name]++
}

// take gives the counts and begins anew.
func (t *tally) take() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	t.counts = make(map[string]int)
	return counts
}

// tellCalls logs the calls to the store until ctx ends.
func (n *Node) tellCalls(ctx context.Context) { every.Do(ctx, callsEvery, n.logCalls) }

// logCalls logs the calls to the store since it did so last.
func (n *Node) logCalls() {
	counts := n.calls.take()
	if len(counts) > 0 {
		n.log.Info().Str("event", "store_calls").Any("calls", counts).Send()
	}
}

// timedLease measures the lease's calls to the store.
type timedLease struct {
	store leader.Store
	took  func(name string, d time.Duration)
}

// Call implements leader.Store.
func (t *timedLease) Call(ctx context.Context, c lease.Command) lease.Answer {
	began := boottime.Now()
	defer func() { t.took(storeLease, boottime.Now().Sub(began)) }()
	return t.store.Call(ctx, c)
}

// timedMembers measures the calls about the list of nodes.
type timedMembers struct {
	members Members
	took    func(name string, d time.Duration)
}

// Join implements Members.
func (t *timedMembers) Join(ctx context.Context, m roster.Member) error {
	began := boottime.Now()
	defer func() { t.took(storeJoin, boottime.Now().Sub(began)) }()
	return t.members.Join(ctx, m)
}

// List implements Members.
func (t *timedMembers) List(ctx context.Context) (listwatch.List[roster.Member], error) {
	began := boottime.Now()
	defer func() { t.took(storeMembers, boottime.Now().Sub(began)) }()
	return t.members.List(ctx)
}
