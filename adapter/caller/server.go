package caller

import (
	"context"
	"net"
	"strings"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/intake"
)

// Paths of the HTTP API.
const (
	ChatPath     = "/v1/chat/completions"
	ServicesPath = "/v1/services/"
	// LivePath and ReadyPath are health checks for the platform's load
	// balancer: whether the process is running, and whether it should receive
	// requests.
	LivePath  = "/livez"
	ReadyPath = "/readyz"
)

// Server serves HTTP requests from callers. It is safe for concurrent use.
type Server struct {
	options Options
	http    *fasthttp.Server
	gate    *gate.Gate
}

// New returns a Server with the given options.
func New(o Options) *Server {
	o = o.withDefaults()
	s := &Server{options: o, gate: gate.New(intake.Limits{Bytes: o.MaxHeldBytes, Connections: o.MaxConnections}, o.Now, o.Metrics)}
	s.http = &fasthttp.Server{
		Handler:      s.handle,
		ErrorHandler: s.refuseUnreadable,
		// The gate bounds the connections. Some that it has closed may still be counted here.
		Concurrency:                  2 * o.MaxConnections,
		ConnState:                    recordState,
		HeaderReceived:               s.markTooLarge,
		StreamRequestBody:            true,
		ReadBufferSize:               o.MaxHeaderBytes,
		MaxRequestBodySize:           o.MaxBodyBytes,
		ReadTimeout:                  o.ReadTimeout,
		IdleTimeout:                  o.IdleTimeout,
		CloseOnShutdown:              true,
		ReduceMemoryUsage:            true, // also flushes each answer before the next pipelined request is served
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		SecureErrorLogMessage:        true,
		Logger:                       httpLogger{log: o.Log},
	}
	return s
}

// Serve accepts connections from l. It returns nil after Shutdown, or the error
// of l.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&listener{Listener: l, writeTimeout: s.options.WriteTimeout, gate: s.gate})
}

// Held returns the number of bytes that callers' connections hold, and the number of connections.
func (s *Server) Held() (bytes int64, connections int) { return s.gate.Held() }

// Shutdown stops accepting connections, closes idle ones and waits until all
// open requests are answered. If ctx ends first, it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// recordState records that a request on a connection has ended.
func recordState(c net.Conn, state fasthttp.ConnState) {
	if own, ok := c.(*conn); ok && state == fasthttp.StateIdle {
		own.finishRequest()
	}
}

// handle serves one request whose head was read.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.handleHealthCheck(ctx) {
		return
	}
	x := &exchange{server: s, id: s.options.NewID()}
	x.conn, _ = ctx.Conn().(*conn)
	if refusal := x.readBody(ctx); refusal != nil {
		// Other requests may wait for the memory.
		x.conn.keepNothing()
		x.conn.lingerUnlessUnwanted()
		ctx.SetConnectionClose()
		s.refuse(ctx, x, refusal)
		return
	}
	arrived, refusal := x.parse(ctx)
	if refusal != nil {
		s.refuse(ctx, x, refusal)
		return
	}
	if err := s.options.Admitter.Admit(arrived, x.call); err != nil {
		writeError(ctx, x.id, err)
		return
	}
	x.answer(ctx)
}

// handleHealthCheck answers a health check and reports whether the request is
// one.
func (s *Server) handleHealthCheck(ctx *fasthttp.RequestCtx) bool {
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

// refuse answers and counts a request that is refused before it reaches the
// Admitter.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, x *exchange, err *outcome.Error) {
	s.options.Count(err.Reason)
	writeError(ctx, x.id, err)
}

// refuseUnreadable answers a request that could not be read completely. The
// connection discards the rest of the request before it closes, so that the
// caller can read the answer.
func (s *Server) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.lingerUnlessUnwanted()
	}
	x := &exchange{server: s, id: s.options.NewID()}
	s.refuse(ctx, x, refusalOfReadError(err))
}

// splitServicePath splits the path of a plain call into the service name and
// the path within the service. ok is false if the path is not under
// ServicesPath or has no service name.
func splitServicePath(path string) (service, rest string, ok bool) {
	tail, ok := strings.CutPrefix(path, ServicesPath)
	if !ok {
		return "", "", false
	}
	service, rest, _ = strings.Cut(tail, "/")
	return service, "/" + rest, service != ""
}

// httpLogger writes the messages of fasthttp to the debug log.
type httpLogger struct{ log zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) { l.log.Debug().Msgf(format, args...) }
