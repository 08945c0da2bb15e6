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

// Settings configures a Committer. Zero values stand for the defaults.
type Settings struct {
	// Timeout is the longest time from Offer to the result of a claim, or to
	// the confirmation of a release. Default 300ms.
	Timeout time.Duration
	// CallTimeout limits each platform call. It should be well below Timeout,
	// so that time remains to resolve a write whose answer was lost. Default
	// 150ms.
	CallTimeout time.Duration
	// StopTimeout is how long a stopping Committer continues in order to finish
	// what it has accepted. Default 2s.
	StopTimeout time.Duration
	// RingCapacity is the capacity of the ring of operations. Default 4096.
	RingCapacity int
	// MaxPlatformCalls limits the concurrent platform calls. Default 16.
	MaxPlatformCalls int
	// Peers forwards operations to the VMs preferred for their shards. If it is
	// nil, this VM commits all its operations itself.
	Peers Peers
	// MaxForwards limits the concurrent calls to other VMs. Default 1024.
	MaxForwards int
	// Claim configures the shards, the batching and the retention.
	Claim claim.Settings
	// OnError is called for objects that cannot be decoded and for commands
	// with missing fields. It may be nil. It is called from the goroutine of
	// the Committer.
	OnError func(err error)
	// Count adds n to the counter that has the name of a field of
	// claim.Counts. It may be nil. It is called from the goroutine of the
	// Committer.
	Count func(name string, n int64)
}

// withDefaults returns s with defaults for unset fields.
func (s Settings) withDefaults() Settings {
	s.Timeout = defaults.Positive(s.Timeout, defaultTimeout)
	s.CallTimeout = defaults.Positive(s.CallTimeout, defaultCallTimeout)
	s.StopTimeout = defaults.Positive(s.StopTimeout, defaultStopTimeout)
	s.RingCapacity = defaults.Positive(s.RingCapacity, defaultRingCapacity)
	s.MaxPlatformCalls = defaults.Positive(s.MaxPlatformCalls, defaultMaxPlatformCalls)
	s.MaxForwards = defaults.Positive(s.MaxForwards, defaultMaxForwards)
	if s.Count == nil {
		s.Count = func(string, int64) {}
	}
	if s.OnError == nil {
		s.OnError = func(error) {}
	}
	return s
}
