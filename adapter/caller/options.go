// Package caller takes the callers' requests over HTTP: it checks their form,
// refuses bad ones with a typed reason, hands good ones over, and writes the
// answer back, as a stream of tokens or as a whole. It notices callers that
// go away, also while their requests wait.
package caller

import (
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// Admitter is where checked requests are handed over. Its methods are called from
// many goroutines and must not block.
type Admitter interface {
	// Admit takes the request over, or refuses it at once. After nil the
	// gate ends the call by Call.Finish.
	Admit(router.RequestArrived, *call.Call) *outcome.Error
	// CallerGone tells, at most once a request, that the caller of an admitted
	// request went away before its answer was whole. It may cross with the
	// call's Finish.
	CallerGone(ids.Request)
}

// Defaults of Options.
const (
	DefaultMaxBodyBytes   = 256 << 10
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxTokens      = 4096
	DefaultTokens         = 256
	DefaultMaxPriority    = 4
	DefaultMaxConnections = 8192
	DefaultReadTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 5 * time.Second
	DefaultIdleTimeout    = time.Minute
	DefaultMaxTimeout     = 24 * time.Hour
	DefaultProbeInterval  = 100 * time.Millisecond
)

// Options sets up a Server. Admitter and NewID are required; other zero fields
// take the defaults.
type Options struct {
	Admitter Admitter
	// Ready tells the balancer whether to send callers here; nil means always.
	// Any goroutine calls it.
	Ready func() bool
	// NewID names a request, uniquely in the fleet; any goroutine calls it.
	NewID func() ids.Request
	// Now is the node's clock; nil means time.Now.
	Now func() time.Time
	// MaxBodyBytes is the most bytes of a request's body, MaxHeaderBytes of its head.
	MaxBodyBytes, MaxHeaderBytes int
	// MaxTokens bounds max_tokens; DefaultTokens stands in for a missing one.
	MaxTokens, DefaultTokens int
	// MaxPriority bounds priority, which starts from 0.
	MaxPriority int
	// MaxConnections is the most connections open at once.
	MaxConnections int
	// Call bounds the answer side of each call.
	Call call.Options
	// ReadTimeout bounds the reading of one request.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write to a caller. It is best below the
	// calls' StallAfter, so that a stuck caller counts as gone first.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for a connection's next request.
	IdleTimeout time.Duration
	// MaxTimeout is the longest time remaining a caller may give.
	MaxTimeout time.Duration
	// ProbeInterval is the pace of the check that a waiting caller is there.
	ProbeInterval time.Duration
	// Count is told the reason of each request refused here that never
	// reached the Admitter; nil means not counted. Any goroutine calls it.
	Count func(outcome.Reason)
	// Log takes debug lines; the zero Logger writes nothing. Keys and
	// bodies are never logged.
	Log zerolog.Logger
}

// withDefaults fills the zero fields.
func (o Options) withDefaults() Options {
	o.MaxBodyBytes = defaults.Positive(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxHeaderBytes = defaults.Positive(o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	o.MaxTokens = defaults.Positive(o.MaxTokens, DefaultMaxTokens)
	o.DefaultTokens = min(defaults.Positive(o.DefaultTokens, DefaultTokens), o.MaxTokens)
	if o.Ready == nil {
		o.Ready = func() bool { return true }
	}
	o.MaxPriority = defaults.Positive(o.MaxPriority, DefaultMaxPriority)
	o.MaxConnections = defaults.Positive(o.MaxConnections, DefaultMaxConnections)
	o.ReadTimeout = defaults.Positive(o.ReadTimeout, DefaultReadTimeout)
	o.WriteTimeout = defaults.Positive(o.WriteTimeout, DefaultWriteTimeout)
	o.IdleTimeout = defaults.Positive(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxTimeout = defaults.Positive(o.MaxTimeout, DefaultMaxTimeout)
	o.ProbeInterval = defaults.Positive(o.ProbeInterval, DefaultProbeInterval)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Count == nil {
		o.Count = func(outcome.Reason) {}
	}
	return o
}
