// Package logring writes a process's log without ever holding the process up.
// Lines wait in a bounded ring for the log's reader; when it is slower, the
// oldest are dropped, and a line says how many.
package logring

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// lines may wait for the reader: some seconds of a busy node's.
	lines = 4096
	// closeWithin bounds the wait for the reader at the end of the process.
	closeWithin = 200 * time.Millisecond
)

// Writer takes lines. Any goroutine may write.
type Writer struct {
	ring    diode.Writer
	dropped atomic.Int64
}

// New makes a Writer before out, which may block.
func New(out io.Writer) *Writer {
	w := &Writer{}
	w.ring = diode.NewWriter(out, lines, 0, func(missed int) {
		w.dropped.Add(int64(missed))
		// Called by the ring's own goroutine, between two lines. A failure of
		// the log's reader can be told nowhere.
		_, _ = fmt.Fprintf(out, `{"level":"warn","event":"log_lines_dropped","lines":%d}`+"\n", missed)
	})
	return w
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(p []byte) (int, error) { return w.ring.Write(p) }

// Dropped counts the lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, as far as the reader takes it in time.
func (w *Writer) Close() {
	done := make(chan struct{})
	go func() {
		_ = w.ring.Close() // closing a ring does not fail
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeWithin):
	}
}
