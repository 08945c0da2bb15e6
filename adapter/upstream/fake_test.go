package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/decide/topology"
)

// testStall is too long to end an attempt in tests that are not about stalls.
const testStall = 30 * time.Second

// fake is an upstream that records each request and runs a script for it. It
// half-closes the connection after the script, so that a second request on it would
// still be recorded.
type fake struct {
	address string
	mu      sync.Mutex
	seen    []*fasthttp.Request
	conns   int
	wg      sync.WaitGroup
}

// script writes the response to one request; req is nil if the fake does not read
// requests.
type script func(conn net.Conn, req *fasthttp.Request)

func newFake(t *testing.T, s script) *fake { return startFake(t, s, false) }

// startFake starts a fake and stops it at the end of the test. With noRead it runs
// the script without reading a request.
func startFake(t *testing.T, s script, noRead bool) *fake {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	f := &fake{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close(); f.wg.Wait() })
	f.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns++
			f.mu.Unlock()
			f.wg.Go(func() { f.serve(conn, s, noRead) })
		}
	})
	return f
}

func (f *fake) serve(conn net.Conn, s script, noRead bool) {
	defer func() { _ = conn.Close() }()
	if noRead {
		s(conn, nil)
		return
	}
	r := bufio.NewReader(conn)
	for {
		req := &fasthttp.Request{}
		if req.Read(r) != nil {
			return
		}
		f.mu.Lock()
		f.seen = append(f.seen, req)
		f.mu.Unlock()
		s(conn, req)
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
	}
}

func (f *fake) counts() (conns, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns, len(f.seen)
}

func (f *fake) first() *fasthttp.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[0]
}

// respond returns a script that writes the given parts.
func respond(parts ...string) script {
	return func(conn net.Conn, _ *fasthttp.Request) {
		for _, p := range parts {
			_, _ = conn.Write([]byte(p))
		}
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMimosa-Engine-Epoch: e1\r\nTransfer-Encoding: chunked\r\n\r\n"

const lastChunk = "0\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func asJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func tok(index int) engineapi.Token {
	return engineapi.Token{Attempt: 2, Index: index, Text: fmt.Sprintf("t%d", index), Steps: []engineapi.Step{
		{Engine: "e1", First: 0, Last: 3}, {Engine: "e2", First: 4, Last: 7},
	}}
}

func tokChunk(t engineapi.Token) string {
	return chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", t.Index, asJSON(t)))
}

func doneChunk(tokens int) string {
	return chunk("event: done\ndata: " + asJSON(engineapi.Done{Attempt: 2, Tokens: tokens, Finish: engineapi.FinishLength}) + "\n\n")
}

func refusal(status int, r engineapi.Refusal) string {
	body := asJSON(r)
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// modelSend returns a router.Send for a chain of two stages, the first at address.
func modelSend(address string) router.Send {
	return router.Send{
		ID: "r1", Attempt: 2, Model: true, Layers: 8, Remaining: time.Second, StallAfter: testStall,
		ConnectTimeout: testStall,
		Chain: topology.Chain{
			{ID: "e1", Address: address, First: 0, Last: 3},
			{ID: "e2", Address: "127.0.0.1:9", First: 4, Last: 7},
		},
	}
}

func chatCall() *call.Call {
	c := call.New("r1", call.Options{Capacity: 16})
	c.Chat = &engineapi.ChatRequest{Model: "m", Messages: []engineapi.Message{{Role: "user", Content: "q"}}, MaxTokens: 8, Priority: 3}
	return c
}

// sink records the events of one attempt.
type sink struct {
	started []router.AttemptStarted
	ended   []router.AttemptEnded
	onStart func()
}

func (s *sink) AttemptStarted(e router.AttemptStarted) {
	s.started = append(s.started, e)
	if s.onStart != nil {
		s.onStart()
	}
}
func (s *sink) AttemptEnded(e router.AttemptEnded) { s.ended = append(s.ended, e) }

// runOne runs an attempt and returns its AttemptEnded event. It fails the test
// unless there is exactly one.
func runOne(t *testing.T, ctx context.Context, r *Runner, send router.Send, c *call.Call, s *sink) router.AttemptEnded {
	t.Helper()
	r.Run(ctx, send, c, s)
	failIf(t, len(s.ended) != 1 || len(s.started) > 1, "%d starts and %d ends", len(s.started), len(s.ended))
	e := s.ended[0]
	failIf(t, e.ID != send.ID || e.Attempt != send.Attempt || e.Tokens != c.TokenCount(), "end %+v, %d tokens delivered", e, c.TokenCount())
	return e
}

// must, equal and failIf stop the test on failure.
func must(t *testing.T, err error) {
	t.Helper()
	failIf(t, err != nil, "%v", err)
}

func equal(t *testing.T, want, got any, options ...cmp.Option) {
	t.Helper()
	diff := cmp.Diff(want, got, options...)
	failIf(t, diff != "", "%s", diff)
}

func failIf(t *testing.T, bad bool, format string, args ...any) {
	t.Helper()
	if bad {
		t.Fatalf(format, args...)
	}
}
