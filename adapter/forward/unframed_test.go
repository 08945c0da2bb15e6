package forward

import (
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// unframed returns a handler that streams events without a length and without chunks, writes
// the rest of a text, and ends the connection, by a reset if reset is true.
func unframed(from, to int, rest string, reset bool) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		out := fmt.Sprintf("HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n", req.Header.Peek("Q-Id"))
		for id := max(from, nextEventID(req)); id <= to; id++ {
			out += fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
		}
		_, err := conn.Write([]byte(out + rest))
		if reset && err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// chunkedInside returns a handler that ends a chunked stream in order, but inside an event.
func chunkedInside(conn net.Conn, req *fasthttp.Request) bool {
	const event, part = "id: 1\ndata: e1\n\n", "id: 2\ndata: e"
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		req.Header.Peek("Q-Id"), len(event), event, len(part), part)
	return err == nil
}

func TestStreamWithoutLengthEndsWithItsConnection(t *testing.T) {
	r := newTestServer(t, fakeEngine(t, "a", 0, 10, unframed(1, 5, "", false)))
	for i := range 2 {
		resp, complete := r.ask(t, "POST", "/stream/x", fmt.Sprint("r", i), "p")
		if !complete || resp.StatusCode() != 200 {
			t.Fatalf("status %d, complete %v", resp.StatusCode(), complete)
		}
		wantEvents(t, resp.Body(), 1, 5)
	}
}

// Guards against a stream that looks complete although it ended inside an event, or by a reset.
func TestStreamThatEndsInsideAnEventOrByAResetResumesElsewhere(t *testing.T) {
	for name, broken := range map[string]handler{
		"inside an event":            unframed(1, 3, "id: 4\nda", false),
		"inside the last line":       unframed(1, 3, "id: 4\ndata: e4\n", false),
		"inside a chunked event":     chunkedInside,
		"by a reset, after an event": unframed(1, 3, "", true),
	} {
		t.Run(name, func(t *testing.T) {
			first := fakeEngine(t, "a", 0, 10, broken)
			other := fakeEngine(t, "b", 0, 10, wholeStream(6))
			other.Zone = "far"
			r := newTestServer(t, first, other)
			resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
			if !complete {
				t.Error("the response is incomplete")
			}
			wantEvents(t, resp.Body(), 1, 6)
			if len(other.requests()) != 1 {
				t.Errorf("%d requests elsewhere, want 1", len(other.requests()))
			}
		})
	}
}

func TestPlainAnswerWithoutLengthIsCompleteUnlessItIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		reset bool
		want  int
	}{"ended": {false, 200}, "reset": {true, 502}} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "a", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n\r\nanswer", req.Header.Peek("Q-Id"))
				if c.reset && err == nil {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			r := newTestServer(t, u)
			resp, complete := r.ask(t, "POST", "/unsafe/x", "r1", "b")
			if !complete || resp.StatusCode() != c.want || c.want == 200 && string(resp.Body()) != "answer" {
				t.Errorf("status %d, body %q, complete %v", resp.StatusCode(), resp.Body(), complete)
			}
		})
	}
}
