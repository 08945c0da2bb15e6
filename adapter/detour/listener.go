package detour

import (
	"net"
	"time"
)

// Listen serves the detours that arrive at l, and returns a listener for all other
// connections. It ends when l is closed.
func (s *Server) Listen(l net.Listener) net.Listener {
	out := &splitListener{Listener: l, conns: make(chan net.Conn), ended: make(chan struct{})}
	go out.run(s)
	return out
}

// splitListener is a listener without the connections that are detours.
type splitListener struct {
	net.Listener
	conns chan net.Conn
	// ended is closed after the first error of the underlying listener, which is err.
	ended chan struct{}
	err   error
}

// Accept implements net.Listener.
func (l *splitListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ended:
		return nil, l.err
	}
}

// run accepts connections until the underlying listener fails.
func (l *splitListener) run(s *Server) {
	defer close(l.ended)
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.err = err
			return
		}
		go l.dispatch(s, conn)
	}
}

// dispatch reads the first byte of a connection and passes the connection on.
func (l *splitListener) dispatch(s *Server, conn net.Conn) {
	var first [1]byte
	if conn.SetReadDeadline(time.Now().Add(openTimeout)) != nil {
		_ = conn.Close() // nothing was sent on it
		return
	}
	if _, err := conn.Read(first[:]); err != nil {
		_ = conn.Close() // nothing was sent on it
		return
	}
	if tcp, ok := conn.(tcpConn); ok && first[0] == preface {
		s.serve(tcp)
		return
	}
	select {
	case l.conns <- &startedConn{Conn: conn, first: first[:]}:
	case <-l.ended:
		_ = conn.Close() // nothing was sent on it
	}
}

// startedConn is a connection whose first byte was read.
type startedConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *startedConn) Read(p []byte) (int, error) {
	if len(c.first) == 0 || len(p) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.first)
	c.first = c.first[n:]
	return n, nil
}
