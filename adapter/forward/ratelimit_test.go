package forward

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/backpressure"
)

// limitedReply returns a handler that answers with status 200 and the given limit.
func limitedReply(limit string) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, 200, "b", "Q-Limit: "+limit)
	}
}

// Guards against a node that takes a whole limit for itself, and against a limit that
// callers do not see.
func TestNodeTakesItsShareOfALimit(t *testing.T) {
	limited := newFakeUpstream(t, "a", "plain", limitedReply("0.5"))
	r := newTestServer(t, limited)
	r.permits.set(false, true)
	r.SetNodes(100)
	if resp, _ := r.ask(t, "GET", "/safe/x", "first", ""); resp.StatusCode() != 200 || string(resp.Header.Peek("Q-Limit")) != "0.5" {
		t.Errorf("status %d, limit %q", resp.StatusCode(), resp.Header.Peek("Q-Limit"))
	}
	for i := range 20 {
		r.ask(t, "GET", "/safe/x", fmt.Sprint("r", i), "")
	}
	// The share is a request in 286 s, which may be due at any moment.
	if n := len(limited.requests()); n > 2 {
		t.Errorf("%d requests to an upstream that takes half a request a second from 100 nodes", n)
	}
}

// A malformed limit is counted and limits nothing.
func TestMalformedLimitIsCounted(t *testing.T) {
	for _, limit := range []string{"x", "-1", "NaN", "+Inf", "1e999", "3,7"} {
		r := newTestServer(t, newFakeUpstream(t, "a", "plain", limitedReply(limit)))
		for i := range 2 {
			if resp, _ := r.ask(t, "GET", "/safe/x", fmt.Sprint("r", i), ""); resp.StatusCode() != 200 {
				t.Errorf("limit %q: status %d", limit, resp.StatusCode())
			}
		}
		if n := r.metrics.get("upstream.limit_malformed"); n != 2 {
			t.Errorf("limit %q: counted %d times, want twice", limit, n)
		}
	}
}

// Guards against a limit that another process at the upstream's address names.
func TestMisdirectedResponseNamesNoLimit(t *testing.T) {
	other := newFakeUpstream(t, "a", "plain", refusalReply(421, "Q-Limit: 0"))
	r := newTestServer(t, other)
	r.ask(t, "GET", "/safe/x", "r1", "")
	if n := r.metrics.get("upstream.limits_named"); n != 0 {
		t.Errorf("%d limits named", n)
	}
}

// Guards against limits that each node has to find out by itself.
func TestLimitsArePublished(t *testing.T) {
	var limit atomic.Value
	limit.Store("3.7")
	limited := newFakeUpstream(t, "a", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		if value := limit.Load().(string); value != "" {
			return reply(conn, req, 200, "b", "Q-Limit: "+value)
		}
		return reply(conn, req, 200, "b")
	})
	r := newTestServer(t, limited)
	r.permits.set(true, false)
	n := 0
	askUntilServed := func() {
		t.Helper()
		eventually(t, "the upstream serves another request", func() bool {
			n++
			resp, _ := r.ask(t, "GET", "/safe/x", fmt.Sprint("r", n), "")
			return resp.StatusCode() == 200
		})
	}
	for _, value := range []string{"3.7", "3.8", "0", ""} {
		limit.Store(value)
		askUntilServed()
	}
	want := []backpressure.LimitNotice{
		{Upstream: instance("a"), PerSecond: 3.7},
		{Upstream: instance("a"), PerSecond: 0.1},
		{Upstream: instance("a")},
	}
	if diff := cmp.Diff(want, r.limitNotices()); diff != "" {
		t.Errorf("notices (-want +got):\n%s", diff)
	}
}

// A node follows the limits that its peers tell it, for the upstreams that it knows, and
// does not publish them again.
func TestPeersLimitIsFollowed(t *testing.T) {
	limited := newFakeUpstream(t, "a", "plain", okReply("a"))
	r := newTestServer(t, limited)
	r.AddLimit(backpressure.LimitNotice{Upstream: instance("unknown"), PerSecond: 1})
	r.AddLimit(backpressure.LimitNotice{Upstream: instance("a"), PerSecond: 1})
	r.ask(t, "GET", "/safe/x", "r1", "")
	expectNoRequests(t, limited)
	if n := r.metrics.get("upstream.limits_named"); n != 1 {
		t.Errorf("%d limits named, want 1", n)
	}
	if got := r.limitNotices(); len(got) > 0 {
		t.Errorf("published %v", got)
	}
	r.AddLimit(backpressure.LimitNotice{Upstream: instance("a")})
	r.picker.mu.Lock()
	admission := r.picker.backpressure.Admits(boottime.Now().Add(time.Minute), instance("a"), false)
	r.picker.mu.Unlock()
	if admission != backpressure.Admitted {
		t.Errorf("admission %v a minute after the end", admission)
	}
}

// Guards against requests that are sent to a limited upstream without a permit, and
// against a question for each of them.
func TestRequestsToALimitedUpstreamNeedPermits(t *testing.T) {
	limited, other := newFakeUpstream(t, "a", "plain", limitedReply("4")), newFakeUpstream(t, "b", "plain", okReply("b"))
	other.Zone = "far"
	r := newTestServer(t, limited, other)
	r.permits.set(true, false)
	for i := range 4 {
		r.ask(t, "GET", "/safe/x", fmt.Sprint("r", i), "")
	}
	if sent, asked := len(limited.requests()), len(r.permits.asked); sent != 4 || asked != 3 {
		t.Errorf("%d sends and %d permits, want 4 and 3", sent, asked)
	}
	r.permits.set(false, false)
	for i := range 4 {
		if resp, _ := r.ask(t, "GET", "/safe/x", fmt.Sprint("s", i), ""); resp.StatusCode() != 200 {
			t.Errorf("status %d", resp.StatusCode())
		}
	}
	if sent, asked := len(limited.requests()), len(r.permits.asked); sent != 4 || asked != 4 {
		t.Errorf("%d sends and %d questions, want 4 and 4", sent, asked)
	}
	want := backpressure.PermitRequest{Upstream: instance("a"), PerSecond: 4}
	if got := r.permits.asked[3]; got != want {
		t.Errorf("asked %+v, want %+v", got, want)
	}
}

// A stream whose response has started asks for a permit though new requests have to wait.
func TestStartedStreamAsksForAPermitAtOnce(t *testing.T) {
	limited := fakeEngine(t, "b", 0, 10, wholeStream(4))
	var r *testServer
	dead := dyingEngine(t, &r, limited)
	r = newTestServer(t, dead)
	r.picker.limitAnswered(&limited.Upstream, boottime.Now(), 4, true)
	r.picker.mu.Lock()
	r.picker.backpressure.PermitAnswered(boottime.Now(), backpressure.PermitReply{Upstream: instance("b"), PauseMs: 5000})
	r.picker.mu.Unlock()
	r.permits.set(true, false)
	begin := time.Now()
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete {
		t.Fatalf("response %q is incomplete", resp.Body())
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("resumed after %v", took)
	}
}

// Guards against a keeper that counts as silent because a caller has disconnected.
func TestEndedRequestSaysNothingAboutTheKeeper(t *testing.T) {
	limited := newFakeUpstream(t, "a", "plain", limitedReply("4"))
	r := newTestServer(t, limited)
	r.permits.set(false, true)
	r.picker.limitAnswered(&limited.Upstream, boottime.Now(), 4, true)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := r.picker.acquirePermit(gone, instance("a"), false); err == nil {
		t.Error("a permit without a keeper")
	}
	if n := r.metrics.get("upstream.permits_failed"); n != 0 {
		t.Errorf("%d failed permits are counted", n)
	}
	if _, err := r.picker.acquirePermit(t.Context(), instance("a"), false); err == nil {
		t.Error("a permit without a keeper")
	}
	if n := r.metrics.get("upstream.permits_failed"); n != 1 {
		t.Errorf("%d failed permits are counted, want 1", n)
	}
}

// Guards against requests at the same moment that each take the one request of this node's
// share while no keeper answers.
func TestShareIsTakenOnceByConcurrentRequests(t *testing.T) {
	limited := newFakeUpstream(t, "a", "plain", limitedReply("4"))
	r := newTestServer(t, limited)
	r.permits.set(false, true)
	r.picker.limitAnswered(&limited.Upstream, boottime.Now(), 4, true)
	r.picker.mu.Lock()
	r.picker.backpressure.PermitFailed(boottime.Now(), instance("a"))
	r.picker.mu.Unlock()
	eventually(t, "the share has a request", func() bool {
		r.picker.mu.Lock()
		defer r.picker.mu.Unlock()
		return r.picker.backpressure.Admits(boottime.Now(), instance("a"), false) == backpressure.Admitted
	})
	r.picker.backpressure.SetNodeCount(1_000_000)
	served := make(chan bool)
	for i := range 20 {
		go func() {
			resp, _ := r.ask(t, "GET", "/safe/x", fmt.Sprint("r", i), "")
			served <- resp.StatusCode() == 200
		}()
	}
	n := 0
	for range 20 {
		if <-served {
			n++
		}
	}
	if n > 1 {
		t.Errorf("%d requests were sent, want one", n)
	}
}
