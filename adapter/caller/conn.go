package caller

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"mimosaarch.example/adapter/gate"
)

// Limits of a lingering close.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 4 << 20
)

// listener wraps the connections that it accepts in a conn.
type listener struct {
	net.Listener
	writeTimeout time.Duration
	gate         *gate.Gate
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, writeTimeout: l.writeTimeout}
		if c.hold = l.gate.Open(c.interrupt); c.hold != nil {
			return c, nil
		}
		// The connection ends whether or not the close fails.
		_ = accepted.Close()
	}
}

// conn is a connection from a caller. It sets a deadline for each write instead
// of one for the whole answer, because a streamed answer can take long.
type conn struct {
	net.Conn
	writeTimeout time.Duration
	// requestPending is true if bytes were read after the last write, that is,
	// while a request is being read or processed. Only the goroutine of the
	// connection accesses it.
	requestPending bool
	// linger makes Close first read and discard what the caller still sends.
	linger atomic.Bool
	// hold is what the connection holds of the node's memory.
	hold *gate.Conn
	// interrupted is set once the connection is revoked, closed once it is closed.
	interrupted, closed atomic.Bool
	// delivering is true while a long answer is written.
	delivering atomic.Bool
}

// SetReadDeadline implements net.Conn. Reads of a revoked connection stay ended.
func (c *conn) SetReadDeadline(at time.Time) error {
	if err := c.Conn.SetReadDeadline(at); err != nil || !c.interrupted.Load() {
		return err
	}
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements io.Reader. It reports an EOF within a request as
// io.ErrUnexpectedEOF, because fasthttp would treat some of these as the end of
// an idle connection and send no answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestPending = true
	}
	if c.requestPending && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.requestPending = false
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	if !c.delivering.Load() {
		return c.Conn.Write(p)
	}
	if c.interrupted.Load() {
		return 0, c.hold.Revoked()
	}
	return c.writeInSteps(p)
}

// Close implements io.Closer.
func (c *conn) Close() error {
	if c.linger.CompareAndSwap(true, false) {
		c.discardRest()
	}
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.hold.Close()
	}
	return err
}

// discardRest closes the sending side and reads what the caller still sends, within
// lingerTimeout and maxLingerBytes. Closing a connection with unread bytes
// would reset it, and the caller could lose the answer.
func (c *conn) discardRest() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // the result does not matter
}

// isCallerGone reports whether the caller has closed its sending side or the
// connection has failed. It peeks at the next byte without consuming it, so a
// pipelined request is not lost.
func (c *conn) isCallerGone() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return true
	}
	if errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR) {
		return false
	}
	return peekErr != nil || n == 0
}
