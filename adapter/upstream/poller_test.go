package upstream

import (
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
)

// countingListener counts the accepted connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// startReports serves a load report to every request, after change has modified the
// response. It returns the listener.
func startReports(t *testing.T, change func(*fasthttp.RequestCtx)) *countingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(engineapi.LoadReport{Engine: "e", Epoch: "x"})
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: l}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBody(body)
		change(ctx)
	}}
	go func() { _ = server.Serve(counting) }()
	t.Cleanup(func() { _ = l.Close() })
	return counting
}

func TestPollsShareAConnection(t *testing.T) {
	l := startReports(t, func(*fasthttp.RequestCtx) {})
	p := NewPoller(5 * time.Second)
	address := l.Addr().String()
	for range 5 {
		if report, err := p.Fetch(t.Context(), address); err != nil || report.Engine != "e" {
			t.Fatalf("%+v, %v", report, err)
		}
	}
	if n := l.accepted.Load(); n != 1 {
		t.Errorf("%d connections for 5 polls, want 1", n)
	}
	p.Retain(nil)
	if len(p.clients) != 0 {
		t.Errorf("%d clients remain after Retain(nil)", len(p.clients))
	}
}

// A poll that gets no response times out, and the next poll uses a new connection.
func TestSilentPollIsGivenUp(t *testing.T) {
	var polls atomic.Int64
	release := make(chan struct{})
	l := startReports(t, func(*fasthttp.RequestCtx) {
		if polls.Add(1) == 2 {
			<-release
		}
	})
	t.Cleanup(func() { close(release) })
	p := NewPoller(100 * time.Millisecond)
	address := l.Addr().String()
	var failed *CallError
	for i, want := range []bool{true, false, true} {
		_, err := p.Fetch(t.Context(), address)
		if (err == nil) != want || (!want && !errors.As(err, &failed)) {
			t.Fatalf("poll %d: %v", i, err)
		}
	}
	if n := l.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2: a new one after the poll without a response", n)
	}
}
