package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
)

var start = time.Unix(1000, 0)

// at gives a time by ms from the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func upstream(id string, revision int64) Upstream {
	return Upstream{ID: ids.Instance{Upstream: ids.Upstream(id)}, Service: "s", Address: id + ":1", Revision: revision}
}

// names gives the upstreams of the view, with those leaving marked.
func names(d *Directory) []string {
	var out []string
	for _, u := range d.View().Of("s") {
		name := string(u.ID.Upstream)
		if u.Leaving {
			name += "!"
		}
		out = append(out, name)
	}
	return out
}

// kinds gives the changes as text.
func kinds(changes []Change) []string {
	var out []string
	for _, c := range changes {
		out = append(out, string(c.Kind)+" "+string(c.Upstream.ID.Upstream))
	}
	return out
}

func TestListIsTakenAsADifference(t *testing.T) {
	d := New()
	d.Replace(start, []Upstream{upstream("a", 1), upstream("b", 2)}, 5)
	b := upstream("b", 7)
	b.Leaving = true
	changes := d.Replace(start, []Upstream{b, upstream("c", 8)}, 9)
	if diff := cmp.Diff([]string{"left b", "seen c", "gone a"}, kinds(changes)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"b!", "c"}, names(d)); diff != "" {
		t.Error(diff)
	}
	if d.Replace(start, nil, 8) != nil || len(names(d)) != 2 {
		t.Error("an older list took effect")
	}
}

func TestLeavingIsFinal(t *testing.T) {
	d := New()
	u := upstream("a", 1)
	u.Leaving = true
	d.Put(u)
	d.Put(upstream("a", 2))
	if diff := cmp.Diff([]string{"a!"}, names(d)); diff != "" {
		t.Error(diff)
	}
}

func TestOlderEntriesAndRemovalsAreIgnored(t *testing.T) {
	d := New()
	d.Put(upstream("a", 5))
	if d.Put(upstream("a", 4)) != nil {
		t.Error("an older entry took effect")
	}
	if d.Remove(start, "a", 4) != nil || len(names(d)) != 1 {
		t.Error("a removal from before the entry took effect")
	}
	if got := kinds(d.Remove(start, "a", 6)); !cmp.Equal(got, []string{"gone a"}) {
		t.Errorf("removal: %v", got)
	}
}

func TestEntriesMissingAfterAnOutageStandForAWhile(t *testing.T) {
	d := New()
	d.Replace(start, []Upstream{upstream("a", 1), upstream("b", 2), upstream("c", 3)}, 5)
	d.RegistryRecovered(at(10_000), time.Minute)
	d.Replace(at(10_010), []Upstream{upstream("a", 1)}, 6)
	if diff := cmp.Diff([]string{"a", "b", "c"}, names(d)); diff != "" {
		t.Error("just after the outage:", diff)
	}
	d.Put(upstream("b", 7))
	if changes := d.Expire(at(11_400)); changes != nil {
		t.Errorf("expired early: %v", kinds(changes))
	}
	if got := kinds(d.Expire(at(11_520))); !cmp.Equal(got, []string{"gone c"}) {
		t.Errorf("after the grace: %v, want c gone, as b came back", got)
	}
	if got := kinds(d.Remove(at(12_000), "b", 9)); !cmp.Equal(got, []string{"gone b"}) {
		t.Errorf("a removal long after the outage: %v", got)
	}
}

func TestOneThatWasLeavingIsGoneAtOnceAfterAnOutage(t *testing.T) {
	d := New()
	u := upstream("a", 1)
	u.Leaving = true
	d.Replace(start, []Upstream{u}, 5)
	d.RegistryRecovered(at(1000), time.Minute)
	if got := kinds(d.Replace(at(1000), nil, 6)); !cmp.Equal(got, []string{"gone a"}) {
		t.Errorf("changes %v", got)
	}
}

func TestViewsDoNotChange(t *testing.T) {
	d := New()
	d.Put(upstream("a", 1))
	before := d.View()
	d.Remove(start, "a", 2)
	if before.Get(life("a")) == nil || len(before.All()) != 1 {
		t.Error("a view changed after it was given")
	}
	var none *View
	if none.Get(life("a")) != nil || none.Of("s") != nil || none.All() != nil {
		t.Error("no view knows upstreams")
	}
}

// since gives what changed since a mark as text.
func since(t *testing.T, d *Directory, mark uint64) []string {
	t.Helper()
	changed, gone, ok := d.View().Since(mark)
	if !ok {
		return []string{"unknown"}
	}
	out := []string{}
	for _, u := range changed {
		out = append(out, "+"+string(u.ID.Upstream))
	}
	for _, id := range gone {
		out = append(out, "-"+string(id))
	}
	return out
}

func TestChangesSinceAViewAreNamed(t *testing.T) {
	d := New()
	d.Replace(start, []Upstream{upstream("a", 1), upstream("b", 2), upstream("c", 3)}, 5)
	mark := d.View().Mark
	if diff := cmp.Diff([]string{}, since(t, d, mark)); diff != "" {
		t.Error(diff)
	}
	d.Put(upstream("a", 6))
	d.Remove(start, "b", 7)
	d.Put(upstream("a", 8))
	if diff := cmp.Diff([]string{"+a", "-b"}, since(t, d, mark)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"unknown"}, since(t, d, mark+9)); diff != "" {
		t.Error("of a mark that was never given:", diff)
	}
	var none *View
	if _, _, ok := none.Since(0); ok {
		t.Error("no view knows changes")
	}
}

// follow has one directory take over what changed in another since a mark, checks
// that both show the same, and gives the next mark.
func follow(t *testing.T, from, to *Directory, mark uint64) uint64 {
	t.Helper()
	view := from.View()
	changed, gone, ok := view.Since(mark)
	if !ok {
		t.Fatalf("changes since %d unknown at %d", mark, view.Mark)
	}
	var list []Upstream
	for _, u := range changed {
		list = append(list, *u)
	}
	to.Update(start, list, gone, view.Revision)
	if diff := cmp.Diff(names(from), names(to)); diff != "" {
		t.Fatalf("at mark %d: %s", view.Mark, diff)
	}
	return view.Mark
}

func TestFollowerOfChangesHasTheSameView(t *testing.T) {
	from, to := New(), New()
	mark := uint64(0)
	for i := range 4 * maxRecent {
		id := string(rune('a' + i%7))
		if i%3 == 2 {
			from.Remove(start, ids.Upstream(id), int64(i+1))
		} else {
			from.Put(upstream(id, int64(i+1)))
		}
		if i%5 != 0 {
			continue
		}
		mark = follow(t, from, to, mark)
	}
	if _, _, ok := from.View().Since(0); ok {
		t.Error("changes are remembered without bound")
	}
}

func TestOlderUpdateIsIgnored(t *testing.T) {
	d := New()
	d.Replace(start, []Upstream{upstream("a", 1)}, 5)
	if d.Update(start, nil, []ids.Upstream{"a"}, 4) != nil || len(names(d)) != 1 {
		t.Error("an older update took effect")
	}
	if got := kinds(d.Update(start, []Upstream{upstream("b", 6)}, []ids.Upstream{"a", "x"}, 6)); !cmp.Equal(got, []string{"seen b", "gone a"}) {
		t.Errorf("changes %v", got)
	}
}

func TestNewUpstreamAtAnAddressEndsTheOneBefore(t *testing.T) {
	d := New()
	d.Put(upstream("a", 1))
	d.Put(upstream("b", 2))
	next := upstream("a2", 5)
	next.Address = "a:1"
	if diff := cmp.Diff([]string{"gone a", "seen a2"}, kinds(d.Put(next))); diff != "" {
		t.Error(diff)
	}
	// Its entry still stands in the registry.
	if changes := d.Replace(start, []Upstream{upstream("a", 1), upstream("b", 2), next}, 6); changes != nil {
		t.Errorf("a list brought back the one before: %v", kinds(changes))
	}
	// A late heartbeat changes its entry, or enters it once more.
	if changes := d.Put(upstream("a", 7)); changes != nil {
		t.Errorf("a late heartbeat brought it back: %v", kinds(changes))
	}
	if diff := cmp.Diff([]string{"a2", "b"}, names(d)); diff != "" {
		t.Error(diff)
	}
	if got := kinds(d.Remove(start, "a", 8)); got != nil {
		t.Errorf("its removal: %v", got)
	}
	if changes := d.Put(upstream("a", 9)); changes != nil {
		t.Errorf("a heartbeat after its removal brought it back: %v", kinds(changes))
	}
	d.Remove(start, "a", 10)
	d.Remove(start, "a2", 11)
	again := upstream("a3", 12)
	again.Address = "a:1"
	if got := kinds(d.Put(again)); !cmp.Equal(got, []string{"seen a3"}) {
		t.Errorf("the next at a free address: %v", got)
	}
}

func TestChangedAddressFreesTheOld(t *testing.T) {
	d := New()
	d.Put(upstream("a", 1))
	moved := upstream("a", 2)
	moved.Address = "x:1"
	d.Put(moved)
	other := upstream("b", 3)
	other.Address = "a:1"
	if diff := cmp.Diff([]string{"seen b"}, kinds(d.Put(other))); diff != "" {
		t.Error(diff)
	}
}

func TestOneThatWasTakenForOverIsBackOnceItIsAlone(t *testing.T) {
	d := New()
	late := upstream("late", 5)
	late.Address = "x:1"
	real := upstream("real", 3)
	real.Address = "x:1"
	// In a first list nothing tells which is the newer but the revision.
	d.Replace(start, []Upstream{late, real}, 6)
	if diff := cmp.Diff([]string{"late"}, names(d)); diff != "" {
		t.Fatal(diff)
	}
	mark := d.View().Mark
	if diff := cmp.Diff([]string{"gone late", "seen real"}, kinds(d.Remove(start, "late", 7))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"real"}, names(d)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"+real", "-late"}, since(t, d, mark)); diff != "" {
		t.Error(diff)
	}
}

func TestFollowerHasTheSameViewOfSharedAddresses(t *testing.T) {
	from, to := New(), New()
	mark := uint64(0)
	for i := range 3000 {
		id := fmt.Sprint("u", i*7%23)
		revision := int64(i + 1)
		if i%4 == 3 {
			from.Remove(start, ids.Upstream(id), revision)
		} else {
			u := upstream(id, revision)
			u.Address = fmt.Sprint("at", i*7%23%5)
			from.Put(u)
		}
		mark = follow(t, from, to, mark)
	}
}

// life is the one life of an upstream whose start is not told.
func life(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }

// An outage that is too short for entries to lapse hides only what is true.
func TestRemovalAfterAShortOutageIsBelieved(t *testing.T) {
	for _, one := range []struct {
		away time.Duration
		left int
	}{{lapseAfter - time.Millisecond, 0}, {lapseAfter, 1}} {
		d := New()
		d.Put(Upstream{ID: ids.Instance{Upstream: "u"}, Address: "a", Revision: 1})
		d.RegistryRecovered(at(1000), one.away)
		d.Remove(at(1100), "u", 2)
		if left := len(d.View().All()); left != one.left {
			t.Errorf("after %v: %d left, want %d", one.away, left, one.left)
		}
	}
}
