package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
)

// inEpoch returns an upstream whose entry has a revision of an epoch.
func inEpoch(epoch int64, id string, number int64) Upstream {
	u := upstream(id, number)
	u.Revision.Epoch = epoch
	return u
}

// rev2 returns a revision of the second epoch.
func rev2(number int64) revision.Revision { return revision.Revision{Epoch: 2, Number: number} }

// firstEpoch returns a directory in the first epoch, at revision 20.
func firstEpoch(list ...Upstream) *Directory {
	d := New()
	d.Replace(start, list, revision.Revision{Epoch: 1, Number: 20})
	return d
}

// Guards against a removal that is ignored because its revision was given out before, in
// an earlier epoch.
func TestRemovalInALaterEpoch(t *testing.T) {
	d := firstEpoch(inEpoch(1, "a", 5), inEpoch(1, "added", 19))
	d.Replace(start, []Upstream{inEpoch(2, "a", 5), inEpoch(2, "added", 11)}, rev2(11))
	if got := changeTexts(d.Remove(at(10_000), "added", rev2(12))); !cmp.Equal(got, []string{"gone added"}) {
		t.Errorf("changes %v", got)
	}
}

func TestLateAnswersOfAnEarlierEpochAreIgnored(t *testing.T) {
	d := firstEpoch(inEpoch(1, "a", 5))
	d.Replace(start, []Upstream{inEpoch(2, "a", 5)}, rev2(8))
	late := revision.Revision{Epoch: 1, Number: 30}
	var all []Change
	all = append(all, d.Replace(start, nil, late)...)
	all = append(all, d.Update(start, nil, []ids.Upstream{"a"}, late)...)
	all = append(all, d.Put(start, inEpoch(1, "late", 30))...)
	all = append(all, d.Remove(start, "a", late)...)
	all = append(all, d.Invalidate(start, "a", late)...)
	if len(all) > 0 || d.Revision() != rev2(8) {
		t.Errorf("changes %v, revision %v", changeTexts(all), d.Revision())
	}
}

// A delta of a peer is one to a state of its own epoch.
func TestDeltaOfALaterEpochIsIgnored(t *testing.T) {
	d := firstEpoch(inEpoch(1, "a", 5))
	if got := d.Update(start, nil, []ids.Upstream{"a"}, rev2(8)); got != nil || d.Revision().Epoch != 1 {
		t.Errorf("changes %v, revision %v", changeTexts(got), d.Revision())
	}
}

func TestEntryThatTheCopyLacksStaysForTheGracePeriod(t *testing.T) {
	d := firstEpoch(inEpoch(1, "a", 5), inEpoch(1, "back", 18), inEpoch(1, "dead", 19))
	got := changeTexts(d.Replace(start, []Upstream{inEpoch(2, "a", 5)}, rev2(8)))
	if len(got) != 2 || len(viewNames(d)) != 3 || d.Missing() != 2 {
		t.Errorf("changes %v, view %v", got, viewNames(d))
	}
	if got := d.Put(at(1000), inEpoch(2, "back", 9)); got != nil {
		t.Errorf("entry that is written again: changes %v", changeTexts(got))
	}
	if got := changeTexts(d.Expire(start.Add(RemovalGrace))); !cmp.Equal(got, []string{"gone dead"}) {
		t.Errorf("at the end of the grace period: changes %v", got)
	}
}

// Guards against requests to an upstream that had left, and whose entry the copy has.
func TestEntryThatTheCopyBringsBackIsHeld(t *testing.T) {
	left := inEpoch(1, "draining", 19)
	left.Leaving = true
	d := firstEpoch(inEpoch(1, "a", 5), inEpoch(1, "gone", 6), left)
	d.Remove(start, "gone", revision.Revision{Epoch: 1, Number: 21})
	copied := []Upstream{inEpoch(2, "a", 5), inEpoch(2, "draining", 7), inEpoch(2, "gone", 6)}
	d.Replace(start, copied, rev2(8))
	d.Replace(at(3000), copied, rev2(9))
	d.Expire(at(14_900))
	if diff := cmp.Diff([]string{"a", "draining!"}, viewNames(d)); diff != "" || d.Deferred() != 1 {
		t.Errorf("%s%d deferred", diff, d.Deferred())
	}
	// Its upstream sends heartbeats all the while.
	if got := changeTexts(d.Expire(start.Add(returnHold))); !cmp.Equal(got, []string{"seen gone"}) {
		t.Errorf("after the hold: changes %v", got)
	}
}

func TestHeldEntryIsReleasedOrForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		news func(d *Directory) []Change
		want []string
	}{
		"written again":     {func(d *Directory) []Change { return d.Put(at(500), inEpoch(2, "gone", 9)) }, []string{"seen gone"}},
		"told by a peer":    {func(d *Directory) []Change { return d.Update(at(500), []Upstream{inEpoch(2, "gone", 9)}, nil, rev2(9)) }, []string{"seen gone"}},
		"removed":           {func(d *Directory) []Change { return d.Remove(at(500), "gone", rev2(9)) }, nil},
		"no longer listed":  {func(d *Directory) []Change { return d.Replace(at(500), nil, rev2(9)) }, nil},
		"restarted":         {func(d *Directory) []Change { return d.Put(at(500), startedIn(2, "gone", 77, 9)) }, []string{"seen gone"}},
		"a third epoch":     {func(d *Directory) []Change { return d.Replace(at(500), nil, revision.Revision{Epoch: 3, Number: 4}) }, nil},
		"removed by a peer": {func(d *Directory) []Change { return d.Update(at(500), nil, []ids.Upstream{"gone"}, rev2(9)) }, nil},
	} {
		d := firstEpoch(inEpoch(1, "gone", 6))
		d.Remove(start, "gone", revision.Revision{Epoch: 1, Number: 21})
		d.Replace(start, []Upstream{inEpoch(2, "gone", 6)}, rev2(8))
		got := changeTexts(c.news(d))
		if diff := cmp.Diff(c.want, got); diff != "" || d.Deferred() != 0 {
			t.Errorf("%s: %s%d deferred", name, diff, d.Deferred())
		}
		if got := d.Expire(start.Add(returnHold)); got != nil {
			t.Errorf("%s: after the hold: changes %v", name, changeTexts(got))
		}
	}
}

// startedIn returns an upstream with a start time whose entry has a revision of an epoch.
func startedIn(epoch int64, id string, startedMs, number int64) Upstream {
	u := inEpoch(epoch, id, number)
	u.ID.StartedMs = startedMs
	return u
}

// An entry in the copy may show an engine as it was before its latest order.
func TestOlderContentIsDeferred(t *testing.T) {
	known := inEpoch(1, "a", 19)
	known.Slots = 8
	d := firstEpoch(known)
	d.Replace(start, []Upstream{inEpoch(2, "a", 5)}, rev2(8))
	slots := func() int { return d.View().Get(ids.Instance{Upstream: "a"}).Slots }
	if slots() != 8 {
		t.Error("the content of the copy took effect at once")
	}
	if got := changeTexts(d.Expire(start.Add(RemovalGrace))); !cmp.Equal(got, []string{"changed a"}) || slots() != 0 {
		t.Errorf("after the grace period: changes %v, %d slots", got, slots())
	}
	// Its upstream writes what the copy lacks.
	d = firstEpoch(known)
	d.Replace(start, []Upstream{inEpoch(2, "a", 5)}, rev2(8))
	again := known
	again.Revision = rev2(9)
	d.Put(at(100), again)
	if got := d.Expire(at(10_000)); got != nil || slots() != 8 {
		t.Errorf("written again: changes %v, %d slots", changeTexts(got), slots())
	}
}

func TestWordOfLeavingHoldsInALaterEpoch(t *testing.T) {
	d := firstEpoch(inEpoch(1, "a", 5))
	d.SaidLeaving(ids.Instance{Upstream: "a"})
	d.Replace(start, nil, rev2(3))
	d.Replace(at(100), []Upstream{inEpoch(2, "a", 4)}, rev2(4))
	d.Put(at(200), inEpoch(2, "a", 9))
	if diff := cmp.Diff([]string{"a!"}, viewNames(d)); diff != "" {
		t.Error(diff)
	}
}

// Guards against peers that end up with different directories when some follow the store and
// others follow them, through several restorations of the store.
func TestDirectoriesAgreeAfterRestorations(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		w := newRegistry(r)
		watcher, follower := New(), New()
		mark, now := uint64(0), start
		for range 60 {
			now = now.Add(time.Duration(r.IntN(400)) * time.Millisecond)
			w.step()
			if r.IntN(3) > 0 {
				watcher.Replace(now, w.list(), w.at)
			}
			if r.IntN(3) > 0 {
				mark = follow(now, watcher, follower, mark)
			}
			watcher.Expire(now)
			follower.Expire(now)
		}
		now = now.Add(returnHold + RemovalGrace)
		watcher.Replace(now, w.list(), w.at)
		watcher.Expire(now.Add(returnHold))
		watcher.Replace(now.Add(returnHold), w.list(), w.at)
		mark = follow(now.Add(returnHold), watcher, follower, mark)
		follower.Expire(now.Add(2 * returnHold))
		follow(now.Add(2*returnHold), watcher, follower, mark)
		want := fmt.Sprint(w.names())
		if got := fmt.Sprint(viewNames(watcher)); got != want {
			t.Fatalf("seed %d: watcher has %s, the registry %s", seed, got, want)
		}
		if got := fmt.Sprint(viewNames(follower)); got != want {
			t.Fatalf("seed %d: follower has %s, the registry %s", seed, got, want)
		}
	}
}

// follow passes what a directory lacks on to another, as peers do, and returns the mark.
func follow(now time.Time, from, to *Directory, mark uint64) uint64 {
	view := from.View()
	if view.Revision.Before(to.Revision()) {
		return mark
	}
	changed, gone, ok := view.Since(mark)
	if ok && view.Revision.Epoch == to.Revision().Epoch {
		var list []Upstream
		for _, u := range changed {
			list = append(list, *u)
		}
		to.Update(now, list, gone, view.Revision)
		return view.Mark
	}
	var list []Upstream
	var present []ids.Upstream
	for _, u := range view.All() {
		list, present = append(list, *u), append(present, u.ID.Upstream)
	}
	to.Merge(now, list, present, view.Revision)
	return view.Mark
}

// registry is a registry of upstreams that is restored from copies at random.
type registry struct {
	rand    *rand.Rand
	at      revision.Revision
	entries map[string]Upstream
	copied  map[string]Upstream
	copy    int64
}

func newRegistry(r *rand.Rand) *registry {
	return &registry{rand: r, at: revision.Revision{Epoch: 1, Number: 100}, entries: make(map[string]Upstream), copied: make(map[string]Upstream), copy: 100}
}

// step changes an entry, removes one, takes a copy, or restores it.
func (g *registry) step() {
	id := fmt.Sprint("u", g.rand.IntN(6))
	switch g.rand.IntN(12) {
	case 0:
		g.copied, g.copy = clone(g.entries), g.at.Number
	case 1:
		g.entries, g.at = clone(g.copied), revision.Revision{Epoch: g.at.Epoch + 1, Number: g.copy}
	case 2, 3:
		if _, ok := g.entries[id]; ok {
			delete(g.entries, id)
			g.at.Number++
		}
	default:
		g.at.Number++
		u := upstream(id, 0)
		u.Slots, u.Revision = g.rand.IntN(3), g.at
		g.entries[id] = u
	}
}

// list returns the entries as they are read in the present epoch.
func (g *registry) list() []Upstream {
	var list []Upstream
	for _, name := range g.names() {
		u := g.entries[name]
		u.Revision.Epoch = g.at.Epoch
		list = append(list, u)
	}
	return list
}

func (g *registry) names() []string {
	var names []string
	for i := range 6 {
		if _, ok := g.entries[fmt.Sprint("u", i)]; ok {
			names = append(names, fmt.Sprint("u", i))
		}
	}
	return names
}

func clone(entries map[string]Upstream) map[string]Upstream {
	out := make(map[string]Upstream, len(entries))
	for id, u := range entries {
		out[id] = u
	}
	return out
}
