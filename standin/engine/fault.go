package engine

import (
	"cmp"
	"sync"

	"mimosaarch.example/core/engineapi"
)

// Control injects faults into an engine. Absent fields leave their fault unchanged.
type Control struct {
	// Leaving makes the engine refuse new requests with CodeLeaving and report that
	// it is leaving; running requests continue.
	Leaving *bool `json:"leaving,omitempty"`
	// FailStageAfter lets this many more steps on this engine succeed, then fails
	// FailStageCount steps with CodeStageFailed. A FailStageCount of zero means one
	// step, a negative one all further steps. A negative FailStageAfter removes the
	// fault.
	FailStageAfter *int `json:"fail_stage_after,omitempty"`
	FailStageCount int  `json:"fail_stage_count,omitempty"`
	// Refuse is how many of the next requests are refused with CodeBusy.
	Refuse *int `json:"refuse,omitempty"`
	// Corrupt corrupts the next streams.
	Corrupt *Corrupt `json:"corrupt,omitempty"`
	// Stall makes all steps of this engine wait until it is false again; connections
	// stay open.
	Stall *bool `json:"stall,omitempty"`
	// Slow is a factor on the engine's step rate; 1 restores full speed.
	Slow *float64 `json:"slow,omitempty"`
	// Link replaces the latency, rate and cut state of one link.
	Link *LinkChange `json:"link,omitempty"`
	// CrashOn crashes the engine when a request starts whose prompt contains this
	// text; the empty text removes the fault.
	CrashOn *string `json:"crash_on,omitempty"`
}

// LinkChange sets the state of the link to engine To. All fields apply: a zero
// LatencyMs removes the latency.
type LinkChange struct {
	To        string  `json:"to"`
	LatencyMs float64 `json:"latency_ms"`
	// Rate is in token steps per second; 0 means no limit.
	Rate float64 `json:"rate"`
	// Cut makes every step over the link fail with CodeLinkFailed.
	Cut bool `json:"cut,omitempty"`
}

// UnknownLinkError reports a Control with a link that the engine does not have. To
// is the engine at its far end.
type UnknownLinkError struct{ To string }

// Error implements error.
func (e *UnknownLinkError) Error() string { return "no link to " + e.To }

// faults holds the injected faults. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	leaving bool
	refuse  int
	corrupt Corrupt
	crashOn string
	// failArmed says that steps are to fail: after the next failAfter steps, the
	// failLeft steps that follow, or all if failLeft is negative.
	failArmed           bool
	failAfter, failLeft int
	// resumed is closed while the engine is not stalled.
	resumed chan struct{}
	stalled bool
}

// newFaults returns a value without any fault.
func newFaults() *faults {
	f := &faults{resumed: make(chan struct{})}
	close(f.resumed)
	return f
}

// set changes the faults that have a field in c.
func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Leaving != nil {
		f.leaving = *c.Leaving
	}
	if c.FailStageAfter != nil {
		f.failArmed = *c.FailStageAfter >= 0
		f.failAfter = *c.FailStageAfter
		f.failLeft = cmp.Or(c.FailStageCount, 1)
	}
	if c.Refuse != nil {
		f.refuse = *c.Refuse
	}
	if c.Corrupt != nil {
		f.corrupt = *c.Corrupt
	}
	if c.CrashOn != nil {
		f.crashOn = *c.CrashOn
	}
	if c.Stall != nil {
		f.stall(*c.Stall)
	}
}

// stall starts or ends a stall of all steps. The caller holds the lock.
func (f *faults) stall(on bool) {
	if on == f.stalled {
		return
	}
	f.stalled = on
	if on {
		f.resumed = make(chan struct{})
		return
	}
	close(f.resumed)
}

// waitWhileStalled blocks while the engine is stalled. It returns false if stop is
// closed first.
func (f *faults) waitWhileStalled(stop <-chan struct{}) bool {
	f.mu.Lock()
	resumed := f.resumed
	f.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-stop:
		return false
	}
}

// isLeaving reports whether the engine refuses new requests with CodeLeaving.
func (f *faults) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// refuseNext reports whether the request that is about to start must be refused, and
// decrements the count of refusals.
func (f *faults) refuseNext() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse <= 0 {
		return false
	}
	f.refuse--
	return true
}

// failNextStep reports whether the step that is about to run must fail, and counts
// the step.
func (f *faults) failNextStep() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failArmed {
		return false
	}
	if f.failAfter > 0 {
		f.failAfter--
		return false
	}
	if f.failLeft > 0 {
		f.failLeft--
		f.failArmed = f.failLeft > 0
	}
	return true
}

// crashesOn reports whether the prompt of a request contains the crash text.
func (f *faults) crashesOn(req *engineapi.ChatRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashOn != "" && promptHas(req, f.crashOn)
}

// nextCorruption returns the corruption of the next stream, which has the given
// number of tokens, or nil if it is not to be corrupted.
func (f *faults) nextCorruption(tokens int) *corruption {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.corrupt.Count <= 0 {
		return nil
	}
	f.corrupt.Count--
	return &corruption{kind: f.corrupt.Kind, at: min(f.corrupt.At, tokens-1), last: tokens - 1}
}
