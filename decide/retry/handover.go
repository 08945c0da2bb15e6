package retry

import (
	"fmt"
	"math"
	"time"

	"mimosaarch.example/core/ids"
)

// Handover is what a process that stops as planned leaves to its successor on the same VM.
type Handover struct {
	// Epoch is the epoch of the list of nodes in which it was written.
	Epoch int64 `json:"epoch"`
	// HeldUntilMs is the time since the start of the VM, in milliseconds, before which the
	// process itself granted nothing.
	HeldUntilMs int64 `json:"held_until_ms"`
	// Services holds the budgets of the services with retries or requests in their windows.
	Services map[ids.Service]HandedBudget `json:"services"`
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

// HandoverError reports a Handover that no process has written.
type HandoverError struct {
	Service ids.Service
	Reason  string
}

// Error implements error.
func (e *HandoverError) Error() string {
	return fmt.Sprintf("retry budget of service %q handed over: %s", e.Service, e.Reason)
}

// heldUntil returns the time before which the process that wrote h granted nothing.
func (h *Handover) heldUntil() time.Time { return time.UnixMilli(h.HeldUntilMs) }

// Check returns a *HandoverError if no process can have written h.
func (h *Handover) Check() error {
	for name, budget := range h.Services {
		for _, w := range [...]HandedWindow{budget.Retries, budget.Requests} {
			if len(w.Counts) != slotCount || w.Newest < 0 || w.Newest > math.MaxInt64-int64(slotCount) {
				return &HandoverError{name, fmt.Sprintf("window of %d buckets up to %d", len(w.Counts), w.Newest)}
			}
			for _, n := range w.Counts {
				if n < 0 || n > maxHandedCount {
					return &HandoverError{name, fmt.Sprintf("count %d", n)}
				}
			}
		}
	}
	return nil
}

// HandOver returns the windows for the successor of this process, and whether they hold anything.
// The budget has to grant nothing afterwards, see SetHold.
func (b *Budget) HandOver(now time.Time) (handed HandedBudget, used bool) {
	handed = HandedBudget{Retries: b.windowRetries.record(now), Requests: b.windowFirstAttempts.record(now)}
	return handed, b.windowRetries.sum+b.windowFirstAttempts.sum > 0
}

// Adopt continues the windows of the predecessor, which have passed Handover.Check. What this
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
