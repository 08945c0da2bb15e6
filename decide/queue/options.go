package queue

import "time"

// Defaults of Options.
const (
	DefaultLength     = 256
	DefaultPerAccount = 128
	DefaultAgeStep    = time.Second
	DefaultRetryMin   = 500 * time.Millisecond
	DefaultRetryMax   = 30 * time.Second
)

// Options bound a Queue. Zero or negative fields take their defaults.
type Options struct {
	// Length is the most requests waiting.
	Length int
	// PerAccount is the most requests of one account waiting.
	PerAccount int
	// AgeStep is the time unserved after which a class rises by one.
	AgeStep time.Duration
	// RetryMin and RetryMax bound RetryAfter.
	RetryMin, RetryMax time.Duration
}

// withDefaults fills in unset options.
func withDefaults(o Options) Options {
	if o.Length <= 0 {
		o.Length = DefaultLength
	}
	if o.PerAccount <= 0 {
		o.PerAccount = DefaultPerAccount
	}
	if o.AgeStep <= 0 {
		o.AgeStep = DefaultAgeStep
	}
	if o.RetryMin <= 0 {
		o.RetryMin = DefaultRetryMin
	}
	if o.RetryMax <= 0 {
		o.RetryMax = DefaultRetryMax
	}
	return o
}
