package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/decide/intake"
)

// Limits of callers' connections.
const (
	// writeTimeout bounds one write to a caller or an upstream.
	writeTimeout = 5 * time.Second
	// The defaults apply to limits that the configuration does not set.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	// firstRequestTimeout is how long a new connection may stay open without a request.
	firstRequestTimeout = 3 * time.Second
	// drainRequestTimeout replaces firstRequestTimeout while the server drains.
	drainRequestTimeout = 200 * time.Millisecond
	// lingerTimeout is how long the rest of a rejected request is still read. Closing
	// earlier could reset the connection and lose the response.
	lingerTimeout = 500 * time.Millisecond
)

// CallerGoneError reports that the connection to the caller is closed or cannot be
// written to.
type CallerGoneError struct {
	// At is when the node noticed.
	At    time.Time
	Cause error
}

// Error implements error.
func (e *CallerGoneError) Error() string { return fmt.Sprintf("caller disconnected: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// callerConn is the connection of one caller. It is used by its own goroutine, except
// for interruptIdle, which any goroutine may call.
type callerConn struct {
	server *Server
	conn   net.Conn
	r      *bufio.Reader
	out    []byte
	// idle is true while no request is being read or served.
	idle atomic.Bool
	// closeAfter closes the connection after the current response.
	closeAfter bool
	// readMu protects reading, which is true while a request is being read, and readUntil, the
	// deadline of reads.
	readMu    sync.Mutex
	reading   bool
	readUntil time.Time
	// requestRead is true once a request was read on the connection.
	requestRead atomic.Bool
	// interrupted is set once the connection is revoked.
	interrupted atomic.Bool
	// hold is what the connection holds of the node's memory.
	hold *gate.Conn
	// bufferBytes is the size of a read buffer larger than the usual one, 0 for the usual one.
	bufferBytes int64
	// receiveBuffer is the size of the kernel's receive buffer, 0 until the server has set it, or
	// kernelReceives.
	receiveBuffer int
}

// reserve waits until the connection may hold n more bytes. The error is a *gate.ShedError.
func (c *callerConn) reserve(n int64) error { return c.hold.Reserve(n) }

// serve answers requests until the connection ends.
func (c *callerConn) serve(ctx context.Context) {
	c.r = c.newReadBuffer()
	for c.awaitRequest() {
		c.idle.Store(false)
		keep := c.serveOne(ctx)
		c.idle.Store(true)
		if !keep || !c.endRequest() {
			return
		}
	}
}

// maxKeptOutputBytes is the largest output buffer that a connection without a request keeps.
const maxKeptOutputBytes = 16 << 10

// endRequest gives back what the last request has held. It reports whether the connection stays
// open.
func (c *callerConn) endRequest() bool {
	c.shrinkBuffer()
	if cap(c.out) > maxKeptOutputBytes {
		c.out = nil
	}
	c.hold.KeepOnly(c.bufferBytes)
	return c.hold.Enter(intake.Waiting)
}

// interrupt ends reads and writes in progress, since the connection is revoked.
func (c *callerConn) interrupt() {
	c.interrupted.Store(true)
	// A connection that is closed already needs no deadline.
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// setReadDeadline sets the deadline of reads, or an earlier one if the node stops, unless the
// connection is revoked. The error is then a *gate.ShedError.
func (c *callerConn) setReadDeadline(at time.Time) error {
	if err := c.applyReadDeadline(at); err != nil {
		return err
	}
	if !c.interrupted.Load() {
		return nil
	}
	return c.hold.Revoked()
}

// applyReadDeadline sets the deadline of reads as far as the plan of a stop allows.
func (c *callerConn) applyReadDeadline(at time.Time) error {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.readUntil = c.server.readEnd(at)
	return c.conn.SetReadDeadline(c.readUntil)
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection is to be closed instead.
func (c *callerConn) awaitRequest() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	idle := c.limits().IdleTimeout
	closing := c.server.closing.Load()
	if !c.requestRead.Load() {
		// The first request of a connection is expected even while the server drains.
		idle = min(idle, firstRequestTimeout)
		c.idle.Store(false)
		if closing {
			idle = drainRequestTimeout
		}
	}
	if c.setReadDeadline(time.Now().Add(idle)) != nil {
		return false
	}
	if c.requestRead.Load() && closing {
		return false
	}
	_, err := c.r.Peek(1)
	return err == nil
}

// interruptIdle ends the wait for a next request. A request of which a part has come is read on.
func (c *callerConn) interruptIdle() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.reading && (c.idle.Load() || !c.requestRead.Load()) {
		// A connection that is closed already needs no deadline.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// serveOne reads and answers one request. It reports whether the connection stays open.
func (c *callerConn) serveOne(ctx context.Context) bool {
	req := fasthttp.AcquireRequest()
	defer releaseRequest(req)
	c.beginReading()
	body, status, err := c.readRequest(req)
	c.endReading()
	if err != nil {
		c.refuseUnreadable(req, status, err)
		return false
	}
	if !c.hold.Enter(intake.Serving) {
		shed := c.hold.Revoked()
		c.refuseUnreadable(req, bodyErrorStatus(shed), shed)
		return false
	}
	c.recordRead()
	c.closeAfter = req.Header.ConnectionClose() || !req.Header.IsHTTP11()
	x := newExchange(c, req, body)
	x.serve(ctx)
	return !c.closeAfter
}

// recordRead records that a request was read on the connection, or that none will be.
func (c *callerConn) recordRead() {
	if !c.requestRead.Swap(true) {
		c.server.overload.unread.Add(-1)
	}
}

// gone returns the error of a caller that has just been found to have left.
func (c *callerConn) gone(cause error) *CallerGoneError {
	return &CallerGoneError{At: c.server.opts.Now(), Cause: cause}
}

// watchDisconnect calls cancel with a *CallerGoneError when the caller closes its side.
// The returned function ends the watch. Bytes of next requests stay in the buffer, and the watch
// goes on behind them until the buffer is full.
func (c *callerConn) watchDisconnect(cancel context.CancelCauseFunc) (stop func()) {
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		cancel(c.gone(err))
		return func() {}
	}
	done := make(chan struct{})
	var stopped atomic.Bool
	go func() {
		defer close(done)
		if err := c.readAhead(); err != nil && !stopped.Load() {
			cancel(c.gone(err))
		}
	}()
	return func() {
		stopped.Store(true)
		// A connection that is closed already needs no deadline.
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
		<-done
	}
}

// readAhead reads into the buffer until a read fails or the buffer is full. The error is a
// *gate.ShedError if the node has no memory for what the caller has sent.
func (c *callerConn) readAhead() error {
	for {
		for c.r.Buffered() < c.r.Size() {
			if _, err := c.r.Peek(c.r.Buffered() + 1); err != nil {
				return err
			}
		}
		grown, err := c.growBuffer()
		if err != nil {
			return err
		}
		if !grown {
			c.setReceiveBuffer(receiveBytes)
			return c.reserve(unreadBytes)
		}
	}
}

// checkPresent returns a *CallerGoneError if the caller has closed the connection and all its
// bytes have been read. Unlike the watch it does not depend on when its goroutine runs.
func (c *callerConn) checkPresent() error {
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return c.gone(err)
	}
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, readErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return c.gone(err)
	case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EINTR), readErr == nil && n > 0:
		return nil
	case readErr == nil:
		return c.gone(io.EOF)
	}
	return c.gone(readErr)
}
