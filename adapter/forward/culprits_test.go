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
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
)

// crashOn gives a script of an upstream that crashes when it begins to run a
// path, and answers all others.
func crashOn(path string, crash func()) script {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		if string(req.Header.RequestURI()) != path {
			return reply(conn, req, 200, "fine")
		}
		crash()
		return false
	}
}

// fragile starts upstreams that crash on a path: their listeners close.
func fragile(t *testing.T, service, path string, n int) []*fake {
	t.Helper()
	var all []*fake
	for i := range n {
		var f *fake
		ready := make(chan struct{})
		f = newFake(t, fmt.Sprint("u", i), service, crashOn(path, func() {
			<-ready
			_ = f.listener.Close()
		}))
		close(ready)
		all = append(all, f)
	}
	return all
}

// runs counts the requests for a path that upstreams got.
func runs(all []*fake, path string) int {
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
	all := fragile(t, "plain", poison, 5)
	r := newRig(t, all...)
	if resp, _ := r.ask(t, "GET", poison, "r1", ""); resp.StatusCode() != 502 {
		t.Fatalf("first answer %d", resp.StatusCode())
	}
	eventually(t, "both deaths are seen", func() bool { return r.counts.get("upstream.died") == 2 })
	// The first answer may have known both deaths already.
	before := r.counts.get("refusal.quarantined")
	resp, _ := r.ask(t, "GET", poison, "r2", "")
	if resp.StatusCode() != 503 || runs(all, poison) != 2 {
		t.Errorf("the request comes again: answer %d after %d runs, want 503 after 2", resp.StatusCode(), runs(all, poison))
	}
	if r.counts.get("refusal.quarantined") != before+1 {
		t.Error("the refusal has no counter of its own")
	}
	if resp, _ := r.ask(t, "GET", "/safe/other", "r3", ""); resp.StatusCode() != 200 {
		t.Errorf("another request: answer %d", resp.StatusCode())
	}
	if told := r.verdicts(); len(told) != 1 || told[0].For <= 0 {
		t.Errorf("peers are told %v", told)
	}
}

func TestPeersVerdictIsFollowed(t *testing.T) {
	const poison = "/safe/poison"
	all := fragile(t, "plain", poison, 2)
	r := newRig(t, all...)
	print := quarantine.FingerprintOf([]byte("plain"), []byte("acme"), []byte("GET"), []byte(poison), nil)
	r.AddVerdict(quarantine.Verdict{Fingerprint: print, For: time.Minute})
	if resp, _ := r.ask(t, "GET", poison, "r1", ""); resp.StatusCode() != 503 || runs(all, poison) != 0 {
		t.Errorf("answer %d after %d runs", resp.StatusCode(), runs(all, poison))
	}
	if len(r.verdicts()) != 0 {
		t.Error("a peer's verdict is told on")
	}
}

// crashingEngines starts engines that hold the whole model, before a server that
// finds each of them dead when it asks.
func crashingEngines(t *testing.T, answer script) (*rig, []*fake) {
	t.Helper()
	var all []*fake
	for i := range 5 {
		all = append(all, stageFake(t, fmt.Sprint("e", i), 0, 10, answer))
	}
	r := newRig(t, all...)
	r.calls.mu.Lock()
	defer r.calls.mu.Unlock()
	for _, f := range all {
		r.calls.refused[f.ID] = true
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
	if got := runs(all, poison); got != 2 {
		t.Fatalf("first arrival ran %d times", got)
	}
	resp, _ := r.ask(t, "POST", poison, "r2", "p")
	if resp.StatusCode() != 503 || runs(all, poison) != 2 {
		t.Errorf("answer %d after %d runs, want 503 after 2", resp.StatusCode(), runs(all, poison))
	}
}

// evidence is a culprits with a clock of its own.
type evidence struct {
	*culprits
	now time.Time
}

func newEvidence() *evidence {
	e := &evidence{now: time.Unix(1000, 0)}
	e.culprits = newCulprits(Options{
		Now: func() time.Time { return e.now }, Log: zerolog.Nop(), Metrics: &counts{n: make(map[string]int64)},
	})
	return e
}

func (e *evidence) lose(print string, upstreams ...string) {
	r := &run{print: quarantine.Fingerprint(print), service: "s"}
	for _, u := range upstreams {
		r.upstreams = append(r.upstreams, ids.Instance{Upstream: ids.Upstream(u)})
	}
	e.runLost(r)
}

func (e *evidence) die(upstreams ...string) {
	for _, u := range upstreams {
		e.died(&directory.Upstream{ID: ids.Instance{Upstream: ids.Upstream(u)}, Service: "s"})
	}
}

func (e *evidence) holds(print string) bool {
	refused, _ := e.refused("s", quarantine.Fingerprint(print))
	return refused
}

func TestOneLossStandsForOneDeath(t *testing.T) {
	e := newEvidence()
	e.lose("a", "u1", "u2", "u3", "u4")
	e.die("u1", "u2", "u3", "u4")
	if e.holds("a") {
		t.Error("a request is refused that was lost once, as a rack failed")
	}
}

func TestLossesAmongManyDeathsProveNothing(t *testing.T) {
	e := newEvidence()
	e.lose("a", "u1")
	e.lose("a", "u2")
	e.die("u1", "u2", "u3", "u4", "u5")
	if e.holds("a") {
		t.Error("a request is refused that was lost twice, as five upstreams died")
	}
}

func TestUpstreamThatIsGoneProvesADeath(t *testing.T) {
	r := newRig(t)
	e := &evidence{culprits: r.culprits}
	gone := func(id string, leaving bool) {
		r.UpstreamRemoved(&directory.Upstream{ID: ids.Instance{Upstream: ids.Upstream(id)}, Service: "s", Leaving: leaving})
	}
	e.lose("a", "u1")
	e.lose("a", "u2")
	e.lose("a", "u3")
	gone("u1", false)
	gone("u2", true)
	if e.holds("a") {
		t.Error("one that left in order counts as a death")
	}
	gone("u3", false)
	if !e.holds("a") {
		t.Error("two upstreams went without notice after it was lost there, and it is not refused")
	}
}

func TestAnotherProcessAtTheAddressProvesADeath(t *testing.T) {
	const poison = "/safe/poison"
	var all []*fake
	for i := range 2 {
		var crashed atomic.Bool
		all = append(all, newFake(t, fmt.Sprint("u", i), "plain", func(conn net.Conn, req *fasthttp.Request) bool {
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
	r := newRig(t, all...)
	r.ask(t, "GET", poison, "r1", "")
	eventually(t, "the request is refused", func() bool {
		r.ask(t, "GET", "/safe/other", "r2", "")
		refused, _ := r.culprits.refused("plain", quarantine.FingerprintOf([]byte("plain"), []byte("acme"), []byte("GET"), []byte(poison), nil))
		return refused
	})
	if got := runs(all, poison); got != 2 {
		t.Errorf("ran %d times", got)
	}
}

func TestDeathSeenBeforeTheLossCounts(t *testing.T) {
	e := newEvidence()
	for _, u := range []string{"u1", "u2"} {
		e.die(u)
		e.lose("a", u)
		e.now = e.now.Add(5 * time.Second)
	}
	if !e.holds("a") {
		t.Error("two deaths, each seen before its loss, are not laid to the request")
	}
}

func TestOldLossesAreForgotten(t *testing.T) {
	e := newEvidence()
	for i := range 3 * maxLost {
		e.lose(fmt.Sprint("p", i), fmt.Sprint("u", i))
	}
	if len(e.lost) > maxLost || len(e.lostAt) > maxLost {
		t.Errorf("%d losses at %d upstreams are remembered", len(e.lost), len(e.lostAt))
	}
	e.now = e.now.Add(2 * lostFor)
	e.lose("a", "u")
	if len(e.lost) != 1 || len(e.lostAt) != 1 {
		t.Errorf("%d old losses at %d upstreams are remembered", len(e.lost), len(e.lostAt))
	}
}

func TestSuccessClearsARequest(t *testing.T) {
	e := newEvidence()
	e.lose("a", "u1")
	e.die("u1")
	e.now = e.now.Add(time.Second)
	e.served("s", "a")
	e.now = e.now.Add(time.Second)
	e.lose("a", "u2")
	e.die("u2")
	if e.holds("a") {
		t.Error("a request is refused that was served between two deaths")
	}
}

func TestVerdictsAreBounded(t *testing.T) {
	e := newEvidence()
	for i := range 2 * maxVerdicts {
		e.told(quarantine.Verdict{Fingerprint: quarantine.Fingerprint(fmt.Sprint(i)), For: time.Minute})
	}
	if len(e.verdicts) != maxVerdicts {
		t.Errorf("%d verdicts are held", len(e.verdicts))
	}
	e.now = e.now.Add(2 * time.Minute)
	if e.holds("0") {
		t.Error("a verdict outlives its time")
	}
	e.told(quarantine.Verdict{Fingerprint: "late", For: time.Minute})
	if !e.holds("late") || len(e.verdicts) != 1 {
		t.Errorf("%d verdicts are held after the old ones ended", len(e.verdicts))
	}
}

func TestStreamThatRanIsNotBlamed(t *testing.T) {
	const path = "/stream/long"
	r, all := crashingEngines(t, func(conn net.Conn, req *fasthttp.Request) bool {
		from := after(req)
		eventsFrom(conn, req, from, from+3, false)
		return false
	})
	r.ask(t, "POST", path, "r1", "p")
	if runs(all, path) < 2 {
		t.Fatalf("ran %d times", runs(all, path))
	}
	if r.counts.get("upstream.died") < 2 {
		t.Fatal("no deaths were seen")
	}
	if r.counts.get("upstream.culprits") != 0 {
		t.Error("a stream is blamed for engines that had given events of it")
	}
}

func TestEnginesThatStayAreNotLost(t *testing.T) {
	r := newRig(t)
	engine := func(id string, revision int64) chain.Stage {
		return chain.Stage{Engine: &directory.Upstream{ID: ids.Instance{Upstream: ids.Upstream(id)}, Revision: revision}}
	}
	w := &streamWait{s: &stream{x: &exchange{server: r.Server}}}
	// The entry of the first has changed between the two chains.
	w.left(chain.Chain{engine("a", 1), engine("b", 1)}, chain.Chain{engine("a", 2), engine("c", 1)})
	if diff := cmp.Diff([]ids.Instance{life("b")}, r.culprits.lost[0].upstreams); diff != "" {
		t.Error(diff)
	}
}

// life is the one life of an upstream whose start is not told.
func life(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }
