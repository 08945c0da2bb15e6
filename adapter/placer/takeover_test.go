package placer

import (
	"strings"
	"testing"
	"time"
)

// These tests guard against slow takeovers while engines leave one after the other.
// When 8 of 39 engines left or were replaced as planned within ten seconds, callers
// got a third of the requested rate for the next 20 s: engines were moved only
// after 6 s without a departure in the zone, but one left every second or two. One
// zone lacked four layers for 22 s although one of its engines held only layers
// that its neighbours held too. The streams of the departed engines then met the
// single engine left with their layers, which had no room for them.

// minDrainTime is how long an engine serves at least after it starts to leave.
const minDrainTime = 2 * time.Second

// takeoverOrders returns the orders sent within the given time after the only
// engine with layers 6 to 10 of a zone leaves. The layers of another engine are
// redundant.
func takeoverOrders(t *testing.T, leave func(*fleet), result Result, within time.Duration) []string {
	t.Helper()
	var orders []string
	f := newFleet()
	runPlacer(t, f, true, func() {
		f.engine("a", 0, 6)
		f.engine("twin", 0, 6)
		f.engine("b", 6, 10)
		f.engineIn("y", "whole-a", 0, 6)
		f.engineIn("y", "whole-b", 6, 10)
		time.Sleep(2 * time.Second)
		f.takeOrders()
		f.setResult(result)
		leave(f)
		time.Sleep(within)
		orders = f.takeOrders()
	})
	return orders
}

// setResult sets the result of orders.
func (f *fleet) setResult(r Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result = r
}

// An engine with redundant layers loads the layers of a leaving engine while that
// one still serves.
func TestSpareEngineTakesOverBeforeOneThatLeavesHasEnded(t *testing.T) {
	for how, leave := range map[string]func(*fleet){
		"says so":  func(f *fleet) { f.announceLeave("b") },
		"vanishes": func(f *fleet) { f.remove("b") },
		"others left just before": func(f *fleet) {
			f.engineIn("z", "other", 0, 6)
			f.announceLeave("other")
			time.Sleep(minDrainTime)
			f.remove("other")
			f.announceLeave("b")
		},
	} {
		got := takeoverOrders(t, leave, Begun, minDrainTime/2)
		if len(got) != 1 || !strings.Contains(got[0], " 6-10 ") || strings.HasPrefix(got[0], "b ") {
			t.Errorf("%s: orders %v, want one of those with layers 0 to 6 to load 6 to 10", how, got)
		}
	}
}

// An order without an answer may have been lost or may be carried out late. It is
// repeated once its effect should be visible.
func TestTakeoverIsRepeatedIfItsOrderIsLost(t *testing.T) {
	// 4 of the model's 10 layers load in 4 s.
	expiry := time.Duration(loadTimeFactor*float64(4*time.Second)) + loadTimeSlack
	got := takeoverOrders(t, func(f *fleet) { f.announceLeave("b") }, Unknown, minDrainTime+expiry)
	if len(got) < 2 || strings.Count(strings.Join(got, "\n"), " 6-10 ") != len(got) {
		t.Errorf("orders %v, want more than one to load 6 to 10", got)
	}
}

// The next lease holder finishes a takeover that the previous holder began or did
// not get to.
func TestNextHolderFinishesTakeover(t *testing.T) {
	for _, begun := range []bool{true, false} {
		f := newFleet()
		f.engine("a", 0, 6)
		f.engine("twin", 0, 6)
		f.engine("b", 6, 10)
		runPlacer(t, f, true, func() {
			time.Sleep(time.Second)
			if begun {
				f.announceLeave("b")
				time.Sleep(minDrainTime / 2)
			}
		})
		if got := f.takeOrders(); len(got) > 0 != begun {
			t.Fatalf("begun %v: orders %v of the first node", begun, got)
		}
		f.announceLeave("b")
		runPlacer(t, f, true, func() {
			time.Sleep(minDrainTime)
			if got := f.takeOrders(); len(got) != 1 || !strings.Contains(got[0], " 6-10 ") {
				t.Errorf("begun %v: orders %v of the next node, want one to load 6 to 10", begun, got)
			}
		})
	}
}
