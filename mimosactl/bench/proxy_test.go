package bench

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// serve serves a handler and returns its address. With a nil handler, each
// connection is closed without a response.
func serve(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	if handle == nil {
		handle = func(ctx *fasthttp.RequestCtx) { ctx.HijackSetNoResponse(true); ctx.Hijack(func(net.Conn) {}) }
	}
	go func() { _ = fasthttp.Serve(listener, handle) }()
	return listener.Addr().String()
}

// sendThrough sends a request through a proxy for backends, with all connections
// to the address cut closed before. It returns the response status and the number
// of resends.
func sendThrough(t *testing.T, method, key string, cut string, backends ...backend) (int, int64) {
	t.Helper()
	f, err := newProxy(backends)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	f.closeConns(cut)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.listener.Addr().String() + "/slots")
	if key != "" {
		req.Header.Set(idempotencyKeyHeader, key)
	}
	host := &fasthttp.HostClient{Addr: f.listener.Addr().String()}
	defer host.CloseIdleConnections()
	if err := host.Do(req, resp); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), f.resends.Load()
}

func TestProxyResendsOnlySafeRequests(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	good := backend{address: serve(t, func(*fasthttp.RequestCtx) {}), ready: yes}
	silent := backend{address: serve(t, nil), ready: yes}
	leaving := backend{address: serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusTeapot) }), ready: no}
	other := backend{address: leaving.address, ready: yes}
	for name, c := range map[string]struct {
		method, key, cut string
		first            backend
		status           int
		resends          int64
	}{
		"not ready":          {"POST", "", "", leaving, fasthttp.StatusOK, 0},
		"never sent":         {"POST", "", other.address, other, fasthttp.StatusOK, 1},
		"no answer, read":    {"GET", "", "", silent, fasthttp.StatusOK, 1},
		"no answer, key":     {"POST", "k", "", silent, fasthttp.StatusOK, 1},
		"no answer, not key": {"POST", "", "", silent, fasthttp.StatusBadGateway, 0},
	} {
		status, resends := sendThrough(t, c.method, c.key, c.cut, c.first, good)
		if status != c.status || resends != c.resends {
			t.Errorf("%s: status %d after %d resends, want %d after %d", name, status, resends, c.status, c.resends)
		}
	}
}
