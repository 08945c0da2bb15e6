package caller

import (
	"context"
	"net"
	"strings"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/outcome"
)

// Paths that callers use.
const (
	ChatPath     = "/v1/chat/completions"
	ServicesPath = "/v1/services/"
	// LivePath and ReadyPath are for the platform's balancer: whether the
	// process works, and whether it should be sent callers.
	LivePath  = "/livez"
	ReadyPath = "/readyz"
)

// Server takes callers' requests. Any goroutine may call its methods.
type Server struct {
	options Options
	http    *fasthttp.Server
}

// New makes a Server.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{options: o}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.refuseUnread,
		Concurrency:                  o.MaxConnections,
		ReadBufferSize:               o.MaxHeaderBytes,
		MaxRequestBodySize:           o.MaxBodyBytes,
		ReadTimeout:                  o.ReadTimeout,
		IdleTimeout:                  o.IdleTimeout,
		CloseOnShutdown:              true,
		ReduceMemoryUsage:            true, // also sends each answer off before a pipelined request is served
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		SecureErrorLogMessage:        true,
		Logger:                       httpLogger{log: o.Log},
	}
	return s
}

// Serve takes connections from l until Shutdown, which makes it give nil, or
// until l fails, whose error it gives.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&listener{Listener: l, writeTimeout: s.options.WriteTimeout})
}

// Shutdown takes no further connections, closes idle ones and waits until
// every open request is answered, or until ctx ends, whose error it gives.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// handle serves one request that was read whole.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.checked(ctx) {
		return
	}
	x := &exchange{server: s, id: s.options.NewID()}
	x.conn, _ = ctx.Conn().(*conn)
	arrive, refusal := x.read(ctx)
	if refusal != nil {
		s.refuse(ctx, x, refusal)
		return
	}
	if err := s.options.Admitter.Admit(arrive, x.call); err != nil {
		writeError(ctx, x.id, err)
		return
	}
	x.answer(ctx)
}

// checked answers a health check; it reports whether the request was one.
func (s *Server) checked(ctx *fasthttp.RequestCtx) bool {
	if !ctx.IsGet() {
		return false
	}
	switch string(ctx.Path()) {
	case LivePath:
		return true
	case ReadyPath:
		if !s.options.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		return true
	}
	return false
}

// refuse answers a request that never reached the Admitter.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, x *exchange, err *outcome.Error) {
	s.options.Count(err.Reason)
	writeError(ctx, x.id, err)
}

// refuseUnread answers a request that could not be read whole. The rest of
// its bytes is taken before the connection closes, so that the caller can
// still read the answer.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.linger.Store(true)
	}
	x := &exchange{server: s, id: s.options.NewID()}
	s.refuse(ctx, x, unreadError(err))
}

// plainTarget splits the path of a plain call into the service and the path
// at the service.
func plainTarget(path string) (service, rest string, ok bool) {
	tail, ok := strings.CutPrefix(path, ServicesPath)
	if !ok {
		return "", "", false
	}
	service, rest, _ = strings.Cut(tail, "/")
	return service, "/" + rest, service != ""
}

// httpLogger passes fasthttp's own lines to the log.
type httpLogger struct{ log zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) { l.log.Debug().Msgf(format, args...) }
