package plain

import (
	"sync"
	"time"
)

// Control changes how calls are answered. Absent fields stay as they are.
// Counts are of the next calls; where several are set, they are used up in the
// order of the fields.
type Control struct {
	// Refuse answers 503 with NotStartedHeader, without executing.
	Refuse *int `json:"refuse,omitempty"`
	// DropBefore closes the connection without executing.
	DropBefore *int `json:"drop_before,omitempty"`
	// DropAfter executes, then closes the connection without an answer.
	DropAfter *int `json:"drop_after,omitempty"`
	// Hang neither executes nor answers, until Free.
	Hang *int `json:"hang,omitempty"`
	// HangAfter executes and does not answer, until Free.
	HangAfter *int `json:"hang_after,omitempty"`
	// SlowMs delays every call.
	SlowMs *int64 `json:"slow_ms,omitempty"`
	// Free closes the connections of hanging calls.
	Free bool `json:"free,omitempty"`
}

// kind is what befalls one call.
type kind int

const (
	none kind = iota
	refuse
	dropBefore
	dropAfter
	hang
	hangAfter
	kinds
)

// fault is what befalls one call. freed is closed when hanging calls are freed.
type fault struct {
	kind  kind
	slow  time.Duration
	freed <-chan struct{}
}

// faults are those in force. It is safe for concurrent use.
type faults struct {
	mu    sync.Mutex
	left  [kinds]int
	slow  time.Duration
	freed chan struct{}
}

// newFaults starts without any.
func newFaults() *faults { return &faults{freed: make(chan struct{})} }

// set puts a control in force.
func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := [kinds]*int{
		refuse:     c.Refuse,
		dropBefore: c.DropBefore,
		dropAfter:  c.DropAfter,
		hang:       c.Hang,
		hangAfter:  c.HangAfter,
	}
	for k, n := range counts {
		if n != nil {
			f.left[k] = *n
		}
	}
	if c.SlowMs != nil {
		f.slow = time.Duration(*c.SlowMs) * time.Millisecond
	}
	if c.Free {
		close(f.freed)
		f.freed = make(chan struct{})
	}
}

// next gives the fault for one call and uses it up.
func (f *faults) next() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := fault{slow: f.slow, freed: f.freed}
	for k := range f.left {
		if f.left[k] > 0 {
			f.left[k]--
			out.kind = kind(k)
			break
		}
	}
	return out
}
