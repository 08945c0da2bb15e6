// Package upconn keeps connections to upstreams and runs one HTTP exchange at a
// time on each. It never sends a request twice: after a failed exchange the caller
// decides whether the request may have run.
//
// A connection is reused only if its last response was complete, had a length or
// chunked encoding, and no bytes have arrived since. A WaitFunc set by the user
// bounds each read, so that a connection on which nothing arrives is detected.
package upconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mimosaarch.example/core/ids"
)

// Target identifies an upstream instance and the address to connect to.
type Target struct {
	ID      ids.Instance
	Address string
}

// DialError is returned if no connection could be opened. Nothing was sent.
type DialError struct {
	Target Target
	// Refused reports that the VM rejected the connection: nothing listens on the
	// port.
	Refused bool
	// NoPath reports that this node has lost its own links and that no other node could
	// connect for it, so that nothing is known about the upstream.
	NoPath bool
	Cause  error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Target.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ReadTimeoutError is returned by a WaitFunc to end a read on which no bytes
// arrived for the time Waited.
type ReadTimeoutError struct{ Waited time.Duration }

// Error implements error.
func (e *ReadTimeoutError) Error() string { return fmt.Sprintf("nothing came for %v", e.Waited) }

// WaitFunc bounds a read. It is called before the first wait and each time a wait
// ends without bytes or is interrupted; waited is the total time waited so far, without
// interrupted waits. It returns how long to wait next, or an error that ends the read.
type WaitFunc func(waited time.Duration) (time.Duration, error)

// Conn is one connection to an upstream. It is used by one goroutine at a time, but
// Close and Interrupt may be called from any.
type Conn struct {
	conn   net.Conn
	raw    syscall.RawConn
	r      *bufio.Reader
	target Target
	// now is the clock of the pool.
	now func() time.Time
	// lastUsedAt is when the last exchange ended, and idleTimeout how long the
	// connection may then be kept for reuse.
	lastUsedAt  time.Time
	idleTimeout time.Duration
	reused      bool
	waitFunc    WaitFunc
	// exchanges is the number of exchanges that have begun.
	exchanges int
	// bound is the context of the present exchange, nil between exchanges.
	bound atomic.Pointer[context.Context]
	// closedAt is when the connection was closed here.
	closedAt atomic.Pointer[time.Time]
	// onClose is called once, when the connection is closed here.
	onClose func()
	// readErr is the error of the last failed read.
	readErr error
	// peekErr is the error of the connection that IsQuiet was told of. Reads after it return io.EOF.
	peekErr error
	// writes are the writes of requests.
	writes Writes

	// mu orders Interrupt and the deadlines of reads, so that neither undoes the other.
	mu sync.Mutex
	// interrupted is true from an Interrupt until the next call of the WaitFunc begins.
	interrupted bool
}

// Target returns the upstream that the connection leads to.
func (c *Conn) Target() Target { return c.target }

// Reused reports whether the connection carried an exchange before.
func (c *Conn) Reused() bool { return c.reused }

// FirstExchange reports whether no exchange has begun on the connection before the present
// one. The upstream may have closed a connection that was used before because it was idle.
func (c *Conn) FirstExchange() bool { return c.exchanges <= 1 }

// Reader returns the reader for bytes from the upstream.
func (c *Conn) Reader() *bufio.Reader { return c.r }

// SetWaitFunc sets the function that bounds the reads that follow.
func (c *Conn) SetWaitFunc(f WaitFunc) { c.waitFunc = f }

// Bind sets the WaitFunc for the reads that follow, and closes the connection when ctx ends.
// A deadline in the past would not do: the next read or write sets another one. Reads and writes
// then return the cause of ctx. The returned function releases the connection from ctx and
// returns true if ctx had not closed it before.
func (c *Conn) Bind(ctx context.Context, f WaitFunc) (stop func() bool) {
	c.SetWaitFunc(f)
	c.exchanges++
	c.bound.Store(&ctx)
	unbind := context.AfterFunc(ctx, c.Close)
	return func() bool {
		c.bound.Store(nil)
		return unbind()
	}
}

// ended returns the cause of the end of the context of the present exchange, nil if it has not
// ended.
func (c *Conn) ended() error {
	if ctx := c.bound.Load(); ctx != nil && (*ctx).Err() != nil {
		return context.Cause(*ctx)
	}
	return nil
}

// Read implements io.Reader for the buffered reader of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		err = cmp.Or(c.ended(), err)
		c.readErr = err
	}
	return n, err
}

// maxTimerDelay is how late a read deadline may fire for its wait to count. After a
// longer delay the process itself was paused, and bytes that arrived meanwhile may
// still be unread.
const maxTimerDelay = 25 * time.Millisecond

// read reads some bytes, or waits for them as long as the WaitFunc allows.
func (c *Conn) read(p []byte) (int, error) {
	var waited time.Duration
	for {
		if err := c.ended(); err != nil {
			return 0, err
		}
		c.clearInterrupt()
		wait, err := c.waitFunc(waited)
		if err != nil {
			return 0, err
		}
		began := time.Now()
		interrupted, err := c.setReadDeadline(began.Add(wait))
		if err != nil {
			return 0, err
		}
		if interrupted {
			continue
		}
		n, err := c.conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !c.isInterrupted() && time.Since(began) < wait+maxTimerDelay {
			waited += wait
		}
	}
}

// Interrupt makes a read that waits call its WaitFunc at once. If no read waits, the next
// one calls it as it begins. Bytes are neither lost nor reordered, and the interrupted wait
// does not count as waited time. An interrupt that arrives after the exchange has ended
// costs a later exchange on the connection one more call of its WaitFunc at most.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	// An error means that the connection is closed, which ends the read as well.
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// clearInterrupt marks earlier interrupts as handled, since the WaitFunc is about to be
// called.
func (c *Conn) clearInterrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = false
}

// isInterrupted reports whether the connection was interrupted since the last call of the
// WaitFunc began.
func (c *Conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// setReadDeadline sets the deadline of the next read, unless the connection was interrupted
// since the last call of the WaitFunc began.
func (c *Conn) setReadDeadline(at time.Time) (interrupted bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return true, nil
	}
	return false, c.conn.SetReadDeadline(at)
}

// Write sends p within the given time. It sends nothing once the context of the exchange has
// ended.
func (c *Conn) Write(p []byte, within time.Duration) error {
	return c.WriteParts([][]byte{p}, within)
}

// WriteParts sends parts in order, like Write.
func (c *Conn) WriteParts(parts [][]byte, within time.Duration) error {
	return c.writes.Do(func() error { return c.writeParts(parts, within) })
}

// StartWrite sends parts in order in its own goroutine, for an upstream that may respond before it
// has read them. No other write may follow in the exchange.
func (c *Conn) StartWrite(parts [][]byte, within time.Duration) {
	c.writes.Go(func() error { return c.writeParts(parts, within) })
}

// Written reports whether all that was to be sent has been sent.
func (c *Conn) Written() bool { return c.writes.Done() }

// writeParts sends parts in order.
func (c *Conn) writeParts(parts [][]byte, within time.Duration) error {
	if err := c.ended(); err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	for _, p := range parts {
		if _, err := c.conn.Write(p); err != nil {
			return cmp.Or(c.ended(), err)
		}
	}
	return nil
}

// checkEnd returns an error unless the upstream has ended its bytes in order, after a read has
// returned io.EOF.
func (c *Conn) checkEnd() error {
	if end, ok := c.conn.(EndConfirmer); ok && end.EndConfirmed() {
		return nil
	}
	return cmp.Or(c.peekErr, c.writes.CheckEnd(c.raw))
}

// ClosedAt returns when the connection was closed here, by the clock of its pool, zero if it was
// not.
func (c *Conn) ClosedAt() time.Time {
	if at := c.closedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Close closes the connection, which ends reads and writes in progress.
func (c *Conn) Close() {
	at := c.now()
	if c.closedAt.CompareAndSwap(nil, &at) {
		c.onClose()
	}
	// The connection is gone either way, so the error does not matter.
	_ = c.conn.Close()
}

// isStale reports whether the connection has turned out to be dead while it was idle.
func (c *Conn) isStale() bool {
	s, ok := c.conn.(Staleness)
	return ok && s.Stale()
}

// IsQuiet reports whether the connection is still open and no bytes have arrived that were
// not read. It must not be called during a Read, except by the WaitFunc.
func (c *Conn) IsQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	quiet := false
	// Unlike Read, Control ignores the deadline of the last read.
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		if !quiet {
			c.peekErr = cmp.Or(c.peekErr, err)
		}
	})
	return err == nil && quiet
}
