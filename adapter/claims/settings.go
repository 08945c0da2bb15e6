package claims

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/decide/claim"
)

// Defaults of Settings.
const (
	defaultDeadline    = 300 * time.Millisecond
	defaultCallTimeout = 150 * time.Millisecond
	defaultStopTimeout = 2 * time.Second
	defaultRing        = 4096
	defaultParallel    = 16
	defaultForwards    = 1024
)

// Settings of a Committer. Zero values stand for the defaults.
type Settings struct {
	// Deadline bounds the wait for a claim, and for the confirmation of a
	// release, from Offer on. Default 300ms.
	Deadline time.Duration
	// CallTimeout bounds each call of the platform; it should leave room in
	// the Deadline to settle a lost answer. Default 150ms.
	CallTimeout time.Duration
	// StopTimeout is how long a stopping Committer works to finish what it
	// holds. Default 2s.
	StopTimeout time.Duration
	// Ring is the capacity of the ring of commands. Default 4096.
	Ring int
	// Parallel bounds the platform calls open at once. Default 16.
	Parallel int
	// Peers commit the operations of the shards for which they are preferred;
	// nil when this VM commits all its own by itself.
	Peers Peers
	// ParallelForwards bounds the calls to other VMs open at once. Default
	// 1024.
	ParallelForwards int
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
	s.Deadline = defaults.Positive(s.Deadline, defaultDeadline)
	s.CallTimeout = defaults.Positive(s.CallTimeout, defaultCallTimeout)
	s.StopTimeout = defaults.Positive(s.StopTimeout, defaultStopTimeout)
	s.Ring = defaults.Positive(s.Ring, defaultRing)
	s.Parallel = defaults.Positive(s.Parallel, defaultParallel)
	s.ParallelForwards = defaults.Positive(s.ParallelForwards, defaultForwards)
	if s.OnCount == nil {
		s.OnCount = func(string, int64) {}
	}
	if s.OnProblem == nil {
		s.OnProblem = func(error) {}
	}
	return s
}
