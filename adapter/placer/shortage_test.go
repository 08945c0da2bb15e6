package placer

import (
	"strings"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
)

// Layers of an engine that leaves are loaded by its neighbours before it is gone,
// and so are those of one that is gone.
func TestNeighboursTakeOverFromOneThatLeaves(t *testing.T) {
	for _, test := range []struct {
		leaves bool
		within time.Duration
	}{{true, 500 * time.Millisecond}, {false, moveAfter + time.Second}} {
		f := newFleet()
		play(t, f, true, func() {
			f.engine("a", 0, 4)
			f.engine("b", 4, 7)
			f.engine("c", 7, 10)
			f.engine("d", 0, 4)
			time.Sleep(2 * time.Second)
			f.given()
			if test.leaves {
				f.leave("b")
			} else {
				f.gone("b")
			}
			time.Sleep(test.within)
			if got := f.given(); len(got) == 0 {
				t.Errorf("leaves %v: no order within %v", test.leaves, test.within)
			}
		})
	}
}

// An engine that has been silent for long counts as lost only where that leaves
// fewer than half of the zones whole.
func TestSilentEnginesCountAsLostOnlyInShortage(t *testing.T) {
	f := newFleet()
	play(t, f, true, func() {
		f.engine("a", 0, 6)
		f.engine("b", 6, 10)
		f.engine("twin", 0, 6)
		f.silence("b", lostAfter/2)
		time.Sleep(2 * time.Second)
		if got := f.given(); len(got) > 0 {
			t.Errorf("orders for one that is silent for a moment: %v", got)
		}
		f.silence("b", lostAfter)
		time.Sleep(urgentAfter + time.Second)
		if got := f.given(); len(got) != 1 || !strings.Contains(got[0], "-10 ") {
			t.Errorf("orders %v, want one for the layers of the silent engine", got)
		}
	})
	f = newFleet()
	play(t, f, true, func() {
		for _, zone := range []string{"x", "y"} {
			f.in(zone, "a-"+zone, 0, 6)
			f.in(zone, "b-"+zone, 6, 10)
			f.in(zone, "twin-"+zone, 0, 6)
		}
		f.silence("b-x", time.Minute)
		time.Sleep(10 * time.Second)
		if got := f.given(); len(got) > 0 {
			t.Errorf("orders while another zone is whole: %v", got)
		}
	})
}

// in is engine in a zone.
func (f *fleet) in(zone, id string, from, to int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.dir.Put(directory.Upstream{
		ID: ids.Life{Upstream: ids.Upstream(id)}, Service: "s", Address: id, Zone: ids.Zone(zone), Card: "card",
		Layers: layered.Range{From: from, To: to}, Revision: f.rev,
	})
}

// leave has an engine's entry say that it leaves.
func (f *fleet) leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	u := *f.dir.View().Get(ids.Life{Upstream: ids.Upstream(id)})
	u.Leaving, u.Revision = true, f.rev
	f.dir.Put(u)
}

// gone removes an engine's entry.
func (f *fleet) gone(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.dir.Remove(time.Now(), ids.Upstream(id), f.rev)
}

// silence has an engine not have answered for that long.
func (f *fleet) silence(id string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent == nil {
		f.silent = make(map[ids.Upstream]time.Duration)
	}
	f.silent[ids.Upstream(id)] = d
}

// Guards against zones that stay without layers for seconds after each planned leaving, as
// engines that alone serve theirs were not moved. They are soon, also where an entry goes
// without a word though its engine answered to the last; an empty engine that comes in
// its place is awaited. After one that had fallen silent, which may come back, they wait.
func TestZoneIsMendedSoonAfterAPlannedLeaving(t *testing.T) {
	for how, after := range map[string]time.Duration{"leaves": plannedAfter, "vanishes": plannedAfter, "silent": moveAfter} {
		f := newFleet()
		play(t, f, true, func() {
			f.engine("a", 0, 5)
			f.engine("b", 5, 9)
			f.engine("c", 9, 10)
			f.in("y", "whole-a", 0, 6)
			f.in("y", "whole-b", 6, 10)
			time.Sleep(2 * time.Second)
			f.given()
			switch how {
			case "leaves":
				f.leave("a")
			case "vanishes":
				f.gone("a")
			case "silent":
				f.silence("a", lostAfter)
				time.Sleep(time.Second)
				f.gone("a")
			}
			time.Sleep(after - tick)
			if got := f.given(); len(got) > 0 {
				t.Errorf("%s: orders %v before %s", how, got, after)
			}
			time.Sleep(3 * tick)
			if got := f.given(); len(got) == 0 {
				t.Errorf("%s: no orders after %s", how, after)
			}
		})
	}
}
