package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a limit that is divided among fewer nodes than have granted retries of the window.
func TestSharersAreTheMostNodesListedWithinTheHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type listing struct {
			at    time.Time
			nodes int
		}
		var s Sharers
		var listings []listing
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "list") {
				n := rapid.IntRange(0, 40).Draw(t, "nodes")
				s.SetListed(now, n)
				listings = append(listings, listing{now, n})
			}
			want := 0
			for i, l := range listings {
				// The number holds until the next one is listed, and StartHold longer.
				if last := i+1 == len(listings); last || now.Before(listings[i+1].at.Add(StartHold)) {
					want = max(want, l.nodes)
				}
			}
			if got := s.Count(now); got != want {
				t.Fatalf("%d nodes, want %d: %v", got, want, listings)
			}
		}
	})
}
