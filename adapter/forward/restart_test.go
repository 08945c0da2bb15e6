package forward

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
)

// A stage that has restarted answers probes, but has lost its requests. A stream through it
// stalls until the server reroutes it.
func TestStreamIsReroutedAroundARestartedStage(t *testing.T) {
	released := make(chan struct{})
	first := fakeEngine(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		if nextEventID(req) == 1 {
			<-released
		}
		return eventsFrom(conn, req, nextEventID(req), 3, true)
	})
	second := fakeEngine(t, "b", 5, 10, wholeStream(2))
	second.ID.StartedMs = 100
	twin := fakeEngine(t, "c", 5, 10, wholeStream(2))
	twin.Zone = "far"
	r := newTestServer(t, first, second, twin)
	r.engines.startTimes = map[ids.Upstream]int64{"b": 200}
	r.engines.onReroute = func() { close(released) }
	c := r.dial(t)
	c.send("POST", "/stream/x", "r1", "p")
	resp, complete := c.answer()
	if !complete {
		t.Fatalf("response %q is incomplete", resp.Body())
	}
	wantEvents(t, resp.Body(), 1, 3)
	want := "r1 " + first.Address + "=0-5," + twin.Address + "=5-10"
	if r.engines.rerouted[0] != want {
		t.Errorf("rerouted %q, want %q", r.engines.rerouted[0], want)
	}
	if u := r.opts.View().ByService("model")[1]; u.ID.StartedMs != 200 || !u.Layers.Empty() {
		t.Errorf("the directory still holds %+v", u)
	}
}

// The failures of a process do not count against the process that replaces it.
func TestFailuresOfAProcessDoNotCountForItsSuccessor(t *testing.T) {
	u := fakeEngine(t, "a", 0, 10, wholeStream(1))
	u.ID.StartedMs = 100
	r := newTestServer(t, u)
	p := r.picker
	old := u.ID
	p.recordFailure(&u.Upstream, "unreachable")
	p.refusedFull(&u.Upstream)
	now := p.opts.Now()
	next := ids.Instance{Upstream: old.Upstream, StartedMs: 200}
	if !p.conditions.Suspected(now, old, "z") || !p.conditions.IsFull(now, old) {
		t.Fatal("the process that failed is not suspected")
	}
	if p.conditions.Suspected(now, next, "z") || p.conditions.IsFull(now, next) {
		t.Error("the restarted process is suspected for failures of the one before")
	}
}
