// Package killable is a listener for stand-ins whose process seems to be killed when it is closed:
// all of its connections end at once.
package killable

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a net.Listener that tracks the connections it accepts. It is safe for concurrent use.
type Listener struct {
	net.Listener
	// closed is set before the first connection is closed, since closing them all takes a while.
	closed atomic.Bool

	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// New returns a Listener with the connections that l accepts.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, open: make(map[net.Conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	l.open[raw] = struct{}{}
	return &conn{Conn: raw, listener: l}, nil
}

// Close ends the listener and all its connections. Nothing is written to any of them once it has
// begun. Further calls have no effect.
func (l *Listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for raw := range l.open {
		_ = raw.Close()
	}
	return err
}

// conn is a connection that its Listener tracks until it is closed.
type conn struct {
	net.Conn
	listener *Listener
}

// Write implements net.Conn. The error is net.ErrClosed once the listener is being closed.
func (c *conn) Write(b []byte) (int, error) {
	if c.listener.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// SetLinger is that of *net.TCPConn, whatever the kind of the connection. 0 makes Close reset it.
func (c *conn) SetLinger(sec int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(sec)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
