package plain

import (
	"sync"
	"time"
)

// Control injects faults. Absent fields leave their fault unchanged. A count applies
// to that many of the next calls, each of which uses up one count: that of the first
// field in the order below which is not yet zero.
type Control struct {
	// Refuse answers a call with status 503 and NotStartedHeader, without executing it.
	Refuse *int `json:"refuse,omitempty"`
	// DropBefore closes the connection without executing the call.
	DropBefore *int `json:"drop_before,omitempty"`
	// DropAfter executes the call, then closes the connection without a response.
	DropAfter *int `json:"drop_after,omitempty"`
	// Hang neither executes nor answers the call; Free closes its connection.
	Hang *int `json:"hang,omitempty"`
	// HangAfter executes the call but does not answer it; Free closes its connection.
	HangAfter *int `json:"hang_after,omitempty"`
	// SlowMs delays every call by this many milliseconds; zero removes the delay.
	SlowMs *int64 `json:"slow_ms,omitempty"`
	// Free closes the connections of all calls that hang at present.
	Free bool `json:"free,omitempty"`
}

// faultKind is the kind of fault of one call.
type faultKind int

// Kinds of faults, named after the fields of Control, in their order.
const (
	noFault faultKind = iota
	refuse
	dropBefore
	dropAfter
	hang
	hangAfter
	faultKindCount // number of kinds
)

// fault is the fault of one call and its delay, which applies to every kind. freed is
// closed when hanging calls are freed.
type fault struct {
	kind  faultKind
	delay time.Duration
	freed <-chan struct{}
}

// faults holds the injected faults. It is safe for concurrent use.
type faults struct {
	mu        sync.Mutex
	remaining [faultKindCount]int // calls left, by kind
	delay     time.Duration
	freed     chan struct{} // closed and replaced when hanging calls are freed
}

// newFaults returns a value without any fault.
func newFaults() *faults { return &faults{freed: make(chan struct{})} }

// set changes the faults that have a field in c.
func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := [faultKindCount]*int{
		refuse:     c.Refuse,
		dropBefore: c.DropBefore,
		dropAfter:  c.DropAfter,
		hang:       c.Hang,
		hangAfter:  c.HangAfter,
	}
	for k, n := range counts {
		if n != nil {
			f.remaining[k] = *n
		}
	}
	if c.SlowMs != nil {
		f.delay = time.Duration(*c.SlowMs) * time.Millisecond
	}
	if c.Free {
		close(f.freed)
		f.freed = make(chan struct{})
	}
}

// next returns the fault of the next call and decrements the count of its kind.
func (f *faults) next() fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := fault{delay: f.delay, freed: f.freed}
	for k := range f.remaining {
		if f.remaining[k] > 0 {
			f.remaining[k]--
			out.kind = faultKind(k)
			break
		}
	}
	return out
}
