package forward

import (
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
)

// A stage that has started again under its name answers, but has lost the
// request: a stream through it would stall for good.
func TestStreamIsLedAroundAStageThatStartedAgain(t *testing.T) {
	released := make(chan struct{})
	first := stageFake(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		if after(req) == 1 {
			<-released
		}
		return eventsFrom(conn, req, after(req), 3, true)
	})
	second := stageFake(t, "b", 5, 10, whole(2))
	second.ID.StartedMs = 100
	twin := stageFake(t, "c", 5, 10, whole(2))
	twin.Zone = "far"
	r := newRig(t, first, second, twin)
	r.calls.born = map[ids.Upstream]int64{"b": 200}
	r.calls.onRoute = func() { close(released) }
	c := r.dial(t)
	c.send("POST", "/stream/x", "r1", "p")
	resp, complete := c.answer()
	if !complete {
		t.Fatalf("answer %q is not whole", resp.Body())
	}
	wantEvents(t, resp.Body(), 1, 3)
	want := "r1 " + first.Address + "=0-5," + twin.Address + "=5-10"
	if r.calls.rerouted[0] != want {
		t.Errorf("rerouted %q, want %q", r.calls.rerouted[0], want)
	}
	if u := r.opts.View().Of("model")[1]; u.ID.StartedMs != 200 || !u.Layers.Empty() {
		t.Errorf("the directory still holds %+v", u)
	}
}

// What is known of a life ends with it.
func TestBeliefsOfALifeDoNotCountForTheNext(t *testing.T) {
	u := stageFake(t, "a", 0, 10, whole(1))
	u.ID.StartedMs = 100
	r := newRig(t, u)
	p := r.picks
	old := u.ID
	p.failed(&u.Upstream, "unreachable")
	p.full(&u.Upstream)
	now := p.opts.Now()
	next := ids.Instance{Upstream: old.Upstream, StartedMs: 200}
	if !p.conditions.Suspected(now, old, "z") || !p.conditions.IsFull(now, old) {
		t.Fatal("the life that failed is not suspected")
	}
	if p.conditions.Suspected(now, next, "z") || p.conditions.IsFull(now, next) {
		t.Error("the next life is suspected for the one before")
	}
}
