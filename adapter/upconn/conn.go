// Package upconn keeps connections to upstreams and does one HTTP exchange at a
// time on each. Nothing is sent twice by itself: what became of a request that
// met a broken connection is the caller's to judge.
//
// A connection is reused only after a whole answer, framed by its length or by
// chunks, and only while nothing came on it since. Reads are bounded by a watch
// that the user sets, so that a connection which went silent is noticed.
package upconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"mimosaarch.example/core/ids"
)

// Target names the upstream that a connection leads to.
type Target struct {
	ID      ids.Instance
	Address string
}

// DialError tells that no connection could be made; nothing was sent.
type DialError struct {
	Target Target
	// Refused: the VM answered that nothing listens there.
	Refused bool
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Target.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ReadTimeoutError tells that nothing came for longer than the watch allows.
type ReadTimeoutError struct{ Waited time.Duration }

// Error implements error.
func (e *ReadTimeoutError) Error() string { return fmt.Sprintf("nothing came for %v", e.Waited) }

// WaitFunc bounds a wait for bytes. It is asked each time that nothing came for
// the duration it gave before; waited is the whole time so far. It gives how
// long to wait on, or an error that ends the wait.
type WaitFunc func(waited time.Duration) (time.Duration, error)

// Conn is one connection. One goroutine uses it at a time; Abort may be called
// by any.
type Conn struct {
	net    net.Conn
	raw    syscall.RawConn
	r      *bufio.Reader
	target Target
	// usedAt is when its last exchange ended; idleFor how long it may be kept.
	usedAt  time.Time
	idleFor time.Duration
	reused  bool
	watch   WaitFunc
	// failed is why the last read failed.
	failed error
}

// Target tells where the connection leads.
func (c *Conn) Target() Target { return c.target }

// Reused reports whether an exchange was done on it before.
func (c *Conn) Reused() bool { return c.reused }

// Reader gives what comes from the upstream.
func (c *Conn) Reader() *bufio.Reader { return c.r }

// SetWaitFunc sets the watch for the reads that follow.
func (c *Conn) SetWaitFunc(w WaitFunc) { c.watch = w }

// Bind guards the reads that follow, and ends them and any write with ctx, whose
// cause is their error. The returned function ends the tie to ctx; it reports
// whether ctx had not ended the connection before.
func (c *Conn) Bind(ctx context.Context, w WaitFunc) (stop func() bool) {
	c.SetWaitFunc(func(waited time.Duration) (time.Duration, error) {
		if ctx.Err() != nil {
			return 0, context.Cause(ctx)
		}
		return w(waited)
	})
	return context.AfterFunc(ctx, c.Abort)
}

// Read implements io.Reader for the connection's own buffer.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		c.failed = err
	}
	return n, err
}

// ownStall is by how much a wait may end late before it counts for nothing: the
// process itself stood still, and what came meanwhile is not read yet.
const ownStall = 25 * time.Millisecond

// read reads as long as the watch allows.
func (c *Conn) read(p []byte) (int, error) {
	var waited time.Duration
	for {
		wait, err := c.watch(waited)
		if err != nil {
			return 0, err
		}
		began := time.Now()
		if err := c.net.SetReadDeadline(began.Add(wait)); err != nil {
			return 0, err
		}
		n, err := c.net.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if time.Since(began) < wait+ownStall {
			waited += wait
		}
	}
}

// Write sends bytes, within the given time.
func (c *Conn) Write(p []byte, within time.Duration) error {
	if err := c.net.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := c.net.Write(p)
	return err
}

// Abort makes a read or write under way end, and asks its watch again.
func (c *Conn) Abort() {
	// A connection that is closed already needs no deadline.
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

// Close ends the connection.
func (c *Conn) Close() {
	// The peer learns of it either way; there is nobody to tell a failure.
	_ = c.net.Close()
}

// clean reports whether nothing came since the last exchange: no bytes that
// belong to no request, and no end.
func (c *Conn) clean() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	quiet := false
	// Control, unlike Read, does not mind the deadline of the last read.
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}
