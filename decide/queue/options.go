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

// Options configures a Queue. Zero and negative fields select the defaults.
type Options struct {
	// Length is the maximum number of waiting requests.
	Length int
	// PerAccount is the maximum number of waiting requests of one account.
	PerAccount int
	// AgeStep is the time without service after which the priority of a class is
	// raised by one.
	AgeStep time.Duration
	// KeepAge is how long a class without waiting requests keeps its time without
	// service if its last request left unserved. Without it, a class whose requests
	// all expire within AgeStep would never be served. Zero means that a class
	// begins anew.
	KeepAge time.Duration
	// RetryMin and RetryMax bound the delay that RetryAfter returns.
	RetryMin, RetryMax time.Duration
}

// withDefaults returns o with defaults for unset fields.
func withDefaults(o Options) Options {
	o.Length = defaults.Positive(o.Length, DefaultLength)
	o.PerAccount = defaults.Positive(o.PerAccount, DefaultPerAccount)
	o.AgeStep = defaults.Positive(o.AgeStep, DefaultAgeStep)
	o.RetryMin = defaults.Positive(o.RetryMin, DefaultRetryMin)
	o.RetryMax = defaults.Positive(o.RetryMax, DefaultRetryMax)
	return o
}
