package entry

import (
	"context"
	"time"

	"mimosaarch.example/adapter/leader"
	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/lease"
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
		return n.configs.viewAge(boottime.Now()).Milliseconds()
	})
	n.metrics.Gauge("directory.revision", func() int64 { return n.upstreams.view.Load().Revision })
	n.metrics.Gauge("directory.upstreams", func() int64 { return int64(n.upstreams.view.Load().Len()) })
	n.metrics.Gauge("directory.age_ms", func() int64 {
		return n.upstreams.viewAge(boottime.Now()).Milliseconds()
	})
	n.metrics.Gauge("requests.open", n.server.Active)
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
func (t *timedMembers) Join(ctx context.Context, m Member) error {
	began := boottime.Now()
	defer func() { t.took(storeJoin, boottime.Now().Sub(began)) }()
	return t.members.Join(ctx, m)
}

// List implements Members.
func (t *timedMembers) List(ctx context.Context) (listwatch.List[Member], error) {
	began := boottime.Now()
	defer func() { t.took(storeMembers, boottime.Now().Sub(began)) }()
	return t.members.List(ctx)
}
