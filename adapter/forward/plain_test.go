package forward

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func TestPlainExchangeGoesThroughUnchanged(t *testing.T) {
	f := newFakeUpstream(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, 201, "made", "X-Other: kept", "Connection: keep-alive")
	})
	r := newTestServer(t, f)
	resp, complete := r.ask(t, "POST", "/unsafe/a%20b?x=1&y", "r1", "the body", "X-Mine: 5", "Connection: X-Hop", "X-Hop: gone",
		"Q-Account: forged", "Q-Expect: forged", "Q-Stages: forged", "Q-Rank: 0")
	if !complete || resp.StatusCode() != 201 || string(resp.Body()) != "made" {
		t.Fatalf("response %d %q", resp.StatusCode(), resp.Body())
	}
	for name, want := range map[string]string{"Q-Seal": "seal-made", "X-Other": "kept", "Q-Id": "r1"} {
		if got := string(resp.Header.Peek(name)); got != want {
			t.Errorf("response header %s is %q, want %q", name, got, want)
		}
	}
	got := f.requests()[0]
	for name, want := range map[string]string{
		"Host": "h", "Q-Id": "r1", "X-Mine": "5", "Q-Account": "acme", "Q-Expect": "u1",
		"Q-Key": "", "X-Hop": "", "Q-Stages": "",
	} {
		if value := string(got.Header.Peek(name)); value != want {
			t.Errorf("request header %s is %q at the upstream, want %q", name, value, want)
		}
	}
	if string(got.Header.RequestURI()) != "/unsafe/a%20b?x=1&y" || string(got.Body()) != "the body" || !got.Header.IsPost() {
		t.Errorf("upstream received %s %s %q", got.Header.Method(), got.Header.RequestURI(), got.Body())
	}
	left, err := strconv.Atoi(string(got.Header.Peek("Q-Left")))
	if err != nil || left <= 0 || left > 2000 {
		t.Errorf("time left %d ms, want the rest of the route's 2 s", left)
	}
}

func TestUnknownRoutesAndKeysAreRefused(t *testing.T) {
	f := newFakeUpstream(t, "u1", "plain", okReply("x"))
	r := newTestServer(t, f)
	c := r.dial(t)
	c.send("GET", "/none/", "r1", "")
	if resp, _ := c.answer(); resp.StatusCode() != 404 {
		t.Errorf("no route: %d", resp.StatusCode())
	}
	c.send("GET", "/safe/", "r2", "", "Q-Key: other")
	if resp, _ := c.answer(); resp.StatusCode() != 401 {
		// The header occurs twice. The first key is valid, so the request is admitted.
		if resp.StatusCode() != 200 {
			t.Errorf("two keys: %d", resp.StatusCode())
		}
	}
	raw := r.dial(t)
	if _, err := raw.conn.Write([]byte("GET /safe/ HTTP/1.1\r\nHost: h\r\nQ-Key: wrong\r\n\r\nGET /open/ HTTP/1.1\r\nHost: h\r\nQ-Key: wrong\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if resp, _ := raw.answer(); resp.StatusCode() != 401 {
		t.Errorf("wrong key: %d", resp.StatusCode())
	}
	if resp, _ := raw.answer(); resp.StatusCode() != 200 {
		t.Errorf("route that needs no key: %d", resp.StatusCode())
	}
}

func TestIdempotentRequestIsRetriedOnAnotherUpstream(t *testing.T) {
	for name, first := range map[string]handler{
		"own failure": func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 500, "bad") },
		"hung up":     func(net.Conn, *fasthttp.Request) bool { return false },
		"cut short": func(conn net.Conn, req *fasthttp.Request) bool {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nQ-Id: " + string(req.Header.Peek("Q-Id")) + "\r\nQ-Seal: s\r\nContent-Length: 100\r\n\r\npart"))
			return false
		},
		"nonsense": func(conn net.Conn, _ *fasthttp.Request) bool {
			_, _ = conn.Write([]byte("\x00\x01\x02 nonsense\r\n\r\n"))
			return false
		},
		"not run": func(conn net.Conn, req *fasthttp.Request) bool {
			return reply(conn, req, 503, "full", "Q-Not-Run: 1")
		},
		"misdirected": func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 421, "") },
	} {
		t.Run(name, func(t *testing.T) {
			bad := newFakeUpstream(t, "u1", "plain", first)
			good := newFakeUpstream(t, "u2", "plain", okReply("good"))
			good.Zone = "far"
			r := newTestServer(t, bad, good)
			resp, complete := r.ask(t, "GET", "/safe/x", "r1", "")
			if !complete || resp.StatusCode() != 200 || string(resp.Body()) != "good" {
				t.Errorf("response %d %q, want the second upstream's", resp.StatusCode(), resp.Body())
			}
			if len(bad.requests()) != 1 || len(good.requests()) != 1 {
				t.Errorf("sends: %d and %d, want one each", len(bad.requests()), len(good.requests()))
			}
		})
	}
}

func TestNonIdempotentRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first handler
		want  int
		sends int
	}{
		"own failure": {func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 500, "bad") }, 500, 1},
		"hung up":     {func(net.Conn, *fasthttp.Request) bool { return false }, 502, 1},
		"not run": {func(conn net.Conn, req *fasthttp.Request) bool {
			return reply(conn, req, 503, "full", "Q-Not-Run: 1")
		}, 200, 2},
		"unmarked 503": {func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 503, "oops") }, 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			bad := newFakeUpstream(t, "u1", "plain", c.first)
			good := newFakeUpstream(t, "u2", "plain", okReply("good"))
			good.Zone = "far"
			r := newTestServer(t, bad, good)
			resp, _ := r.ask(t, "POST", "/unsafe/x", "r1", "b")
			if resp.StatusCode() != c.want {
				t.Errorf("status %d, want %d", resp.StatusCode(), c.want)
			}
			if sends := len(bad.requests()) + len(good.requests()); sends != c.sends {
				t.Errorf("%d sends, want %d", sends, c.sends)
			}
		})
	}
}

func TestNotRunIsReportedOnlyWithProof(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	f := newFakeUpstream(t, "u1", "plain", func(net.Conn, *fasthttp.Request) bool {
		<-hold
		return false
	})
	r := newTestServer(t, f)
	resp, _ := r.ask(t, "POST", "/hurry/x", "r1", "b")
	if resp.StatusCode() != 504 || len(resp.Header.Peek("Q-Seal")) > 0 {
		t.Errorf("request that was sent and not answered in time: %d, want 504", resp.StatusCode())
	}
	none := newTestServer(t)
	resp, _ = none.ask(t, "POST", "/unsafe/x", "r2", "b")
	after, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
	if resp.StatusCode() != 503 || err != nil || after <= 0 {
		t.Errorf("no upstream: %d, Retry-After %v (%v)", resp.StatusCode(), after, err)
	}
}

func TestRefusedByAllIsNotRun(t *testing.T) {
	full := func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 503, "full", "Q-Not-Run: 1") }
	a, b := newFakeUpstream(t, "u1", "plain", full), newFakeUpstream(t, "u2", "plain", full)
	r := newTestServer(t, a, b)
	resp, _ := r.ask(t, "POST", "/unsafe/x", "r1", "b")
	if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 || len(resp.Header.Peek("Q-Seal")) > 0 {
		t.Errorf("status %d", resp.StatusCode())
	}
}

func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	n := 0
	f := newFakeUpstream(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		n++
		if n == 2 {
			// A second response to the first request arrives late.
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nQ-Id: r1\r\nContent-Length: 5\r\n\r\nother"))
		}
		return reply(conn, req, 200, "own"+strconv.Itoa(n))
	})
	r := newTestServer(t, f)
	c := r.dial(t)
	for _, id := range []string{"r1", "r2"} {
		c.send("POST", "/unsafe/x", id, "b")
		resp, complete := c.answer()
		if !complete || !strings.HasPrefix(string(resp.Body()), "own") || string(resp.Header.Peek("Q-Id")) != id {
			t.Errorf("%s: %d %q", id, resp.StatusCode(), resp.Body())
		}
	}
	if f.conns != 1 || r.metrics.get("upstream.foreign_answer") != 1 {
		t.Errorf("%d connections, %d foreign responses, want one each", f.conns, r.metrics.get("upstream.foreign_answer"))
	}
}

func TestConnectionsWithSurplusBytesAreNotUsedAgain(t *testing.T) {
	f := newFakeUpstream(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, 200, "x") && reply(conn, req, 200, "extra")
	})
	r := newTestServer(t, f)
	c := r.dial(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		c.send("POST", "/unsafe/x", id, "b")
		if resp, complete := c.answer(); !complete || string(resp.Body()) != "x" || string(resp.Header.Peek("Q-Id")) != id {
			t.Errorf("%s: %q", id, resp.Body())
		}
		// The extra bytes have to arrive before the connection is checked.
		time.Sleep(20 * time.Millisecond)
	}
	if f.conns != 3 {
		t.Errorf("%d connections, want a new one for each request", f.conns)
	}
}

func TestCallerDisconnectEndsTheUpstreamRequest(t *testing.T) {
	ended := make(chan struct{}, 1)
	f := newFakeUpstream(t, "u1", "plain", func(conn net.Conn, _ *fasthttp.Request) bool {
		var one [1]byte
		_, _ = conn.Read(one[:]) // returns when the connection closes
		ended <- struct{}{}
		return false
	})
	r := newTestServer(t, f)
	c := r.dial(t)
	c.send("POST", "/unsafe/x", "r1", "b")
	eventually(t, "the request arrives", func() bool { return len(f.requests()) == 1 })
	_ = c.conn.Close()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Error("the connection to the upstream stays open")
	}
}

func TestMalformedRequestsGetAnErrorStatus(t *testing.T) {
	r := newTestServer(t, newFakeUpstream(t, "u1", "plain", okReply("x")))
	for name, c := range map[string]struct {
		raw  string
		want int
	}{
		"no request line": {"nonsense\r\n\r\n", 400},
		"two lengths":     {"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"bad chunk":       {"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"huge head":       {"GET /safe/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431},
		"huge body":       {"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", 413},
	} {
		conn := r.dial(t)
		if _, err := conn.conn.Write([]byte(c.raw)); err != nil {
			t.Fatal(err)
		}
		if resp, _ := conn.answer(); resp.StatusCode() != c.want || !resp.ConnectionClose() {
			t.Errorf("%s: %d, want %d and a closed connection", name, resp.StatusCode(), c.want)
		}
	}
	if resp, _ := r.ask(t, "GET", "/safe/", "r1", ""); resp.StatusCode() != 200 {
		t.Errorf("valid request afterwards: %d", resp.StatusCode())
	}
}

func TestDrainAnswersRequestsUnderWay(t *testing.T) {
	release := make(chan struct{})
	f := newFakeUpstream(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		<-release
		return reply(conn, req, 200, "late")
	})
	r := newTestServer(t, f)
	busy, idle := r.dial(t), r.dial(t)
	idle.send("GET", "/none/", "r0", "")
	if resp, _ := idle.answer(); resp.ConnectionClose() {
		t.Error("the connection closes before the drain")
	}
	busy.send("POST", "/unsafe/x", "r1", "b")
	eventually(t, "the request arrives", func() bool { return len(f.requests()) == 1 })
	done := make(chan bool)
	go func() { done <- r.Drain(t.Context()) }()
	if _, err := idle.r.ReadByte(); err == nil {
		t.Error("the idle connection stays open")
	}
	close(release)
	resp, complete := busy.answer()
	if !complete || string(resp.Body()) != "late" || !resp.ConnectionClose() {
		t.Errorf("response %d %q, closing %v", resp.StatusCode(), resp.Body(), resp.ConnectionClose())
	}
	if !<-done {
		t.Error("Drain returned before all requests were answered")
	}
}

func TestNodeWithoutConfigurationReportsNotRun(t *testing.T) {
	r := newTestServer(t, newFakeUpstream(t, "u1", "plain", okReply("x")))
	r.table.Store(nil)
	resp, _ := r.ask(t, "GET", "/none/", "r1", "")
	if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("status %d, want 503 with Retry-After", resp.StatusCode())
	}
}

func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	up := newFakeUpstream(t, "u1", "plain", okReply("good"))
	r := newStartingTestServer(t, up)
	table := r.table.Swap(nil)
	c := r.dial(t)
	c.send("GET", "/safe/x", "r1", "")
	eventually(t, "the request waits", func() bool { return r.Active() == 1 })
	r.table.Store(table)
	close(r.ready)
	if resp, _ := c.answer(); resp.StatusCode() != 200 {
		t.Errorf("status %d", resp.StatusCode())
	}
}

func TestNodeWithoutConfigurationRefusesAfterTheWait(t *testing.T) {
	r := newStartingTestServer(t)
	r.table.Store(nil)
	if resp, _ := r.ask(t, "GET", "/safe/x", "r1", ""); resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("status %d, Retry-After %q, want 503 with Retry-After", resp.StatusCode(), resp.Header.Peek("Retry-After"))
	}
}

// Guards against a node that knows its upstreams, but not yet which requests crash them, and
// sends such a request.
func TestNothingIsSentBeforeTheNodeIsReady(t *testing.T) {
	r := newStartingTestServer(t, newFakeUpstream(t, "u1", "plain", okReply("x")))
	resp, _ := r.ask(t, "GET", "/safe/x", "r1", "")
	if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("status %d, Retry-After %q, want 503 with Retry-After", resp.StatusCode(), resp.Header.Peek("Retry-After"))
	}
	if resp, _ := r.ask(t, "GET", "/none/", "r2", ""); resp.StatusCode() != 404 {
		t.Errorf("status %d without a route, want 404", resp.StatusCode())
	}
}
