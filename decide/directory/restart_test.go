package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// startedAt returns an upstream with a known start time.
func startedAt(id string, startedMs, revision int64) Upstream {
	u := upstream(id, revision)
	u.ID.StartedMs = startedMs
	return u
}

// holding returns u with the layers from 0 to the given one.
func holding(u Upstream, to int) Upstream {
	u.Layers = layered.Range{From: 0, To: to}
	return u
}

func TestRestartedUpstreamInheritsNothing(t *testing.T) {
	d := New()
	leaving := holding(startedAt("a", 100, 1), 9)
	leaving.Leaving = true
	d.Put(start, leaving)
	before := d.View().ByService("s")[0]
	changes := d.Put(start, startedAt("a", 200, 2))
	if diff := cmp.Diff([]string{"gone a", "seen a"}, changeTexts(changes)); diff != "" {
		t.Error(diff)
	}
	after := d.View().ByService("s")[0]
	if after.Leaving || !after.Layers.Empty() || after.ID == before.ID || changes[0].Upstream.ID != before.ID {
		t.Errorf("%+v was added, %+v removed", after, changes[0].Upstream)
	}
	if d.View().Get(before.ID) != nil || d.View().Get(after.ID) != after {
		t.Error("an instance is found under the ID of another")
	}
}

func TestEntryOfAnEarlierRevisionIsIgnored(t *testing.T) {
	d := New()
	d.Put(start, startedAt("a", 200, 3))
	if changes := d.Put(start, holding(startedAt("a", 100, 2), 9)); len(changes) > 0 || !d.View().ByService("s")[0].Layers.Empty() {
		t.Errorf("an earlier entry took effect: %v", changeTexts(changes))
	}
}

// Guards against an upstream that leaves and gets requests until it ends, since the clock of its VM was
// put back before it started again under its id.
func TestInstanceThatRegistersLaterIsTheCurrentOne(t *testing.T) {
	d := New()
	mark := d.Mark()
	d.Put(start, holding(startedAt("a", 200, 1), 9))
	second := startedAt("a", 100, 2)
	if diff := cmp.Diff([]string{"gone a", "seen a"}, changeTexts(d.Put(start, second))); diff != "" {
		t.Error(diff)
	}
	if u := d.View().ByService("s")[0]; u.ID != second.ID || !u.Layers.Empty() {
		t.Errorf("upstream %+v, want the second instance without layers", u)
	}
	second.Leaving, second.Revision = true, rev(3)
	d.Put(start, second)
	if u := d.View().Get(second.ID); u == nil || !u.Leaving {
		t.Errorf("the second instance leaves, got %+v", u)
	}
	changed, gone, _, ok := d.View().Since(mark)
	if !ok || len(changed) != 1 {
		t.Fatalf("changes %v, known %v", changed, ok)
	}
	follower := New()
	follower.Put(start, holding(startedAt("a", 200, 1), 9))
	follower.Update(start, Delta{Since: rev(0), At: rev(3), Changed: []Upstream{*changed[0]}, Gone: gone})
	if u := follower.View().Get(second.ID); u == nil || !u.Leaving {
		t.Errorf("a peer has %+v", u)
	}
}

// Guards against the entry of an instance that has ended, of a reported restart, after the entry of the
// present one was seen.
func TestReportOfAnEarlierInstanceChangesNothing(t *testing.T) {
	d := New()
	d.Put(start, startedAt("a", 100, 1))
	d.Restarted(ids.Instance{Upstream: "a", StartedMs: 300})
	d.Put(start, startedAt("a", 300, 4))
	if changes := d.Restarted(ids.Instance{Upstream: "a", StartedMs: 200}); len(changes) > 0 {
		t.Errorf("a late report took effect: %v", changeTexts(changes))
	}
	if changes := d.Put(start, startedAt("a", 100, 3)); len(changes) > 0 {
		t.Errorf("an earlier entry took effect: %v", changeTexts(changes))
	}
}

func TestRestartIsNotTakenForALateHeartbeat(t *testing.T) {
	d := New()
	a, b := startedAt("a", 100, 1), startedAt("b", 150, 2)
	b.Address = a.Address
	d.Put(start, a)
	d.Put(start, b)
	d.Remove(start, "a", rev(3))
	late := a
	late.Revision = rev(4)
	d.Put(start, late)
	if diff := cmp.Diff([]string{"b"}, viewNames(d)); diff != "" {
		t.Error(diff)
	}
	again := a
	again.ID.StartedMs, again.Revision = 300, rev(5)
	d.Put(start, again)
	if diff := cmp.Diff([]string{"a"}, viewNames(d)); diff != "" {
		t.Error(diff)
	}
}

func TestReportedRestartIsAppliedBeforeItsEntry(t *testing.T) {
	d := New()
	d.Put(start, holding(startedAt("a", 100, 1), 9))
	mark := d.Mark()
	if changes := d.Restarted(ids.Instance{Upstream: "a", StartedMs: 100}); len(changes) > 0 {
		t.Errorf("report of the known instance: %v", changeTexts(changes))
	}
	if changes := d.Restarted(ids.Instance{Upstream: "b", StartedMs: 300}); len(changes) > 0 {
		t.Errorf("report of an unknown upstream: %v", changeTexts(changes))
	}
	changes := d.Restarted(ids.Instance{Upstream: "a", StartedMs: 300})
	if diff := cmp.Diff([]string{"gone a", "seen a"}, changeTexts(changes)); diff != "" {
		t.Error(diff)
	}
	if u := d.View().ByService("s")[0]; !u.Layers.Empty() || u.ID.StartedMs != 300 {
		t.Errorf("upstream %+v, want the later instance without layers", u)
	}
	if changed, _, _, ok := d.View().Since(mark); !ok || len(changed) != 1 || changed[0].ID.StartedMs != 300 {
		t.Errorf("changes since the mark: %+v", changed)
	}
	// This is an entry of the earlier instance that arrives late.
	d.Put(start, holding(startedAt("a", 100, 2), 9))
	if u := d.View().ByService("s")[0]; u.ID.StartedMs != 300 {
		t.Errorf("upstream %+v, want the later instance without layers", u)
	}
}

func TestEntryWithoutAStartTimeKeepsTheKnownInstance(t *testing.T) {
	d := New()
	leaving := upstream("a", 1)
	leaving.Leaving = true
	d.Put(start, leaving)
	if changes := d.Put(start, upstream("a", 2)); len(changes) != 1 || !changes[0].Upstream.Leaving {
		t.Errorf("the upstream is no longer leaving: %v", changeTexts(changes))
	}
	d.Put(start, startedAt("b", 100, 3))
	d.Put(start, upstream("b", 4))
	if u := d.View().Get(ids.Instance{Upstream: "b", StartedMs: 100}); u == nil || u.Revision != rev(4) {
		t.Errorf("an entry without a start time was not applied to the known instance: %+v", u)
	}
}

func TestInvalidEntryRemovesItsUpstreamAtOnce(t *testing.T) {
	d := New()
	d.Put(start, upstream("a", 1))
	d.Put(start, upstream("b", 2))
	d.RegistryRecovered(start, time.Minute)
	if diff := cmp.Diff([]string{"gone a"}, changeTexts(d.Invalidate(start, "a", rev(3)))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"b"}, viewNames(d)); diff != "" {
		t.Error(diff)
	}
	d.Put(start, upstream("a", 4))
	if changes := d.Invalidate(start, "a", rev(3)); len(changes) > 0 {
		t.Errorf("an invalid entry that is older took effect: %v", changeTexts(changes))
	}
	if diff := cmp.Diff([]string{"a", "b"}, viewNames(d)); diff != "" {
		t.Error(diff)
	}
}

func TestEntryOfAnUnconfiguredServiceTakesNoAddress(t *testing.T) {
	d := New()
	d.Put(start, upstream("a", 1))
	odd := upstream("odd", 2)
	odd.Service, odd.Address = "elsewhere", "a:1"
	early := New()
	early.Put(start, upstream("a", 1))
	early.Put(start, odd)
	changes := early.SetServices([]ids.Service{"s"})
	if diff := cmp.Diff([]string{"gone odd", "seen a"}, changeTexts(changes)); diff != "" {
		t.Error(diff)
	}
	d.SetServices([]ids.Service{"s"})
	if changes := d.Put(start, odd); len(changes) > 0 {
		t.Errorf("unexpected changes: %v", changeTexts(changes))
	}
	if diff := cmp.Diff([]string{"a"}, viewNames(d)); diff != "" {
		t.Error(diff)
	}
	if len(d.View().All()) != 2 {
		t.Error("the view lacks the entry of the unconfigured service")
	}
	d.SetServices([]ids.Service{"s", "elsewhere"})
	if diff := cmp.Diff([]string(nil), viewNames(d)); diff != "" {
		t.Error(diff)
	}
	if list := d.View().ByService("elsewhere"); len(list) != 1 {
		t.Errorf("%d upstreams of the service that is now configured, want 1", len(list))
	}
}

func TestUnconfiguredEntryIsDroppedOnRemoval(t *testing.T) {
	d := New()
	d.SetServices([]ids.Service{"s"})
	odd := upstream("odd", 2)
	odd.Service = "elsewhere"
	d.Put(start, odd)
	d.Remove(start, "odd", rev(3))
	if changes := d.SetServices([]ids.Service{"s", "elsewhere"}); len(changes) > 0 {
		t.Errorf("unexpected changes: %v", changeTexts(changes))
	}
}
