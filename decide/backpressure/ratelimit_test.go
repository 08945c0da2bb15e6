package backpressure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

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
