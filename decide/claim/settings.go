package claim

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/platformapi"
)

// Defaults of Settings and fixed limits.
const (
	defaultShards        = 64
	defaultBatchWindow   = 5 * time.Millisecond
	defaultSettleWindow  = 200 * time.Millisecond
	defaultMaxQueue      = 1024
	defaultMaxBatch      = 256
	defaultMaxBackground = 256
	defaultRetention     = 24 * time.Hour
	defaultCacheBytes    = 16 << 20
	defaultBackoffMin    = 10 * time.Millisecond
	defaultBackoffMax    = time.Second
	// The first of several conflicts in a row causes no pause. After the n-th,
	// the pause is random; its maximum is conflictBackoff doubled n-1 times, at
	// most maxConflictDoublings times.
	conflictBackoff       = 2 * time.Millisecond
	maxConflictDoublings  = 5
	defaultMaxForwards    = 4096
	defaultForwardTimeout = 100 * time.Millisecond
	// forwardTimeDivisor limits the time for which another VM may try to commit
	// an operation to a third of the time left. The rest is left for a local
	// commit.
	forwardTimeDivisor = 3
)

// Settings configure a Group. Zero fields take their defaults.
type Settings struct {
	// Shards is the number of shards, each stored as one object. It must be the
	// same on all VMs and must not change while claims are stored. Default 64.
	Shards int
	// BatchWindow is how long the first operation of a batch waits for others.
	// Default 5ms.
	BatchWindow time.Duration
	// SettleWindow is how long a Settle waits for other operations to share its
	// write. If the VM dies in that time, the claim stays held although its
	// request is done. Default 200ms.
	SettleWindow time.Duration
	// MaxQueue is the maximum number of operations that wait for one shard.
	// Default 1024.
	MaxQueue int
	// MaxBatch is the maximum number of operations per update. Default 256.
	MaxBatch int
	// MaxBackground is the maximum number of releases and settlements per shard
	// that run in the background; beyond it the oldest are dropped. Default 256.
	MaxBackground int
	// Retention is how long a key is remembered if the operation does not
	// specify it. Default 24h.
	Retention time.Duration
	// MaxBytes is the maximum encoded size of a shard's value. The default and
	// the upper limit are platformapi.MaxValueBytes.
	MaxBytes int
	// CacheBytes is the encoded size of all cached values above which idle
	// shards drop theirs. Default 16 MiB.
	CacheBytes int
	// BackoffMin and BackoffMax are the first and the longest pause after failed
	// calls. Each pause is shortened at random by up to half. Defaults 10ms and
	// 1s.
	BackoffMin, BackoffMax time.Duration
	// MaxForwards is the maximum number of open forwards to other VMs, and also
	// of unexpired operations accepted from other VMs. Default 4096.
	MaxForwards int
	// ForwardTimeout is the maximum time for which another VM may try to commit
	// an operation, and at most a third of the time to the operation's deadline.
	// For operations without deadline, such as a Settle, SettleWindow is added.
	// Default 100ms.
	ForwardTimeout time.Duration
	// Seed seeds the random source of the pauses.
	Seed uint64
}

// withDefaults returns the settings with defaults in unset fields.
func (s Settings) withDefaults() Settings {
	s.Shards = defaults.Positive(s.Shards, defaultShards)
	s.BatchWindow = defaults.Positive(s.BatchWindow, defaultBatchWindow)
	s.SettleWindow = defaults.Positive(s.SettleWindow, defaultSettleWindow)
	s.MaxQueue = defaults.Positive(s.MaxQueue, defaultMaxQueue)
	s.MaxBatch = defaults.Positive(s.MaxBatch, defaultMaxBatch)
	s.MaxBackground = defaults.Positive(s.MaxBackground, defaultMaxBackground)
	s.Retention = defaults.Positive(s.Retention, defaultRetention)
	s.MaxBytes = defaults.Positive(s.MaxBytes, platformapi.MaxValueBytes)
	s.CacheBytes = defaults.Positive(s.CacheBytes, defaultCacheBytes)
	s.BackoffMin = defaults.Positive(s.BackoffMin, defaultBackoffMin)
	s.BackoffMax = defaults.Positive(s.BackoffMax, defaultBackoffMax)
	s.MaxForwards = defaults.Positive(s.MaxForwards, defaultMaxForwards)
	s.ForwardTimeout = defaults.Positive(s.ForwardTimeout, defaultForwardTimeout)
	s.MaxBytes = min(s.MaxBytes, platformapi.MaxValueBytes)
	return s
}
