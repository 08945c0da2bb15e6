package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

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

// receiveBuffer returns the size of the receive buffer of the only connection, and whether it is
// bounded.
func (r *testServer) receiveBuffer(t *testing.T) (bytes int, bounded bool) {
	t.Helper()
	r.Server.mu.Lock()
	defer r.Server.mu.Unlock()
	for c := range r.conns {
		raw, err := c.conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		err = raw.Control(func(fd uintptr) {
			lock, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BUF_LOCK)
			if err != nil {
				t.Error(err)
			}
			const receiveLocked = 2
			bounded = lock&receiveLocked != 0
			if bytes, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF); err != nil {
				t.Error(err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return bytes, bounded
}

// Guards against long bodies that take longer over links with a delay although memory is free, and
// against connections that keep what the kernel has chosen.
func TestReceiveBufferOfALongBodyIsBoundedOnlyIfMemoryIsShort(t *testing.T) {
	for memory, wantBounded := range map[int64]bool{64 << 20: false, 8 << 20: true} {
		r := newLimitedTestServer(t, intake.Limits{Bytes: memory}, newFakeUpstream(t, "a", "plain", okReply("ok")))
		close(r.ready)
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for i := range 2 {
			if _, err := fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nQ-Id: long%d\r\nQ-Key: key\r\nContent-Length: %d\r\n\r\n%s", i, defaultMaxBodyBytes, strings.Repeat("b", defaultMaxBodyBytes-1)); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the body is read but for a byte", func() bool {
				held, _ := r.Held()
				return held >= defaultMaxBodyBytes
			})
			if bytes, bounded := r.receiveBuffer(t); bounded != wantBounded || bytes <= 2*receiveBytes {
				t.Errorf("memory of %d bytes, body %d: receive buffer of %d bytes, bounded %v", memory, i, bytes, bounded)
			}
			if _, err := io.WriteString(conn, "b"); err != nil {
				t.Fatal(err)
			}
			var resp fasthttp.Response
			if err := resp.Read(in); err != nil || resp.StatusCode() != fasthttp.StatusOK {
				t.Errorf("memory of %d bytes, body %d: status %d, %v", memory, i, resp.StatusCode(), err)
			}
			if bytes, bounded := r.receiveBuffer(t); !bounded || bytes != 2*receiveBytes {
				t.Errorf("memory of %d bytes, after body %d: receive buffer of %d bytes, bounded %v", memory, i, bytes, bounded)
			}
		}
	}
}
