package retryafter

import (
	"testing"
	"time"
)

const (
	service  = "s"
	deadline = 20 * time.Second
	// between is the time between two callers.
	between = 20 * time.Millisecond
)

var start = time.Unix(1000, 0)

// play has callers arrive while no chain is there for some time, once after the other,
// each with one repeat, and counts those who are refused twice. advise gives the advice.
func play(outages []time.Duration, advise func(now time.Time) time.Duration, found func(now time.Time)) (callers, refusedTwice int) {
	now := start
	for _, lasts := range outages {
		end := now.Add(lasts)
		for ; now.Before(end); now = now.Add(between) {
			callers++
			if now.Add(advise(now)).Before(end) {
				refusedTwice++
			}
		}
		found(now)
		now = now.Add(10 * time.Second)
	}
	return callers, refusedTwice
}

// Callers were told to come back after 0.8 s while layers were missing for four seconds
// and more, came back, and were refused for good: 129 of 602 requests that got no answer
// in time on a day with small cards. The logs showed both refusals of each, and layers
// that nobody held from the first to the last.
func TestCallersOfLongOutagesAreServedWhenTheyComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		outages []time.Duration
		// most is the part of callers who may be refused twice: of one time that
		// nobody could foresee those of its first half, none of later ones like it.
		most float64
	}{
		"one":       {[]time.Duration{6 * time.Second}, 0.5},
		"the same":  {[]time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second}, 0.5 / 4},
		"as short":  {[]time.Duration{500 * time.Millisecond, 700 * time.Millisecond}, 0},
		"ever more": {[]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}, 0.5},
	} {
		b := New()
		callers, refused := play(c.outages, func(now time.Time) time.Duration {
			return b.ChainMissing(now, service, deadline)
		}, func(now time.Time) { b.ChainFound(now, service) })
		if part := float64(refused) / float64(callers); part > c.most+float64(between)/float64(time.Second) {
			t.Errorf("%s: %d of %d callers were refused twice, %.2f of them may be", name, refused, callers, c.most)
		}
	}
}

// Advice that a caller cannot heed within its time is not given.
func TestAdviceFitsTheTimeLeft(t *testing.T) {
	b := New()
	b.ChainMissing(start, service, deadline)
	now := start.Add(15 * time.Second)
	for _, left := range []time.Duration{0, -time.Second, 300 * time.Millisecond, 6 * time.Second, time.Hour} {
		got := b.ChainMissing(now, service, left)
		if got < 0 || got > max(left/3, 0) {
			t.Errorf("with %v left: %v", left, got)
		}
	}
}

// A short time without a chain after long ones brings the advice down again.
func TestAdviceFollowsTheLatestOutages(t *testing.T) {
	b := New()
	now := start
	for _, lasts := range []time.Duration{8 * time.Second, time.Second, time.Second, time.Second, time.Second} {
		b.ChainMissing(now, service, deadline)
		now = now.Add(lasts)
		b.ChainFound(now, service)
		now = now.Add(time.Minute)
	}
	if got := b.ChainMissing(now, service, deadline); got > 2*time.Second {
		t.Errorf("advice of %v after four times of one second", got)
	}
}
