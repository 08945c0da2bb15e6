package retry

import (
	"errors"
	"math"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Guards against a successor that grants more than what its predecessor's window leaves, less than
// that, or beyond the time at which the predecessor's retries leave it.
func TestSuccessorContinuesTheWindow(t *testing.T) {
	now, claim := time.Unix(1000, 0), Claim{Kind: BrokenStream}
	before, after := newLoanBudget(10), newLoanBudget(10)
	for range 3 {
		before.Take(now, outcome.UpstreamLost, claim)
	}
	lent := before.Lend(now, claim, 2)
	handed, used := before.HandOver(now)
	if _, idle := newLoanBudget(10).HandOver(now); !used || idle {
		t.Errorf("a budget that was used is handed over: %v, one that was not: %v", used, idle)
	}
	after.Adopt(now, handed)
	granted := 0
	for after.Take(now.Add(time.Second), outcome.UpstreamLost, claim) == Own {
		granted++
	}
	if want := 10 - 3 - lent; granted != want {
		t.Errorf("the successor grants %d retries, want %d", granted, want)
	}
	if end := now.Add(BudgetWindow); after.Covers(end, claim) {
		t.Error("a lent retry has left the window before its validity ended")
	}
	if end := now.Add(StartHold + bucketWidth); !after.Covers(end, claim) {
		t.Error("the predecessor's retries do not leave the window")
	}
}

// Guards against retries that leave the window too early because the clock began anew with the VM.
func TestHandoverOfAnEarlierClock(t *testing.T) {
	claim, booted := Claim{Kind: BrokenStream}, time.Unix(5, 0)
	before, after := newLoanBudget(10), newLoanBudget(10)
	for range 10 {
		before.Take(time.Unix(1000, 0), outcome.UpstreamLost, claim)
	}
	handed, _ := before.HandOver(time.Unix(1000, 0))
	after.Adopt(booted, handed)
	if end := booted.Add(BudgetWindow); after.Covers(end, claim) {
		t.Error("retries of before the restart of the VM have left the window")
	}
	from, _ := NewSuccession(booted, SuccessionOptions{}).Joined(booted, true, &Handover{HeldUntilMs: 1_000_000})
	if from.Sub(booted) > StartHold {
		t.Errorf("held for %v after the restart of the VM", from.Sub(booted))
	}
}

func TestMalformedHandoversAreRefused(t *testing.T) {
	window := func(n int, counts ...int) HandedWindow {
		return HandedWindow{Newest: 9, Counts: append(counts, make([]int, n-len(counts))...)}
	}
	for _, test := range []struct {
		name    string
		retries HandedWindow
		wrong   bool
	}{
		{"good", window(slotCount, 3), false},
		{"too short", window(slotCount - 1), true},
		{"too long", window(slotCount + 1), true},
		{"negative count", window(slotCount, -1), true},
		{"huge count", window(slotCount, maxHandedCount+1), true},
		{"time too late", HandedWindow{Newest: math.MaxInt64, Counts: make([]int, slotCount)}, true},
		{"negative time", HandedWindow{Newest: -1, Counts: make([]int, slotCount)}, true},
	} {
		h := &Handover{Services: map[ids.Service]HandedBudget{"s": {Retries: test.retries, Requests: window(slotCount)}}}
		var fault *HandoverError
		if err := h.Check(); errors.As(err, &fault) != test.wrong {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

// Guards against a process that takes its own entry for that of a predecessor, and against a
// second decision when its entry is written again.
func TestSuccessionDecidesOnce(t *testing.T) {
	now, o := time.Unix(1000, 0), SuccessionOptions{ListSpread: 6 * time.Second, FirstListSpread: 3 * time.Second}
	restarted := NewSuccession(now, o)
	if from, decided := restarted.Listed(); !decided || from.Sub(now) != StartHold {
		t.Errorf("listed: %v, %v", from.Sub(now), decided)
	}
	added := NewSuccession(now, o)
	added.Joining()
	if _, decided := added.Listed(); decided {
		t.Error("decided by an entry that may be the process's own")
	}
	if from, decided := added.Joined(now.Add(time.Second), false, nil); !decided || from.Sub(now) != 7*time.Second+StartHold {
		t.Errorf("added: %v, %v", from.Sub(now), decided)
	}
	if _, decided := added.Joined(now, true, nil); decided {
		t.Error("decided again")
	}
	o.FirstStart = true
	if from, _ := NewSuccession(now, o).Joined(now.Add(time.Second), false, nil); from.Sub(now) != time.Second+o.FirstListSpread {
		t.Errorf("first start: %v", from.Sub(now))
	}
	if from, _ := NewSuccession(now, o).Joined(now, true, nil); from.Sub(now) != StartHold {
		t.Errorf("restart during the first start: %v", from.Sub(now))
	}
}
