package client

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/httphead"
	"mimosaarch.example/core/outcome"
)

// start serves a handler in place of a node. It returns a client of it and the
// count of connections opened.
func start(t *testing.T, handle fasthttp.RequestHandler) (*Client, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var opened atomic.Int64
	server := &fasthttp.Server{
		Handler: handle,
		ConnState: func(_ net.Conn, state fasthttp.ConnState) {
			if state == fasthttp.StateNew {
				opened.Add(1)
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	c := New(Options{Address: listener.Addr().String(), Timeout: time.Hour})
	t.Cleanup(func() {
		c.Close()
		_ = listener.Close()
	})
	return c, &opened
}

// token is a server-sent event with one token.
const token = `data: {"choices":[{"delta":{"content":"a "}}]}` + "\n\n"

// stream returns a handler that sends one token, waits for goOn, and ends the
// body with tail.
func stream(goOn <-chan struct{}, tail string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			_, _ = w.WriteString(token)
			_ = w.Flush()
			<-goOn
			_, _ = w.WriteString(tail)
		})
	}
}

// closed returns a closed channel.
func closed() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	c, opened := start(t, stream(closed(), "data: [DONE]\n\n"))
	for range 3 {
		result, err := c.Chat(context.Background(), Chat{Model: "m"})
		if err != nil || result.Outcome != outcome.Complete || result.Text != "a " {
			t.Fatalf("result %+v, error %v", result, err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections for 3 whole answers, want 1", n)
	}
}

func TestStreamWithoutEndMarkerIsUnknown(t *testing.T) {
	c, opened := start(t, stream(closed(), ""))
	for range 2 {
		result, err := c.Chat(context.Background(), Chat{Model: "m"})
		if _, cut := errors.AsType[*CutOffError](err); !cut || result.Outcome != outcome.Unknown || result.Tokens != 1 {
			t.Fatalf("result %+v, error %v; want unknown, cut off after 1 token", result, err)
		}
	}
	if n := opened.Load(); n != 2 {
		t.Errorf("%d connections, want a new one after a cut answer", n)
	}
}

func TestFailureInsideStreamIsItsOutcome(t *testing.T) {
	c, _ := start(t, stream(closed(), `data: {"error":{"outcome":"unknown","reason":"upstream_lost"}}`+"\n\n"))
	result, err := c.Chat(context.Background(), Chat{Model: "m"})
	if err != nil || result.Outcome != outcome.Unknown || result.Reason != outcome.UpstreamLost {
		t.Errorf("result %+v, error %v; want unknown, upstream_lost", result, err)
	}
}

func TestContextEndsAStream(t *testing.T) {
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	c, _ := start(t, stream(never, ""))
	ctx, cancel := context.WithCancel(context.Background())
	result, err := c.Chat(ctx, Chat{Model: "m", OnToken: func(int, string) { cancel() }})
	if err == nil || result.Outcome != outcome.Unknown || result.Tokens != 1 {
		t.Errorf("result %+v, error %v; want unknown after 1 token", result, err)
	}
}

func TestPlainWithoutOutcomeIsUnknown(t *testing.T) {
	c, _ := start(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("who knows") })
	result, err := c.Plain(context.Background(), PlainCall{Service: "s", Method: "GET", Path: "/"})
	if err != nil || result.Outcome != outcome.Unknown || string(result.Body) != "who knows" {
		t.Errorf("result %+v, error %v; want unknown", result, err)
	}
}

// Guards against an answer that counts although its head is malformed.
func TestAnswerWithAMalformedHeadIsATransportError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var req fasthttp.Request
		if req.Read(bufio.NewReader(conn)) == nil {
			_, _ = conn.Write([]byte("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	}()
	c := New(Options{Address: listener.Addr().String(), Timeout: time.Hour})
	t.Cleanup(c.Close)
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + listener.Addr().String() + "/")
	_, result, err := c.begin(t.Context(), req)
	var malformed *httphead.MalformedError
	if !errors.As(err, &malformed) || result.Outcome != outcome.Unknown {
		t.Errorf("result %+v, error %v", result, err)
	}
}
