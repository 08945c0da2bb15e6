package retry

import (
	"fmt"
	"math"
	"time"

	"mimosaarch.example/core/ids"
)

// Record is what the entry of a node in the list of nodes tells the next process of the node.
// Times are those since the start of the VM, in milliseconds.
type Record struct {
	// Epoch is the epoch of the list of nodes in which it was written, and AtMs the time.
	Epoch int64 `json:"epoch"`
	AtMs  int64 `json:"at_ms"`
	// HeldUntilMs, StartingUntilMs and FullUntilMs are the Terms of the process. After
	// FullUntilMs it has granted usualPart at most for StartHold.
	HeldUntilMs     int64 `json:"held_until_ms,omitempty"`
	StartingUntilMs int64 `json:"starting_until_ms,omitempty"`
	FullUntilMs     int64 `json:"full_until_ms,omitempty"`
	// Services holds the budgets of the services with retries or requests in their windows,
	// once the process has stopped as planned. It is nil before.
	Services map[ids.Service]HandedBudget `json:"services,omitempty"`
	// Stopped is true once the process has stopped as planned.
	Stopped bool `json:"stopped,omitempty"`
}

// NewRecord returns the record that a process with the given terms writes now.
func NewRecord(now time.Time, t Terms) Record {
	return Record{AtMs: now.UnixMilli(), HeldUntilMs: millis(t.HeldUntil), StartingUntilMs: millis(t.StartingUntil), FullUntilMs: millis(t.FullUntil.Add(StartHold))}
}

// millis rounds a time up to milliseconds, 0 for times before the start of the VM.
func millis(t time.Time) int64 { return max(t.Add(time.Millisecond-1).UnixMilli(), 0) }

// leavesNothing reports whether the process may have granted more than usualPart of its limit, or
// less only because of what others had granted before.
func (r *Record) leavesNothing(now time.Time) bool {
	return now.Before(r.onClock(now, max(r.HeldUntilMs, r.StartingUntilMs, r.FullUntilMs)))
}

// onClock returns a time of the record on the present clock. If the VM has restarted since the record
// was written, at least the time since then has passed, and the record counts as written at the
// start of the VM.
func (r *Record) onClock(now time.Time, ms int64) time.Time {
	if now.UnixMilli() < r.AtMs {
		ms -= r.AtMs
	}
	return time.UnixMilli(ms)
}

// terms returns the terms of a process that continues the windows.
func (r *Record) terms(now time.Time) Terms {
	return Terms{
		HeldUntil: r.onClock(now, r.HeldUntilMs), StartingUntil: r.onClock(now, r.StartingUntilMs),
		FullUntil: r.onClock(now, r.FullUntilMs).Add(-StartHold),
	}
}

// HandedBudget holds the windows of one Budget.
type HandedBudget struct {
	Retries  HandedWindow `json:"retries"`
	Requests HandedWindow `json:"requests"`
}

// HandedWindow is a window of events.
type HandedWindow struct {
	// Newest is the number of the present bucket of 250 ms since the start of the VM.
	Newest int64 `json:"newest"`
	// Counts holds the events of the buckets, from the oldest to those ahead of the present
	// one that loans use. It has slotCount items.
	Counts []int `json:"counts"`
}

// maxHandedCount bounds each count of a HandedWindow, in events per 250 ms.
const maxHandedCount = 1 << 20

// RecordError reports a Record that no process has written.
type RecordError struct {
	Service ids.Service
	Reason  string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("retry budget of service %q handed over: %s", e.Service, e.Reason)
}

// Check returns a *RecordError if no process can have written r.
func (r *Record) Check() error {
	for name, budget := range r.Services {
		for _, w := range [...]HandedWindow{budget.Retries, budget.Requests} {
			if len(w.Counts) != slotCount || w.Newest < 0 || w.Newest > math.MaxInt64-int64(slotCount) {
				return &RecordError{name, fmt.Sprintf("window of %d buckets up to %d", len(w.Counts), w.Newest)}
			}
			for _, n := range w.Counts {
				if n < 0 || n > maxHandedCount {
					return &RecordError{name, fmt.Sprintf("count %d", n)}
				}
			}
		}
	}
	return nil
}

// HandOver returns the windows for the successor of this process, and whether they hold anything.
// The budget has to grant nothing afterwards, see Terms.
func (b *Budget) HandOver(now time.Time) (handed HandedBudget, used bool) {
	handed = HandedBudget{Retries: b.windowRetries.record(now), Requests: b.windowFirstAttempts.record(now)}
	return handed, b.windowRetries.sum+b.windowFirstAttempts.sum > 0
}

// Adopt continues the windows of the predecessor, which have passed Record.Check. What this
// process has counted itself stays.
func (b *Budget) Adopt(now time.Time, h HandedBudget) {
	b.decay(now)
	b.retries += float64(b.windowRetries.adopt(now, h.Retries, aheadBuckets))
	b.firstAttempts += float64(b.windowFirstAttempts.adopt(now, h.Requests, 0))
}

// record returns the counts of all buckets.
func (w *window) record(now time.Time) HandedWindow {
	w.advance(now)
	r := HandedWindow{Newest: w.newestBucket, Counts: make([]int, slotCount)}
	for i := range r.Counts {
		r.Counts[i] = w.counts[(w.oldestBucket()+int64(i))%int64(slotCount)]
	}
	return r
}

// adopt adds the counts of a record of the same clock and returns how many events are still in
// the window. A VM that has restarted since then has an earlier time, from which its events
// seem to lie ahead: they count in the last of the buckets ahead, or are left out if those may
// have none.
func (w *window) adopt(now time.Time, r HandedWindow, ahead int) (adopted int) {
	w.advance(now)
	oldest := r.Newest - int64(bucketCount) + 1
	for i, n := range r.Counts {
		bucket := oldest + int64(i)
		if bucket > w.newestBucket+int64(ahead) {
			if ahead == 0 {
				continue
			}
			bucket = w.newestBucket + int64(ahead)
		}
		if bucket >= w.oldestBucket() {
			w.counts[bucket%int64(slotCount)] += n
			w.sum += n
			adopted += n
		}
	}
	return adopted
}

// oldestBucket returns the number of the oldest bucket of the window.
func (w *window) oldestBucket() int64 { return w.newestBucket - int64(bucketCount) + 1 }
