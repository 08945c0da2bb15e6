package configfeed

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/decide/configorder"
)

// Defaults of Settings.
const (
	defaultWatchWait   = 5 * time.Second
	defaultBackoffMin  = 100 * time.Millisecond
	defaultBackoffMax  = 5 * time.Second
	defaultFollowEvery = 4 * time.Second
	defaultRelistEvery = 10 * time.Minute
	defaultRing        = 256
)

// Settings of a Feed. Zero values stand for the defaults.
type Settings struct {
	// WatchWait is how long one watch call waits for changes. It bounds how
	// long a connection that went silent can hide them. Default 5s.
	WatchWait time.Duration
	// BackoffMin and BackoffMax bound the pause after a failed call; it
	// doubles with each failure and is spread by half. Default 100ms and 5s.
	BackoffMin, BackoffMax time.Duration
	// ShouldWatch reports whether this node waits for changes with a watch; one that
	// doesn't hears of them from peers, and asks the platform each FollowEvery
	// without waiting. Nil means that it leads. The Feed's goroutine calls it.
	ShouldWatch func() bool
	// PollInterval is the pace of a node that doesn't lead. Default 4s.
	PollInterval time.Duration
	// RelistInterval is how often the whole list is read again, in case the
	// watch missed a change. Default 10m.
	RelistInterval time.Duration
	// RingCapacity is the capacity of the ring of relayed batches, and of that of
	// questions. Default 256.
	RingCapacity int
	// Seed starts the random source of the pauses.
	Seed uint64
	// Store bounds what is held.
	Store configorder.Settings
	// OnError is told of each refused object and failed call; may be nil.
	// The Feed's goroutines call it; it must not call the Feed.
	OnError func(err error)
}

// withDefaults fills in unset fields.
func (s Settings) withDefaults() Settings {
	s.WatchWait = defaults.Positive(s.WatchWait, defaultWatchWait)
	s.BackoffMin = defaults.Positive(s.BackoffMin, defaultBackoffMin)
	s.BackoffMax = defaults.Positive(s.BackoffMax, defaultBackoffMax)
	s.PollInterval = defaults.Positive(s.PollInterval, defaultFollowEvery)
	if s.ShouldWatch == nil {
		s.ShouldWatch = func() bool { return true }
	}
	s.RelistInterval = defaults.Positive(s.RelistInterval, defaultRelistEvery)
	s.RingCapacity = defaults.Positive(s.RingCapacity, defaultRing)
	if s.OnError == nil {
		s.OnError = func(error) {}
	}
	return s
}
