// Package httpd is the HTTP server of the stand-ins. It can close its listener and all
// open connections at once, like a killed process.
package httpd

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/killable"
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
	ln        *killable.Listener
	close     sync.Once
	done      chan struct{}
	serveDone chan struct{}
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
		ln:        killable.New(ln),
		done:      make(chan struct{}),
		serveDone: make(chan struct{}),
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
		_ = srv.Serve(s.ln)
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
	s.close.Do(func() {
		_ = s.ln.Close()
		close(s.done)
		<-s.serveDone
	})
}

// discardLogger discards all messages. The stand-ins cut connections on purpose, so
// the errors of the server would be noise.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
