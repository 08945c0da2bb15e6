package backpressure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	engine = ids.Instance{Upstream: "e"}
)

// Bounds on the requests that a limited upstream gets from all nodes together.
const (
	boundWindow    = 4 * time.Second
	boundTolerance = 1.5
	boundBurst     = 5
	// leastUse is the least part of a limit that is used while there are more requests.
	leastUse = 0.5
)

// node is one node of a simulated fleet.
type node struct {
	name   ids.VM
	table  *Table
	issuer *Issuer
	// view is the list of nodes that this node knows.
	view []ids.VM
	// stopped nodes get no requests and answer no peers.
	stopped bool
}

// fleet is a number of nodes that send requests to one upstream.
type fleet struct {
	rng    *rand.Rand
	nodes  []*node
	limit  float64
	now    time.Time
	sentAt []time.Time
	// reachable reports whether one node reaches another.
	reachable func(from, to *node) bool
	// callers are the nodes that get requests, each with the same probability.
	callers []*node
	asks    int
}

// newFleet returns nodes that have just been told a limit.
func newFleet(size int, limit float64, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, now: start, reachable: func(_, _ *node) bool { return true }}
	for i := range size {
		f.add(fmt.Sprintf("vm-%d", i))
	}
	f.shareView(f.nodes...)
	f.callers = f.nodes
	f.nameLimit(limit)
	return f
}

// add adds a node that knows no others.
func (f *fleet) add(name string) *node {
	n := &node{name: ids.VM(name), table: New(f.rng.Uint64()), issuer: NewIssuer()}
	f.nodes = append(f.nodes, n)
	return n
}

// shareView gives nodes the current list of nodes.
func (f *fleet) shareView(to ...*node) {
	var view []ids.VM
	for _, n := range f.nodes {
		if !n.stopped {
			view = append(view, n.name)
		}
	}
	for _, n := range to {
		n.view = view
		n.table.SetNodeCount(len(view))
	}
}

// nameLimit tells all nodes a limit, 0 for none.
func (f *fleet) nameLimit(limit float64) {
	f.limit = limit
	for _, n := range f.nodes {
		n.table.LimitNotified(f.now, LimitNotice{Upstream: engine, PerSecond: limit})
	}
}

// run lets requests arrive at the callers at a rate, and sends those that are admitted.
// The upstream responds at once.
func (f *fleet) run(length time.Duration, perSecond float64) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)))
		f.request(f.callers[f.rng.IntN(len(f.callers))])
	}
}

// request lets a request arrive at a node and reports whether it was sent.
func (f *fleet) request(n *node) bool {
	switch n.table.Admits(f.now, engine, false) {
	case Held:
		return false
	case PermitNeeded:
		if !f.acquire(n) {
			return false
		}
	}
	n.table.Sent(f.now, engine)
	f.sentAt = append(f.sentAt, f.now)
	n.table.LimitAnswered(f.now.Add(time.Nanosecond), f.now, engine, f.limit, f.limit > 0)
	return true
}

// acquire asks the keepers for a permit and reports whether it was granted.
func (f *fleet) acquire(n *node) bool {
	f.asks++
	reply, ok := f.askInTurn(n, PermitRequest{Upstream: engine, Node: n.name, PerSecond: n.table.Limit(engine)})
	if !ok {
		n.table.PermitFailed(f.now, engine)
		return false
	}
	n.table.PermitAnswered(f.now, reply)
	return reply.Granted
}

// askInTurn lets a node ask the keepers one after another, up to itself.
func (f *fleet) askInTurn(n *node, r PermitRequest) (reply PermitReply, ok bool) {
	for _, keeper := range AskOrder(n.name, Keepers(engine, n.view), r.Hops > 0 || n.issuer.AskedByOthers(f.now, engine, n.name)) {
		if keeper == n.name {
			return n.issuer.Issue(f.now, r, r.PerSecond), true
		}
		if reply, ok := f.call(n, keeper, r); ok {
			return reply, true
		}
	}
	return PermitReply{}, false
}

// call lets a node ask another one, which must be a keeper by its own list.
func (f *fleet) call(from *node, keeper ids.VM, r PermitRequest) (reply PermitReply, ok bool) {
	i := slices.IndexFunc(f.nodes, func(other *node) bool { return other.name == keeper && !other.stopped })
	r.Hops++
	if i < 0 || r.Hops > MaxHops || !f.reachable(from, f.nodes[i]) || !slices.Contains(Keepers(engine, f.nodes[i].view), keeper) {
		return PermitReply{}, false
	}
	return f.askInTurn(f.nodes[i], r)
}

// most returns the largest number of requests sent within boundWindow.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.sentAt {
		for at.Sub(f.sentAt[first]) > boundWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkBound fails the test if the upstream got more than its limit allows.
func (f *fleet) checkBound(t *testing.T, name string) {
	t.Helper()
	if got, allowed := f.most(), f.limit*boundWindow.Seconds()*boundTolerance+boundBurst; float64(got) > allowed {
		t.Errorf("%s: %d requests in %v, allowed %.1f", name, got, boundWindow, allowed)
	}
}

// checkUse fails the test if the requests since a time use less than leastUse of the
// limit.
func (f *fleet) checkUse(t *testing.T, name string, since time.Time) {
	t.Helper()
	n := 0
	for _, at := range f.sentAt {
		if at.After(since) {
			n++
		}
	}
	if used := float64(n) / f.now.Sub(since).Seconds() / f.limit; used < leastUse {
		t.Errorf("%s: %.2f of the limit is used, want at least %.2f", name, used, leastUse)
	}
}

// forEachFleet runs a test with fleets of several sizes, limits and seeds.
func forEachFleet(t *testing.T, test func(t *testing.T, f *fleet, name string)) {
	t.Helper()
	for _, size := range []int{1, 9, 85, 295} {
		for _, limit := range []float64{0.3, 1, 3.7, 50} {
			for seed := range uint64(3) {
				test(t, newFleet(size, limit, seed), fmt.Sprintf("%d nodes, limit %v, seed %d", size, limit, seed))
			}
		}
	}
}

// changeMembers stops a node or starts one, which knows the list of nodes at once.
func (f *fleet) changeMembers(step int) {
	if n := f.callers[f.rng.IntN(len(f.callers))]; len(f.callers) > 1 && f.rng.IntN(2) == 0 {
		n.stopped = true
	} else {
		started := f.add(fmt.Sprintf("vm-new-%d", step))
		started.table.LimitNotified(f.now, LimitNotice{Upstream: engine, PerSecond: f.limit})
		f.shareView(started)
	}
	f.callers = slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n.stopped })
}
