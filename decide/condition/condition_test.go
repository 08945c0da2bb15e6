package condition

import (
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestSuspicionEndsAndGrows(t *testing.T) {
	table := New()
	if !table.Failed(at(0), life("a")) || table.Failed(at(10), life("a")) {
		t.Error("only the first failure is news")
	}
	if !table.Suspected(at(399), life("a"), "z") || table.Suspected(at(400), life("a"), "z") {
		t.Error("the first suspicion lasts 400 ms")
	}
	table.Failed(at(500), life("a"))
	if !table.Suspected(at(1299), life("a"), "z") || table.Suspected(at(1300), life("a"), "z") {
		t.Error("the second lasts 800 ms")
	}
	table.Failed(at(2000), life("a"))
	if !table.Answered(life("a"), "z") || table.Suspected(at(2001), life("a"), "z") {
		t.Error("an answer ends it")
	}
	table.Failed(at(3000), life("a"))
	if table.Suspected(at(3400), life("a"), "z") {
		t.Error("after an answer it starts anew")
	}
}

func TestZoneIsCutOffWhenSeveralAreOutOfReach(t *testing.T) {
	table := New()
	if table.Unreachable(at(0), life("a"), "z") || table.Unreachable(at(1), life("a"), "z") {
		t.Error("one upstream alone marks its zone")
	}
	if !table.Unreachable(at(2), life("b"), "z") {
		t.Error("two do not mark it")
	}
	if !table.Suspected(at(3), life("c"), "z") || table.Suspected(at(3), life("c"), "y") {
		t.Error("others of the zone are suspected, and only they")
	}
	table.Answered(life("c"), "z")
	if table.ZoneSuspected(at(4), "z") || table.Unreachable(at(5), life("a"), "z") {
		t.Error("an answer from the zone ends it and the count")
	}
}

func TestPaceIsBelievedForAWhile(t *testing.T) {
	table := New()
	table.SetPace(at(0), life("a"), 12)
	if table.Pace(at(9999), life("a")) != 12 || table.Pace(at(10000), life("a")) != 1 {
		t.Error("pace is not believed for 10 s")
	}
	table.SetPace(at(0), life("a"), 0.5)
	if table.Pace(at(1), life("a")) != 1 {
		t.Error("pace is at least 1")
	}
}

func TestForgottenUpstreamsAreUnknown(t *testing.T) {
	table := New()
	table.Failed(at(0), life("a"))
	table.Forget(life("a"))
	if table.Suspected(at(1), life("a"), "z") {
		t.Error("a forgotten upstream is suspected")
	}
}

func TestOneThatRefusesThoughItHasRoomIsLeftOutEverLonger(t *testing.T) {
	table := New()
	table.Refused(at(0), life("a"))
	table.Answered(life("a"), "z")
	if !table.Suspected(at(399), life("a"), "z") || table.Suspected(at(400), life("a"), "z") {
		t.Error("an answer to another question does not end it; 400 ms do")
	}
	table.Refused(at(500), life("a"))
	if !table.Suspected(at(1299), life("a"), "z") {
		t.Error("the second time is longer")
	}
	table.Refused(at(30_000), life("a"))
	if table.Suspected(at(30_400), life("a"), "z") {
		t.Error("long after, it starts anew")
	}
}

func TestReportsOfSlowUpstreamsAreDueAgain(t *testing.T) {
	table := New()
	table.SetPace(at(0), life("slow"), 12)
	table.SetPace(at(0), life("usual"), 1)
	if due := table.ProbesDue(at(1000)); len(due) != 0 {
		t.Errorf("due early: %v", due)
	}
	if due := table.ProbesDue(at(1500)); len(due) != 1 || due[0] != life("slow") {
		t.Errorf("due: %v", due)
	}
	if due := table.ProbesDue(at(1600)); len(due) != 0 {
		t.Errorf("due twice: %v", due)
	}
	if due := table.ProbesDue(at(3000)); len(due) != 1 {
		t.Error("one whose report did not come is not due again")
	}
	if due := table.ProbesDue(at(10000)); len(due) != 0 {
		t.Errorf("due though no longer believed slow: %v", due)
	}
	table.SetPace(at(10000), life("slow"), 1)
	if due := table.ProbesDue(at(12000)); len(due) != 0 {
		t.Errorf("due though it has recovered: %v", due)
	}
}

func TestWhatWasCutOffIsBelievedOnceReached(t *testing.T) {
	table := New()
	for _, id := range []ids.Life{life("a"), life("b")} {
		table.Failed(at(0), id)
		table.Unreachable(at(0), id, "z")
	}
	table.Failed(at(0), life("crashed"))
	table.ConnectivityRestored()
	if table.Suspected(at(1), life("a"), "z") || table.Suspected(at(1), life("other"), "z") || table.ZoneSuspected(at(1), "z") {
		t.Error("what was behind the cut is still suspected")
	}
	if !table.Suspected(at(1), life("crashed"), "z") {
		t.Error("one that failed for another reason is believed")
	}
	table.Failed(at(2), life("a"))
	if !table.Suspected(at(2+399), life("a"), "z") || table.Suspected(at(2+400), life("a"), "z") {
		t.Error("strikes from before the cut's end count on")
	}
}

// life is the one life of an upstream whose start is not told.
func life(name ids.Upstream) ids.Life { return ids.Life{Upstream: name} }
