package engine

import (
	"cmp"
	"sync"

	"mimosaarch.example/core/engineapi"
)

// Control changes how the engine works; absent fields stay as they are.
type Control struct {
	// Leaving refuses new requests; those that run go on.
	Leaving *bool `json:"leaving,omitempty"`
	// FailStageAfter lets that many more steps of this engine succeed, then
	// fails FailStageCount of them (zero: one; negative: all that follow). A
	// negative FailStageAfter ends it.
	FailStageAfter *int `json:"fail_stage_after,omitempty"`
	FailStageCount int  `json:"fail_stage_count,omitempty"`
	// Refuse answers the next starts with CodeBusy.
	Refuse *int `json:"refuse,omitempty"`
	// Corrupt spoils the next streams.
	Corrupt *Corrupt `json:"corrupt,omitempty"`
	// Stall stops all steps of this engine without closing anything.
	Stall *bool `json:"stall,omitempty"`
	// Slow multiplies the engine's rate; 1 is full speed.
	Slow *float64 `json:"slow,omitempty"`
	// Link degrades or mends one link.
	Link *LinkChange `json:"link,omitempty"`
	// CrashOn crashes the engine when a request starts whose prompt contains
	// it; empty ends that.
	CrashOn *string `json:"crash_on,omitempty"`
}

// LinkChange sets a link's figures.
type LinkChange struct {
	To        string  `json:"to"`
	LatencyMs float64 `json:"latency_ms"`
	// Rate is in token steps a second; 0 means no limit.
	Rate float64 `json:"rate"`
	// Cut fails every step over the link.
	Cut bool `json:"cut,omitempty"`
}

// UnknownLinkError tells that a control names a link the engine does not have.
type UnknownLinkError struct{ To string }

// Error implements error.
func (e *UnknownLinkError) Error() string { return "no link to " + e.To }

// faults are those in force. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	leaving bool
	refuse  int
	corrupt Corrupt
	crashOn string
	// failAfter counts the steps that still succeed, failing the steps that
	// then fail, below zero all; failArmed tells that it is in force.
	failArmed          bool
	failAfter, failing int
	// running is closed while the engine is not stalled.
	running chan struct{}
	stalled bool
}

// newFaults starts without any.
func newFaults() *faults {
	f := &faults{running: make(chan struct{})}
	close(f.running)
	return f
}

// set puts a control in force.
func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Leaving != nil {
		f.leaving = *c.Leaving
	}
	if c.FailStageAfter != nil {
		f.failArmed = *c.FailStageAfter >= 0
		f.failAfter = *c.FailStageAfter
		f.failing = cmp.Or(c.FailStageCount, 1)
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

// stall starts or ends a stall. The caller holds the lock.
func (f *faults) stall(on bool) {
	if on == f.stalled {
		return
	}
	f.stalled = on
	if on {
		f.running = make(chan struct{})
		return
	}
	close(f.running)
}

// awaitRunning waits while the engine is stalled; false when stop is closed
// first.
func (f *faults) awaitRunning(stop <-chan struct{}) bool {
	f.mu.Lock()
	running := f.running
	f.mu.Unlock()
	select {
	case <-running:
		return true
	case <-stop:
		return false
	}
}

// isLeaving reports whether new requests are refused.
func (f *faults) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// refuses reports whether this start is to be refused, and counts it.
func (f *faults) refuses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse <= 0 {
		return false
	}
	f.refuse--
	return true
}

// stepFails reports whether this step is to fail, and counts it.
func (f *faults) stepFails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failArmed {
		return false
	}
	if f.failAfter > 0 {
		f.failAfter--
		return false
	}
	if f.failing > 0 {
		f.failing--
		f.failArmed = f.failing > 0
	}
	return true
}

// crashes reports whether a request is to crash the engine.
func (f *faults) crashes(req *engineapi.ChatRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashOn != "" && promptHas(req, f.crashOn)
}

// nextCorruption gives what spoils a stream of so many tokens, nil for nothing.
func (f *faults) nextCorruption(tokens int) *corruption {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.corrupt.Count <= 0 {
		return nil
	}
	f.corrupt.Count--
	return &corruption{kind: f.corrupt.Kind, at: min(f.corrupt.At, tokens-1), last: tokens - 1}
}
