// Package backoff gives waits that double while what is waited for keeps failing.
package backoff

import "time"

// maxDoublings keeps a wait that doubles within its type.
const maxDoublings = 10

// Exponential gives the wait after so many failures before this one: first, doubled with
// each of them, and most at most.
func Exponential(first, most time.Duration, failures int) time.Duration {
	return min(first<<min(failures, maxDoublings), most)
}
