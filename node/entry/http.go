package entry

import (
	"bytes"
	"net"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// serveReady answers the platform's balancer.
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

// serveMetrics shows counters and histograms as text.
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

// serveHTTP serves until the listener is closed.
func (n *Node) serveHTTP(l net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, ReduceMemoryUsage: true}
	go func() {
		if err := server.Serve(l); err != nil && !n.stopping.Load() {
			n.log.Error().Str("event", "listener_failed").Str("address", l.Addr().String()).Err(err).Send()
		}
	}()
}
