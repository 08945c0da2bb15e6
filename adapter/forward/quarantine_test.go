package forward

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/quarantine"
)

// verdictOn returns a verdict on requests like one that a test sends.
func verdictOn(service, method, path, body string) quarantine.Verdict {
	fingerprint := quarantine.FingerprintOf([]byte(service), []byte("acme"), []byte(method), []byte(path), []byte(body))
	return quarantine.Verdict{Fingerprint: fingerprint, For: time.Minute, Service: ids.Service(service)}
}

// Guards against a request that is sent although it was quarantined while it waited for a
// permit.
func TestRequestQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	limited := newFakeUpstream(t, "a", "plain", limitedReply("3"))
	r := newTestServer(t, limited)
	r.permits.set(true, false)
	eventually(t, "a permit is asked for", func() bool {
		r.ask(t, "GET", "/safe/other", "first", "")
		r.permits.mu.Lock()
		defer r.permits.mu.Unlock()
		return len(r.permits.asked) > 0
	})
	r.permits.mu.Lock()
	r.permits.onAcquire = func() { r.AddVerdict(verdictOn("plain", "GET", "/safe/crash", "")) }
	r.permits.mu.Unlock()
	resp, _ := r.ask(t, "GET", "/safe/crash", "r1", "")
	if n := countRuns([]*fakeUpstream{limited}, "/safe/crash"); resp.StatusCode() != 503 || n != 0 {
		t.Errorf("status %d after %d sends, want 503 after none", resp.StatusCode(), n)
	}
}

// quarantineLater sends a stream and quarantines it after a while. It returns how long the
// caller waited for the end.
func quarantineLater(t *testing.T, r *testServer) time.Duration {
	t.Helper()
	time.AfterFunc(300*time.Millisecond, func() { r.AddVerdict(verdictOn("model", "POST", "/stream/crash", "p")) })
	sent := time.Now()
	if resp, complete := r.ask(t, "POST", "/stream/crash", "r1", "p"); complete {
		t.Errorf("the response %q is complete", resp.Body())
	}
	return time.Since(sent)
}

// mostQuarantineWait is the longest time that a caller waits for the end of a stream that is
// quarantined after 300 ms. The deadline is 5 s.
const mostQuarantineWait = time.Second

// Guards against a quarantined stream that ends at its deadline because it waits for a chain.
func TestStreamQuarantinedWithoutAChainEnds(t *testing.T) {
	r := newTestServer(t, fakeEngine(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		return eventsFrom(conn, req, 1, 2, false)
	}))
	r.engines.dead[instance("a")] = true
	if took := quarantineLater(t, r); took > mostQuarantineWait {
		t.Errorf("the caller waited for %v", took)
	}
}

// Guards against a quarantined stream that ends at its deadline because it waits for a retry.
func TestStreamQuarantinedWithoutARetryEnds(t *testing.T) {
	next := fakeEngine(t, "b", 0, 10, wholeStream(4))
	var r *testServer
	r = newTestServer(t, dyingEngine(t, &r, next))
	r.SetNodes(100_000)
	if took := quarantineLater(t, r); took > mostQuarantineWait {
		t.Errorf("the caller waited for %v", took)
	}
	if n := len(next.requests()); n != 0 {
		t.Errorf("sent %d times after its first engine", n)
	}
}

// suspect returns what keepers announce about a request that is blamed for two upstreams.
func suspect(v quarantine.Verdict) quarantine.Report {
	event := func(upstream ids.Upstream, age time.Duration) quarantine.Event {
		return quarantine.Event{Kind: quarantine.Blamed, Upstream: upstream, Fingerprint: v.Fingerprint, Age: age, Ran: time.Millisecond}
	}
	return quarantine.Report{Service: v.Service, Events: []quarantine.Event{event("x", time.Second), event("y", 0)}, Announced: true}
}

// Guards against a suspect that crashes one more upstream while the keepers decide on it.
func TestSuspectWaitsForTheDecision(t *testing.T) {
	all := []*fakeUpstream{newFakeUpstream(t, "a", "plain", okReply("fine"))}
	r := newTestServer(t, all...)
	r.role.Store(&quarantine.Role{})
	guilty, innocent := verdictOn("plain", "GET", "/safe/guilty", ""), verdictOn("plain", "GET", "/safe/innocent", "")
	r.AddCrashReport(suspect(guilty))
	r.AddCrashReport(suspect(innocent))
	time.AfterFunc(200*time.Millisecond, func() { r.AddVerdict(guilty) })
	sent := time.Now()
	if resp, _ := r.ask(t, "GET", "/safe/guilty", "r1", ""); resp.StatusCode() != 503 || countRuns(all, "/safe/guilty") != 0 {
		t.Errorf("with a verdict: status %d after %d sends, want 503 after none", resp.StatusCode(), countRuns(all, "/safe/guilty"))
	}
	if took := time.Since(sent); took > 400*time.Millisecond {
		t.Errorf("refused %v after the verdict", took-200*time.Millisecond)
	}
	if resp, _ := r.ask(t, "GET", "/safe/innocent", "r2", ""); resp.StatusCode() != 200 {
		t.Errorf("without a verdict: status %d", resp.StatusCode())
	}
	if took := time.Since(sent); took > 1500*time.Millisecond {
		t.Errorf("sent after %v", took)
	}
}

// Guards against a request that is never recognized because it crashes engines after its first
// event.
func TestStreamThatCrashesEnginesAfterAnEventIsRefused(t *testing.T) {
	const path = "/stream/crash"
	r, all := crashingEngines(t, func(conn net.Conn, req *fasthttp.Request) bool {
		from := nextEventID(req)
		eventsFrom(conn, req, from, from, false)
		return false
	})
	for _, id := range []string{"r1", "r2"} {
		r.ask(t, "POST", path, id, "p")
	}
	if got := countRuns(all, path); got != 4 {
		t.Fatalf("two requests ran %d times, want 4", got)
	}
	resp, _ := r.ask(t, "POST", path, "r3", "p")
	if got := countRuns(all, path); resp.StatusCode() != 503 || got != 4 {
		t.Errorf("status %d after %d runs, want 503 after 4", resp.StatusCode(), got)
	}
}

// Guards against a stream that waits until its deadline although all engines on which it may
// still run have crashed.
func TestStreamThatMayRunNowhereEnds(t *testing.T) {
	r, all := crashingEngines(t, func(conn net.Conn, req *fasthttp.Request) bool {
		from := nextEventID(req)
		eventsFrom(conn, req, from, from, false)
		return false
	})
	sent := time.Now()
	if _, complete := r.ask(t, "POST", "/stream/x", "r1", "p"); complete {
		t.Error("the response is complete")
	}
	if took := time.Since(sent); took > time.Second {
		t.Errorf("the caller waited for %v, the deadline is 5 s", took)
	}
	if got := countRuns(all, "/stream/x"); got != 2 {
		t.Errorf("ran on %d engines, want the two that the route allows", got)
	}
}

// Guards against a quarantined stream that is moved from a slow engine to another one.
func TestQuarantinedStreamIsNotRerouted(t *testing.T) {
	first := fakeEngine(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		time.Sleep(time.Second)
		return eventsFrom(conn, req, 1, 3, true)
	})
	slow := fakeEngine(t, "b", 5, 10, wholeStream(2))
	twin := fakeEngine(t, "c", 5, 10, wholeStream(2))
	twin.Zone = "far"
	r := newTestServer(t, first, slow, twin)
	r.engines.slowdowns = map[ids.Instance]float64{slow.ID: 50}
	time.AfterFunc(20*time.Millisecond, func() { r.AddVerdict(verdictOn("model", "POST", "/stream/crash", "p")) })
	r.ask(t, "POST", "/stream/crash", "r1", "p")
	if len(r.engines.rerouted) > 0 {
		t.Errorf("rerouted %v", r.engines.rerouted)
	}
	r.ask(t, "POST", "/stream/other", "r2", "p")
	if len(r.engines.rerouted) == 0 {
		t.Error("another stream is not rerouted")
	}
}
