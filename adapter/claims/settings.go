package claims

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/decide/claim"
)

// Defaults of Settings.
const (
	defaultTimeout          = 300 * time.Millisecond
	defaultCallTimeout      = 150 * time.Millisecond
	defaultStopTimeout      = 2 * time.Second
	defaultRingCapacity     = 4096
	defaultMaxPlatformCalls = 16
	defaultMaxForwards      = 1024
)

// Settings of a Committer. Zero values stand for the defaults.
type Settings struct {
	// Timeout bounds the wait for a claim, and for the confirmation of a
	// release, from Offer on. Default 300ms.
	Timeout time.Duration
	// CallTimeout bounds each call of the platform; it should leave room in
	// the Deadline to settle a lost answer. Default 150ms.
	CallTimeout time.Duration
	// StopTimeout is how long a stopping Committer works to finish what it
	// holds. Default 2s.
	StopTimeout time.Duration
	// RingCapacity is the capacity of the ring of commands. Default 4096.
	RingCapacity int
	// MaxPlatformCalls bounds the platform calls open at once. Default 16.
	MaxPlatformCalls int
	// Peers commit the operations of the shards for which they are preferred;
	// nil when this VM commits all its own by itself.
	Peers Peers
	// MaxForwards bounds the calls to other VMs open at once. Default
	// 1024.
	MaxForwards int
	// Claim sets the shards, the batching and the retention.
	Claim claim.Settings
	// OnProblem is told of objects that can't be used and of commands that
	// lack a part; may be nil. The Committer's goroutine calls it.
	OnProblem func(err error)
	// OnCount is told, by the names of claim.Counts, what was added to a
	// count; may be nil. The Committer's goroutine calls it.
	OnCount func(name string, n int64)
}

// withDefaults fills in unset fields.
func (s Settings) withDefaults() Settings {
	s.Timeout = defaults.Positive(s.Timeout, defaultTimeout)
	s.CallTimeout = defaults.Positive(s.CallTimeout, defaultCallTimeout)
	s.StopTimeout = defaults.Positive(s.StopTimeout, defaultStopTimeout)
	s.RingCapacity = defaults.Positive(s.RingCapacity, defaultRingCapacity)
	s.MaxPlatformCalls = defaults.Positive(s.MaxPlatformCalls, defaultMaxPlatformCalls)
	s.MaxForwards = defaults.Positive(s.MaxForwards, defaultMaxForwards)
	if s.OnCount == nil {
		s.OnCount = func(string, int64) {}
	}
	if s.OnProblem == nil {
		s.OnProblem = func(error) {}
	}
	return s
}
