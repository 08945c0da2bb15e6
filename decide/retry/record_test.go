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
	r := NewRecord(time.Unix(1000, 0), Terms{HeldUntil: time.Unix(900, 0), FullUntil: time.Unix(1001, 0)})
	if over := time.Unix(1, 0).Add(StartHold); !r.leavesNothing(over.Add(-1)) || r.leavesNothing(over) {
		t.Error("a notice of before the restart of the VM does not hold for as long after the restart")
	}
	if got := r.terms(booted); booted.Before(got.HeldUntil) || !got.FullUntil.Equal(time.Unix(1, 0)) {
		t.Errorf("terms of before the restart of the VM: %+v", got)
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
		h := &Record{Services: map[ids.Service]HandedBudget{"s": {Retries: test.retries, Requests: window(slotCount)}}}
		var fault *RecordError
		if err := h.Check(); errors.As(err, &fault) != test.wrong {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

// Guards against a process that takes its own entry for that of a predecessor, one that forgets its
// terms when its entry is written again, and one that grants what others may have granted.
func TestTermsFollowFromTheEntryThatIsReplaced(t *testing.T) {
	now, o := time.Unix(1000, 0), SuccessionOptions{JoinSpread: 6 * time.Second, FirstJoinSpread: time.Second}
	first := o
	first.FirstStart = true
	record := func(t Terms) *Record {
		r := NewRecord(now, t)
		return &r
	}
	stopped := record(Terms{StartingUntil: now.Add(time.Second)})
	stopped.Stopped = true
	for _, test := range []struct {
		name     string
		options  SuccessionOptions
		replaced bool
		previous *Record
		// parts are those at once, after 2 s, StartHold and 20 s.
		parts [4]float64
	}{
		{"first start", first, false, nil, [4]float64{0, usualPart, usualPart, usualPart}},
		{"restart during the first start", first, true, record(Terms{HeldUntil: now.Add(time.Second)}), [4]float64{0, 0, usualPart, usualPart}},
		{"new node", o, false, nil, [4]float64{0, 0, 0, usualPart}},
		{"unknown", o, true, nil, [4]float64{0, 0, usualPart, usualPart}},
		{"malformed", o, true, &Record{Services: map[ids.Service]HandedBudget{"s": {}}}, [4]float64{0, 0, usualPart, usualPart}},
		{"killed", o, true, record(Terms{}), [4]float64{startPart, startPart, usualPart, usualPart}},
		{"killed long after a notice", o, true, record(Terms{FullUntil: now.Add(-StartHold)}), [4]float64{startPart, startPart, usualPart, usualPart}},
		{"killed after a notice", o, true, record(Terms{FullUntil: now.Add(time.Second - StartHold)}), [4]float64{0, 0, usualPart, usualPart}},
		{"killed soon after its start", o, true, record(Terms{StartingUntil: now.Add(time.Second)}), [4]float64{0, 0, usualPart, usualPart}},
		{"stopped", o, true, stopped, [4]float64{startPart, usualPart, usualPart, usualPart}},
	} {
		s := NewSuccession(now, test.options)
		terms, _ := s.Joining(now, test.replaced, test.previous)
		if s.Listed() {
			t.Errorf("%s: decided by an entry that may be the process's own", test.name)
		}
		s.Joined(terms)
		for i, after := range []time.Duration{0, 2 * time.Second, StartHold + time.Millisecond, 20 * time.Second} {
			if got := s.Terms().part(now.Add(after)); got != test.parts[i] {
				t.Errorf("%s: %v of the limit after %v, want %v", test.name, got, after, test.parts[i])
			}
		}
		if again, _ := s.Joining(now.Add(time.Minute), true, nil); again != terms {
			t.Errorf("%s: terms %+v when the entry is written again, %+v before", test.name, again, terms)
		}
	}
	listed := NewSuccession(now, o)
	if !listed.Listed() || listed.Terms().part(now.Add(StartHold)) != usualPart || listed.Terms().part(now.Add(StartHold-1)) != 0 {
		t.Errorf("listed: %+v", listed.Terms())
	}
}

// Guards against notices that come too late, in a row, or from a process that may grant less.
func TestNoticeIsWantedBeforeTheUsualPartIsUsed(t *testing.T) {
	now, claim := time.Unix(1000, 0), Claim{Kind: BrokenStream}
	b := newLoanBudget(100)
	b.SetTerms(Terms{})
	granted, wanted := 0, 0
	for b.Take(now, outcome.UpstreamLost, claim) == Own {
		if granted++; wanted == 0 && b.WantsNotice(now) {
			wanted = granted
		}
	}
	if granted != 60 || wanted != 31 {
		t.Errorf("notice wanted at %d of %d retries, want 31 of 60", wanted, granted)
	}
	noticed := Terms{FullUntil: now.Add(fullGrant)}
	b.SetTerms(noticed)
	if !b.Covers(now, claim) || b.WantsNotice(now) {
		t.Error("after a notice the process does not grant its limit, or wants to give another one at once")
	}
	if due := now.Add(fullGrant - fullRenewal); noticed.wantNotice(due, 0.5) || !noticed.wantNotice(due.Add(1), 0.5) || noticed.wantNotice(due.Add(1), noticeFraction) {
		t.Error("the next notice is wanted at the wrong time")
	}
	b.SetTerms(Terms{StartingUntil: now.Add(time.Second)})
	if b.WantsNotice(now) {
		t.Error("a process wants to give notice that has just started")
	}
}
