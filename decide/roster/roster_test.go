package roster

import (
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

var start = time.Unix(1000, 0)

// zone returns the n members of a zone.
func zone(name string, n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Name: ids.VM(fmt.Sprintf("%s-%03d", name, i)), Zone: ids.Zone(name), PeerAddress: fmt.Sprint(name, i)})
	}
	return out
}

// fleet returns a fleet of 295 members in five zones.
func fleet() []Member {
	var out []Member
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		out = append(out, zone(name, 59)...)
	}
	return out
}

// testNode is a node that follows one collection.
type testNode struct {
	*Roster
	*Selector
}

// newTestNode returns a node without a list of members.
func newTestNode(own ids.VM, zone ids.Zone) testNode {
	r := New(own, zone)
	return testNode{r, r.Selector()}
}

// nodeKnowing returns a node that has the given list of members.
func nodeKnowing(own Member, members []Member) testNode {
	v := newTestNode(own.Name, own.Zone)
	v.Set(members)
	return v
}

// expectPeer fails unless the next source is a peer, and returns that peer.
func expectPeer(t *testing.T, r testNode, now time.Time) Member {
	t.Helper()
	source, peer := r.Next(now)
	if source != Peer {
		t.Fatalf("source %v, want a peer", source)
	}
	return peer
}

// expectStore fails unless the next source is the store.
func expectStore(t *testing.T, r testNode, now time.Time) {
	t.Helper()
	if source, peer := r.Next(now); source != Store {
		t.Fatalf("source %v to %s, want the store", source, peer.Name)
	}
}

func TestThreeNodesWatchForAllZones(t *testing.T) {
	members := fleet()
	watchers, candidates := make(map[ids.VM]bool), make(map[ids.VM]bool)
	polled := make(map[ids.VM]int)
	for i, m := range members {
		r := nodeKnowing(m, members)
		if r.IsLeaseCandidate(start) {
			candidates[m.Name] = true
		}
		if source, _ := r.Next(start); source == Store {
			watchers[m.Name] = true
			continue
		}
		relay := i%59 < 3
		for range 3 {
			peer := expectPeer(t, r, start)
			polled[peer.Name]++
			if !relay && peer.Zone != m.Zone {
				t.Errorf("%s polls %s in another zone", m.Name, peer.Name)
			}
		}
	}
	if len(watchers) != 3 || !watchers["a-000"] || !watchers["b-000"] || !watchers["c-000"] {
		t.Errorf("watchers %v, want the first node of three zones", watchers)
	}
	if len(candidates) != 10 || !candidates["e-000"] || !candidates["e-001"] {
		t.Errorf("lease candidates %v, want two in each zone", candidates)
	}
	// A watcher is polled by zone relays and by the other nodes of its own zone.
	if polled["a-000"] != 56+12 || polled["e-000"] != 56 || polled["c-001"] != 56 {
		t.Errorf("polls by peer %v", polled)
	}
}

func TestNodesPollThreePeersInTurn(t *testing.T) {
	members := fleet()
	r := nodeKnowing(members[40], members)
	seen := make(map[ids.VM]bool)
	first := expectPeer(t, r, start)
	seen[first.Name] = true
	for range 2 {
		seen[expectPeer(t, r, start).Name] = true
	}
	if fourth := expectPeer(t, r, start); len(seen) != 3 || fourth.Name != first.Name {
		t.Errorf("polled %v, then %s after %s", seen, fourth.Name, first.Name)
	}
}

// A watcher whose probes get no answer polls the other watchers. It watches again once
// its probes are answered.
func TestWatcherWithoutStoreAnswersPollsTheOthers(t *testing.T) {
	members := fleet()
	r := nodeKnowing(Member{Name: "a-000", Zone: "a"}, members)
	expectStore(t, r, start)
	r.SetStoreUnresponsive(true)
	for range 3 {
		if peer := expectPeer(t, r, start); peer.Name != "b-000" && peer.Name != "c-000" && peer.Name != "d-000" {
			t.Errorf("polls %s", peer.Name)
		}
	}
	if r.IsWatcher(start) || !r.IsLeaseCandidate(start) {
		t.Error("a watcher without answers is still a watcher, or no longer a lease candidate")
	}
	r.SetStoreUnresponsive(false)
	expectStore(t, r, start)
}

// A node with an open watch of the store polls the other watchers at the same time.
func TestWatcherPollsOtherWatchersDuringItsWatch(t *testing.T) {
	members := fleet()
	r := nodeKnowing(Member{Name: "a-000", Zone: "a"}, members)
	seen := make(map[ids.VM]bool)
	for range 3 {
		peer, ok := r.NextDuringWatch(start)
		if !ok || peer.Name == "a-000" {
			t.Fatalf("polls %s, %t", peer.Name, ok)
		}
		seen[peer.Name] = true
	}
	if !seen["b-000"] || !seen["c-000"] {
		t.Errorf("polls %v", seen)
	}
	alone := nodeKnowing(members[0], members[:1])
	if peer, ok := alone.NextDuringWatch(start); ok {
		t.Errorf("the only node polls %s", peer.Name)
	}
}

// A node that reaches the store but no peer uses the store for a while and then tries a
// peer again.
func TestNodeWithoutReachablePeersStaysAtTheStore(t *testing.T) {
	members := fleet()
	r := nodeKnowing(members[40], members)
	for range maxFailedPeers {
		r.PeerFailed(start, expectPeer(t, r, start).Name, 0)
	}
	expectStore(t, r, start)
	r.StoreAnswered(start)
	expectStore(t, r, start.Add(storeHold-time.Millisecond))
	expectPeer(t, r, start.Add(storeHold))
}

func TestFirstWatcherDetectsABrokenConnectionFirst(t *testing.T) {
	members := fleet()
	for name, want := range map[ids.VM]time.Duration{"a-000": time.Second, "b-000": 2 * time.Second, "c-000": 3 * time.Second, "a-040": time.Second} {
		if got := nodeKnowing(Member{Name: name}, members).WatchWait(time.Second); got != want {
			t.Errorf("%s waits %v, want %v", name, got, want)
		}
	}
}

// The followers of a node's collections poll at the same rate, so their polls alternate.
// With a shared rotation each collection would poll only some of its sources.
func TestEachCollectionPollsAllPeersInTurn(t *testing.T) {
	members := fleet()
	r := nodeKnowing(members[40], members)
	polled := [2]map[ids.VM]bool{{}, {}}
	selectors := [2]*Selector{r.Selector, r.Roster.Selector()}
	for range 4 {
		for i, a := range selectors {
			_, peer := a.Next(start)
			polled[i][peer.Name] = true
		}
	}
	for i, peers := range polled {
		if len(peers) < 3 {
			t.Errorf("collection %d polls only %v", i, peers)
		}
	}
}

func TestSilentPeersAreReplacedByTheNext(t *testing.T) {
	members := zone("a", 10)
	r := nodeKnowing(members[9], members)
	seen := make(map[ids.VM]bool)
	// When only two others are left, the node itself is one of the first three.
	for range 7 {
		peer := expectPeer(t, r, start)
		if seen[peer.Name] {
			t.Errorf("%s is polled again at once", peer.Name)
		}
		seen[peer.Name] = true
		r.MarkUnreachable(start, peer.Name)
	}
	expectStore(t, r, start)
	now := start.Add(minPeerBackoff)
	peer := expectPeer(t, r, now)
	r.MarkUnreachable(now, peer.Name)
	now = now.Add(minPeerBackoff)
	if next := expectPeer(t, r, now); next.Name == peer.Name {
		t.Errorf("%s is polled again without a longer backoff", peer.Name)
	}
	r.PeerFresh(peer.Name)
	again := false
	for range 3 {
		again = again || expectPeer(t, r, now).Name == peer.Name
	}
	if !again {
		t.Errorf("%s is not polled after it answered", peer.Name)
	}
}

// Relays of a zone that is cut off reach each other only after polling the unreachable
// watchers and relays of the other zones.
func TestRelaysOfAZoneThatIsCutOffWatchTheStore(t *testing.T) {
	members := fleet()
	for _, name := range []ids.VM{"e-000", "e-001"} {
		r := nodeKnowing(Member{Name: name, Zone: "e"}, members)
		polled := 0
		for source, peer := r.Next(start); source != Store; source, peer = r.Next(start) {
			if polled++; polled > 2*9 {
				t.Fatalf("%s still polls peers", name)
			}
			if peer.Zone != "e" {
				r.MarkUnreachable(start, peer.Name)
			}
		}
	}
}

func TestPeersWithoutUpdatesAreSkipped(t *testing.T) {
	members := fleet()
	r := nodeKnowing(members[40], members)
	first := expectPeer(t, r, start)
	r.PeerStale(start, first.Name)
	for range 3 {
		peer := expectPeer(t, r, start.Add(time.Millisecond))
		if peer.Name == first.Name {
			t.Fatal("a stale peer is polled while another one is fresh")
		}
		r.PeerFresh(peer.Name)
	}
	found := false
	for range 3 {
		found = found || expectPeer(t, r, start.Add(staleExclusion)).Name == first.Name
	}
	if !found {
		t.Error("a peer that was stale is never polled again")
	}
}

// During an outage of 8 s the store gets few calls, from a number of nodes that grows
// with time.
func TestUnavailableStoreIsCalledByFewNodes(t *testing.T) {
	members := fleet()
	calls, first := 0, make(map[time.Duration]int)
	for _, m := range members {
		r := nodeKnowing(m, members)
		if r.IsWatcher(start) {
			continue
		}
		began := true
		for at := time.Duration(0); at < 8*time.Second; at += 50 * time.Millisecond {
			source, peer := r.Next(start.Add(at))
			if source == Peer {
				r.PeerStale(start.Add(at), peer.Name)
				continue
			}
			if calls++; began {
				began = false
				first[at.Truncate(time.Second)]++
			}
		}
	}
	// Ranks cannot follow each other more slowly: if the store refuses only some nodes,
	// a node that it serves must call it within a second, see
	// TestChangeReachesAllWhileTheStoreRefusesWatchers.
	if calls > 300 {
		t.Errorf("%d calls in 8 s by the nodes that are not watchers", calls)
	}
	for second := range 8 {
		if n := first[time.Duration(second)*time.Second]; n < 7 || n > 10 {
			t.Errorf("%d nodes call the store for the first time in second %d", n, second)
		}
	}
}

// If the store refuses some nodes, a node that it serves keeps using it.
func TestNodeServedByTheStoreKeepsUsingIt(t *testing.T) {
	members := fleet()
	r := nodeKnowing(Member{Name: "d-000", Zone: "d"}, members)
	now := start
	for source, peer := r.Next(now); source == Peer; source, peer = r.Next(now) {
		r.PeerStale(now, peer.Name)
		now = now.Add(100 * time.Millisecond)
		if now.Sub(start) > 5*time.Second {
			t.Fatal("the store is never called")
		}
	}
	r.StoreAnswered(now)
	for range 5 {
		now = now.Add(storeHold / 6)
		expectStore(t, r, now)
		r.StoreAnswered(now)
	}
	now = now.Add(storeHold)
	r.PeerStale(now, expectPeer(t, r, now).Name)
	expectStore(t, r, now)
	r.StoreAnswered(now)
	now = now.Add(storeHold)
	r.PeerFresh(expectPeer(t, r, now).Name)
	expectPeer(t, r, now)
}

func TestNodeWaitsForAListWithItsEntry(t *testing.T) {
	members := fleet()
	r := newTestNode("a-007", "a")
	if source, _ := r.Next(start); source != NotReady || r.IsLeaseCandidate(start) || r.IsWatcher(start) {
		t.Errorf("source %v before any list", source)
	}
	r.Set(members[:3])
	if source, _ := r.Next(start); source != NotReady {
		t.Errorf("source %v with a list that lacks the node", source)
	}
	r.Set(members)
	expectPeer(t, r, start)
}

// A node whose own entry never appears in the list still gets updates.
func TestNodeGetsUpdatesWithoutItsEntry(t *testing.T) {
	members := fleet()
	r := newTestNode("f-000", "f")
	r.Set(members)
	r.ForceReady()
	expectPeer(t, r, start)
	alone := newTestNode("f-000", "f")
	alone.ForceReady()
	expectStore(t, alone, start)
	if len(r.Others()) != len(members) {
		t.Errorf("%d others", len(r.Others()))
	}
}

func TestNodesThatAreGoneAreForgotten(t *testing.T) {
	members := zone("a", 4)
	r := nodeKnowing(members[3], members)
	r.MarkUnreachable(start, "a-000")
	r.MarkUnreachable(start, "a-001")
	r.Set(members[2:])
	if len(r.backoffs) != 0 {
		t.Errorf("backoffs %v", r.backoffs)
	}
	expectStore(t, r, start)
}

// A slow store gets a longer timeout, and a healthy one a short timeout.
func TestProbeAllowsForASlowStore(t *testing.T) {
	var p Probe
	for _, one := range []struct{ took, allowed time.Duration }{
		{4 * time.Millisecond, minProbeTimeout}, {200 * time.Millisecond, 600 * time.Millisecond}, {time.Minute, maxProbeTimeout},
	} {
		p.Sent(start)
		p.Answered(start.Add(one.took))
		if got := p.Timeout(); got != one.allowed {
			t.Errorf("timeout %v after a latency of %v", got, one.took)
		}
	}
}

// A peer that accepts the connection but never answers causes exactly one call to the
// store.
func TestFrozenPeerCausesOneStoreCall(t *testing.T) {
	members := fleet()
	r := nodeKnowing(members[40], members)
	r.PeerFailed(start, expectPeer(t, r, start).Name, PeerPollWait)
	expectStore(t, r, start)
	r.StoreAnswered(start)
	expectPeer(t, r, start)
}

// A search ends when enough peers are stale or after searchTimeout, and the next search
// starts with fresh counts.
func TestSearchForUpdatesEnds(t *testing.T) {
	members := fleet()
	r := nodeKnowing(members[40], members)
	for i := range maxStalePeers {
		if r.SearchExhausted(start, start) {
			t.Errorf("search ended after %d stale peers", i)
		}
		r.PeerStale(start, expectPeer(t, r, start).Name)
	}
	if !r.SearchExhausted(start, start) || r.SearchExhausted(start, start) {
		t.Error("search did not end after all peers were stale, or ended twice")
	}
	if r.SearchExhausted(start.Add(searchTimeout-1), start) || !r.SearchExhausted(start.Add(searchTimeout), start) {
		t.Error("search did not end at its timeout")
	}
}
