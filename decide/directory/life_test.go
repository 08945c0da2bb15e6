package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// born is an upstream whose start is told.
func born(id string, at, revision int64) Upstream {
	u := upstream(id, revision)
	u.ID.StartedMs = at
	return u
}

// holding gives an upstream layers.
func holding(u Upstream, to int) Upstream {
	u.Layers = layered.Range{From: 0, To: to}
	return u
}

func TestLaterLifeHasNothingOfTheOneBefore(t *testing.T) {
	d := New()
	leaving := holding(born("a", 100, 1), 9)
	leaving.Leaving = true
	d.Put(leaving)
	before := d.View().Of("s")[0]
	changes := d.Put(born("a", 200, 2))
	if diff := cmp.Diff([]string{"gone a", "seen a"}, kinds(changes)); diff != "" {
		t.Error(diff)
	}
	now := d.View().Of("s")[0]
	if now.Leaving || !now.Layers.Empty() || now.ID == before.ID || changes[0].Upstream.ID != before.ID {
		t.Errorf("%+v is there, %+v went", now, changes[0].Upstream)
	}
	if d.View().Get(before.ID) != nil || d.View().Get(now.ID) != now {
		t.Error("a life is found under another")
	}
}

func TestEntryOfAnEarlierLifeComesTooLate(t *testing.T) {
	d := New()
	d.Put(born("a", 200, 2))
	if changes := d.Put(holding(born("a", 100, 3), 9)); len(changes) > 0 || !d.View().Of("s")[0].Layers.Empty() {
		t.Errorf("an earlier life came back: %v", kinds(changes))
	}
}

func TestRestartIsNoLateHeartbeat(t *testing.T) {
	d := New()
	a, b := born("a", 100, 1), born("b", 150, 2)
	b.Address = a.Address
	d.Put(a)
	d.Put(b)
	d.Remove(start, "a", 3)
	late := a
	late.Revision = 4
	d.Put(late)
	if diff := cmp.Diff([]string{"b"}, names(d)); diff != "" {
		t.Error(diff)
	}
	again := a
	again.ID.StartedMs, again.Revision = 300, 5
	d.Put(again)
	if diff := cmp.Diff([]string{"a"}, names(d)); diff != "" {
		t.Error(diff)
	}
}

func TestReportTellsOfARestartBeforeTheEntry(t *testing.T) {
	d := New()
	d.Put(holding(born("a", 100, 1), 9))
	mark := d.Mark()
	if changes := d.Restarted(ids.Instance{Upstream: "a", StartedMs: 100}); len(changes) > 0 {
		t.Errorf("the same life: %v", kinds(changes))
	}
	if changes := d.Restarted(ids.Instance{Upstream: "b", StartedMs: 300}); len(changes) > 0 {
		t.Errorf("an unknown name: %v", kinds(changes))
	}
	changes := d.Restarted(ids.Instance{Upstream: "a", StartedMs: 300})
	if diff := cmp.Diff([]string{"gone a", "seen a"}, kinds(changes)); diff != "" {
		t.Error(diff)
	}
	if u := d.View().Of("s")[0]; !u.Layers.Empty() || u.ID.StartedMs != 300 {
		t.Errorf("%+v", u)
	}
	if changed, _, ok := d.View().Since(mark); !ok || len(changed) != 1 || changed[0].ID.StartedMs != 300 {
		t.Errorf("peers are told %+v", changed)
	}
	// The entry of the life before, under way when the process ended.
	d.Put(holding(born("a", 100, 2), 9))
	if u := d.View().Of("s")[0]; u.ID.StartedMs != 300 {
		t.Errorf("%+v", u)
	}
}

func TestWithoutAStartTheNameIsTheLife(t *testing.T) {
	d := New()
	leaving := upstream("a", 1)
	leaving.Leaving = true
	d.Put(leaving)
	if changes := d.Put(upstream("a", 2)); len(changes) != 1 || !changes[0].Upstream.Leaving {
		t.Errorf("leaving did not stay: %v", kinds(changes))
	}
	d.Put(born("b", 100, 3))
	d.Put(upstream("b", 4))
	if u := d.View().Get(ids.Instance{Upstream: "b", StartedMs: 100}); u == nil || u.Revision != 4 {
		t.Errorf("an entry without a start is of the life known: %+v", u)
	}
}

func TestSpoiltEntryNamesNoUpstreamAtOnce(t *testing.T) {
	d := New()
	d.Put(upstream("a", 1))
	d.Put(upstream("b", 2))
	d.RegistryRecovered(start, time.Minute)
	if diff := cmp.Diff([]string{"gone a"}, kinds(d.Invalidate("a", 3))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"b"}, names(d)); diff != "" {
		t.Error(diff)
	}
	d.Put(upstream("a", 4))
	if changes := d.Invalidate("a", 3); len(changes) > 0 {
		t.Errorf("an older fault took effect: %v", kinds(changes))
	}
	if diff := cmp.Diff([]string{"a", "b"}, names(d)); diff != "" {
		t.Error(diff)
	}
}

func TestEntryOfAnUnknownServiceTakesNoAddress(t *testing.T) {
	d := New()
	d.Put(upstream("a", 1))
	odd := upstream("odd", 2)
	odd.Service, odd.Address = "elsewhere", "a:1"
	early := New()
	early.Put(upstream("a", 1))
	early.Put(odd)
	changes := early.SetServices([]ids.Service{"s"})
	if diff := cmp.Diff([]string{"gone odd", "seen a"}, kinds(changes)); diff != "" {
		t.Error(diff)
	}
	d.SetServices([]ids.Service{"s"})
	if changes := d.Put(odd); len(changes) > 0 {
		t.Errorf("%v", kinds(changes))
	}
	if diff := cmp.Diff([]string{"a"}, names(d)); diff != "" {
		t.Error(diff)
	}
	if len(d.View().All()) != 2 {
		t.Error("peers that know the service are not told")
	}
	d.SetServices([]ids.Service{"s", "elsewhere"})
	if diff := cmp.Diff([]string(nil), names(d)); diff != "" {
		t.Error(diff)
	}
	if list := d.View().Of("elsewhere"); len(list) != 1 {
		t.Errorf("%d upstreams of the service that is known now", len(list))
	}
}

func TestEntrySetAsideGoesWithItsEntry(t *testing.T) {
	d := New()
	d.SetServices([]ids.Service{"s"})
	odd := upstream("odd", 2)
	odd.Service = "elsewhere"
	d.Put(odd)
	d.Remove(start, "odd", 3)
	if changes := d.SetServices([]ids.Service{"s", "elsewhere"}); len(changes) > 0 {
		t.Errorf("%v", kinds(changes))
	}
}
