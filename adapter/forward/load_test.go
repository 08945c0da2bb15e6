package forward

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// loaded returns a handler that answers with a stream of one event, and reports a load.
func loaded(load string) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		event := "id: 1\ndata: e1\n\n"
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nQ-Load: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			req.Header.Peek("Q-Id"), load, len(event), event)
		return err == nil
	}
}

// Streams start at an engine with free slots, according to the loads that the engines reported
// with their last responses.
func TestStreamsStartAtEnginesThatReportFreeSlots(t *testing.T) {
	a := fakeEngine(t, "a", 0, 10, loaded("4, 3, 4"))
	b := fakeEngine(t, "b", 0, 10, loaded("1,0,4"))
	r := newTestServer(t, a, b)
	for i := range 6 {
		if resp, complete := r.ask(t, "POST", "/stream/x", fmt.Sprint("r", i), "p"); !complete || resp.StatusCode() != 200 {
			t.Fatalf("status %d, complete %v", resp.StatusCode(), complete)
		}
	}
	if n := len(a.requests()); n > 1 {
		t.Errorf("%d streams were sent to an engine that reported no free slot", n)
	}
	if n := r.metrics.get("upstream.load_malformed"); n > 0 {
		t.Errorf("%d loads were malformed", n)
	}
}

// A malformed load is counted, and the response is passed on completely.
func TestMalformedLoadIsCounted(t *testing.T) {
	for _, load := range []string{"x", "1", "1,", "-1,0,4", "1.5,0,4", "99999999999999,0,4", ",,", strings.Repeat("9", 400) + ",1,1"} {
		a := fakeEngine(t, "a", 0, 10, loaded(load))
		r := newTestServer(t, a)
		if resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p"); !complete || resp.StatusCode() != 200 {
			t.Errorf("load %q: status %d, complete %v", load, resp.StatusCode(), complete)
		}
		if n := r.metrics.get("upstream.load_malformed"); n != 1 {
			t.Errorf("load %q: counted %d times, want once", load, n)
		}
	}
}
