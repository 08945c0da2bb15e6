package forward

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
)

// crashOn returns a handler that calls crash when it gets a request for path,
// and answers all other requests.
func crashOn(path string, crash func()) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		if string(req.Header.RequestURI()) != path {
			return reply(conn, req, 200, "fine")
		}
		crash()
		return false
	}
}

// crashingUpstreams starts upstreams that crash on a path: they close their
// listeners.
func crashingUpstreams(t *testing.T, service, path string, n int) []*fakeUpstream {
	t.Helper()
	var all []*fakeUpstream
	for i := range n {
		var f *fakeUpstream
		ready := make(chan struct{})
		f = newFakeUpstream(t, fmt.Sprint("u", i), service, crashOn(path, func() {
			<-ready
			_ = f.listener.Close()
		}))
		close(ready)
		all = append(all, f)
	}
	return all
}

// countRuns returns the number of requests for a path that upstreams received.
func countRuns(all []*fakeUpstream, path string) int {
	n := 0
	for _, f := range all {
		for _, req := range f.requests() {
			if string(req.Header.RequestURI()) == path {
				n++
			}
		}
	}
	return n
}

func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	const poison = "/safe/poison"
	all := crashingUpstreams(t, "plain", poison, 5)
	r := newTestServer(t, all...)
	if resp, _ := r.ask(t, "GET", poison, "r1", ""); resp.StatusCode() != 502 {
		t.Fatalf("first request: status %d", resp.StatusCode())
	}
	eventually(t, "both deaths are recorded", func() bool { return r.metrics.get("upstream.died") == 2 })
	// Both deaths may have been recorded before the first response already.
	before := r.metrics.get("refusal.quarantined")
	resp, _ := r.ask(t, "GET", poison, "r2", "")
	if resp.StatusCode() != 503 || countRuns(all, poison) != 2 {
		t.Errorf("repeated request: status %d after %d runs, want 503 after 2", resp.StatusCode(), countRuns(all, poison))
	}
	if r.metrics.get("refusal.quarantined") != before+1 {
		t.Error("the refusal was not counted as quarantined")
	}
	if resp, _ := r.ask(t, "GET", "/safe/other", "r3", ""); resp.StatusCode() != 200 {
		t.Errorf("another request: status %d", resp.StatusCode())
	}
	if published := r.verdicts(); len(published) != 1 || published[0].For <= 0 {
		t.Errorf("published verdicts: %v, want one with a duration", published)
	}
}

func TestPeersVerdictIsFollowed(t *testing.T) {
	const poison = "/safe/poison"
	all := crashingUpstreams(t, "plain", poison, 2)
	r := newTestServer(t, all...)
	fingerprint := quarantine.FingerprintOf([]byte("plain"), []byte("acme"), []byte("GET"), []byte(poison), nil)
	r.AddVerdict(quarantine.Verdict{Fingerprint: fingerprint, For: time.Minute})
	if resp, _ := r.ask(t, "GET", poison, "r1", ""); resp.StatusCode() != 503 || countRuns(all, poison) != 0 {
		t.Errorf("status %d after %d runs, want 503 without a run", resp.StatusCode(), countRuns(all, poison))
	}
	if len(r.verdicts()) != 0 {
		t.Error("a peer's verdict is published again")
	}
}

// crashingEngines starts engines that hold the whole model, and a server whose
// probes of these engines are refused.
func crashingEngines(t *testing.T, answer handler) (*testServer, []*fakeUpstream) {
	t.Helper()
	var all []*fakeUpstream
	for i := range 5 {
		all = append(all, fakeEngine(t, fmt.Sprint("e", i), 0, 10, answer))
	}
	r := newTestServer(t, all...)
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	for _, f := range all {
		r.engines.refused[f.ID] = true
	}
	return r, all
}

func TestStreamThatCrashesEnginesIsRefused(t *testing.T) {
	const poison = "/stream/poison"
	r, all := crashingEngines(t, func(conn net.Conn, req *fasthttp.Request) bool {
		if string(req.Header.RequestURI()) == poison {
			return false
		}
		return eventsFrom(conn, req, 0, 3, true)
	})
	r.ask(t, "POST", poison, "r1", "p")
	if got := countRuns(all, poison); got != 2 {
		t.Fatalf("the first request ran %d times, want 2", got)
	}
	resp, _ := r.ask(t, "POST", poison, "r2", "p")
	if resp.StatusCode() != 503 || countRuns(all, poison) != 2 {
		t.Errorf("status %d after %d runs, want 503 after 2", resp.StatusCode(), countRuns(all, poison))
	}
}

// testTracker is a crashTracker with a clock that the test sets.
type testTracker struct {
	*crashTracker
	now time.Time
}

// newTestTracker returns a tracker without evidence.
func newTestTracker() *testTracker {
	e := &testTracker{now: time.Unix(1000, 0)}
	e.crashTracker = newCrashTracker(Options{
		Now: func() time.Time { return e.now }, Log: zerolog.Nop(), Metrics: &fakeMetrics{n: make(map[string]int64)},
		QuarantineRole: func(ids.Service) quarantine.Role { return quarantine.Role{Alone: true, Keeper: true} }, OnEvidence: func() {},
	})
	return e
}

// lose records a lost run of a request on some upstreams.
func (e *testTracker) lose(fingerprint string, upstreams ...string) {
	r := &run{fingerprint: quarantine.Fingerprint(fingerprint), service: "s"}
	for _, u := range upstreams {
		r.upstreams = append(r.upstreams, ids.Instance{Upstream: ids.Upstream(u)})
	}
	e.runLost(r)
}

// die records that upstreams died.
func (e *testTracker) die(upstreams ...string) {
	for _, u := range upstreams {
		e.upstreamDied(&directory.Upstream{ID: ids.Instance{Upstream: ids.Upstream(u)}, Service: "s"})
	}
}

// isQuarantined reports whether requests with a fingerprint are refused.
func (e *testTracker) isQuarantined(fingerprint string) bool {
	refused, _ := e.quarantined("s", quarantine.Fingerprint(fingerprint))
	return refused
}

func TestOneLostRunIsBlamedForOneDeathOnly(t *testing.T) {
	e := newTestTracker()
	e.lose("a", "u1", "u2", "u3", "u4")
	e.die("u1", "u2", "u3", "u4")
	if e.isQuarantined("a") {
		t.Error("a request that was lost once in a mass failure is quarantined")
	}
}

// Guards against a verdict on the requests that one node has lost, while others that have lost more
// there do not know of the deaths.
func TestNodeThatIsToldOfDeathsReportsTheRunsItHasLostThere(t *testing.T) {
	e := newTestTracker()
	e.lose("b", "u1")
	e.lose("b", "u2")
	e.addReport(quarantine.Report{Service: "s", Announced: true, Events: []quarantine.Event{
		{Kind: quarantine.Blamed, Upstream: "u1", Epoch: "0", Fingerprint: "a"},
		{Kind: quarantine.Blamed, Upstream: "u2", Epoch: "0", Fingerprint: "a"},
		{Kind: quarantine.Blamed, Upstream: "u3", Epoch: "other", Fingerprint: "a"},
	}})
	e.lose("c", "u1")
	reported := make(map[quarantine.Fingerprint]int)
	for _, r := range e.decider.TakeReports(e.now.Add(time.Minute)) {
		for _, event := range r.Events {
			reported[event.Fingerprint]++
		}
	}
	if want := map[quarantine.Fingerprint]int{"b": 2, "c": 1}; !cmp.Equal(reported, want) {
		t.Errorf("reported %v, want %v", reported, want)
	}
}

// Guards against runs that engines broke off and are blamed for deaths that a node without links to the
// engines has reported.
func TestReportedDeathsOfUpstreamsThatAnswerAreNotBlamed(t *testing.T) {
	e := newTestTracker()
	report := func(upstream string) {
		e.addReport(quarantine.Report{Service: "s", Announced: true, Events: []quarantine.Event{{Kind: quarantine.Death, Upstream: ids.Upstream(upstream), Epoch: "0"}}})
	}
	e.lose("answered", "u1")
	e.now = e.now.Add(time.Millisecond)
	e.upstreamAnswered(instance("u1"))
	report("u1")
	report("u2")
	e.now = e.now.Add(time.Millisecond)
	e.upstreamAnswered(instance("u2"))
	e.lose("answered later", "u2")
	e.lose("earlier", "u3")
	e.now = e.now.Add(2 * deathMatchWindow)
	report("u3")
	if reports := e.decider.TakeReports(e.now.Add(time.Minute)); len(reports) != 0 {
		t.Errorf("reported %+v", reports)
	}
}

func TestRunsLostInAMassFailureAreNotBlamed(t *testing.T) {
	e := newTestTracker()
	e.lose("a", "u1")
	e.lose("a", "u2")
	e.die("u1", "u2", "u3", "u4", "u5")
	if e.isQuarantined("a") {
		t.Error("a request that was lost twice while five upstreams died is quarantined")
	}
}

// Guards against the quarantine of a request that many callers send, of which one run was
// in flight on each engine of a rack.
func TestSameRequestOnAFailingRackIsNotQuarantined(t *testing.T) {
	e := newTestTracker()
	began := e.now
	e.now = e.now.Add(300 * time.Millisecond)
	for i := range 10 {
		u := fmt.Sprint("u", i)
		e.runLost(&run{fingerprint: "popular", service: "s", upstreams: []ids.Instance{instance(ids.Upstream(u))}, began: began.Add(time.Duration(i) * 10 * time.Millisecond)})
		e.die(u)
		e.now = e.now.Add(time.Millisecond)
	}
	if e.isQuarantined("popular") {
		t.Error("a request that ran on all upstreams of a rack is quarantined")
	}
	e.runLost(&run{fingerprint: "popular", service: "s", upstreams: []ids.Instance{instance("u10")}, began: e.now})
	e.die("u10")
	if !e.isQuarantined("popular") {
		t.Error("a request that crashed another upstream after the rack is not quarantined")
	}
}

func TestRemovedUpstreamCountsAsCrashed(t *testing.T) {
	r := newTestServer(t)
	e := &testTracker{crashTracker: r.crashes}
	gone := func(id string, leaving bool) {
		r.UpstreamRemoved(&directory.Upstream{ID: ids.Instance{Upstream: ids.Upstream(id)}, Service: "s", Leaving: leaving})
	}
	e.lose("a", "u1")
	e.lose("a", "u2")
	e.lose("a", "u3")
	gone("u1", false)
	gone("u2", true)
	if e.isQuarantined("a") {
		t.Error("an upstream that was leaving counts as crashed")
	}
	gone("u3", false)
	if !e.isQuarantined("a") {
		t.Error("a request lost on two upstreams that then disappeared is not quarantined")
	}
}

func TestAnotherProcessAtTheAddressCountsAsACrash(t *testing.T) {
	const poison = "/safe/poison"
	var all []*fakeUpstream
	for i := range 2 {
		var crashed atomic.Bool
		all = append(all, newFakeUpstream(t, fmt.Sprint("u", i), "plain", func(conn net.Conn, req *fasthttp.Request) bool {
			if crashed.Load() {
				return reply(conn, req, 421, "")
			}
			if string(req.Header.RequestURI()) != poison {
				return reply(conn, req, 200, "fine")
			}
			crashed.Store(true)
			return false
		}))
	}
	r := newTestServer(t, all...)
	r.ask(t, "GET", poison, "r1", "")
	eventually(t, "the request is quarantined", func() bool {
		r.ask(t, "GET", "/safe/other", "r2", "")
		refused, _ := r.crashes.quarantined("plain", quarantine.FingerprintOf([]byte("plain"), []byte("acme"), []byte("GET"), []byte(poison), nil))
		return refused
	})
	if got := countRuns(all, poison); got != 2 {
		t.Errorf("the request ran %d times", got)
	}
}

func TestDeathSeenBeforeTheLossCounts(t *testing.T) {
	e := newTestTracker()
	for _, u := range []string{"u1", "u2"} {
		e.die(u)
		e.lose("a", u)
		e.now = e.now.Add(5 * time.Second)
	}
	if !e.isQuarantined("a") {
		t.Error("a request lost right after each of two deaths is not quarantined")
	}
}

func TestOldLossesAreForgotten(t *testing.T) {
	e := newTestTracker()
	for i := range 3 * maxLostRuns {
		e.lose(fmt.Sprint("p", i), fmt.Sprint("u", i))
	}
	if len(e.lostRuns) > maxLostRuns || len(e.lostByUpstream) > maxLostRuns {
		t.Errorf("%d lost runs on %d upstreams are kept", len(e.lostRuns), len(e.lostByUpstream))
	}
	e.now = e.now.Add(2 * lostRunTTL)
	e.lose("a", "u")
	if len(e.lostRuns) != 1 || len(e.lostByUpstream) != 1 {
		t.Errorf("%d lost runs on %d upstreams are kept after their TTL", len(e.lostRuns), len(e.lostByUpstream))
	}
}

func TestSuccessClearsARequest(t *testing.T) {
	e := newTestTracker()
	e.lose("a", "u1")
	e.die("u1")
	e.now = e.now.Add(time.Second)
	e.requestServed("s", "a")
	e.now = e.now.Add(time.Second)
	e.lose("a", "u2")
	e.die("u2")
	if e.isQuarantined("a") {
		t.Error("a request that was served between two deaths is quarantined")
	}
}

func TestStreamThatRanIsNotBlamed(t *testing.T) {
	const path = "/stream/long"
	r, all := crashingEngines(t, func(conn net.Conn, req *fasthttp.Request) bool {
		from := nextEventID(req)
		eventsFrom(conn, req, from, from+3, false)
		return false
	})
	r.ask(t, "POST", path, "r1", "p")
	if countRuns(all, path) < 2 {
		t.Fatalf("the request ran %d times", countRuns(all, path))
	}
	if r.metrics.get("upstream.died") < 2 {
		t.Fatal("no deaths were recorded")
	}
	if r.metrics.get("upstream.culprits") != 0 {
		t.Error("a stream is blamed for engines that had sent events of it")
	}
}

func TestEnginesThatStayInARerouteAreNotLost(t *testing.T) {
	r := newTestServer(t)
	engine := func(id string, number int64) chain.Stage {
		return chain.Stage{Engine: &directory.Upstream{ID: ids.Instance{Upstream: ids.Upstream(id)}, Revision: revision.Of(number)}}
	}
	w := &stallWatch{s: &stream{x: &exchange{server: r.Server}}}
	// The entry of the first engine changes between the two chains.
	w.recordBypassed(chain.Chain{engine("a", 1), engine("b", 1)}, chain.Chain{engine("a", 2), engine("c", 1)})
	if diff := cmp.Diff([]ids.Instance{instance("b")}, r.crashes.lostRuns[0].upstreams); diff != "" {
		t.Error(diff)
	}
}

// instance returns the instance of an upstream without a known start time.
func instance(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }
