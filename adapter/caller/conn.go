package caller

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of a lingering close.
const (
	lingerFor   = time.Second
	lingerBytes = 4 << 20
)

// listener wraps accepted connections.
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

// conn is a caller's connection. Each write has its own deadline, since an
// answer as a whole may take long.
type conn struct {
	net.Conn
	writeTimeout time.Duration
	// pending tells that bytes were read and nothing was written since: a
	// request is under way. Only the connection's own goroutine uses it.
	pending bool
	// linger makes Close take the caller's remaining bytes first.
	linger atomic.Bool
}

// Read implements io.Reader. The end of the caller's bytes within a request is
// unexpected; fasthttp would take some of these for the end between requests
// and give no answer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.pending = true
	}
	if c.pending && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	c.pending = false
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements io.Closer.
func (c *conn) Close() error {
	if c.linger.CompareAndSwap(true, false) {
		c.drain()
	}
	return c.Conn.Close()
}

// drain ends our side and takes what the caller still sends, within bounds:
// closing with bytes unread would reset the connection and lose the answer.
func (c *conn) drain() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerFor)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // any end will do
}

// gone reports whether the caller closed its side or the connection broke. It
// looks at the next byte without taking it, so a request sent ahead stays. A
// caller that only closed its sending side counts as gone.
func (c *conn) gone() bool {
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
