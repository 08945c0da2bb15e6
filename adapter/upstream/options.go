// Package upstream runs the attempts that the router decides on: one fresh
// TCP connection for each, used for one request and closed after it. Nothing
// is ever sent again by this package, so a failed dial proves that nothing
// was sent, and whatever comes after the first write is told by the exact
// phase. The HTTP messages are written and read by fasthttp's codecs; its
// clients are not used, since they send some requests again by themselves.
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

// Bounds of a send that brings none.
const (
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultStallAfter     = 5 * time.Second
)

// Options bounds a Runner. Zero fields take the defaults.
type Options struct {
	// MaxHeadBytes is the most bytes of an answer's status line and headers.
	MaxHeadBytes int
	// MaxEventBytes is the most bytes of one event of a stream.
	MaxEventBytes int
	// MaxBodyBytes is the most bytes of a plain answer or a refusal.
	MaxBodyBytes int
	// ReorderWindow is the most tokens of an attempt held back until their turn.
	ReorderWindow int
	// CancelTimeout bounds the call that cancels a request at its engine.
	CancelTimeout time.Duration
	// Epochs remembers the engines' process lives; nil makes one of its own.
	// Without a note of an engine, no cancel there proves "not run".
	Epochs *Epochs
	// CountStale is told the tokens and end markers of other attempts that
	// an attempt dropped; nil means not counted. Any goroutine may call it.
	CountStale func(n int)
	// Log takes debug lines of ended attempts; the zero Logger writes nothing.
	Log zerolog.Logger
}

// withDefaults fills the zero fields.
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
