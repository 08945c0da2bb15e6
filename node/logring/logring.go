// Package logring writes log lines without blocking the caller. Lines wait in a
// bounded ring buffer for a background goroutine. If the output is slower than
// the callers, the oldest lines are dropped and a log line reports how many.
package logring

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// ringCapacity is the capacity of the ring buffer: a few seconds of output
	// of a busy node.
	ringCapacity = 4096
	// closeTimeout is the maximum time that Close waits for the output.
	closeTimeout = 200 * time.Millisecond
)

// Writer is a non-blocking io.Writer for log lines. It is safe for concurrent
// use.
type Writer struct {
	ring    diode.Writer
	dropped atomic.Int64
}

// New returns a Writer that forwards lines to out from a background goroutine.
// Writes to out may block.
func New(out io.Writer) *Writer {
	w := &Writer{}
	w.ring = diode.NewWriter(out, ringCapacity, 0, func(missed int) {
		w.dropped.Add(int64(missed))
		// The ring buffer's goroutine calls this between two lines. A write
		// error is ignored because there is no other place to report it.
		_, _ = fmt.Fprintf(out, `{"level":"warn","event":"log_lines_dropped","lines":%d}`+"\n", missed)
	})
	return w
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(p []byte) (int, error) { return w.ring.Write(p) }

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close flushes the buffered lines and returns after closeTimeout at the
// latest, even if the output still blocks.
func (w *Writer) Close() {
	done := make(chan struct{})
	go func() {
		_ = w.ring.Close() // always nil
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}
