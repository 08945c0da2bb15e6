package limit

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/fleet"
)

// Defaults of Options, and of an account's limits.
const (
	DefaultMaxAccounts = 65536
	DefaultMaxPeers    = 1024
	DefaultTopK        = 64
	DefaultHoldDown    = 2 * time.Second
	DefaultRetryMin    = 100 * time.Millisecond
	DefaultRetryMax    = 30 * time.Second
	DefaultRate        = 10.0
	defaultBurstFactor = 2
)

// Options bound a Limiter. Zero or negative fields take their defaults.
type Options struct {
	// MaxAccounts is the most accounts with a bucket.
	MaxAccounts int
	// MaxPeers is the most peers whose digests are kept.
	MaxPeers int
	// TopK is the most accounts in a digest, sent or taken in.
	TopK int
	// HoldDown is twice the age a peer's digest may have when it is taken in,
	// and the time after which a rise of the own demand counts.
	HoldDown time.Duration
	// RetryMin and RetryMax bound the time to come back.
	RetryMin, RetryMax time.Duration
}

// withDefaults fills in unset options.
func withDefaults(o Options) Options {
	o.MaxAccounts = defaults.Positive(o.MaxAccounts, DefaultMaxAccounts)
	o.MaxPeers = defaults.Positive(o.MaxPeers, DefaultMaxPeers)
	o.TopK = defaults.Positive(o.TopK, DefaultTopK)
	o.HoldDown = defaults.Positive(o.HoldDown, DefaultHoldDown)
	o.RetryMin = defaults.Positive(o.RetryMin, DefaultRetryMin)
	o.RetryMax = defaults.Positive(o.RetryMax, DefaultRetryMax)
	return o
}

// limits gives an account's rate and burst with their defaults.
func limits(account fleet.Account) (rate, burst float64) {
	rate, burst = account.Rate, account.Burst
	if !(rate > 0) {
		rate = DefaultRate
	}
	if !(burst > 0) {
		burst = defaultBurstFactor * rate
	}
	return rate, burst
}
