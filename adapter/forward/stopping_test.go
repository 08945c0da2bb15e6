package forward

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/shutdown"
)

// Times of a planned stop in these tests, from its signal.
const (
	testLateAfter = 300 * time.Millisecond
	testReadFor   = time.Second
	testCutAfter  = 1200 * time.Millisecond
)

// beginStop begins a planned stop, and cuts off what is left at its end. The channel then has whether
// all connections have ended.
func (r *testServer) beginStop(t *testing.T) (signalled time.Time, ended chan bool) {
	t.Helper()
	now := boottime.Now()
	r.BeginStop(shutdown.Plan{ListenUntil: now, LateAt: now.Add(testLateAfter), ReadUntil: now.Add(testReadFor), CutAt: now.Add(testCutAfter)})
	ended = make(chan bool, 1)
	go func() {
		drainCtx, cancel := context.WithTimeout(context.Background(), testCutAfter)
		defer cancel()
		r.Drain(drainCtx)
		cutCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ended <- r.CutOff(cutCtx)
	}()
	return time.Now(), ended
}

// keptConnection returns a connection that has carried a request.
func (r *testServer) keptConnection(t *testing.T, id string) *caller {
	t.Helper()
	c := r.dial(t)
	c.send("GET", "/none/", id, "")
	if resp, _ := c.answer(); resp.StatusCode() != 404 {
		t.Fatalf("status %d", resp.StatusCode())
	}
	return c
}

// begin writes the head of a request and a part of its body of two bytes, and finish the rest.
func (c *caller) begin(path, id string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nQ-Id: %s\r\nQ-Key: key\r\nContent-Length: 2\r\n\r\na", path, id); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) finish() {
	c.t.Helper()
	if _, err := c.conn.Write([]byte("b")); err != nil {
		c.t.Fatal(err)
	}
}

// slowReply returns a handler that answers after a while.
func slowReply(after time.Duration) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		time.Sleep(after)
		return reply(conn, req, 200, "slow")
	}
}

// Guards against requests that come late in a planned stop over connections in use, are passed on, and
// are cut off without an answer.
func TestRequestsThatComeWholeDuringAStopAreServedOrRefused(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		// after is the time from the signal until the request is whole, and work that of the upstream.
		after, work time.Duration
		fresh       bool
		want, sends int
		answeredBy  time.Duration
	}{
		"early, served in time":            {"/unsafe/x", 100 * time.Millisecond, 300 * time.Millisecond, false, 200, 1, 700 * time.Millisecond},
		"early, cut off":                   {"/unsafe/x", 100 * time.Millisecond, 1800 * time.Millisecond, false, 502, 1, testCutAfter + 300*time.Millisecond},
		"early on a new connection":        {"/unsafe/x", 100 * time.Millisecond, 300 * time.Millisecond, true, 200, 1, 700 * time.Millisecond},
		"late":                             {"/unsafe/x", 500 * time.Millisecond, 0, false, 503, 0, 700 * time.Millisecond},
		"late on a new connection":         {"/unsafe/x", 500 * time.Millisecond, 0, true, 503, 0, 700 * time.Millisecond},
		"late, idempotent":                 {"/safe/x", 500 * time.Millisecond, 0, false, 503, 0, 700 * time.Millisecond},
		"late stream":                      {"/stream/x", 500 * time.Millisecond, 0, false, 503, 0, 700 * time.Millisecond},
		"late with a deadline before end":  {"/hurry/x", 500 * time.Millisecond, 20 * time.Millisecond, false, 200, 1, 700 * time.Millisecond},
		"late with a deadline that passes": {"/hurry/x", 500 * time.Millisecond, 300 * time.Millisecond, false, 504, 1, 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newFakeUpstream(t, "u1", "plain", slowReply(c.work))
			r := newTestServer(t, u, fakeEngine(t, "a", 0, 10, wholeStream(2)))
			client := r.dial(t)
			if !c.fresh {
				client = r.keptConnection(t, "first")
			}
			client.begin(c.path, "r1")
			time.Sleep(50 * time.Millisecond)
			signalled, ended := r.beginStop(t)
			time.Sleep(c.after)
			client.finish()
			resp, complete := client.answer()
			took := time.Since(signalled)
			if !complete || resp.StatusCode() != c.want || !resp.ConnectionClose() {
				t.Errorf("status %d, complete %v, closing %v, want %d", resp.StatusCode(), complete, resp.ConnectionClose(), c.want)
			}
			if hasRetryAfter := len(resp.Header.Peek("Retry-After")) > 0; hasRetryAfter != (c.want == 503) {
				t.Errorf("status %d with Retry-After: %v", resp.StatusCode(), hasRetryAfter)
			}
			if took > c.answeredBy {
				t.Errorf("answered after %v, want %v", took, c.answeredBy)
			}
			if n := len(u.requests()); n != c.sends {
				t.Errorf("%d sends, want %d", n, c.sends)
			}
			if !<-ended {
				t.Error("connections are open at the end")
			}
		})
	}
}

// Guards against callers that are told nothing because their requests never become whole.
func TestRequestThatIsNotWholeAtTheEndOfAStopIsTold(t *testing.T) {
	r := newTestServer(t, newFakeUpstream(t, "u1", "plain", okReply("ok")))
	kept, fresh := r.keptConnection(t, "first"), r.dial(t)
	kept.begin("/unsafe/x", "r1")
	fresh.begin("/unsafe/x", "r2")
	time.Sleep(50 * time.Millisecond)
	signalled, ended := r.beginStop(t)
	for _, c := range []*caller{kept, fresh} {
		resp, complete := c.answer()
		if took := time.Since(signalled); !complete || resp.StatusCode() != 408 || took < testReadFor-100*time.Millisecond || took > testCutAfter {
			t.Errorf("status %d after %v, complete %v", resp.StatusCode(), took, complete)
		}
	}
	if !<-ended {
		t.Error("connections are open at the end")
	}
}

// Guards against a stream that ends with the node and looks whole, and against one that is broken off
// before the end.
func TestStreamAtTheEndOfAStopBreaksOff(t *testing.T) {
	engine := fakeEngine(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Peek("Q-Id")); err != nil {
			return false
		}
		for id := 1; ; id++ {
			event := fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	r := newTestServer(t, engine)
	c := r.dial(t)
	c.send("POST", "/stream/x", "r1", "p")
	eventually(t, "the stream runs", func() bool { return len(engine.requests()) == 1 })
	signalled, ended := r.beginStop(t)
	resp, complete := c.answer()
	if took := time.Since(signalled); complete || took < testCutAfter-100*time.Millisecond {
		t.Errorf("complete %v after %v, %q", complete, took, resp.Body())
	}
	if !<-ended {
		t.Error("connections are open at the end")
	}
}

// Guards against a request that waits for an engine until the end of a stop, though it will not be
// sent any more.
func TestRequestInAQueueIsRefusedOnceItIsLate(t *testing.T) {
	u := fakeEngine(t, "a", 0, 10, wholeStream(2))
	r := newTestServer(t, u)
	r.withClasses(t, 2)
	r.picker.refusedFull(&u.Upstream)
	c := r.dial(t)
	c.send("POST", "/calm/x", "queued", "p")
	eventually(t, "the request waits", func() bool { return r.lines.find("admission_queued", "queued") != nil })
	now := boottime.Now()
	signalled := time.Now()
	r.BeginStop(shutdown.Plan{ListenUntil: now, LateAt: now.Add(testLateAfter / 3), ReadUntil: now.Add(testReadFor), CutAt: now.Add(testCutAfter)})
	resp, complete := c.answer()
	if took := time.Since(signalled); !complete || resp.StatusCode() != 503 || took > testLateAfter {
		t.Errorf("status %d after %v, complete %v", resp.StatusCode(), took, complete)
	}
	if len(u.requests()) > 0 {
		t.Error("the request was sent")
	}
}

// Guards against a retry that begins late: a request that no upstream has run is refused truly, while one
// that may be repeated goes on until the end.
func TestRetryThatBeginsLateInAStop(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		first func(conn net.Conn, req *fasthttp.Request) bool
		want  int
		sends int
	}{
		"not run": {"/unsafe/x", func(conn net.Conn, req *fasthttp.Request) bool {
			return reply(conn, req, 503, "full", "Q-Not-Run: 1")
		}, 503, 0},
		"may have run": {"/safe/x", func(net.Conn, *fasthttp.Request) bool { return false }, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := newFakeUpstream(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
				time.Sleep(500 * time.Millisecond)
				return c.first(conn, req)
			})
			good := newFakeUpstream(t, "u2", "plain", okReply("good"))
			good.Zone = "far"
			r := newTestServer(t, bad, good)
			client := r.dial(t)
			client.send("POST", c.path, "r1", "b")
			eventually(t, "the request is sent", func() bool { return len(bad.requests()) == 1 })
			_, ended := r.beginStop(t)
			resp, complete := client.answer()
			if !complete || resp.StatusCode() != c.want || len(good.requests()) != c.sends {
				t.Errorf("status %d, complete %v, %d further sends", resp.StatusCode(), complete, len(good.requests()))
			}
			if !<-ended {
				t.Error("connections are open at the end")
			}
		})
	}
}
