package forward

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// cutHeads are heads of responses with a verb for the request's ID, and the bodies that follow them.
var cutHeads = map[string]struct{ head, body string }{
	"length":        {"HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Length: 16\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: e1\n\n"},
	"chunks":        {"HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n"},
	"no length":     {"HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\n\r\n", "id: 1\ndata: e1\n\n"},
	"after interim": {"HTTP/1.1 103 Early Hints\r\nQ-Id: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Length: 16\r\n\r\n", "id: 1\ndata: e1\n\n"},
	"refusal":       {"HTTP/1.1 503 Busy\r\nQ-Id: %s\r\nQ-Not-Run: 1\r\nContent-Length: 4\r\n\r\n", "full"},
}

// cutAt returns a handler that answers a request whose ID is not "whole" with the first n bytes of
// a head, and ends the connection, by a reset if reset is true.
func cutAt(head string, n int, reset bool) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		id := string(req.Header.Peek("Q-Id"))
		if id == "whole" {
			_, err := fmt.Fprintf(conn, cutHeads["length"].head+cutHeads["length"].body, id)
			return err == nil
		}
		_, err := conn.Write([]byte(fmt.Sprintf(head, id)[:n]))
		if reset && err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// Guards against an answer that looks whole, is sent again or is called "not run" although its
// upstream ended the connection within the head of the response.
func TestRequestsWhoseResponseEndsWithinItsHead(t *testing.T) {
	kinds := map[string]struct {
		service, path string
		heads         []string
	}{
		"idempotent":          {"plain", "/safe/x", []string{"length", "no length", "refusal"}},
		"not idempotent":      {"plain", "/unsafe/x", []string{"length", "no length", "after interim", "refusal"}},
		"stream":              {"model", "/once/x", []string{"chunks", "no length", "refusal"}},
		"stream that resumes": {"model", "/stream/x", []string{"chunks", "no length"}},
	}
	for kind, k := range kinds {
		for _, name := range k.heads {
			c := cutHeads[name]
			for _, reset := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/reset %v/kept %v", kind, name, reset, kept), func(t *testing.T) {
						t.Parallel()
						for n := range len(fmt.Sprintf(c.head, "cut")) {
							checkCutHead(t, k.service, k.path, kept, cutAt(c.head, n, reset))
						}
					})
				}
			}
		}
	}
}

// checkCutHead asks a server whose only upstream cuts its response, after a whole one on the same
// connection if kept is true.
func checkCutHead(t *testing.T, service, path string, kept bool, answer handler) {
	t.Helper()
	u := newFakeUpstream(t, "a", service, answer)
	if service == "model" {
		u = fakeEngine(t, "a", 0, 10, answer)
	}
	r := newTestServer(t, u)
	sent := 1
	if kept {
		if resp, complete := r.ask(t, "POST", path, "whole", "b"); !complete || resp.StatusCode() != 200 {
			t.Fatalf("status %d, complete %v", resp.StatusCode(), complete)
		}
		sent++
	}
	resp, complete := r.ask(t, "POST", path, "cut", "b")
	if complete && resp.StatusCode() != 502 {
		t.Errorf("status %d, body %q", resp.StatusCode(), resp.Body())
	}
	if got := len(u.requests()); got != sent && !strings.HasPrefix(path, "/stream/") {
		t.Errorf("%d requests, want %d", got, sent)
	}
}
