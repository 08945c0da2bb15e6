package bench

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// serve serves a handler and gives its address; a nil one ends each
// connection without an answer.
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

// through sends a request through a front of backends and gives the status
// and how often it was sent anew.
func through(t *testing.T, method, key string, cut string, backends ...backend) (int, int64) {
	t.Helper()
	f, err := newFront(backends)
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	f.cut(cut)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.listener.Addr().String() + "/slots")
	if key != "" {
		req.Header.Set(keyHeader, key)
	}
	host := &fasthttp.HostClient{Addr: f.listener.Addr().String()}
	defer host.CloseIdleConnections()
	if err := host.Do(req, resp); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), f.repeats.Load()
}

func TestFrontGoesOnWhereItMay(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	good := backend{address: serve(t, func(*fasthttp.RequestCtx) {}), ready: yes}
	silent := backend{address: serve(t, nil), ready: yes}
	leaving := backend{address: serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusTeapot) }), ready: no}
	other := backend{address: leaving.address, ready: yes}
	for name, c := range map[string]struct {
		method, key, cut string
		first            backend
		status           int
		repeats          int64
	}{
		"not ready":          {"POST", "", "", leaving, fasthttp.StatusOK, 0},
		"never sent":         {"POST", "", other.address, other, fasthttp.StatusOK, 1},
		"no answer, read":    {"GET", "", "", silent, fasthttp.StatusOK, 1},
		"no answer, key":     {"POST", "k", "", silent, fasthttp.StatusOK, 1},
		"no answer, not key": {"POST", "", "", silent, fasthttp.StatusBadGateway, 0},
	} {
		status, repeats := through(t, c.method, c.key, c.cut, c.first, good)
		if status != c.status || repeats != c.repeats {
			t.Errorf("%s: status %d after %d repeats, want %d after %d", name, status, repeats, c.status, c.repeats)
		}
	}
}
