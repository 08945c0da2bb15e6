// Package httpd is the HTTP server of the stand-ins. It can close its listener and all
// open connections at once, like a killed process.
package httpd

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// AnyPort is the default listen address: a free port on the loopback interface.
const AnyPort = "127.0.0.1:0"

// maxBodyBytes limits the body of a request, in bytes.
const maxBodyBytes = 8 << 20

// ListenError reports that opening a listener on address Listen failed with Err.
type ListenError struct {
	Listen string
	Err    error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Listen + ": " + e.Err.Error() }

// Unwrap returns Err.
func (e *ListenError) Unwrap() error { return e.Err }

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	ln        net.Listener
	done      chan struct{}
	serveDone chan struct{}

	mu     sync.Mutex
	closed bool
	conns  map[*conn]struct{}
}

// Listen opens a listener on a TCP address; empty means AnyPort. The caller must then
// call Serve, which starts to answer calls and without which Close blocks. The error is
// a *ListenError.
func Listen(listen string) (*Server, error) {
	if listen == "" {
		listen = AnyPort
	}
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, &ListenError{Listen: listen, Err: err}
	}
	return &Server{
		ln:        ln,
		done:      make(chan struct{}),
		serveDone: make(chan struct{}),
		conns:     make(map[*conn]struct{}),
	}, nil
}

// Serve starts to answer calls with handler, on its own goroutines, until Close. It
// must be called once.
func (s *Server) Serve(handler fasthttp.RequestHandler) {
	srv := &fasthttp.Server{
		Handler:            handler,
		MaxRequestBodySize: maxBodyBytes,
		Logger:             discardLogger{},
	}
	go func() {
		defer close(s.serveDone)
		_ = srv.Serve((*listener)(s))
	}()
}

// Addr returns the listen address, with its actual port.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Done returns a channel that is closed once Close has closed the connections.
// Handlers that block must watch it.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close closes the listener and every connection, without a last response. It may be
// called more than once, and from a handler.
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
	<-s.serveDone
}

// listener is the Server as a net.Listener that tracks the accepted connections.
type listener Server

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.ln.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: (*Server)(l)}
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

// conn is a connection that removes itself from its Server on Close.
type conn struct {
	net.Conn
	server *Server
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// discardLogger discards all messages. The stand-ins cut connections on purpose, so
// the errors of the server would be noise.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
