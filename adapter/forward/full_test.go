package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/decide/intake"
)

// Guards against a node without a free connection that blames the upstream or uses retries.
func TestRequestWithoutFreeConnectionIsRefusedAtOnce(t *testing.T) {
	release := make(chan struct{})
	u := newFakeUpstream(t, "a", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		if string(req.Header.Peek("Q-Id")) == "held" {
			<-release
		}
		return reply(conn, req, 200, "ok")
	})
	r := newTestServer(t, u)
	r.pool.LimitOpen(1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.ask(t, "POST", "/unsafe/x", "held", "b")
	}()
	eventually(t, "the first request is being served", func() bool { return len(u.requests()) == 1 })
	resp, _ := r.ask(t, "POST", "/unsafe/x", "second", "b")
	if resp.StatusCode() != 503 || !strings.Contains(string(resp.Body()), "node_full") || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("status %d, body %q", resp.StatusCode(), resp.Body())
	}
	close(release)
	<-done
	if resp, _ := r.ask(t, "POST", "/unsafe/x", "third", "b"); resp.StatusCode() != 200 {
		t.Errorf("after the connection was free: status %d", resp.StatusCode())
	}
	if n := r.metrics.get("upstream.suspected"); n != 0 {
		t.Errorf("the upstream was suspected %d times", n)
	}
}

// Guards against bodies whose sum exceeds the memory, and against a refusal of the wrong ones.
func TestStalledBodiesGiveWayToNewOnes(t *testing.T) {
	u := newFakeUpstream(t, "a", "plain", okReply("ok"))
	r := newLimitedTestServer(t, intake.Limits{Bytes: 6 << 20}, u)
	close(r.ready)
	var stalled []net.Conn
	for i := range 4 {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nQ-Id: s%d\r\nQ-Key: key\r\nContent-Length: 1000000\r\n\r\n%s", i, strings.Repeat("s", 900_000)); err != nil {
			t.Fatal(err)
		}
		stalled = append(stalled, conn)
	}
	// A body counts as stalled after a second.
	time.Sleep(1500 * time.Millisecond)
	if resp, _ := r.ask(t, "POST", "/unsafe/x", "long", strings.Repeat("b", 3<<20)); resp.StatusCode() != 200 {
		t.Errorf("a body that makes progress: status %d", resp.StatusCode())
	}
	if err := stalled[0].SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(stalled[0])
	if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 503") || !strings.Contains(string(text), "Q-Id: s0") || !strings.Contains(string(text), "Retry-After") {
		t.Errorf("the stalled body: %q, %v", text, err)
	}
	if n := len(u.requests()); n != 1 {
		t.Errorf("%d requests were sent", n)
	}
	eventually(t, "the memory is given back", func() bool {
		bytes, _ := r.Held()
		return bytes < 4<<20
	})
}

// Guards against a body in chunks that exceeds the limit by the byte before its end.
func TestBodiesInChunksAreReadUpToTheLimit(t *testing.T) {
	r := newTestServer(t, newFakeUpstream(t, "a", "plain", okReply("ok")))
	for surplus, want := range []int{fasthttp.StatusOK, fasthttp.StatusRequestEntityTooLarge} {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		body := strings.Repeat("b", defaultMaxBodyBytes+surplus-1)
		if _, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nQ-Id: q%d\r\nQ-Key: key\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", surplus, len(body), body); err != nil {
			t.Fatal(err)
		}
		// The last byte and the end arrive together.
		if _, err := io.WriteString(conn, "1\r\nb\r\n0\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(conn)); err != nil || resp.StatusCode() != want {
			t.Errorf("%d bytes beyond the limit: status %d, %v, want %d", surplus, resp.StatusCode(), err, want)
		}
	}
}
