package placer

import (
	"testing"
	"time"

	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/routing"
)

// Guards against a node that serves no callers because it plans all the time.
func TestPlanningKeepsToItsShareOfTheTime(t *testing.T) {
	for _, took := range []time.Duration{0, 20 * time.Millisecond, 90 * time.Millisecond, 250 * time.Millisecond} {
		now := time.Unix(0, 0)
		rounds := 0
		p := New(Options{
			Now: func() time.Time { return now },
			Table: func() *routing.Table {
				rounds++
				now = now.Add(took)
				return nil
			},
			View: func() *directory.View { return nil },
		})
		const seconds = 60
		for now.Before(time.Unix(seconds, 0)) {
			p.planAll(t.Context())
			now = now.Add(planInterval)
		}
		if share := (time.Duration(rounds) * took).Seconds() / seconds; share > maxPlanShare+0.01 {
			t.Errorf("rounds of %v take %.2f of the time, want %.2f at most", took, share, maxPlanShare)
		}
		if longest := maxPlanPause + took + planInterval; time.Duration(rounds)*longest < (seconds-1)*time.Second {
			t.Errorf("%d rounds of %v in %d s", rounds, took, seconds)
		}
	}
}
