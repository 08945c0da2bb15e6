// Package backoff computes exponential backoff delays.
package backoff

import "time"

// maxDoublings bounds the shift, so that the delay does not overflow.
const maxDoublings = 10

// Exponential returns the delay after the given number of earlier failures:
// initial, doubled for each of them, but at most limit.
func Exponential(initial, limit time.Duration, failures int) time.Duration {
	return min(initial<<min(failures, maxDoublings), limit)
}
