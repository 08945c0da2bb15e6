package retry

import "time"

const (
	// bucketWidth is the step in which events are counted for a window.
	bucketWidth = 250 * time.Millisecond
	// buckets cover a BudgetWindow and the one under way.
	buckets = int(BudgetWindow/bucketWidth) + 1
)

// window counts the events of the last BudgetWindow and up to a bucketWidth more.
type window struct {
	counts [buckets]int
	// newest numbers the bucket under way; sum is that of all counts.
	newest int64
	sum    int
}

// advance forgets what is older than the window at now.
func (w *window) advance(now time.Time) {
	at := now.UnixNano() / int64(bucketWidth)
	for passed := min(at-w.newest, int64(buckets)); passed > 0; passed-- {
		i := (at - passed + 1) % int64(buckets)
		w.sum -= w.counts[i]
		w.counts[i] = 0
	}
	w.newest = max(w.newest, at)
}

// add counts an event at now.
func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.newest%int64(buckets)]++
	w.sum++
}
