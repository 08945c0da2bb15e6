package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
)

// Paths of the operator port.
const (
	LivePath    = "/livez"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
	StatusPath  = "/status"
	ExplainPath = "/explain/"
)

// Limits of the operator port.
const (
	operatorTimeout     = 5 * time.Second
	statusTimeout       = 2 * time.Second
	operatorConnections = 64
)

// operatorServer serves health checks, counters and explanations.
type operatorServer struct {
	node     *Node
	listener net.Listener
	server   *fasthttp.Server
}

// newOperatorServer opens the operator port. The error is a *ListenError.
func newOperatorServer(n *Node) (*operatorServer, error) {
	listener, err := listen(n.settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	if n.identity != nil {
		listener = tls.NewListener(listener, n.identity.Server)
	}
	o := &operatorServer{node: n, listener: listener}
	o.server = &fasthttp.Server{
		Handler:               o.handle,
		ReadTimeout:           operatorTimeout,
		WriteTimeout:          operatorTimeout,
		Concurrency:           operatorConnections,
		NoDefaultServerHeader: true,
	}
	return o, nil
}

// serve takes connections until close.
func (o *operatorServer) serve() error { return o.server.Serve(o.listener) }

// addr is the address listened on.
func (o *operatorServer) addr() string { return o.listener.Addr().String() }

// close stops the port.
func (o *operatorServer) close() { _ = o.listener.Close() }

// handle serves one call.
func (o *operatorServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == LivePath:
		ctx.SetStatusCode(fasthttp.StatusOK)
	case path == ReadyPath:
		o.ready(ctx)
	case path == StatusPath:
		o.status(ctx)
	case path == MetricsPath:
		writeJSON(ctx, o.node.telemetry.Registry())
	case strings.HasPrefix(path, ExplainPath):
		o.explain(ctx, ids.Request(strings.TrimPrefix(path, ExplainPath)))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// ready tells the platform's balancer whether to send callers here.
func (o *operatorServer) ready(ctx *fasthttp.RequestCtx) {
	if !o.node.loopState.Load().ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// status shows the node to operators.
func (o *operatorServer) status(ctx *fasthttp.RequestCtx) {
	within, done := context.WithTimeout(o.node.ctx, statusTimeout)
	defer done()
	s, err := o.node.Status(within)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		writeJSON(ctx, errorBody{Message: err.Error()})
		return
	}
	writeJSON(ctx, s)
}

// explain gives the decisions kept of one request.
func (o *operatorServer) explain(ctx *fasthttp.RequestCtx, id ids.Request) {
	steps := o.node.ExplainFleetWide(o.node.ctx, id)
	if steps == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		writeJSON(ctx, errorBody{Message: "no decision of this request is kept"})
		return
	}
	writeJSON(ctx, steps)
}

// errorBody is the body of an answer that gives nothing.
type errorBody struct {
	Message string `json:"message"`
}

// writeJSON answers with a JSON value.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(value); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
