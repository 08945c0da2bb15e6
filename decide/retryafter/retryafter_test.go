package retryafter

import (
	"testing"
	"time"
)

const (
	service  = "s"
	deadline = 20 * time.Second
	// interval is the time between two callers.
	interval = 20 * time.Millisecond
)

var start = time.Unix(1000, 0)

// simulate runs a sequence of outages during which callers arrive one after
// another and each retries once. It counts the callers and those that are
// refused twice. advise returns how long a caller waits, and found is called at
// the end of each outage.
func simulate(outages []time.Duration, advise func(now time.Time) time.Duration, found func(now time.Time)) (callers, refusedTwice int) {
	now := start
	for _, outage := range outages {
		end := now.Add(outage)
		for ; now.Before(end); now = now.Add(interval) {
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

// If the advised delay is always 0.8 s, and layers are missing for
// four seconds or more, their retries are refused too, and they give up. Of 602 requests that
// got no answer in time, 129 failed this way.
func TestCallersOfLongOutagesAreServedWhenTheyComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		outages []time.Duration
		// most is the maximum fraction of callers that may be refused twice:
		// those of the first half of an outage that could not be predicted, and
		// none of later outages like it.
		most float64
	}{
		"one":       {[]time.Duration{6 * time.Second}, 0.5},
		"the same":  {[]time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second}, 0.5 / 4},
		"as short":  {[]time.Duration{500 * time.Millisecond, 700 * time.Millisecond}, 0},
		"ever more": {[]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}, 0.5},
	} {
		e := New()
		callers, refused := simulate(c.outages, func(now time.Time) time.Duration {
			return e.ChainMissing(now, service, deadline)
		}, func(now time.Time) { e.ChainFound(now, service) })
		if fraction := float64(refused) / float64(callers); fraction > c.most+float64(interval)/float64(time.Second) {
			t.Errorf("%s: %d of %d callers were refused twice, %.2f of them may be", name, refused, callers, c.most)
		}
	}
}

// The advice must not exceed a third of the caller's remaining time.
func TestAdviceFitsTheTimeLeft(t *testing.T) {
	e := New()
	e.ChainMissing(start, service, deadline)
	now := start.Add(15 * time.Second)
	for _, left := range []time.Duration{0, -time.Second, 300 * time.Millisecond, 6 * time.Second, time.Hour} {
		got := e.ChainMissing(now, service, left)
		if got < 0 || got > max(left/3, 0) {
			t.Errorf("with %v left: advised to wait %v", left, got)
		}
	}
}

// Short outages after a long one must shorten the advice again.
func TestAdviceFollowsTheLatestOutages(t *testing.T) {
	e := New()
	now := start
	for _, outage := range []time.Duration{8 * time.Second, time.Second, time.Second, time.Second, time.Second} {
		e.ChainMissing(now, service, deadline)
		now = now.Add(outage)
		e.ChainFound(now, service)
		now = now.Add(time.Minute)
	}
	if got := e.ChainMissing(now, service, deadline); got > 2*time.Second {
		t.Errorf("advice of %v after four outages of one second", got)
	}
}
