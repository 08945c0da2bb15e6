package caller

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
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
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, writeTimeout: l.writeTimeout}, nil
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
	return c.Conn.Write(p)
}

// Close implements io.Closer.
func (c *conn) Close() error {
	if c.linger.CompareAndSwap(true, false) {
		c.discardRest()
	}
	return c.Conn.Close()
}

// discardRest closes the sending side and reads what the caller still sends, within
// lingerTimeout and maxLingerBytes. Closing a connection with unread bytes
// would reset it, and the caller could lose the answer.
func (c *conn) discardRest() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
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
