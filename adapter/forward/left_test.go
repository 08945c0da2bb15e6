package forward

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/decide/quarantine"
)

// callerLeftWithin is the longest time after a caller has left until nothing is done for it any
// more, on a node with free processor time.
const callerLeftWithin = 150 * time.Millisecond

// idleConnection makes the server keep an idle connection to a plain upstream, over which a
// request can be sent without a wait.
func idleConnection(t *testing.T, r *testServer) {
	t.Helper()
	if resp, _ := r.ask(t, "GET", "/safe/earlier", "earlier", ""); resp.StatusCode() != 200 {
		t.Fatalf("status %d of an earlier request", resp.StatusCode())
	}
}

// leave closes the connection.
func (c *caller) leave() { _ = c.conn.Close() }

// Guards against a request that is sent for a caller that had left before it was read.
func TestNothingIsSentForACallerThatLeftUnread(t *testing.T) {
	const callers = 50
	u := newFakeUpstream(t, "a", "plain", okReply("fine"))
	r := newTestServer(t, u)
	idleConnection(t, r)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := &caller{t: t, conn: conn}
		c.send("GET", "/safe/left", "left", "")
		c.leave()
	}
	go func() { _ = r.Serve(t.Context(), l) }()
	eventually(t, "all have been read", func() bool { return r.metrics.get("outcome.caller_gone") >= callers })
	if n := countRuns([]*fakeUpstream{u}, "/safe/left"); n > 0 {
		t.Errorf("%d of %d requests were sent", n, callers)
	}
}

// Guards against a request that waits for a node that starts, and is then sent, although its
// caller has left.
func TestWaitForANodeThatStartsEndsWithTheCaller(t *testing.T) {
	u := newFakeUpstream(t, "a", "plain", okReply("fine"))
	r := newStartingTestServer(t, u)
	c := r.dial(t)
	c.send("GET", "/safe/left", "left", "")
	eventually(t, "the request is read", func() bool { return r.Active() == 1 })
	c.leave()
	time.Sleep(callerLeftWithin)
	if r.Active() > 0 {
		t.Error("the request still waits")
	}
	close(r.ready)
	time.Sleep(callerLeftWithin)
	if n := countRuns([]*fakeUpstream{u}, "/safe/left"); n > 0 {
		t.Error("the request was sent")
	}
}

// Guards against a request that is sent once the decision on it is due, although its caller has
// left.
func TestSuspectIsNotSentForACallerThatLeft(t *testing.T) {
	u := newFakeUpstream(t, "a", "plain", okReply("fine"))
	r := newTestServer(t, u)
	idleConnection(t, r)
	r.role.Store(&quarantine.Role{})
	r.AddCrashReport(suspect(verdictOn("plain", "GET", "/safe/left", "")))
	c := r.dial(t)
	c.send("GET", "/safe/left", "left", "")
	eventually(t, "the request is read", func() bool { return r.Active() == 1 })
	c.leave()
	eventually(t, "the request ends", func() bool { return r.Active() == 0 })
	time.Sleep(callerLeftWithin)
	if n := countRuns([]*fakeUpstream{u}, "/safe/left"); n > 0 {
		t.Error("the request was sent")
	}
}

// Guards against a stream that is sent again for a caller that has left while the stream waited
// for a retry.
func TestStreamIsNotSentAgainForACallerThatLeft(t *testing.T) {
	next := fakeEngine(t, "b", 0, 10, wholeStream(4))
	next.Zone = "far"
	r := newTestServer(t, next)
	if _, complete := r.ask(t, "POST", "/stream/x", "earlier", "p"); !complete {
		t.Fatal("an earlier stream is incomplete")
	}
	sent := len(next.requests())
	first := dyingEngine(t, &r)
	r.mu.Lock()
	r.dir.Put(time.Time{}, first.Upstream)
	r.mu.Unlock()
	r.SetNodes(100_000)
	c := r.dial(t)
	c.send("POST", "/stream/x", "left", "p")
	eventually(t, "the stream has broken", func() bool { return r.lines.find("run_lost", "left") != nil })
	c.leave()
	eventually(t, "the stream ends", func() bool { return r.Active() == 0 })
	time.Sleep(callerLeftWithin)
	if n := len(next.requests()) - sent; n > 0 {
		t.Errorf("the stream was sent %d times more", n)
	}
}

// Guards against a stream that runs on for a caller that has left after it sent bytes of its next
// request.
func TestCallerThatLeavesAfterBytesOfANextRequestIsNoticed(t *testing.T) {
	ended := make(chan time.Time, 1)
	u := newFakeUpstream(t, "a", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		eventsFrom(conn, req, 1, 1, false)
		_, _ = conn.Read(make([]byte, 1)) // returns when the connection closes
		ended <- time.Now()
		return false
	})
	r := newTestServer(t, u)
	c := r.dial(t)
	c.send("POST", "/plainstream/x", "s1", "p")
	eventually(t, "the stream begins", func() bool { return len(u.requests()) == 1 })
	c.send("GET", "/safe/next", "next", "")
	time.Sleep(20 * time.Millisecond)
	left := time.Now()
	c.leave()
	select {
	case at := <-ended:
		if took := at.Sub(left); took > callerLeftWithin {
			t.Errorf("the upstream worked for %v", took)
		}
	case <-time.After(waitTimeout):
		t.Error("the upstream still works")
	}
}

// Guards against probes of all engines of a chain for each caller that leaves.
func TestCallerThatLeavesStartsNoProbes(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	u := fakeEngine(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		eventsFrom(conn, req, 1, 1, false)
		<-hold
		return false
	})
	r := newTestServer(t, u)
	c := r.dial(t)
	c.send("POST", "/stream/x", "s1", "p")
	eventually(t, "the stream begins", func() bool { return len(u.requests()) == 1 })
	c.leave()
	eventually(t, "the stream ends", func() bool { return r.lines.find("caller_gone", "s1") != nil })
	if n := r.metrics.get("upstream.probes"); n > 0 {
		t.Errorf("%d probes were made", n)
	}
}
