package platform

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Mode is how the stand-in answers calls.
type Mode string

// Modes of the stand-in.
const (
	// ModeUp answers.
	ModeUp Mode = "up"
	// ModeDown closes connections without an answer or effect; waiting
	// watches are cut too.
	ModeDown Mode = "down"
	// ModeSlow answers, and has its effect, after DelayMs.
	ModeSlow Mode = "slow"
	// ModeLoseAnswers has its effect, then closes the connection without an
	// answer. Without a method it concerns writes only.
	ModeLoseAnswers Mode = "lose_answers"
	// ModeHang never answers and has no effect.
	ModeHang Mode = "hang"
)

// Control changes how calls are answered, until the next Control.
type Control struct {
	Mode    Mode  `json:"mode"`
	DelayMs int64 `json:"delay_ms,omitempty"`
	// Count, when above zero, is how many calls the mode lasts for.
	Count int `json:"count,omitempty"`
	// Method, when set, narrows the mode to calls of one HTTP method.
	Method string `json:"method,omitempty"`
}

// valid reports whether the mode is one of those above.
func (c Control) valid() bool {
	switch c.Mode {
	case ModeUp, ModeDown, ModeSlow, ModeLoseAnswers, ModeHang:
		return true
	default:
		return false
	}
}

// concerns reports whether the control applies to calls of a method.
func (c Control) concerns(method string) bool {
	if c.Method != "" {
		return c.Method == method
	}
	if c.Mode != ModeLoseAnswers {
		return true
	}
	return method == fasthttp.MethodPut || method == fasthttp.MethodDelete
}

// faults is the mode in force. It is safe for concurrent use.
type faults struct {
	mu sync.Mutex
	// counted is whether the control ends after its Count.
	counted bool
	control Control
	// changed is closed at each change, to free hanging calls and cut watches.
	changed chan struct{}
}

// newFaults starts with ModeUp.
func newFaults() *faults {
	return &faults{control: Control{Mode: ModeUp}, changed: make(chan struct{})}
}

// set puts a control in force.
func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.control = c
	f.counted = c.Count > 0
	close(f.changed)
	f.changed = make(chan struct{})
}

// next gives the control for one call, and a channel closed at the next change.
func (f *faults) next(method string) (Control, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.control
	if !c.concerns(method) {
		return Control{Mode: ModeUp}, f.changed
	}
	if f.counted {
		f.control.Count--
		if f.control.Count == 0 {
			f.control = Control{Mode: ModeUp}
			f.counted = false
		}
	}
	return c, f.changed
}

// down reports whether calls of a method are cut for good at present.
func (f *faults) down(method string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control.Mode == ModeDown && !f.counted && f.control.concerns(method)
}

// changes gives a channel closed at the next change.
func (f *faults) changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
