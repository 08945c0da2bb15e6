package load

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// allArrivals returns all arrival times of a schedule.
func allArrivals(s Schedule, seed uint64) []time.Duration {
	a := &arrivals{schedule: s, random: newRandom(seed, arrivalStream)}
	var out []time.Duration
	for {
		at, ok := a.next()
		if !ok {
			return out
		}
		out = append(out, at)
	}
}

// countBetween counts the arrivals between two fractions of a run.
func countBetween(arrivals []time.Duration, run time.Duration, from, to float64) int {
	n := 0
	for _, at := range arrivals {
		if fraction := float64(at) / float64(run); fraction >= from && fraction < to {
			n++
		}
	}
	return n
}

// checkNear fails the test if a count is more than 4 standard deviations (of a
// Poisson distribution) from the expected one.
func checkNear(t *testing.T, what string, got int, want float64) {
	t.Helper()
	if math.Abs(float64(got)-want) > 4*math.Sqrt(want) {
		t.Errorf("%s: %d arrivals, want about %.0f", what, got, want)
	}
}

func TestArrivalsFollowTheShape(t *testing.T) {
	run := 100 * time.Second
	constant := allArrivals(Schedule{Rate: 50, Shape: Constant, Duration: run}, 1)
	checkNear(t, "constant", len(constant), 5000)
	evening := allArrivals(Schedule{Rate: 50, Shape: Evening, Duration: run}, 1)
	checkNear(t, "ramp up", countBetween(evening, run, 0, 0.3), 50*30*0.55)
	checkNear(t, "peak", countBetween(evening, run, 0.3, 0.7), 50*40)
	checkNear(t, "ramp down", countBetween(evening, run, 0.7, 1), 50*30*0.55)
}

func TestSameSeedSameArrivals(t *testing.T) {
	s := Schedule{Rate: 20, Shape: Evening, Duration: 10 * time.Second}
	if d := cmp.Diff(allArrivals(s, 7), allArrivals(s, 7)); d != "" {
		t.Error(d)
	}
	if cmp.Equal(allArrivals(s, 7), allArrivals(s, 8)) {
		t.Error("different seeds drew the same arrivals")
	}
}

// testMix is a mix with every kind of request.
var testMix = Mix{
	Model: "drafts", Plain: "booking-api", PlainShare: 0.3, WriteShare: 0.5, KeyedShare: 0.4,
	PromptWords: Sizes{Min: 10, Max: 200, Mean: 40},
	MaxTokens:   Sizes{Min: 4, Max: 12},
	Accounts:    []Account{{Key: "a", Weight: 8}, {Key: "b", Weight: 2}},
	RunID:       "run",
}

func TestMixDrawsItsShares(t *testing.T) {
	const n = 10000
	s, again := newSource(testMix, 3), newSource(testMix, 3)
	var large, plain, booked, keyed, tokens int
	keys := make(map[string]bool)
	for range n {
		it, same := s.next(), again.next()
		if it.account != same.account || !reflect.DeepEqual(it.chat, same.chat) || !reflect.DeepEqual(it.plain, same.plain) {
			t.Fatalf("the same seed drew %+v and %+v", it, same)
		}
		if it.account == 0 {
			large++
		}
		key := ""
		switch {
		case it.plain != nil:
			plain++
			key = it.plain.Key
			if it.plain.Method == "POST" {
				booked++
			}
		default:
			key = it.chat.Key
			tokens += it.chat.MaxTokens
			if key != "" {
				keyed++
			}
		}
		if key != "" && keys[key] {
			t.Fatalf("key %s was drawn twice", key)
		}
		keys[key] = true
	}
	checkNear(t, "large account", large, 0.8*n)
	checkNear(t, "plain", plain, 0.3*n)
	checkNear(t, "bookings", booked, 0.15*n)
	checkNear(t, "keyed", keyed, 0.7*0.4*n)
	checkNear(t, "tokens", tokens, 0.7*8*n)
}

func TestMeans(t *testing.T) {
	mix := testMix
	mix.PromptWords = Sizes{Min: 65, Max: 65}
	mix.MaxTokens = Sizes{Min: 10, Max: 10}
	m := mix.Means(1, 64)
	if m.Steps != 12 || m.Tokens != 10 || math.Abs(m.ModelShare-0.7) > 0.02 {
		t.Errorf("means are %+v, want 2 steps of the prompt and 10 tokens", m)
	}
}
