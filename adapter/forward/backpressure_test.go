package forward

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/directory"
)

// refusedWithin bounds the time until a request that cannot be served is refused.
const refusedWithin = 300 * time.Millisecond

// refusalReply returns a handler that refuses requests with a status, and headers in addition
// to the one that proves that they did not run.
func refusalReply(status int, headers ...string) handler {
	return func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, status, "", append(headers, "Q-Not-Run: 1")...)
	}
}

// restrictions are the ways in which an upstream asks for no request of this node.
var restrictions = map[string]func(*testServer, *fakeUpstream){
	"leaving": func(r *testServer, f *fakeUpstream) {
		r.opts.OnLeaving(f.ID)
	},
	"rest": func(r *testServer, f *fakeUpstream) {
		r.picker.restAsked(&f.Upstream, time.Minute)
	},
	"limit without permits": func(r *testServer, f *fakeUpstream) {
		r.picker.limitAnswered(&f.Upstream, boottime.Now(), 1, true)
	},
	"limit without a keeper": func(r *testServer, f *fakeUpstream) {
		r.permits.set(false, true)
		r.picker.mu.Lock()
		r.picker.backpressure.SetNodeCount(1_000_000)
		r.picker.mu.Unlock()
		r.picker.limitAnswered(&f.Upstream, boottime.Now(), 1, true)
	},
}

// restrict makes an upstream ask for no request of this node. It must be registered.
func (r *testServer) restrict(f *fakeUpstream, how string) { restrictions[how](r, f) }

// forEachRestriction runs a test for each restriction except one, which may be empty.
func forEachRestriction(t *testing.T, except string, test func(t *testing.T, how string)) {
	for how := range restrictions {
		if how == except {
			continue
		}
		t.Run(how, func(t *testing.T) { test(t, how) })
	}
}

// expectNoRequests fails the test if an upstream has received a request.
func expectNoRequests(t *testing.T, f *fakeUpstream) {
	t.Helper()
	if got := f.requests(); len(got) > 0 {
		t.Errorf("%s got %d requests, chain %q of the first", f.ID, len(got), got[0].Header.Peek("Q-Stages"))
	}
}

// Guards against first and second choices that send a plain request to an upstream that
// asks for none, also where it is the only one that has not failed.
func TestPlainRequestsSpareARestrictedUpstream(t *testing.T) {
	forEachRestriction(t, "", func(t *testing.T, how string) {
		spared := newFakeUpstream(t, "a", "plain", okReply("a"))
		full := newFakeUpstream(t, "b", "plain", refusalReply(503))
		r := newTestServer(t, spared, full)
		r.restrict(spared, how)
		r.picker.recordFailure(&full.Upstream, outcome.UpstreamLost)
		for i := range 5 {
			begin := time.Now()
			resp, _ := r.ask(t, "GET", "/safe/x", fmt.Sprint("r", i), "")
			if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
				t.Errorf("status %d, Retry-After %q", resp.StatusCode(), resp.Header.Peek("Retry-After"))
			}
			if took := time.Since(begin); took > refusedWithin {
				t.Errorf("refused after %v", took)
			}
		}
		expectNoRequests(t, spared)
	})
}

// Guards against streams of plain services that are sent to an upstream that asks for
// none.
func TestPlainStreamsSpareARestrictedUpstream(t *testing.T) {
	forEachRestriction(t, "", func(t *testing.T, how string) {
		spared := newFakeUpstream(t, "a", "plain", wholeStream(2))
		r := newTestServer(t, spared)
		r.restrict(spared, how)
		if resp, _ := r.ask(t, "POST", "/plainstream/x", "r1", "p"); resp.StatusCode() != 503 {
			t.Errorf("status %d", resp.StatusCode())
		}
		expectNoRequests(t, spared)
	})
}

// Guards against chains through an engine that asks for no requests, as the first or a
// later stage, also where no other engine holds its layers.
func TestChainsSpareARestrictedEngine(t *testing.T) {
	forEachRestriction(t, "", func(t *testing.T, how string) {
		for _, spared := range []string{"a", "b"} {
			engines := []*fakeUpstream{fakeEngine(t, "a", 0, 5, wholeStream(2)), fakeEngine(t, "b", 5, 10, wholeStream(2))}
			r := newTestServer(t, engines...)
			for _, e := range engines {
				if string(e.ID.Upstream) == spared {
					r.restrict(e, how)
				}
			}
			begin := time.Now()
			resp, _ := r.ask(t, "POST", "/stream/x", "r1", "p")
			if took := time.Since(begin); resp.StatusCode() != 503 || took > refusedWithin {
				t.Errorf("%s spared: status %d after %v", spared, resp.StatusCode(), took)
			}
			expectNoRequests(t, engines[0])
		}
	})
}

// Guards against streams that continue at an engine that asks for no requests after
// their own has died.
func TestResumedStreamsSpareARestrictedEngine(t *testing.T) {
	forEachRestriction(t, "", func(t *testing.T, how string) {
		spared := fakeEngine(t, "b", 0, 10, wholeStream(4))
		other := fakeEngine(t, "c", 0, 10, wholeStream(4))
		other.Zone = "far"
		var r *testServer
		dead := dyingEngine(t, &r, spared, other)
		r = newTestServer(t, dead)
		r.restrict(spared, how)
		resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
		if !complete {
			t.Fatalf("response %q is incomplete", resp.Body())
		}
		wantEvents(t, resp.Body(), 1, 4)
		expectNoRequests(t, spared)
	})
}

// stalledChain returns a server and a stream's engines: a first stage that stalls after
// two events until the stream is rerouted, and a dead second stage. Further engines are
// added to the directory.
func stalledChain(t *testing.T, others ...*fakeUpstream) (r *testServer, first *fakeUpstream) {
	t.Helper()
	resume := make(chan struct{})
	var released atomic.Bool
	release := func() {
		if !released.Swap(true) {
			close(resume)
		}
	}
	t.Cleanup(release)
	first = fakeEngine(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		eventsFrom(conn, req, 1, 2, false)
		<-resume
		last := "id: 3\ndata: e3\n\n"
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(last), last) // fails if the server has disconnected
		return false
	})
	dead := fakeEngine(t, "b", 5, 10, wholeStream(2))
	r = newTestServer(t, append([]*fakeUpstream{first, dead}, others...)...)
	r.engines.dead[instance("b")] = true
	r.engines.onReroute = release
	return r, first
}

// Guards against streams that are moved to a chain through an engine that asks for no
// requests.
func TestMovedStreamsSpareARestrictedEngine(t *testing.T) {
	forEachRestriction(t, "", func(t *testing.T, how string) {
		spared, other := fakeEngine(t, "c", 5, 10, wholeStream(2)), fakeEngine(t, "d", 5, 10, wholeStream(2))
		other.Zone = "far"
		r, first := stalledChain(t, spared, other)
		r.restrict(spared, how)
		if resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p"); !complete {
			t.Fatalf("response %q is incomplete", resp.Body())
		}
		if want, got := "r1 "+first.Address+"=0-5,"+other.Address+"=5-10", r.engines.rerouted; len(got) != 1 || got[0] != want {
			t.Errorf("rerouted %q, want %q", got, want)
		}
	})
}

// A stream that moves keeps a stage that asks for no requests: it runs the stream
// already. It leaves a stage that is leaving.
func TestMovedStreamsKeepTheirRestrictedStages(t *testing.T) {
	forEachRestriction(t, "leaving", func(t *testing.T, how string) {
		kept, other := fakeEngine(t, "k", 5, 8, wholeStream(2)), fakeEngine(t, "d", 8, 10, wholeStream(2))
		other.Zone = "far"
		r, first := stalledChain(t, kept, other)
		r.mu.Lock()
		r.dir.Put(time.Time{}, directory.Upstream{ID: instance("b"), Service: "model", Address: r.dir.View().Get(instance("b")).Address, Zone: "z", Slots: 4, Card: "card", Layers: layered.Range{From: 8, To: 10}, Revision: revision.Of(2)})
		r.mu.Unlock()
		c := r.dial(t)
		c.send("POST", "/stream/x", "r1", "p")
		eventually(t, "the stream runs", func() bool { return len(first.requests()) > 0 })
		r.restrict(kept, how)
		if resp, complete := c.answer(); !complete {
			t.Fatalf("response %q is incomplete", resp.Body())
		}
		if want, got := "r1 "+first.Address+"=0-5,"+kept.Address+"=5-8,"+other.Address+"=8-10", r.engines.rerouted; len(got) != 1 || got[0] != want {
			t.Errorf("rerouted %q, want %q", got, want)
		}
	})
}

// Guards against probes of an engine that asks for no requests. An engine that is leaving
// is probed, as it goes on with its streams.
func TestProbesSpareARestrictedEngine(t *testing.T) {
	forEachRestriction(t, "leaving", func(t *testing.T, how string) {
		spared := fakeEngine(t, "a", 0, 10, wholeStream(2))
		r := newTestServer(t, spared)
		r.restrict(spared, how)
		probe := r.prober.latestProbe(t.Context(), &spared.Upstream, 0)
		<-probe.done
		if n := r.metrics.get("upstream.probes"); n > 0 || !probe.skipped || probe.dead {
			t.Errorf("%d probes, result %+v", n, probe)
		}
	})
}

// Guards against a restriction that a new list of upstreams undoes.
func TestRestrictionOutlastsAMissingEntry(t *testing.T) {
	forEachRestriction(t, "", func(t *testing.T, how string) {
		spared := newFakeUpstream(t, "a", "plain", okReply("a"))
		r := newTestServer(t, spared)
		r.restrict(spared, how)
		r.UpstreamRemoved(&spared.Upstream)
		r.ask(t, "GET", "/safe/x", "r1", "")
		expectNoRequests(t, spared)
	})
}

// An upstream's word that it leaves is read from responses and from reports. Another
// process at its address says nothing about it.
func TestWordOfLeavingIsRead(t *testing.T) {
	leavingReply := func(status int, value string) handler {
		return func(conn net.Conn, req *fasthttp.Request) bool {
			return reply(conn, req, status, "b", "Q-Leaving: "+value)
		}
	}
	for _, c := range []struct {
		status    int
		value     string
		leaving   bool
		malformed int64
	}{
		{200, "1", true, 0},
		{500, "1", true, 0},
		{200, "0", false, 0},
		{200, "soon", false, 1},
		{421, "1", false, 0},
	} {
		u := newFakeUpstream(t, "a", "plain", leavingReply(c.status, c.value))
		r := newTestServer(t, u)
		r.ask(t, "POST", "/unsafe/x", "r1", "p")
		if got := r.opts.View().Get(u.ID).Leaving; got != c.leaving {
			t.Errorf("status %d, %q: leaving %v", c.status, c.value, got)
		}
		if n := r.metrics.get("upstream.leaving_malformed"); n != c.malformed {
			t.Errorf("status %d, %q: %d malformed", c.status, c.value, n)
		}
	}
	probed := fakeEngine(t, "b", 0, 10, wholeStream(2))
	r := newTestServer(t, probed)
	r.engines.leaving = map[ids.Instance]bool{probed.ID: true}
	<-r.prober.latestProbe(t.Context(), &probed.Upstream, 0).done
	if !r.opts.View().Get(probed.ID).Leaving {
		t.Error("the report of an engine that leaves is ignored")
	}
}

// Guards against requests that were chosen before the upstream said that it leaves.
func TestRequestsAreNotSentAfterTheWordOfLeaving(t *testing.T) {
	leaving := newFakeUpstream(t, "a", "plain", okReply("a"))
	r := newTestServer(t, leaving)
	r.metrics.onAdd = func(name string) {
		if name == "upstream.connections" {
			r.opts.OnLeaving(leaving.ID)
		}
	}
	if resp, _ := r.ask(t, "POST", "/unsafe/x", "r1", "p"); resp.StatusCode() != 503 {
		t.Errorf("status %d", resp.StatusCode())
	}
	expectNoRequests(t, leaving)
}
