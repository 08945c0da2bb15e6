package queue

import (
	"time"

	"mimosaarch.example/core/defaults"
)

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
	o.Length = defaults.Positive(o.Length, DefaultLength)
	o.PerAccount = defaults.Positive(o.PerAccount, DefaultPerAccount)
	o.AgeStep = defaults.Positive(o.AgeStep, DefaultAgeStep)
	o.RetryMin = defaults.Positive(o.RetryMin, DefaultRetryMin)
	o.RetryMax = defaults.Positive(o.RetryMax, DefaultRetryMax)
	return o
}
