package forward

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// unproven holds heads of responses that do not prove to be the answer to a request, with %s for
// its id. Each is followed by a body of two bytes where its status has one.
var unproven = map[string]string{
	"no id and no signature":      "200 OK\r\nContent-Length: 2\r\n\r\nok",
	"no id":                       "200 OK\r\nQ-Seal: s\r\nContent-Length: 2\r\n\r\nok",
	"no signature":                "200 OK\r\nQ-Id: %s\r\nContent-Length: 2\r\n\r\nok",
	"empty signature":             "200 OK\r\nQ-Id: %s\r\nQ-Seal: \r\nContent-Length: 2\r\n\r\nok",
	"no signature and no length":  "200 OK\r\nQ-Id: %s\r\n\r\nok",
	"no signature, no content":    "204 No Content\r\nQ-Id: %s\r\n\r\n",
	"no signature, in part":       "206 Partial Content\r\nQ-Id: %s\r\nContent-Length: 2\r\n\r\nok",
	"no signature, after interim": "103 Early Hints\r\nQ-Seal: s\r\n\r\nHTTP/1.1 200 OK\r\nQ-Id: %s\r\nContent-Length: 2\r\n\r\nok",
	"no signature, events":        "200 OK\r\nQ-Id: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: e1\n\n",
	"no id, events":               "200 OK\r\nQ-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: e1\n\n",
	"switching protocols":         "101 Switching Protocols\r\nQ-Id: %s\r\nQ-Seal: s\r\n\r\n",
	"coded body":                  "200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
	"coded events":                "200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\ncontent-encoding: br\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: e1\n\n",
	"coding that changes nothing": "404 Not Found\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Encoding: identity\r\nContent-Length: 2\r\n\r\nok",
	"unsigned promise":            "503 Busy\r\nQ-Id: %s\r\nContent-Length: 2\r\n\r\nok",
	"unsigned refusal of a caller": "404 Not Found\r\nQ-Id: %s\r\n" +
		"Content-Length: 2\r\n\r\nok",
}

// answerText returns a handler that answers with a text and keeps the connection. The text has the
// verb %s in place of the request's ID.
func answerText(text string) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		_, err := conn.Write([]byte(strings.ReplaceAll(text, "%s", string(req.Header.Peek("Q-Id")))))
		return err == nil
	}
}

// Guards against bytes of a faulty upstream that reach a caller as the success of a request.
func TestAnswerWithoutIDOrSignatureIsNotPassedOn(t *testing.T) {
	for name, head := range unproven {
		t.Run(name, func(t *testing.T) { checkIsNoAnswer(t, "HTTP/1.1 "+head) })
	}
}

// checkIsNoAnswer fails the test if callers get a text as the answer to their request, or if it
// proves that the request did not run. The text is that of answerText.
func checkIsNoAnswer(t *testing.T, text string) {
	t.Helper()
	t.Run("non-idempotent", func(t *testing.T) {
		u := newFakeUpstream(t, "u1", "plain", answerText(text))
		r := newTestServer(t, u)
		for i := range 2 {
			resp, complete := r.ask(t, "POST", "/unsafe/x", fmt.Sprint("r", i), "b")
			if !complete || resp.StatusCode() != 502 || len(resp.Header.Peek("Q-Seal")) > 0 {
				t.Errorf("response %d %q, complete %v, want 502", resp.StatusCode(), resp.Body(), complete)
			}
			if r.lines.find("run_lost", fmt.Sprint("r", i)) != nil {
				t.Error("taken for a crash of the upstream")
			}
		}
		u.mu.Lock()
		defer u.mu.Unlock()
		if len(u.seen) != 2 || u.conns != 2 {
			t.Errorf("%d sends over %d connections, want each request once on its own", len(u.seen), u.conns)
		}
	})
	t.Run("idempotent", func(t *testing.T) {
		bad := newFakeUpstream(t, "u1", "plain", answerText(text))
		good := newFakeUpstream(t, "u2", "plain", okReply("good"))
		good.Zone = "far"
		r := newTestServer(t, bad, good)
		resp, complete := r.ask(t, "GET", "/safe/x", "r1", "")
		if !complete || resp.StatusCode() != 200 || string(resp.Body()) != "good" {
			t.Errorf("response %d %q, want the second upstream's", resp.StatusCode(), resp.Body())
		}
	})
	t.Run("stream", func(t *testing.T) {
		bad := fakeEngine(t, "a", 0, 10, answerText(text))
		good := fakeEngine(t, "b", 0, 10, wholeStream(5))
		good.Zone = "far"
		r := newTestServer(t, bad, good)
		resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
		if !complete || string(resp.Header.Peek("Q-Id")) != "r1" {
			t.Errorf("response %d, complete %v", resp.StatusCode(), complete)
		}
		wantEvents(t, resp.Body(), 1, 5)
	})
}

// Guards against a stream that goes on with events of a response that is not the engine's.
func TestStreamDoesNotResumeWithAnUnsignedResponse(t *testing.T) {
	first := fakeEngine(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool { return eventsFrom(conn, req, 1, 3, false) })
	second := fakeEngine(t, "b", 0, 10, answerText("HTTP/1.1 200 OK\r\nQ-Id: %s\r\nContent-Length: 16\r\n\r\nid: 4\ndata: e1\n\n"))
	third := fakeEngine(t, "c", 0, 10, wholeStream(6))
	second.Zone, third.Zone = "far", "farther"
	r := newTestServer(t, first, second, third)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if complete {
		wantEvents(t, resp.Body(), 1, 6)
	}
	if strings.Contains(string(resp.Body()), "id: 4\ndata: e1\n") {
		t.Errorf("events of an unsigned response were passed on: %q", resp.Body())
	}
}
