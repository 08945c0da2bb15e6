package claim

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/platformapi"
)

// Defaults of Settings.
const (
	defaultShards        = 64
	defaultWindow        = 5 * time.Millisecond
	defaultSettleWindow  = 200 * time.Millisecond
	defaultQueue         = 1024
	defaultBatch         = 256
	defaultBackground    = 256
	defaultRetention     = 24 * time.Hour
	defaultCacheBytes    = 16 << 20
	defaultBackoffMin    = 10 * time.Millisecond
	defaultBackoffMax    = time.Second
	conflictBackoff      = 2 * time.Millisecond
	maxConflictDoublings = 5
	defaultForwards      = 4096
	defaultForwardTime   = 100 * time.Millisecond
	// forwardShare is the part of an operation's time that another VM may
	// take: one in so many.
	forwardShare = 3
)

// Settings of a Group. Zero values stand for the defaults.
type Settings struct {
	// Shards is the number of objects. All VMs must have the same number,
	// and it must not change while claims are remembered. Default 64.
	Shards int
	// BatchWindow is how long a first operation waits for others. Default 5ms.
	BatchWindow time.Duration
	// SettleWindow is how long settlements wait for another operation, whose
	// write takes them along. A VM that dies meanwhile leaves claims held
	// that were done. Default 200ms.
	SettleWindow time.Duration
	// MaxQueue bounds the claims waiting for one shard. Default 1024.
	MaxQueue int
	// MaxBatch bounds the operations of one update. Default 256.
	MaxBatch int
	// MaxBackground bounds, for one shard, the releases and settlements that
	// go on by themselves; the oldest gives way. Default 256.
	MaxBackground int
	// Retention is given to operations that bring none. Default 24h.
	Retention time.Duration
	// MaxBytes bounds a shard's value; at most platformapi.MaxValue, the
	// default.
	MaxBytes int
	// CacheBytes bounds the values kept for shards without work, by their
	// encoded size. Default 16 MiB.
	CacheBytes int
	// BackoffMin and BackoffMax bound the pause after a failed call.
	// Default 10ms and 1s.
	BackoffMin, BackoffMax time.Duration
	// MaxForwards bounds the operations handed to other VMs at a time, and
	// those of other VMs whose time is not over. Default 4096.
	MaxForwards int
	// ForwardTimeout bounds the time that another VM may take for an operation;
	// a third of the time to its deadline, if less. A settlement gets the
	// SettleWindow on top. Default 100ms.
	ForwardTimeout time.Duration
	// Seed starts the random source of the pauses.
	Seed uint64
}

// withDefaults fills in unset fields.
func (s Settings) withDefaults() Settings {
	s.Shards = defaults.Positive(s.Shards, defaultShards)
	s.BatchWindow = defaults.Positive(s.BatchWindow, defaultWindow)
	s.SettleWindow = defaults.Positive(s.SettleWindow, defaultSettleWindow)
	s.MaxQueue = defaults.Positive(s.MaxQueue, defaultQueue)
	s.MaxBatch = defaults.Positive(s.MaxBatch, defaultBatch)
	s.MaxBackground = defaults.Positive(s.MaxBackground, defaultBackground)
	s.Retention = defaults.Positive(s.Retention, defaultRetention)
	s.MaxBytes = defaults.Positive(s.MaxBytes, platformapi.MaxValue)
	s.CacheBytes = defaults.Positive(s.CacheBytes, defaultCacheBytes)
	s.BackoffMin = defaults.Positive(s.BackoffMin, defaultBackoffMin)
	s.BackoffMax = defaults.Positive(s.BackoffMax, defaultBackoffMax)
	s.MaxForwards = defaults.Positive(s.MaxForwards, defaultForwards)
	s.ForwardTimeout = defaults.Positive(s.ForwardTimeout, defaultForwardTime)
	s.MaxBytes = min(s.MaxBytes, platformapi.MaxValue)
	return s
}
