package link

import (
	"sync"
	"time"
)

// Mode is how the relay carries bytes.
type Mode string

// Modes of the relay.
const (
	// ModeOpen carries bytes at once; connections silenced by ModeSilenceOld
	// stay silent.
	ModeOpen Mode = "open"
	// ModeCut resets open connections, and new ones once accepted.
	ModeCut Mode = "cut"
	// ModeRefuse resets open connections and refuses new ones.
	ModeRefuse Mode = "refuse"
	// ModeSilenceOld silences the open connections for good; new ones work.
	ModeSilenceOld Mode = "silence_old"
	// ModeSilence carries nothing on old and new connections while it lasts;
	// what was held back goes on afterwards.
	ModeSilence Mode = "silence"
	// ModeSilenceThere is ModeSilence for what goes to the target only, and
	// ModeSilenceBack for what comes from it.
	ModeSilenceThere Mode = "silence_there"
	ModeSilenceBack  Mode = "silence_back"
	// ModeSlow delays bytes by DelayMs each way and holds each connection and
	// direction to BytesPerSecond.
	ModeSlow Mode = "slow"
)

// Control changes how bytes are carried, until the next Control.
type Control struct {
	Mode    Mode  `json:"mode"`
	DelayMs int64 `json:"delay_ms,omitempty"`
	// BytesPerSecond of zero means no limit.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
}

// UnknownModeError tells that a mode is unknown.
type UnknownModeError struct{ Mode Mode }

// Error implements error.
func (e *UnknownModeError) Error() string { return "unknown mode " + string(e.Mode) }

// valid reports whether the mode is one of those above.
func (c Control) valid() bool {
	switch c.Mode {
	case ModeOpen, ModeCut, ModeRefuse, ModeSilenceOld, ModeSilence, ModeSilenceThere, ModeSilenceBack, ModeSlow:
		return true
	default:
		return false
	}
}

// gate is the control in force. It is safe for concurrent use.
type gate struct {
	mu      sync.Mutex
	control Control
	changed chan struct{}
}

// newGate starts with ModeOpen.
func newGate() *gate {
	return &gate{control: Control{Mode: ModeOpen}, changed: make(chan struct{})}
}

// set puts a control in force.
func (g *gate) set(c Control) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control = c
	close(g.changed)
	g.changed = make(chan struct{})
}

// get gives the control in force and a channel closed at its change.
func (g *gate) get() (Control, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control, g.changed
}

// mode gives the mode in force.
func (g *gate) mode() Mode {
	c, _ := g.get()
	return c.Mode
}

// way is a direction of a connection.
type way int

// Directions: to the target, and back from it.
const (
	there way = iota
	back
)

// silences reports whether a mode holds back what goes a way.
func (m Mode) silences(w way) bool {
	switch m {
	case ModeSilence:
		return true
	case ModeSilenceThere:
		return w == there
	case ModeSilenceBack:
		return w == back
	default:
		return false
	}
}

// pass waits until bytes may be carried a way; false when stop is closed first.
func (g *gate) pass(w way, stop <-chan struct{}) bool {
	for {
		control, changed := g.get()
		if !control.Mode.silences(w) {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// pace gives how long n bytes are delayed, and how long they occupy the link.
func (g *gate) pace(n int) (delay, occupy time.Duration) {
	c, _ := g.get()
	if c.Mode != ModeSlow {
		return 0, 0
	}
	delay = time.Duration(c.DelayMs) * time.Millisecond
	if c.BytesPerSecond > 0 {
		occupy = time.Duration(int64(n) * int64(time.Second) / c.BytesPerSecond)
	}
	return delay, occupy
}
