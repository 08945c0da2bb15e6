package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/decide/intake"
)

// endlessEvents holds texts that a faulty engine repeats without end, none of which ends an event.
var endlessEvents = map[string]string{
	"comment lines": ": x\n",
	"data lines":    "data: x\n",
	"other lines":   "x\n",
	"one line":      "x",
	"long lines":    "data: " + strings.Repeat("x", 3*eventBufferBytes) + "\n",
}

// endlessHeads holds the heads of streams, and how a piece of their bodies is written.
var endlessHeads = map[string]struct {
	head string
	wrap func(piece string) string
}{
	"in chunks": {"Transfer-Encoding: chunked\r\n", func(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) }},
	"no length": {"", func(piece string) string { return piece }},
	"a length":  {"Content-Length: 1000000000000\r\n", func(piece string) string { return piece }},
}

// repeat returns a handler that answers with a head and then repeats a piece at most n times, or until
// the other side closes. sent counts the bytes.
func repeat(head, piece string, n int, sent *atomic.Int64) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Type: text/event-stream\r\n%s\r\n", req.Header.Peek("Q-Id"), head); err != nil {
			return false
		}
		for range n {
			written, err := conn.Write([]byte(piece))
			if sent.Add(int64(written)); err != nil {
				return false
			}
		}
		_, _ = io.Copy(io.Discard, conn) // until the other side closes
		return false
	}
}

// Guards against a faulty engine whose event never ends and fills the memory, however its lines and
// its body are divided.
func TestEventWithoutEndEndsTheAttempt(t *testing.T) {
	for headName, h := range endlessHeads {
		for name, text := range endlessEvents {
			t.Run(headName+", "+name, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				piece := h.wrap(strings.Repeat(text, 1+(16<<10)/len(text)))
				bad := fakeEngine(t, "a", 0, 10, repeat(h.head, piece, 10_000, &sent))
				good := fakeEngine(t, "b", 0, 10, wholeStream(5))
				good.Zone = "far"
				r := newTestServer(t, bad, good)
				began := time.Now()
				resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
				if !complete || resp.StatusCode() != 200 {
					t.Errorf("status %d, complete %v", resp.StatusCode(), complete)
				}
				wantEvents(t, resp.Body(), 1, 5)
				// Sockets hold some MB beside the event.
				if n := sent.Load(); n > maxEventBytes+(16<<20) {
					t.Errorf("%d bytes were taken in %v", n, time.Since(began))
				}
				if r.lines.find("run_lost", "r1") != nil {
					t.Error("taken for a crash of the engine")
				}
			})
		}
	}
}

// Guards against many events within their bound that fill the memory together.
func TestEventsBeingReadAreBoundedTogether(t *testing.T) {
	const limit, streams = 4 << 20, 24
	var sent atomic.Int64
	piece := strings.Repeat("data: x\n", 1000)
	held := fakeEngine(t, "a", 0, 10, repeat("", piece, maxEventBytes/len(piece)-1, &sent))
	held.Slots = streams
	plain := newFakeUpstream(t, "u1", "plain", okReply("ok"))
	r := newLimitedTestServer(t, intake.Limits{Bytes: limit}, held, plain)
	close(r.ready)
	var callers []*caller
	for i := range streams {
		c := r.dial(t)
		c.send("POST", "/stream/x", fmt.Sprint("s", i), "p")
		callers = append(callers, c)
	}
	most := int64(0)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		bytes, _ := r.gate.Held()
		most = max(most, bytes)
	}
	if most > limit || most < limit/2 {
		t.Errorf("up to %d bytes are held of %d", most, limit)
	}
	if resp, complete := r.ask(t, "POST", "/unsafe/x", "r1", "b"); !complete || resp.StatusCode() != 200 {
		t.Errorf("a request beside them gets %d", resp.StatusCode())
	}
	for _, c := range callers {
		_ = c.conn.Close()
	}
	for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
		bytes, connections := r.gate.Held()
		if bytes == 0 && connections == 1 {
			return // that of the request beside them is left
		}
		if time.Now().After(end) {
			t.Fatalf("%d bytes and %d connections are held after the callers have left", bytes, connections)
		}
	}
}

// Guards against a bound that cuts the largest event.
func TestLargeEventIsPassedOnWhole(t *testing.T) {
	const size = maxEventBytes - 64
	large := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n"
	body := large + "id: 2\ndata: e2\n\n"
	engine := fakeEngine(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Peek("Q-Id"), len(body), body)
		return err == nil
	})
	r := newTestServer(t, engine)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete || string(resp.Body()) != body {
		t.Errorf("status %d, complete %v, %d bytes of %d", resp.StatusCode(), complete, len(resp.Body()), len(body))
	}
}
