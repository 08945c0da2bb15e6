// Package httpd runs the HTTP server shared by the stand-ins: one listener
// whose open connections can all be closed at once, as a dying process would.
package httpd

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// AnyPort is the address listened on when none is given.
const AnyPort = "127.0.0.1:0"

// maxBody bounds a request's body, in bytes.
const maxBody = 8 << 20

// ListenError tells that an address could not be listened on.
type ListenError struct {
	Listen string
	Err    error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Listen + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Server is one running HTTP server. All methods may be called from any
// goroutine.
type Server struct {
	ln     net.Listener
	done   chan struct{}
	served chan struct{}

	mu     sync.Mutex
	closed bool
	conns  map[*conn]struct{}
}

// Listen listens on an address (empty means AnyPort). Nothing is answered
// until Serve, which must follow. The error is a *ListenError.
func Listen(listen string) (*Server, error) {
	if listen == "" {
		listen = AnyPort
	}
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, &ListenError{Listen: listen, Err: err}
	}
	return &Server{
		ln:     ln,
		done:   make(chan struct{}),
		served: make(chan struct{}),
		conns:  make(map[*conn]struct{}),
	}, nil
}

// Serve answers calls with handler, on goroutines of its own, until Close. It
// is called once.
func (s *Server) Serve(handler fasthttp.RequestHandler) {
	srv := &fasthttp.Server{
		Handler:            handler,
		MaxRequestBodySize: maxBody,
		Logger:             silent{},
	}
	go func() {
		defer close(s.served)
		_ = srv.Serve((*listener)(s))
	}()
}

// Addr is the address listened on, with its port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Done is closed once Close has closed the connections. Handlers that wait
// must watch it.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops listening and closes every connection without a farewell. It
// may be called more than once, and from a handler.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	_ = s.ln.Close()
	for _, c := range open {
		_ = c.Close()
	}
	close(s.done)
	<-s.served
}

// listener is the Server seen as a net.Listener that tracks connections.
type listener Server

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.ln.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: (*Server)(l)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error { return l.ln.Close() }

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.ln.Addr() }

// conn is one tracked connection.
type conn struct {
	net.Conn
	owner *Server
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// silent is a logger that drops everything: cut connections are a stand-in's
// ordinary business.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
