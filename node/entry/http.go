package entry

import (
	"bytes"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Limits of the listeners for readiness checks and metrics, whose requests have no body.
const (
	maxSimpleBodyBytes = 1 << 10
	simpleTimeout      = 3 * time.Second
	simpleIdleTimeout  = 15 * time.Second
)

// serveReady serves the readiness check of the platform's load balancer: 200 if
// the node accepts callers, 503 otherwise.
func (n *Node) serveReady(l net.Listener) {
	n.serveHTTP(l, func(ctx *fasthttp.RequestCtx) {
		switch {
		case string(ctx.Path()) != n.settings.ReadyPath:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		case !n.Ready():
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

// serveMetrics serves all metrics as text.
func (n *Node) serveMetrics(l net.Listener) {
	n.serveHTTP(l, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != n.settings.MetricsPath {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		var out bytes.Buffer
		metrics.WriteOnce(n.metrics.Registry(), &out)
		ctx.SetBody(out.Bytes())
	})
}

// serveHTTP serves requests in a new goroutine until the listener is closed.
func (n *Node) serveHTTP(l net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, ReduceMemoryUsage: true,
		MaxRequestBodySize: maxSimpleBodyBytes, ReadTimeout: simpleTimeout, WriteTimeout: simpleTimeout, IdleTimeout: simpleIdleTimeout,
	}
	go func() {
		if err := server.Serve(n.boundConnections(l, maxSimpleConnections(n.settings.MaxSockets))); err != nil && !n.stopping.Load() {
			n.log.Error().Str("event", "listener_failed").Str("address", l.Addr().String()).Err(err).Send()
		}
	}()
}
