package retry

import "time"

const (
	// bucketWidth is the time resolution of a window.
	bucketWidth = 250 * time.Millisecond
	// bucketCount is the number of buckets that cover a BudgetWindow and the
	// current bucket.
	bucketCount = int(BudgetWindow/bucketWidth) + 1
)

// window counts the events of the last BudgetWindow, and of up to one
// bucketWidth before it.
type window struct {
	counts [bucketCount]int
	// newestBucket is the number of the current bucket, counted from the Unix
	// epoch. sum is the sum of all counts.
	newestBucket int64
	sum          int
}

// advance clears the buckets that have left the window at now.
func (w *window) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketWidth)
	for elapsed := min(current-w.newestBucket, int64(bucketCount)); elapsed > 0; elapsed-- {
		i := (current - elapsed + 1) % int64(bucketCount)
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
	w.newestBucket = max(w.newestBucket, current)
}

// add counts one event at now.
func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.newestBucket%int64(bucketCount)]++
	w.sum++
}
