package roster

import (
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

var start = time.Unix(1000, 0)

// zone makes the nodes of a zone.
func zone(name string, n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Name: ids.VM(fmt.Sprintf("%s-%03d", name, i)), Zone: ids.Zone(name), PeerAddress: fmt.Sprint(name, i)})
	}
	return out
}

// fleet makes a fleet of 295 nodes in five zones.
func fleet() []Member {
	var out []Member
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		out = append(out, zone(name, 59)...)
	}
	return out
}

// view is that of a node which follows one collection.
type view struct {
	*Roster
	*Selector
}

// newView makes the view of a node that knows no others.
func newView(own ids.VM, zone ids.Zone) view {
	r := New(own, zone)
	return view{r, r.Selector()}
}

// knowing makes the view of a node that knows the members.
func knowing(own Member, members []Member) view {
	v := newView(own.Name, own.Zone)
	v.Set(members)
	return v
}

// expectPeer fails unless the node is to ask a peer, which it gives.
func expectPeer(t *testing.T, r view, now time.Time) Member {
	t.Helper()
	way, peer := r.Next(now)
	if way != Peer {
		t.Fatalf("way %v, want a peer", way)
	}
	return peer
}

// expectStore fails unless the node is to watch the store.
func expectStore(t *testing.T, r view, now time.Time) {
	t.Helper()
	if way, peer := r.Next(now); way != Store {
		t.Fatalf("way %v to %s, want the store", way, peer.Name)
	}
}

func TestThreeNodesWatchForAllZones(t *testing.T) {
	members := fleet()
	watchers, seekers := make(map[ids.VM]bool), make(map[ids.VM]bool)
	asked := make(map[ids.VM]int)
	for i, m := range members {
		r := knowing(m, members)
		if r.IsLeaseCandidate(start) {
			seekers[m.Name] = true
		}
		if way, _ := r.Next(start); way == Store {
			watchers[m.Name] = true
			continue
		}
		head := i%59 < 3
		for range 3 {
			peer := expectPeer(t, r, start)
			asked[peer.Name]++
			if !head && peer.Zone != m.Zone {
				t.Errorf("%s asks %s in another zone", m.Name, peer.Name)
			}
		}
	}
	if len(watchers) != 3 || !watchers["a-000"] || !watchers["b-000"] || !watchers["c-000"] {
		t.Errorf("watchers %v, want the first of three zones", watchers)
	}
	if len(seekers) != 10 || !seekers["e-000"] || !seekers["e-001"] {
		t.Errorf("%v seek the lease, want two a zone", seekers)
	}
	// Each question to a watcher is of a head, or of its own zone's nodes.
	if asked["a-000"] != 56+12 || asked["e-000"] != 56 || asked["c-001"] != 56 {
		t.Errorf("shares %v", asked)
	}
}

func TestNodesAskThreeInTurn(t *testing.T) {
	members := fleet()
	r := knowing(members[40], members)
	seen := make(map[ids.VM]bool)
	first := expectPeer(t, r, start)
	seen[first.Name] = true
	for range 2 {
		seen[expectPeer(t, r, start).Name] = true
	}
	if fourth := expectPeer(t, r, start); len(seen) != 3 || fourth.Name != first.Name {
		t.Errorf("asked %v, then %s after %s", seen, fourth.Name, first.Name)
	}
}

// A watcher that the store has stopped answering asks the other watchers, and watches again
// once its probes are answered.
func TestSilentWatcherAsksTheOthers(t *testing.T) {
	members := fleet()
	r := knowing(Member{Name: "a-000", Zone: "a"}, members)
	expectStore(t, r, start)
	r.SetStoreUnresponsive(true)
	for range 3 {
		if peer := expectPeer(t, r, start); peer.Name != "b-000" && peer.Name != "c-000" && peer.Name != "d-000" {
			t.Errorf("asks %s", peer.Name)
		}
	}
	if r.IsWatcher(start) || !r.IsLeaseCandidate(start) {
		t.Error("a silent watcher watches for others, or no longer seeks the lease")
	}
	r.SetStoreUnresponsive(false)
	expectStore(t, r, start)
}

// One that waits at the store asks the other watchers beside it.
func TestWatcherAsksTheOthersBeside(t *testing.T) {
	members := fleet()
	r := knowing(Member{Name: "a-000", Zone: "a"}, members)
	seen := make(map[ids.VM]bool)
	for range 3 {
		peer, ok := r.NextDuringWatch(start)
		if !ok || peer.Name == "a-000" {
			t.Fatalf("asks %s, %t", peer.Name, ok)
		}
		seen[peer.Name] = true
	}
	if !seen["b-000"] || !seen["c-000"] {
		t.Errorf("asks %v", seen)
	}
	alone := knowing(members[0], members[:1])
	if peer, ok := alone.NextDuringWatch(start); ok {
		t.Errorf("a node alone asks %s", peer.Name)
	}
}

// A node that reaches the store and no peer stays there for a while, and then asks a peer.
func TestDesertedNodeStaysAtTheStore(t *testing.T) {
	members := fleet()
	r := knowing(members[40], members)
	for range maxUnanswered {
		r.PeerFailed(start, expectPeer(t, r, start).Name, 0)
	}
	expectStore(t, r, start)
	r.StoreAnswered(start)
	expectStore(t, r, start.Add(servedFor-time.Millisecond))
	expectPeer(t, r, start.Add(servedFor))
}

func TestFirstWatcherFindsASilentConnectionFirst(t *testing.T) {
	members := fleet()
	for name, want := range map[ids.VM]time.Duration{"a-000": time.Second, "b-000": 2 * time.Second, "c-000": 3 * time.Second, "a-040": time.Second} {
		if got := knowing(Member{Name: name}, members).WatchWait(time.Second); got != want {
			t.Errorf("%s waits %v, want %v", name, got, want)
		}
	}
}

// The followers of a node's collections ask at the same pace, so their questions alternate.
func TestEachCollectionAsksAllPeersInTurn(t *testing.T) {
	members := fleet()
	r := knowing(members[40], members)
	asked := [2]map[ids.VM]bool{{}, {}}
	selectors := [2]*Selector{r.Selector, r.Roster.Selector()}
	for range 4 {
		for i, a := range selectors {
			_, peer := a.Next(start)
			asked[i][peer.Name] = true
		}
	}
	for i, peers := range asked {
		if len(peers) < 3 {
			t.Errorf("collection %d is asked for at %v only", i, peers)
		}
	}
}

func TestSilentPeersAreReplacedByTheNext(t *testing.T) {
	members := zone("a", 10)
	r := knowing(members[9], members)
	seen := make(map[ids.VM]bool)
	// With two others left the node is one of the first three itself.
	for range 7 {
		peer := expectPeer(t, r, start)
		if seen[peer.Name] {
			t.Errorf("%s is asked again at once", peer.Name)
		}
		seen[peer.Name] = true
		r.MarkUnreachable(start, peer.Name)
	}
	expectStore(t, r, start)
	now := start.Add(restFirst)
	peer := expectPeer(t, r, now)
	r.MarkUnreachable(now, peer.Name)
	now = now.Add(restFirst)
	if next := expectPeer(t, r, now); next.Name == peer.Name {
		t.Errorf("%s is asked again as soon as the first time", peer.Name)
	}
	r.PeerFresh(peer.Name)
	again := false
	for range 3 {
		again = again || expectPeer(t, r, now).Name == peer.Name
	}
	if !again {
		t.Errorf("%s is not asked after it answered", peer.Name)
	}
}

// Heads of a zone that is cut off find each other after the others of the fleet.
func TestHeadsOfAZoneThatIsCutOffWatchTheStore(t *testing.T) {
	members := fleet()
	for _, name := range []ids.VM{"e-000", "e-001"} {
		r := knowing(Member{Name: name, Zone: "e"}, members)
		asked := 0
		for way, peer := r.Next(start); way != Store; way, peer = r.Next(start) {
			if asked++; asked > 2*9 {
				t.Fatalf("%s still asks peers", name)
			}
			if peer.Zone != "e" {
				r.MarkUnreachable(start, peer.Name)
			}
		}
	}
}

func TestPeersWithoutNewsArePassedOver(t *testing.T) {
	members := fleet()
	r := knowing(members[40], members)
	first := expectPeer(t, r, start)
	r.PeerStale(start, first.Name)
	for range 3 {
		peer := expectPeer(t, r, start.Add(time.Millisecond))
		if peer.Name == first.Name {
			t.Fatal("a peer without news is asked while another has some")
		}
		r.PeerFresh(peer.Name)
	}
	found := false
	for range 3 {
		found = found || expectPeer(t, r, start.Add(behindFor)).Name == first.Name
	}
	if !found {
		t.Error("a peer that was behind is not asked any more")
	}
}

// A store that is away for 8 s gets few calls, from ever more nodes.
func TestStoreThatIsAwayIsAskedByFewInTurn(t *testing.T) {
	members := fleet()
	calls, first := 0, make(map[time.Duration]int)
	for _, m := range members {
		r := knowing(m, members)
		if r.IsWatcher(start) {
			continue
		}
		began := true
		for at := time.Duration(0); at < 8*time.Second; at += 50 * time.Millisecond {
			way, peer := r.Next(start.Add(at))
			if way == Peer {
				r.PeerStale(start.Add(at), peer.Name)
				continue
			}
			if calls++; began {
				began = false
				first[at.Truncate(time.Second)]++
			}
		}
	}
	// A rank has to come within a second for a change to be known in time where the
	// store turns only some away: see TestChangeReachesAllWhileTheStoreTurnsWatchersAway.
	if calls > 300 {
		t.Errorf("%d calls in 8 s of 293 nodes beside the watchers", calls)
	}
	for second := range 8 {
		if n := first[time.Duration(second)*time.Second]; n < 7 || n > 10 {
			t.Errorf("%d nodes ask for the first time in second %d", n, second)
		}
	}
}

// A store that turns some nodes away is watched on by one that it serves.
func TestNodeThatTheStoreServesGoesOnThere(t *testing.T) {
	members := fleet()
	r := knowing(Member{Name: "d-000", Zone: "d"}, members)
	now := start
	for way, peer := r.Next(now); way == Peer; way, peer = r.Next(now) {
		r.PeerStale(now, peer.Name)
		now = now.Add(100 * time.Millisecond)
		if now.Sub(start) > 5*time.Second {
			t.Fatal("the store is never asked")
		}
	}
	r.StoreAnswered(now)
	for range 5 {
		now = now.Add(servedFor / 6)
		expectStore(t, r, now)
		r.StoreAnswered(now)
	}
	now = now.Add(servedFor)
	r.PeerStale(now, expectPeer(t, r, now).Name)
	expectStore(t, r, now)
	r.StoreAnswered(now)
	now = now.Add(servedFor)
	r.PeerFresh(expectPeer(t, r, now).Name)
	expectPeer(t, r, now)
}

func TestNodeWaitsForTheListThatHasIt(t *testing.T) {
	members := fleet()
	r := newView("a-007", "a")
	if way, _ := r.Next(start); way != NotReady || r.IsLeaseCandidate(start) || r.IsWatcher(start) {
		t.Errorf("way %v before any list", way)
	}
	r.Set(members[:3])
	if way, _ := r.Next(start); way != NotReady {
		t.Errorf("way %v by a list of those that joined before", way)
	}
	r.Set(members)
	expectPeer(t, r, start)
}

// A list that never has the own entry does not keep a node from learning.
func TestNodeGoesOnWithoutItsEntry(t *testing.T) {
	members := fleet()
	r := newView("f-000", "f")
	r.Set(members)
	r.ForceReady()
	expectPeer(t, r, start)
	alone := newView("f-000", "f")
	alone.ForceReady()
	expectStore(t, alone, start)
	if len(r.Others()) != len(members) {
		t.Errorf("%d others", len(r.Others()))
	}
}

func TestNodesThatAreGoneAreForgotten(t *testing.T) {
	members := zone("a", 4)
	r := knowing(members[3], members)
	r.MarkUnreachable(start, "a-000")
	r.MarkUnreachable(start, "a-001")
	r.Set(members[2:])
	if len(r.peers) != 0 {
		t.Errorf("beliefs %v", r.peers)
	}
	expectStore(t, r, start)
}

// A store that has become slow is given more time, one that is sound is doubted soon.
func TestProbeAllowsForASlowStore(t *testing.T) {
	var p Probe
	for _, one := range []struct{ took, allowed time.Duration }{
		{4 * time.Millisecond, probeLate}, {200 * time.Millisecond, 600 * time.Millisecond}, {time.Minute, probeLatest},
	} {
		p.Sent(start)
		p.Answered(start.Add(one.took))
		if got := p.Timeout(); got != one.allowed {
			t.Errorf("%v allowed after %v", got, one.took)
		}
	}
}

// A peer that took the connection and stands still leaves the store once.
func TestPeerThatStandsStillLeavesTheStoreOnce(t *testing.T) {
	members := fleet()
	r := knowing(members[40], members)
	r.PeerFailed(start, expectPeer(t, r, start).Name, PeerPollWait)
	expectStore(t, r, start)
	r.StoreAnswered(start)
	expectPeer(t, r, start)
}

// A search ends where enough peers have no news, or it takes too long; the next begins anew.
func TestSearchForNewsEnds(t *testing.T) {
	members := fleet()
	r := knowing(members[40], members)
	for i := range maxBehind {
		if r.SearchExhausted(start, start) {
			t.Errorf("given up after %d peers without news", i)
		}
		r.PeerStale(start, expectPeer(t, r, start).Name)
	}
	if !r.SearchExhausted(start, start) || r.SearchExhausted(start, start) {
		t.Error("not given up after all peers, or twice")
	}
	if r.SearchExhausted(start.Add(askFor-1), start) || !r.SearchExhausted(start.Add(askFor), start) {
		t.Error("not given up in time")
	}
}
