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

// Guards against a sum over all nodes that exceeds the limit, in steady traffic and in a
// burst after a pause.
func TestFleetKeepsToTheLimit(t *testing.T) {
	t.Parallel()
	forEachFleet(t, func(t *testing.T, f *fleet, name string) {
		f.run(30*time.Second, 4*f.limit)
		f.now = f.now.Add(2 * time.Minute)
		f.run(10*time.Second, 200*f.limit)
		f.checkBound(t, name)
	})
}

// Guards against one request of each node at the same moment.
func TestNodesDoNotSendAtTheSameMoment(t *testing.T) {
	t.Parallel()
	forEachFleet(t, func(t *testing.T, f *fleet, name string) {
		for _, keeper := range []string{"reachable", "silent"} {
			f.reachable = func(_, _ *node) bool { return keeper == "reachable" }
			for range 5 {
				f.now = f.now.Add(time.Minute)
				for range 2 {
					for _, n := range f.nodes {
						f.request(n)
					}
					f.now = f.now.Add(time.Millisecond)
				}
			}
		}
		f.checkBound(t, name)
	})
}

// Guards against a limited upstream that is left alone though callers have requests for
// it: at all nodes, at a few of them or at one, frequent or rare.
func TestLimitIsUsed(t *testing.T) {
	t.Parallel()
	forEachFleet(t, func(t *testing.T, f *fleet, name string) {
		for _, callers := range []int{len(f.nodes), (len(f.nodes) + 2) / 3, 1} {
			for _, load := range []float64{2, 20} {
				f.callers = f.nodes[:callers]
				begin := f.now.Add(10 * time.Second)
				f.run(10*time.Second+time.Duration(100/f.limit*float64(time.Second)), load*f.limit)
				f.checkUse(t, fmt.Sprintf("%s, %d callers, load %v", name, callers, load), begin)
			}
		}
		f.checkBound(t, name)
	})
}

// Guards against nodes that ask the keeper for each of their requests.
func TestNodesAskForFewMorePermitsThanThereAre(t *testing.T) {
	f := newFleet(295, 4, 1)
	f.run(10*time.Second, 1000)
	f.asks = 0
	f.run(20*time.Second, 1000)
	if perSecond, most := float64(f.asks)/20, float64(len(f.nodes))/maxPause.Seconds()*1.2; perSecond > most {
		t.Errorf("%.0f questions a second, want at most %.0f", perSecond, most)
	}
}

// Guards against a sum that exceeds the limit while nodes that do not reach the keeper use
// shares of their own.
func TestFleetKeepsToTheLimitWhileTheKeeperIsSilent(t *testing.T) {
	t.Parallel()
	for _, cutOff := range []float64{0.3, 0.7, 1} {
		forEachFleet(t, func(t *testing.T, f *fleet, name string) {
			limit := int(cutOff * float64(len(f.nodes)))
			side := make(map[*node]bool)
			for _, n := range f.nodes[:limit] {
				side[n] = true
			}
			f.reachable = func(from, to *node) bool { return from == to || !side[from] && !side[to] }
			f.run(30*time.Second, 4*f.limit)
			f.now = f.now.Add(time.Minute)
			f.run(10*time.Second, 100*f.limit)
			f.checkBound(t, fmt.Sprintf("%s, %v cut off", name, cutOff))
		})
	}
}

// Guards against a limited upstream that is left alone while its keepers are gone but still
// listed.
func TestLimitIsUsedWithoutTheFirstKeepers(t *testing.T) {
	t.Parallel()
	forEachFleet(t, func(t *testing.T, f *fleet, name string) {
		keepers := Keepers(engine, f.nodes[0].view)
		for _, n := range f.nodes {
			n.stopped = len(f.nodes) > MaxKeepers && slices.Contains(keepers[:MaxKeepers-1], n.name)
		}
		f.callers = slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n.stopped })
		begin := f.now.Add(10 * time.Second)
		f.run(10*time.Second+time.Duration(100/f.limit*float64(time.Second)), 4*f.limit)
		f.checkUse(t, name, begin)
		f.checkBound(t, name)
	})
}

// Guards against a sum that exceeds the limit while nodes stop, start and learn of it at
// different times.
func TestFleetKeepsToTheLimitWhileMembersChange(t *testing.T) {
	t.Parallel()
	const steps, changeEvery, maxLag = 100, 6, 10 // in steps of half a second
	forEachFleet(t, func(t *testing.T, f *fleet, name string) {
		refresh := make(map[*node]int)
		for step := range steps {
			if step%changeEvery == 0 {
				f.changeMembers(step)
				for _, n := range f.nodes {
					if refresh[n] < step {
						refresh[n] = step + f.rng.IntN(maxLag)
					}
				}
			}
			for _, n := range f.nodes {
				if refresh[n] == step {
					f.shareView(n)
				}
			}
			f.run(500*time.Millisecond, 20*f.limit+20)
		}
		f.checkBound(t, name)
	})
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

// Guards against nodes that take the whole limit each because they do not know that
// there are others.
func TestNoRequestWhileTheNumberOfNodesIsUnknown(t *testing.T) {
	n := New(1)
	n.LimitAnswered(start, start, engine, 100, true)
	if got := n.Admits(start.Add(time.Minute), engine, false); got != Held {
		t.Errorf("admission %v of a node that does not know its share", got)
	}
}

// Guards against a limit that ends by a response that is older than the limit.
func TestOvertakenResponseDoesNotEndTheLimit(t *testing.T) {
	n := New(1)
	n.SetNodeCount(1)
	n.LimitAnswered(start.Add(time.Second), start, engine, 4, true)
	if got := n.LimitAnswered(start.Add(2*time.Second), start, engine, 0, false); got != LimitSame {
		t.Errorf("change %v", got)
	}
	if got := n.LimitAnswered(start.Add(3*time.Second), start.Add(2*time.Second), engine, 0, false); got != LimitEnded {
		t.Errorf("change %v, want LimitEnded", got)
	}
}

// Guards against a return of all requests at once after the end of a limit.
func TestRateRisesGraduallyAfterTheLimit(t *testing.T) {
	f := newFleet(1, 0, 1)
	const usual = 40.0 // requests per second
	f.run(10*time.Second, usual)
	f.nameLimit(4)
	f.run(10*time.Second, usual)
	f.nameLimit(0)
	sent := func() int {
		f.sentAt = nil
		f.run(time.Second, usual)
		return len(f.sentAt)
	}
	if first, second := sent(), sent(); first > 10 || second > 16 {
		t.Errorf("%d, %d requests in the first seconds: want a gradual rise", first, second)
	}
	f.run(5*time.Second, usual)
	if n := sent(); n < usual/2 {
		t.Errorf("%d requests in the eighth second: want the usual rate", n)
	}
}

// Guards against a return of all requests at once from nodes that sent few before the limit.
func TestRateRisesGraduallyFromNodesWithoutRequests(t *testing.T) {
	const load = 400.0 // requests per second of all nodes
	f := newFleet(85, 4, 1)
	f.run(20*time.Second, 1)
	f.nameLimit(0)
	f.sentAt = nil
	f.run(time.Second, load)
	if n := len(f.sentAt); n > 2*4+85/8 {
		t.Errorf("%d requests in the first second after a limit of 4 a second", n)
	}
	f.run(5*time.Second, load)
	f.sentAt = nil
	f.run(time.Second, load)
	if n := float64(len(f.sentAt)); n < load*0.9 {
		t.Errorf("%.0f requests in the seventh second, want about %.0f", n, load)
	}
}

// Guards against nodes of a large fleet that hear of the end of a limit only by their own
// next request, much later.
func TestEndOfALimitReachesAllNodes(t *testing.T) {
	const usual = 40.0 // requests per second of all nodes
	f := newFleet(295, 0, 1)
	f.run(20*time.Second, usual)
	f.nameLimit(3.7)
	f.run(10*time.Second, usual)
	f.limit = 0
	for len(f.sentAt) == 0 || slices.ContainsFunc(f.nodes, func(n *node) bool { return n.table.Limit(engine) == 0 }) == false {
		f.run(100*time.Millisecond, usual)
	}
	f.nameLimit(0)
	f.run(12*time.Second, usual)
	f.sentAt = nil
	f.run(10*time.Second, usual)
	if got, least := float64(len(f.sentAt))/10, usual*0.9; got < least {
		t.Errorf("%.1f requests a second after the end of the limit, want at least %.1f", got, least)
	}
}

// A notice that names no limit of a known upstream changes nothing.
func TestNoticeOfAnEndWithoutALimit(t *testing.T) {
	n := New(1)
	if got := n.LimitNotified(start, LimitNotice{Upstream: engine}); got != LimitSame {
		t.Errorf("change %v", got)
	}
	if got := n.Admits(start, engine, false); got != Admitted {
		t.Errorf("admission %v", got)
	}
}

// Guards against a limit that is forgotten because the directory has lost the upstream
// for a while.
func TestLimitOutlastsAMissingEntry(t *testing.T) {
	n := New(1)
	n.SetNodeCount(9)
	n.LimitAnswered(start, start, engine, 4, true)
	n.Removed(start.Add(time.Second), engine)
	if limit := n.Limit(engine); limit != 4 {
		t.Errorf("limit %v after the upstream was removed for a while", limit)
	}
	n.Removed(start.Add(time.Hour), ids.Instance{Upstream: "other"})
	if limit := n.Limit(engine); limit != 0 {
		t.Errorf("limit %v is kept for good", limit)
	}
}

// A limit of 0 still lets single requests through, which show when it ends.
func TestLimitOfZeroIsProbed(t *testing.T) {
	f := newFleet(9, 3, 1)
	f.nameLimit(minLimit)
	f.run(2*time.Minute, 50)
	if n := len(f.sentAt); n < 3 || n > 30 {
		t.Errorf("%d requests in two minutes", n)
	}
}

// Guards against streams under way that lose their permits to new requests.
func TestStreamsUnderWayComeBeforeNewRequests(t *testing.T) {
	i := NewIssuer()
	now := start
	granted := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for range 10 {
			i.Issue(now, PermitRequest{Upstream: engine, Node: "a"}, 4)
		}
		if now.Sub(start)%time.Second == 0 && i.Issue(now, PermitRequest{Upstream: engine, Node: "b", Urgent: true}, 4).Granted {
			granted++
		}
	}
	if granted < 9 {
		t.Errorf("%d of 10 streams under way got a permit", granted)
	}
}

// Keepers change for few upstreams when a node leaves.
func TestKeepersAreSpreadAndStable(t *testing.T) {
	var nodes []ids.VM
	for i := range 10 {
		nodes = append(nodes, ids.VM(fmt.Sprint("vm-", i)))
	}
	kept := make(map[ids.VM]int)
	moved := 0
	for i := range 1000 {
		id := ids.Instance{Upstream: ids.Upstream(fmt.Sprint("u", i))}
		before, after := Keepers(id, nodes)[0], Keepers(id, nodes[1:])[0]
		kept[before]++
		if before != after && before != nodes[0] {
			moved++
		}
	}
	for _, node := range nodes {
		if kept[node] < 50 || kept[node] > 150 {
			t.Errorf("%s keeps %d of 1000 upstreams", node, kept[node])
		}
	}
	if moved > 0 {
		t.Errorf("%d upstreams of nodes that stay have another keeper", moved)
	}
	if got := Keepers(engine, nil); len(got) > 0 {
		t.Errorf("keepers %q of no nodes", got)
	}
	if got := Keepers(engine, nodes[:2]); len(got) != 2 || got[0] == got[1] {
		t.Errorf("keepers %q of two nodes", got)
	}
}
