package link

import (
	"sync"
	"time"
)

// Mode is how the relay forwards bytes and treats connections.
type Mode string

// Modes of the relay.
const (
	// ModeOpen forwards bytes without delay. Connections silenced by ModeSilenceOld
	// stay silent.
	ModeOpen Mode = "open"
	// ModeCut resets open connections, and accepts and then resets new ones.
	ModeCut Mode = "cut"
	// ModeRefuse resets open connections and closes the listener, so that new
	// connections are refused.
	ModeRefuse Mode = "refuse"
	// ModeRefuseNew closes the listener, and leaves open connections to the target, as a
	// host does whose process has ended.
	ModeRefuseNew Mode = "refuse_new"
	// ModeSilenceOld forwards nothing more on the connections open at present, in any
	// later mode; new connections work.
	ModeSilenceOld Mode = "silence_old"
	// ModeSilence forwards nothing on any connection while it lasts. The bytes held
	// back are forwarded afterwards.
	ModeSilence Mode = "silence"
	// ModeSilenceThere is ModeSilence only for bytes to the target, ModeSilenceBack
	// only for bytes from the target.
	ModeSilenceThere Mode = "silence_there"
	ModeSilenceBack  Mode = "silence_back"
	// ModeSlow delays bytes by DelayMs in each direction and limits each direction of
	// each connection to BytesPerSecond.
	ModeSlow Mode = "slow"
)

// Control sets the mode of a relay until the next Control. DelayMs and BytesPerSecond
// apply to ModeSlow.
type Control struct {
	Mode    Mode  `json:"mode"`
	DelayMs int64 `json:"delay_ms,omitempty"`
	// BytesPerSecond is the rate limit; zero means no limit.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
}

// UnknownModeError reports a Control with a mode that is none of the constants.
type UnknownModeError struct{ Mode Mode }

// Error implements error.
func (e *UnknownModeError) Error() string { return "unknown mode " + string(e.Mode) }

// valid reports whether the mode is one of the constants.
func (c Control) valid() bool {
	switch c.Mode {
	case ModeOpen, ModeCut, ModeRefuse, ModeRefuseNew, ModeSilenceOld, ModeSilence, ModeSilenceThere, ModeSilenceBack, ModeSlow:
		return true
	default:
		return false
	}
}

// faults holds the current Control. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	control Control
	changed chan struct{} // closed and replaced by set
}

// newFaults returns a value with ModeOpen.
func newFaults() *faults {
	return &faults{control: Control{Mode: ModeOpen}, changed: make(chan struct{})}
}

// set replaces the current Control.
func (f *faults) set(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.control = c
	close(f.changed)
	f.changed = make(chan struct{})
}

// get returns the current Control and a channel that is closed when it is replaced.
func (f *faults) get() (Control, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control, f.changed
}

// mode returns the current mode.
func (f *faults) mode() Mode {
	c, _ := f.get()
	return c.Mode
}

// direction is a direction of a relayed connection.
type direction int

// Directions of a relayed connection.
const (
	toTarget direction = iota
	fromTarget
)

// silences reports whether the mode holds back the bytes of a direction.
func (m Mode) silences(d direction) bool {
	switch m {
	case ModeSilence:
		return true
	case ModeSilenceThere:
		return d == toTarget
	case ModeSilenceBack:
		return d == fromTarget
	default:
		return false
	}
}

// waitWhileSilenced blocks while the mode holds back the bytes of a direction. It
// returns false if stop is closed first.
func (f *faults) waitWhileSilenced(d direction, stop <-chan struct{}) bool {
	for {
		control, changed := f.get()
		if !control.Mode.silences(d) {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// pace returns the delay of n bytes and their transmission time at the rate limit.
// Both are zero in modes other than ModeSlow.
func (f *faults) pace(n int) (delay, transmission time.Duration) {
	c, _ := f.get()
	if c.Mode != ModeSlow {
		return 0, 0
	}
	delay = time.Duration(c.DelayMs) * time.Millisecond
	if c.BytesPerSecond > 0 {
		transmission = time.Duration(int64(n) * int64(time.Second) / c.BytesPerSecond)
	}
	return delay, transmission
}
