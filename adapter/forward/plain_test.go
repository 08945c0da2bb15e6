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
	f := newFake(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, 201, "made", "X-Other: kept", "Connection: keep-alive")
	})
	r := newRig(t, f)
	resp, whole := r.ask(t, "POST", "/unsafe/a%20b?x=1&y", "r1", "the body", "X-Mine: 5", "Connection: X-Hop", "X-Hop: gone",
		"Q-Account: forged", "Q-Expect: forged", "Q-Stages: forged", "Q-Rank: 0")
	if !whole || resp.StatusCode() != 201 || string(resp.Body()) != "made" {
		t.Fatalf("answer %d %q", resp.StatusCode(), resp.Body())
	}
	for name, want := range map[string]string{"Q-Seal": "seal-made", "X-Other": "kept", "Q-Id": "r1"} {
		if got := string(resp.Header.Peek(name)); got != want {
			t.Errorf("answer's %s is %q, want %q", name, got, want)
		}
	}
	got := f.requests()[0]
	for name, want := range map[string]string{
		"Host": "h", "Q-Id": "r1", "X-Mine": "5", "Q-Account": "acme", "Q-Expect": "u1",
		"Q-Key": "", "X-Hop": "", "Q-Stages": "",
	} {
		if value := string(got.Header.Peek(name)); value != want {
			t.Errorf("upstream's %s is %q, want %q", name, value, want)
		}
	}
	if string(got.Header.RequestURI()) != "/unsafe/a%20b?x=1&y" || string(got.Body()) != "the body" || !got.Header.IsPost() {
		t.Errorf("upstream got %s %s %q", got.Header.Method(), got.Header.RequestURI(), got.Body())
	}
	left, err := strconv.Atoi(string(got.Header.Peek("Q-Left")))
	if err != nil || left <= 0 || left > 2000 {
		t.Errorf("time left %d, want what is left of the route's 2 s", left)
	}
}

func TestUnknownRoutesAndKeysAreRefusedBeforeAnything(t *testing.T) {
	f := newFake(t, "u1", "plain", ok("x"))
	r := newRig(t, f)
	c := r.dial(t)
	c.send("GET", "/none/", "r1", "")
	if resp, _ := c.answer(); resp.StatusCode() != 404 {
		t.Errorf("no route: %d", resp.StatusCode())
	}
	c.send("GET", "/safe/", "r2", "", "Q-Key: other")
	if resp, _ := c.answer(); resp.StatusCode() != 401 {
		// The header stands twice; the first is right, so it is let in.
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
		t.Errorf("a route that needs no key: %d", resp.StatusCode())
	}
}

func TestIdempotentIsTriedAgainElsewhere(t *testing.T) {
	for name, first := range map[string]script{
		"own failure": func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 500, "bad") },
		"hung up":     func(net.Conn, *fasthttp.Request) bool { return false },
		"cut short": func(conn net.Conn, req *fasthttp.Request) bool {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nQ-Id: " + string(req.Header.Peek("Q-Id")) + "\r\nContent-Length: 100\r\n\r\npart"))
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
			bad := newFake(t, "u1", "plain", first)
			good := newFake(t, "u2", "plain", ok("good"))
			good.Zone = "far"
			r := newRig(t, bad, good)
			resp, whole := r.ask(t, "GET", "/safe/x", "r1", "")
			if !whole || resp.StatusCode() != 200 || string(resp.Body()) != "good" {
				t.Errorf("answer %d %q, want the second upstream's", resp.StatusCode(), resp.Body())
			}
			if len(bad.requests()) != 1 || len(good.requests()) != 1 {
				t.Errorf("sends: %d and %d", len(bad.requests()), len(good.requests()))
			}
		})
	}
}

func TestNonIdempotentRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first script
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
			bad := newFake(t, "u1", "plain", c.first)
			good := newFake(t, "u2", "plain", ok("good"))
			good.Zone = "far"
			r := newRig(t, bad, good)
			resp, _ := r.ask(t, "POST", "/unsafe/x", "r1", "b")
			if resp.StatusCode() != c.want {
				t.Errorf("answer %d, want %d", resp.StatusCode(), c.want)
			}
			if sends := len(bad.requests()) + len(good.requests()); sends != c.sends {
				t.Errorf("%d sends, want %d", sends, c.sends)
			}
		})
	}
}

func TestNotRunIsSaidOnlyWithProof(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	f := newFake(t, "u1", "plain", func(net.Conn, *fasthttp.Request) bool {
		<-hold
		return false
	})
	r := newRig(t, f)
	resp, _ := r.ask(t, "POST", "/hurry/x", "r1", "b")
	if resp.StatusCode() != 504 || len(resp.Header.Peek("Q-Seal")) > 0 {
		t.Errorf("a request that was sent and not answered in time: %d, want 504", resp.StatusCode())
	}
	none := newRig(t)
	resp, _ = none.ask(t, "POST", "/unsafe/x", "r2", "b")
	after, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
	if resp.StatusCode() != 503 || err != nil || after <= 0 {
		t.Errorf("no upstream: %d, Retry-After %v (%v)", resp.StatusCode(), after, err)
	}
}

func TestRefusedByAllIsNotRun(t *testing.T) {
	full := func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 503, "full", "Q-Not-Run: 1") }
	a, b := newFake(t, "u1", "plain", full), newFake(t, "u2", "plain", full)
	r := newRig(t, a, b)
	resp, _ := r.ask(t, "POST", "/unsafe/x", "r1", "b")
	if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 || len(resp.Header.Peek("Q-Seal")) > 0 {
		t.Errorf("answer %d", resp.StatusCode())
	}
}

func TestAnswersToOthersAreSkipped(t *testing.T) {
	n := 0
	f := newFake(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		n++
		if n == 2 {
			// A second answer to the first request comes late.
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nQ-Id: r1\r\nContent-Length: 5\r\n\r\nother"))
		}
		return reply(conn, req, 200, "own"+strconv.Itoa(n))
	})
	r := newRig(t, f)
	c := r.dial(t)
	for _, id := range []string{"r1", "r2"} {
		c.send("POST", "/unsafe/x", id, "b")
		resp, whole := c.answer()
		if !whole || !strings.HasPrefix(string(resp.Body()), "own") || string(resp.Header.Peek("Q-Id")) != id {
			t.Errorf("%s: %d %q", id, resp.StatusCode(), resp.Body())
		}
	}
	if f.conns != 1 || r.counts.get("upstream.foreign_answer") != 1 {
		t.Errorf("connections %d, foreign answers %d", f.conns, r.counts.get("upstream.foreign_answer"))
	}
}

func TestConnectionsWithSurplusBytesAreNotUsedAgain(t *testing.T) {
	f := newFake(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, 200, "x") && reply(conn, req, 200, "extra")
	})
	r := newRig(t, f)
	c := r.dial(t)
	for _, id := range []string{"r1", "r2", "r3"} {
		c.send("POST", "/unsafe/x", id, "b")
		if resp, whole := c.answer(); !whole || string(resp.Body()) != "x" || string(resp.Header.Peek("Q-Id")) != id {
			t.Errorf("%s: %q", id, resp.Body())
		}
		// The surplus has to arrive before the connection is looked at.
		time.Sleep(20 * time.Millisecond)
	}
	if f.conns != 3 {
		t.Errorf("%d connections, want a new one each time", f.conns)
	}
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	ended := make(chan struct{}, 1)
	f := newFake(t, "u1", "plain", func(conn net.Conn, _ *fasthttp.Request) bool {
		var one [1]byte
		_, _ = conn.Read(one[:]) // ends with the connection
		ended <- struct{}{}
		return false
	})
	r := newRig(t, f)
	c := r.dial(t)
	c.send("POST", "/unsafe/x", "r1", "b")
	eventually(t, "request arrives", func() bool { return len(f.requests()) == 1 })
	_ = c.conn.Close()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Error("the upstream's connection stays open")
	}
}

func TestMalformedRequestsGetAClearAnswer(t *testing.T) {
	r := newRig(t, newFake(t, "u1", "plain", ok("x")))
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
			t.Errorf("%s: %d, want %d and the connection closed", name, resp.StatusCode(), c.want)
		}
	}
	if resp, _ := r.ask(t, "GET", "/safe/", "r1", ""); resp.StatusCode() != 200 {
		t.Errorf("afterwards: %d", resp.StatusCode())
	}
}

func TestPlannedStopAnswersWhatIsUnderWay(t *testing.T) {
	release := make(chan struct{})
	f := newFake(t, "u1", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		<-release
		return reply(conn, req, 200, "late")
	})
	r := newRig(t, f)
	busy, idle := r.dial(t), r.dial(t)
	idle.send("GET", "/none/", "r0", "")
	if resp, _ := idle.answer(); resp.ConnectionClose() {
		t.Error("closed before the stop")
	}
	busy.send("POST", "/unsafe/x", "r1", "b")
	eventually(t, "request arrives", func() bool { return len(f.requests()) == 1 })
	done := make(chan bool)
	go func() { done <- r.Drain(t.Context()) }()
	if _, err := idle.r.ReadByte(); err == nil {
		t.Error("the idle connection is not closed")
	}
	close(release)
	resp, whole := busy.answer()
	if !whole || string(resp.Body()) != "late" || !resp.ConnectionClose() {
		t.Errorf("answer %d %q, closing %v", resp.StatusCode(), resp.Body(), resp.ConnectionClose())
	}
	if !<-done {
		t.Error("not all were answered")
	}
}

func TestNodeWithoutConfigurationSaysNotRun(t *testing.T) {
	r := newRig(t, newFake(t, "u1", "plain", ok("x")))
	r.table.Store(nil)
	resp, _ := r.ask(t, "GET", "/none/", "r1", "")
	if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("answer %d, want 503 with when to come back", resp.StatusCode())
	}
}

func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	up := newFake(t, "u1", "plain", ok("good"))
	r := newStartingRig(t, up)
	table := r.table.Swap(nil)
	c := r.dial(t)
	c.send("GET", "/safe/x", "r1", "")
	eventually(t, "the request is held", func() bool { return r.Active() == 1 })
	r.table.Store(table)
	close(r.known)
	if resp, _ := c.answer(); resp.StatusCode() != 200 {
		t.Errorf("answer %d", resp.StatusCode())
	}
}

func TestNodeWithoutConfigurationRefusesInTheEnd(t *testing.T) {
	r := newStartingRig(t)
	r.table.Store(nil)
	if resp, _ := r.ask(t, "GET", "/safe/x", "r1", ""); resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("answer %d, come back after %q", resp.StatusCode(), resp.Header.Peek("Retry-After"))
	}
}
