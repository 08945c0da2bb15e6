package configfeed

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/decide/configorder"
)

// Defaults of Settings.
const (
	defaultWatchWait      = 5 * time.Second
	defaultBackoffMin     = 100 * time.Millisecond
	defaultBackoffMax     = 5 * time.Second
	defaultPollInterval   = 4 * time.Second
	defaultRelistInterval = 10 * time.Minute
	defaultRingCapacity   = 256
)

// Settings configures a Feed. Zero values select the defaults.
type Settings struct {
	// WatchWait is how long one watch waits for changes. It bounds how long a broken
	// connection can hide changes. Default 5s.
	WatchWait time.Duration
	// BackoffMin and BackoffMax limit the delay after a failed call. The delay doubles
	// with each failure in a row, and a random part of up to half is subtracted from it.
	// Defaults 100ms and 5s.
	BackoffMin, BackoffMax time.Duration
	// ShouldWatch reports whether this node watches the platform. A node that does not
	// gets changes from its peers, and polls the platform every PollInterval without
	// waiting for a change. Nil means that the node always watches. It is called only from
	// the goroutine that calls the platform.
	ShouldWatch func() bool
	// PollInterval is the time between polls of a node that does not watch. Default 4s.
	PollInterval time.Duration
	// RelistInterval is the time after which all objects are listed again, in case the
	// watch has missed a change. Default 10m.
	RelistInterval time.Duration
	// RingCapacity is the capacity of the queue of relayed batches and of the queue of
	// queries. Default 256.
	RingCapacity int
	// Seed seeds the random source of the delays.
	Seed uint64
	// Store configures the store that holds the objects.
	Store configorder.Settings
	// OnError is called for each rejected object and each failed call. It may be nil.
	// The Feed's goroutines call it, so it must not call the Feed.
	OnError func(err error)
}

// withDefaults returns s with defaults in place of unset fields.
func (s Settings) withDefaults() Settings {
	s.WatchWait = defaults.Positive(s.WatchWait, defaultWatchWait)
	s.BackoffMin = defaults.Positive(s.BackoffMin, defaultBackoffMin)
	s.BackoffMax = defaults.Positive(s.BackoffMax, defaultBackoffMax)
	s.PollInterval = defaults.Positive(s.PollInterval, defaultPollInterval)
	if s.ShouldWatch == nil {
		s.ShouldWatch = func() bool { return true }
	}
	s.RelistInterval = defaults.Positive(s.RelistInterval, defaultRelistInterval)
	s.RingCapacity = defaults.Positive(s.RingCapacity, defaultRingCapacity)
	if s.OnError == nil {
		s.OnError = func(error) {}
	}
	return s
}
