package platform

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Mode is how the stand-in answers calls.
type Mode string

// Modes of the stand-in.
const (
	// ModeUp answers calls normally.
	ModeUp Mode = "up"
	// ModeDown closes the connection of a call without executing it. Without a Count
	// it also cuts the watches that wait.
	ModeDown Mode = "down"
	// ModeSlow executes and answers a call after DelayMs.
	ModeSlow Mode = "slow"
	// ModeLoseAnswers executes a call, then closes the connection without a response.
	// Without a Method it applies only to writes.
	ModeLoseAnswers Mode = "lose_answers"
	// ModeHang neither executes nor answers a call; the next Control closes its
	// connection.
	ModeHang Mode = "hang"
)

// Control sets the mode of the stand-in until the next Control. DelayMs applies to
// ModeSlow.
type Control struct {
	Mode    Mode  `json:"mode"`
	DelayMs int64 `json:"delay_ms,omitempty"`
	// Count, if above zero, is the number of calls after which ModeUp returns.
	Count int `json:"count,omitempty"`
	// Method, if set, limits the mode to calls of one HTTP method.
	Method string `json:"method,omitempty"`
}

// valid reports whether the mode is one of the constants.
func (c Control) valid() bool {
	switch c.Mode {
	case ModeUp, ModeDown, ModeSlow, ModeLoseAnswers, ModeHang:
		return true
	default:
		return false
	}
}

// appliesTo reports whether the mode applies to calls of an HTTP method.
func (c Control) appliesTo(method string) bool {
	if c.Method != "" {
		return c.Method == method
	}
	if c.Mode != ModeLoseAnswers {
		return true
	}
	return method == fasthttp.MethodPut || method == fasthttp.MethodDelete
}

// faults holds the current Control. It is safe for concurrent use.
type faults struct {
	mu sync.Mutex
	// limited means that control ends after control.Count more calls.
	limited bool
	control Control
	// changed is closed and replaced by set. It ends hanging calls and makes the
	// watches check the mode.
	changed chan struct{}
}

// newFaults returns a value with ModeUp.
func newFaults() *faults {
	return &faults{control: Control{Mode: ModeUp}, changed: make(chan struct{})}
}

// set replaces the current Control.
func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.control = c
	f.limited = c.Count > 0
	close(f.changed)
	f.changed = make(chan struct{})
}

// next returns the Control for one call with an HTTP method and decrements its count.
// The channel is closed when set is next called.
func (f *faults) next(method string) (Control, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.control
	if !c.appliesTo(method) {
		return Control{Mode: ModeUp}, f.changed
	}
	if f.limited {
		f.control.Count--
		if f.control.Count == 0 {
			f.control = Control{Mode: ModeUp}
			f.limited = false
		}
	}
	return c, f.changed
}

// isDown reports whether ModeDown applies to all further calls of an HTTP method.
func (f *faults) isDown(method string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control.Mode == ModeDown && !f.limited && f.control.appliesTo(method)
}

// changeSignal returns a channel that is closed when set is next called.
func (f *faults) changeSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
