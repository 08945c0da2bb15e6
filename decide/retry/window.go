package retry

import "time"

const (
	// bucketWidth is the time resolution of a window.
	bucketWidth = 250 * time.Millisecond
	// bucketCount is the number of buckets that cover a BudgetWindow and the
	// current bucket.
	bucketCount = int(BudgetWindow/bucketWidth) + 1
	// aheadBuckets is the number of buckets after the current one. They cover
	// LoanValidity, whatever the position within the current bucket.
	aheadBuckets = int((LoanValidity + bucketWidth - 1) / bucketWidth)
	// slotCount is the number of buckets that a window holds.
	slotCount = bucketCount + aheadBuckets
)

// window counts the events of the last BudgetWindow, of up to one bucketWidth
// before it, and of up to LoanValidity ahead. An event leaves the window no sooner
// than BudgetWindow after its time.
type window struct {
	// counts holds bucket n, counted from the Unix epoch, at index n % slotCount.
	counts [slotCount]int
	// newestBucket is the number of the current bucket. sum is the sum of all counts.
	newestBucket int64
	sum          int
}

// bucketOf returns the number of the bucket of a time.
func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucketWidth) }

// advance clears the buckets that have left the window at now.
func (w *window) advance(now time.Time) {
	current := bucketOf(now)
	for elapsed := min(current-w.newestBucket, int64(slotCount)); elapsed > 0; elapsed-- {
		// The bucket that leaves has the slot of the bucket that is now the last one ahead.
		i := (current - elapsed + 1 + int64(aheadBuckets)) % int64(slotCount)
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
	w.newestBucket = max(w.newestBucket, current)
}

// add counts one event at now.
func (w *window) add(now time.Time) { w.addAt(now, now, 1) }

// addAt counts n events at the given time, which is between now and LoanValidity
// after it.
func (w *window) addAt(now, at time.Time, n int) {
	w.advance(now)
	bucket := min(max(bucketOf(at), w.newestBucket), w.newestBucket+int64(aheadBuckets))
	w.counts[bucket%int64(slotCount)] += n
	w.sum += n
}

// move moves one event from an earlier time, less than BudgetWindow ago, to now.
func (w *window) move(from, now time.Time) {
	w.advance(now)
	i := bucketOf(from) % int64(slotCount)
	if w.newestBucket-bucketOf(from) >= int64(bucketCount) || w.counts[i] == 0 {
		w.add(now)
		return
	}
	w.counts[i]--
	w.counts[w.newestBucket%int64(slotCount)]++
}
