// Package upstream runs the attempts that the router decides on. Each attempt uses
// a new TCP connection for one request and closes it afterwards. The package never
// sends a request twice, so a failed dial proves that nothing was sent, and the
// phase of an attempt says what is known after the first write.
//
// HTTP messages are written and read with fasthttp's codecs. Its clients are used
// only for load polls, since they resend some requests on their own.
package upstream

import (
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/defaults"
)

// Defaults of Options.
const (
	DefaultMaxHeadBytes  = 16 << 10
	DefaultMaxEventBytes = 32 << 10
	DefaultMaxBodyBytes  = 1 << 20
	DefaultReorderWindow = 16
	DefaultCancelTimeout = time.Second
)

// Defaults for a router.Send without timeouts of its own.
const (
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultStallAfter     = 5 * time.Second
)

// Options configures a Runner. Zero fields take the defaults.
type Options struct {
	// MaxHeadBytes limits the status line and headers of a response.
	MaxHeadBytes int
	// MaxEventBytes limits one event of a stream.
	MaxEventBytes int
	// MaxBodyBytes limits the body of a plain response or a refusal.
	MaxBodyBytes int
	// ReorderWindow is the maximum number of out-of-order tokens that an attempt
	// buffers.
	ReorderWindow int
	// CancelTimeout bounds the call that cancels a request at its engine.
	CancelTimeout time.Duration
	// Epochs holds the known epochs of the engines; nil creates one for this
	// Runner. Without a known epoch a cancel never proves that a request did not
	// run.
	Epochs *Epochs
	// CountStale is called with the number of tokens and end markers of other
	// attempts that an attempt ignored; nil means that they are not counted. It is
	// called from any goroutine.
	CountStale func(n int)
	// Log receives a debug line for each ended attempt; the zero Logger discards
	// it.
	Log zerolog.Logger
}

// withDefaults returns o with the zero fields set to their defaults.
func (o Options) withDefaults() Options {
	o.MaxHeadBytes = defaults.Positive(o.MaxHeadBytes, DefaultMaxHeadBytes)
	o.MaxEventBytes = defaults.Positive(o.MaxEventBytes, DefaultMaxEventBytes)
	o.MaxBodyBytes = defaults.Positive(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.ReorderWindow = defaults.Positive(o.ReorderWindow, DefaultReorderWindow)
	o.CancelTimeout = defaults.Positive(o.CancelTimeout, DefaultCancelTimeout)
	if o.Epochs == nil {
		o.Epochs = NewEpochs(DefaultEpochCapacity)
	}
	if o.CountStale == nil {
		o.CountStale = func(int) {}
	}
	return o
}
