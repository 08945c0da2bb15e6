// Package connlimit bounds the connections that a listener has open. One beyond the bound replaces
// another: of those on which nothing has arrived the one that was accepted first, or else the one
// on which nothing has arrived for longest. Unlike a listener that stops accepting, it can always
// be reached, however many connections others keep open.
package connlimit

import (
	"container/list"
	"net"
	"sync"
)

// Listener is a net.Listener with a bound. Create it with New.
type Listener struct {
	net.Listener
	max int
	// onReplaced is called for each connection that another one replaces. It may be nil.
	onReplaced func()

	mu sync.Mutex
	// silent holds the connections on which nothing has arrived, in the order in which they were
	// accepted. active holds the others, the least recently used one first.
	silent, active *list.List
}

// New returns a listener of the connections of l, of which at most maxOpen are open. onReplaced is
// called for each one that is replaced; it may be nil.
func New(l net.Listener, maxOpen int, onReplaced func()) *Listener {
	return &Listener{Listener: l, max: maxOpen, onReplaced: onReplaced, silent: list.New(), active: list.New()}
}

// Accept implements net.Listener. The connections have the methods of *net.TCPConn if those of the
// underlying listener are such.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &tracked{listener: l, conn: conn}
	l.add(t)
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &tcpConn{TCPConn: tcp, tracked: t}, nil
	}
	return &plainConn{Conn: conn, tracked: t}, nil
}

// tracked is one open connection.
type tracked struct {
	listener *Listener
	conn     net.Conn
	// in is the list of which place is an element, nil once the connection is closed.
	in    *list.List
	place *list.Element
}

// add adds a connection, in place of another if there are too many.
func (l *Listener) add(t *tracked) {
	l.mu.Lock()
	replaced := l.replaced()
	t.in, t.place = l.silent, l.silent.PushBack(t)
	l.mu.Unlock()
	if replaced == nil {
		return
	}
	// The connection ends whether or not the close fails.
	_ = replaced.conn.Close()
	if l.onReplaced != nil {
		l.onReplaced()
	}
}

// replaced removes and returns the connection that the next one replaces, nil if there is room.
func (l *Listener) replaced() *tracked {
	if l.silent.Len()+l.active.Len() < l.max {
		return nil
	}
	first := l.silent.Front()
	if first == nil {
		first = l.active.Front()
	}
	t := first.Value.(*tracked)
	t.remove()
	return t
}

// remove removes the connection from its list.
func (t *tracked) remove() {
	if t.in != nil {
		t.in.Remove(t.place)
		t.in, t.place = nil, nil
	}
}

// arrived records that bytes have arrived.
func (t *tracked) arrived() {
	l := t.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.in == nil {
		return
	}
	t.remove()
	t.in, t.place = l.active, l.active.PushBack(t)
}

// read reads from the connection.
func (t *tracked) read(p []byte) (int, error) {
	n, err := t.conn.Read(p)
	if n > 0 {
		t.arrived()
	}
	return n, err
}

// close closes the connection.
func (t *tracked) close() error {
	t.listener.mu.Lock()
	t.remove()
	t.listener.mu.Unlock()
	return t.conn.Close()
}

// tcpConn is a tracked TCP connection.
type tcpConn struct {
	*net.TCPConn
	tracked *tracked
}

// Read implements net.Conn.
func (c *tcpConn) Read(p []byte) (int, error) { return c.tracked.read(p) }

// Close implements net.Conn.
func (c *tcpConn) Close() error { return c.tracked.close() }

// plainConn is a tracked connection of another kind.
type plainConn struct {
	net.Conn
	tracked *tracked
}

// Read implements net.Conn.
func (c *plainConn) Read(p []byte) (int, error) { return c.tracked.read(p) }

// Close implements net.Conn.
func (c *plainConn) Close() error { return c.tracked.close() }
