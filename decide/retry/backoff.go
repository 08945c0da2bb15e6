package retry

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
)

// Bounds of Backoff.
const (
	// BackoffBase is the most a first retry waits.
	BackoffBase = 20 * time.Millisecond
	// BackoffMax is the most any retry waits.
	BackoffMax = time.Second
)

// Backoff gives the wait before the attempt that follows attempt: a time
// drawn evenly from zero to a bound that doubles with each attempt, from
// BackoffBase to BackoffMax. The first attempt is number 1.
func Backoff(attempt ids.Attempt, rng *rand.Rand) time.Duration {
	bound := BackoffBase
	for i := ids.Attempt(1); i < attempt && bound < BackoffMax; i++ {
		bound *= 2
	}
	bound = min(bound, BackoffMax)
	return time.Duration(rng.Int64N(int64(bound) + 1))
}
