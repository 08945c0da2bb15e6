package condition

import (
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

var start = time.Unix(1000, 0)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// An upstream that failed must get work again after its suspicion, and a
// suspicion must last longer the more often it fails without an answer.
func TestSuspicionExpiresAndDoubles(t *testing.T) {
	table := New()
	if !table.Failed(at(0), instanceOf("a")) || table.Failed(at(10), instanceOf("a")) {
		t.Error("only the first failure starts a suspicion")
	}
	if !table.Suspected(at(399), instanceOf("a"), "z") || table.Suspected(at(400), instanceOf("a"), "z") {
		t.Error("the first suspicion does not last 400 ms")
	}
	table.Failed(at(500), instanceOf("a"))
	if !table.Suspected(at(1299), instanceOf("a"), "z") || table.Suspected(at(1300), instanceOf("a"), "z") {
		t.Error("the second suspicion does not last 800 ms")
	}
	table.Failed(at(2000), instanceOf("a"))
	if !table.Answered(instanceOf("a"), "z") || table.Suspected(at(2001), instanceOf("a"), "z") {
		t.Error("an answer does not end the suspicion")
	}
	table.Failed(at(3000), instanceOf("a"))
	if table.Suspected(at(3400), instanceOf("a"), "z") {
		t.Error("after an answer the next suspicion is longer than the first")
	}
}

// A zone must be suspected only once several of its upstreams are unreachable,
// with no answer from the zone in between.
func TestZoneIsCutOffWhenSeveralAreUnreachable(t *testing.T) {
	table := New()
	if table.Unreachable(at(0), instanceOf("a"), "z") || table.Unreachable(at(1), instanceOf("a"), "z") {
		t.Error("one unreachable upstream marks its zone as cut off")
	}
	if !table.Unreachable(at(2), instanceOf("b"), "z") {
		t.Error("two unreachable upstreams do not mark their zone as cut off")
	}
	if !table.Suspected(at(3), instanceOf("c"), "z") || table.Suspected(at(3), instanceOf("c"), "y") {
		t.Error("want all upstreams of the zone suspected and none of another zone")
	}
	table.Answered(instanceOf("c"), "z")
	if table.ZoneSuspected(at(4), "z") || table.Unreachable(at(5), instanceOf("a"), "z") {
		t.Error("an answer from the zone does not end its suspicion and reset its count")
	}
}

func TestSlowdownExpires(t *testing.T) {
	table := New()
	table.SetSlowdown(at(0), instanceOf("a"), 12)
	if table.Slowdown(at(9999), instanceOf("a")) != 12 || table.Slowdown(at(10000), instanceOf("a")) != 1 {
		t.Error("a reported slowdown is not used for exactly 10 s")
	}
	table.SetSlowdown(at(0), instanceOf("a"), 0.5)
	if table.Slowdown(at(1), instanceOf("a")) != 1 {
		t.Error("slowdown below 1 is not raised to 1")
	}
}

func TestForgottenUpstreamsAreUnknown(t *testing.T) {
	table := New()
	table.Failed(at(0), instanceOf("a"))
	table.Forget(instanceOf("a"))
	if table.Suspected(at(1), instanceOf("a"), "z") {
		t.Error("a forgotten upstream is suspected")
	}
}

// Refusals despite capacity must exclude an upstream for longer each time,
// whatever it answers to other calls.
func TestRefusalsExtendExclusion(t *testing.T) {
	table := New()
	table.Refused(at(0), instanceOf("a"))
	table.Answered(instanceOf("a"), "z")
	if !table.Suspected(at(399), instanceOf("a"), "z") || table.Suspected(at(400), instanceOf("a"), "z") {
		t.Error("the first exclusion does not last 400 ms regardless of answers")
	}
	table.Refused(at(500), instanceOf("a"))
	if !table.Suspected(at(1299), instanceOf("a"), "z") {
		t.Error("the second exclusion does not last 800 ms")
	}
	table.Refused(at(30_000), instanceOf("a"))
	if table.Suspected(at(30_400), instanceOf("a"), "z") {
		t.Error("a refusal 30 s later lasts longer than the first")
	}
}

// Reports of slow upstreams must be polled regularly until the upstream recovers
// or its slowdown expires. Otherwise a recovered upstream would get no work.
func TestReportsOfSlowUpstreamsAreDueAgain(t *testing.T) {
	table := New()
	table.SetSlowdown(at(0), instanceOf("slow"), 12)
	table.SetSlowdown(at(0), instanceOf("usual"), 1)
	if due := table.ProbesDue(at(1000)); len(due) != 0 {
		t.Errorf("due early: %v", due)
	}
	if due := table.ProbesDue(at(1500)); len(due) != 1 || due[0] != instanceOf("slow") {
		t.Errorf("due: %v", due)
	}
	if due := table.ProbesDue(at(1600)); len(due) != 0 {
		t.Errorf("due twice: %v", due)
	}
	if due := table.ProbesDue(at(3000)); len(due) != 1 {
		t.Error("an upstream that did not report is not due again")
	}
	if due := table.ProbesDue(at(10000)); len(due) != 0 {
		t.Errorf("due after its slowdown expired: %v", due)
	}
	table.SetSlowdown(at(10000), instanceOf("slow"), 1)
	if due := table.ProbesDue(at(12000)); len(due) != 0 {
		t.Errorf("due after it recovered: %v", due)
	}
}

// Once a partition of this node ends, upstreams that were unreachable must get
// work at once.
func TestConnectivityRestoredClearsSuspicion(t *testing.T) {
	table := New()
	for _, id := range []ids.Instance{instanceOf("a"), instanceOf("b")} {
		table.Failed(at(0), id)
		table.Unreachable(at(0), id, "z")
	}
	table.Failed(at(0), instanceOf("crashed"))
	table.ConnectivityRestored()
	if table.Suspected(at(1), instanceOf("a"), "z") || table.Suspected(at(1), instanceOf("other"), "z") || table.ZoneSuspected(at(1), "z") {
		t.Error("an unreachable upstream or its zone is still suspected")
	}
	if !table.Suspected(at(1), instanceOf("crashed"), "z") {
		t.Error("an upstream that failed for another reason is no longer suspected")
	}
	table.Failed(at(2), instanceOf("a"))
	if !table.Suspected(at(2+399), instanceOf("a"), "z") || table.Suspected(at(2+400), instanceOf("a"), "z") {
		t.Error("suspicions from before the reset are still counted")
	}
}

// instanceOf returns the ID of an upstream that does not report its start time.
func instanceOf(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }
