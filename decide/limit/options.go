package limit

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/fleet"
)

// Defaults of Options, and of an account's rate (per second) and burst (as a
// multiple of its rate).
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

// Options configures a Limiter. Zero and negative fields select the defaults.
type Options struct {
	// MaxAccounts is the maximum number of accounts with a bucket.
	MaxAccounts int
	// MaxPeers is the maximum number of peers whose digests are kept.
	MaxPeers int
	// TopK is the maximum number of accounts in a digest, sent or received.
	TopK int
	// HoldDown is the time after which a rise of this VM's own demand counts, and
	// twice the maximum age of a peer's digest when it is taken in.
	HoldDown time.Duration
	// RetryMin and RetryMax bound the retry delay that Take returns.
	RetryMin, RetryMax time.Duration
}

// withDefaults returns o with defaults for unset fields.
func withDefaults(o Options) Options {
	o.MaxAccounts = defaults.Positive(o.MaxAccounts, DefaultMaxAccounts)
	o.MaxPeers = defaults.Positive(o.MaxPeers, DefaultMaxPeers)
	o.TopK = defaults.Positive(o.TopK, DefaultTopK)
	o.HoldDown = defaults.Positive(o.HoldDown, DefaultHoldDown)
	o.RetryMin = defaults.Positive(o.RetryMin, DefaultRetryMin)
	o.RetryMax = defaults.Positive(o.RetryMax, DefaultRetryMax)
	return o
}

// limits returns an account's rate and burst, with defaults for unset values.
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
