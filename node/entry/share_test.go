package entry

import (
	"fmt"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

// zone makes the nodes of a zone.
func zone(name string, n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Name: ids.VM(fmt.Sprintf("%s-%02d", name, i)), Zone: ids.Zone(name), Peer: fmt.Sprint(name, i)})
	}
	return out
}

func TestFewNodesOfAZoneWatchTheStore(t *testing.T) {
	all := append(zone("a", 26), zone("b", 3)...)
	at := time.Unix(1000, 0)
	watching := 0
	asked := make(map[ids.VM]int)
	for _, m := range all {
		w := newWatchers(Settings{VM: m.Name, Zone: m.Zone}, func() time.Time { return at })
		w.set(all)
		peer, ok := w.pick()
		if !ok {
			watching++
			continue
		}
		if peer.Zone != m.Zone {
			t.Errorf("%s waits at %s in another zone", m.Name, peer.Name)
		}
		asked[peer.Name]++
	}
	if watching != 2*watchersPerZone {
		t.Errorf("%d nodes watch, want %d for each of two zones", watching, watchersPerZone)
	}
	if asked["a-00"] != 12 || asked["a-01"] != 12 {
		t.Errorf("shares %v", asked)
	}
}

func TestFailedWatchersAreReplaced(t *testing.T) {
	at := time.Unix(1000, 0)
	w := newWatchers(Settings{VM: "a-09", Zone: "a"}, func() time.Time { return at })
	if _, ok := w.pick(); ok {
		t.Error("a node that knows no others waits at one")
	}
	w.set(zone("a", 10))
	seen := make(map[ids.VM]bool)
	for range 9 {
		peer, ok := w.pick()
		if !ok {
			break
		}
		if seen[peer.Name] {
			t.Errorf("%s is asked again at once", peer.Name)
		}
		seen[peer.Name] = true
		w.failed(peer.Name)
	}
	if _, ok := w.pick(); ok || len(seen) != 8 {
		t.Errorf("after %d failures it still waits at a peer", len(seen))
	}
	at = at.Add(shunFor)
	peer, ok := w.pick()
	if !ok {
		t.Fatal("after a while none is tried again")
	}
	w.failed(peer.Name)
	at = at.Add(shunFor)
	if next, ok := w.pick(); ok && next.Name == peer.Name {
		t.Errorf("%s is asked again as soon as the first time", peer.Name)
	}
	w.answered(peer.Name)
	if next, ok := w.pick(); !ok || next.Name != peer.Name {
		t.Errorf("after an answer: %v %v", next.Name, ok)
	}
}
