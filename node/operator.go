package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/connlimit"
	"mimosaarch.example/core/ids"
)

// Paths served on the operator port. ExplainPath is a prefix that a request ID
// follows.
const (
	LivePath    = "/livez"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
	StatusPath  = "/status"
	ExplainPath = "/explain/"
)

// Limits of the operator port. operatorTimeout applies to reading a request and
// to writing a response, statusTimeout to collecting the status. A connection beyond
// operatorConnections replaces an idle one, so that health checks always get one.
const (
	operatorTimeout     = 5 * time.Second
	statusTimeout       = 2 * time.Second
	operatorConnections = 64
	operatorBodyBytes   = 1 << 10
)

// operatorServer serves health checks, metrics, the status and explanations.
type operatorServer struct {
	node     *Node
	listener net.Listener
	server   *fasthttp.Server
}

// newOperatorServer opens the operator port, with TLS if the node has an
// identity. The error is a *ListenError.
func newOperatorServer(n *Node) (*operatorServer, error) {
	listener, err := listen(n.settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	listener = connlimit.New(listener, operatorConnections, nil)
	if n.identity != nil {
		listener = tls.NewListener(listener, n.identity.Server)
	}
	o := &operatorServer{node: n, listener: listener}
	o.server = &fasthttp.Server{
		Handler:      o.handle,
		ReadTimeout:  operatorTimeout,
		WriteTimeout: operatorTimeout,
		// A replaced connection may still be closing.
		Concurrency:           2 * operatorConnections,
		MaxRequestBodySize:    operatorBodyBytes,
		NoDefaultServerHeader: true,
	}
	return o, nil
}

// serve accepts connections until the listener is closed.
func (o *operatorServer) serve() error { return o.server.Serve(o.listener) }

// addr returns the address of the listener.
func (o *operatorServer) addr() string { return o.listener.Addr().String() }

// close closes the listener.
func (o *operatorServer) close() { _ = o.listener.Close() }

// handle dispatches a request by its path.
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

// ready answers 200 if the node accepts requests and 503 otherwise. The
// platform's load balancer uses it.
func (o *operatorServer) ready(ctx *fasthttp.RequestCtx) {
	if !o.node.loopState.Load().ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// status answers with the node's status, or 503 if it is not available in time.
func (o *operatorServer) status(ctx *fasthttp.RequestCtx) {
	statusCtx, cancel := context.WithTimeout(o.node.ctx, statusTimeout)
	defer cancel()
	s, err := o.node.Status(statusCtx)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		writeJSON(ctx, errorBody{Message: err.Error()})
		return
	}
	writeJSON(ctx, s)
}

// explain answers with the stored decisions of one request, or 404 if there are
// none.
func (o *operatorServer) explain(ctx *fasthttp.RequestCtx, id ids.Request) {
	decisions := o.node.ExplainFleetWide(o.node.ctx, id)
	if decisions == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		writeJSON(ctx, errorBody{Message: "no decision of this request is kept"})
		return
	}
	writeJSON(ctx, decisions)
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Message string `json:"message"`
}

// writeJSON writes a value as the JSON body of the response.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(value); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
