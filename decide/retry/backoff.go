package retry

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
)

// Limits of Backoff.
const (
	// BackoffBase is the maximum wait before the first retry.
	BackoffBase = 20 * time.Millisecond
	// BackoffMax is the maximum wait before any retry.
	BackoffMax = time.Second
)

// Backoff returns the wait before the next attempt after the given one. It is
// drawn uniformly between zero and a maximum that starts at BackoffBase for
// attempt 1 and doubles with each attempt up to BackoffMax.
func Backoff(attempt ids.Attempt, rng *rand.Rand) time.Duration {
	bound := BackoffBase
	for i := ids.Attempt(1); i < attempt && bound < BackoffMax; i++ {
		bound *= 2
	}
	bound = min(bound, BackoffMax)
	return time.Duration(rng.Int64N(int64(bound) + 1))
}
