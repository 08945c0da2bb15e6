package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

var testNow = time.Unix(1000, 0)

// fakeAdmitter passes each admitted request to the test, or refuses it if
// refusal is set.
type fakeAdmitter struct {
	admitted chan admission
	gone     chan ids.Request
	refusal  *outcome.Error
}

type admission struct {
	arrived router.RequestArrived
	call    *call.Call
}

func (g *fakeAdmitter) Admit(a router.RequestArrived, c *call.Call) *outcome.Error {
	if g.refusal != nil {
		return g.refusal
	}
	g.admitted <- admission{a, c}
	return nil
}

func (g *fakeAdmitter) CallerGone(id ids.Request) { g.gone <- id }

// testServer is a running Server with its fakeAdmitter.
type testServer struct {
	*fakeAdmitter
	server  *Server
	address string
	served  chan error
	counted chan outcome.Reason
}

func startServer(t *testing.T, edit func(*Options)) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	b := &testServer{
		fakeAdmitter: &fakeAdmitter{admitted: make(chan admission, 8), gone: make(chan ids.Request, 8)},
		address:      l.Addr().String(),
		served:       make(chan error, 1),
		counted:      make(chan outcome.Reason, 8),
	}
	o := Options{
		Admitter: b.fakeAdmitter, NewID: func() ids.Request { return "r1" }, Now: func() time.Time { return testNow },
		MaxBodyBytes: 1000, ProbeInterval: time.Millisecond, Count: func(r outcome.Reason) { b.counted <- r },
	}
	if edit != nil {
		edit(&o)
	}
	b.server = New(o)
	go func() { b.served <- b.server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = b.server.Shutdown(ctx)
	})
	return b
}

// client is a caller's connection.
type client struct {
	t *testing.T
	*net.TCPConn
	r *bufio.Reader
}

func (b *testServer) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	must(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, TCPConn: conn.(*net.TCPConn), r: bufio.NewReader(conn)}
}

func (c *client) send(raw string) *client {
	c.t.Helper()
	if _, err := c.Write([]byte(raw)); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// readHead reads the head of an answer. The body remains to be read as a
// stream.
func (c *client) readHead() *fasthttp.Response {
	c.t.Helper()
	resp := &fasthttp.Response{StreamBody: true}
	resp.Header.SetNoDefaultContentType(true)
	if err := resp.Read(c.r); err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// readAnswer reads a complete answer.
func (c *client) readAnswer() (*fasthttp.Response, string) {
	c.t.Helper()
	resp := c.readHead()
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}

// raw returns the bytes of an HTTP request.
func raw(method, target, body string, headers ...string) string {
	lines := append([]string{method + " " + target + " HTTP/1.1", "Host: x", fmt.Sprintf("Content-Length: %d", len(body))}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func chat(body string, headers ...string) string { return raw("POST", ChatPath, body, headers...) }

const validChat = `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":7,"priority":2,"unknown":{}}`

const streamChat = `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`

func push(t *testing.T, c *call.Call, texts ...string) {
	t.Helper()
	for _, text := range texts {
		must(t, c.Push(t.Context(), engineapi.Token{Index: c.TokenCount(), Text: text}))
	}
}

func detail(t *testing.T, body string) errorDetail {
	t.Helper()
	var e errorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return e.Error
}

// must, equal and failIf fail the test at once.
func must(t *testing.T, err error) {
	t.Helper()
	failIf(t, err != nil, "%v", err)
}

func equal(t *testing.T, want, got any, options ...cmp.Option) {
	t.Helper()
	diff := cmp.Diff(want, got, options...)
	failIf(t, diff != "", "%s", diff)
}

func failIf(t *testing.T, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Fatalf(format, args...)
	}
}
