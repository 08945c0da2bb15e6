// Package caller serves requests from callers over HTTP. It validates each
// request, refuses an invalid one with a typed reason, passes a valid one on,
// and writes the answer as a stream of tokens or in one piece. It detects
// callers that disconnect, even while their request is waiting.
package caller

import (
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// Admitter accepts valid requests. Its methods are called from many goroutines
// and must not block.
type Admitter interface {
	// Admit accepts a request or refuses it. If it returns nil, the Admitter
	// must end the call by Call.Finish.
	Admit(router.RequestArrived, *call.Call) *outcome.Error
	// CallerGone reports, at most once per request, that the caller of an
	// admitted request disconnected before its answer was complete. It may be
	// called concurrently with or after Call.Finish.
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
	DefaultMaxHeldBytes   = 64 << 20
	DefaultReadTimeout    = 30 * time.Second
	DefaultWriteTimeout   = 5 * time.Second
	DefaultIdleTimeout    = time.Minute
	DefaultMaxTimeout     = 24 * time.Hour
	DefaultProbeInterval  = 100 * time.Millisecond
)

// Options configures a Server. Admitter and NewID are required. Zero values of
// the other fields stand for their defaults.
type Options struct {
	Admitter Admitter
	// Ready reports whether the load balancer should send callers to this node.
	// Nil means always. It is called from any goroutine.
	Ready func() bool
	// NewID returns a request ID that is unique in the fleet. It is called from
	// any goroutine.
	NewID func() ids.Request
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
	// MaxBodyBytes limits the body of a request, and MaxHeaderBytes its request
	// line and headers.
	MaxBodyBytes, MaxHeaderBytes int
	// MaxTokens limits max_tokens. DefaultTokens is used for a request without
	// max_tokens.
	MaxTokens, DefaultTokens int
	// MaxPriority limits priority, which starts at 0.
	MaxPriority int
	// MaxConnections limits the open connections. One beyond it replaces one that has made no
	// progress for longest, if there is one that serves no request.
	MaxConnections int
	// MaxHeldBytes limits what all connections together hold of their requests' bodies and of long
	// answers. It should be several times MaxBodyBytes.
	MaxHeldBytes int64
	// Metrics counts the connections that give way. Nil means that they are not counted.
	Metrics gate.Metrics
	// Call configures the token buffer of each call.
	Call call.Options
	// ReadTimeout limits the time to read one request.
	ReadTimeout time.Duration
	// WriteTimeout limits each write to a caller. It should be shorter than
	// call.Options.StallAfter, so that a blocked caller is detected as gone
	// before it counts as slow.
	WriteTimeout time.Duration
	// IdleTimeout limits the wait for the next request on a connection.
	IdleTimeout time.Duration
	// MaxTimeout limits the timeout that a caller may set for a request.
	MaxTimeout time.Duration
	// ProbeInterval is the time between checks that a waiting caller is still
	// connected.
	ProbeInterval time.Duration
	// Count is called with the reason of each request that this package refused
	// before it reached the Admitter. Nil means that refusals are not counted.
	// It is called from any goroutine.
	Count func(outcome.Reason)
	// Log receives debug messages. The zero Logger writes nothing. Keys and
	// bodies are never logged.
	Log zerolog.Logger
}

// noMetrics counts nothing.
type noMetrics struct{}

// Add implements gate.Metrics.
func (noMetrics) Add(string, int64) {}

// withDefaults returns o with defaults for zero fields.
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
	o.MaxHeldBytes = defaults.Positive(o.MaxHeldBytes, DefaultMaxHeldBytes)
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
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
