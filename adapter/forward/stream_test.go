package forward

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
)

// stageFake starts an engine that holds layers.
func stageFake(t *testing.T, id string, from, to int, answer script) *fake {
	f := newFake(t, id, "model", answer)
	f.Card = "card"
	f.Layers = layered.Range{From: from, To: to}
	return f
}

// dyingFake starts an engine that dies after two events, as others come into the rig.
func dyingFake(t *testing.T, r **rig, others ...*fake) *fake {
	t.Helper()
	return stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		(*r).mu.Lock()
		for _, f := range others {
			(*r).dir.Put(f.Upstream)
		}
		(*r).mu.Unlock()
		(*r).calls.mu.Lock()
		(*r).calls.dead[life("a")] = true
		(*r).calls.mu.Unlock()
		return eventsFrom(conn, req, 1, 2, false)
	})
}

// wantEvents fails the test unless a body is the events from one id to another.
func wantEvents(t *testing.T, body []byte, from, to int) {
	t.Helper()
	want := ""
	for id := from; id <= to; id++ {
		want += fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
	}
	if string(body) != want {
		t.Errorf("events %q, want %d to %d", body, from, to)
	}
}

// whole streams events from where the request wants them.
func whole(to int) script {
	return func(conn net.Conn, req *fasthttp.Request) bool { return eventsFrom(conn, req, after(req), to, true) }
}

func TestStreamNamesAChainThatTiles(t *testing.T) {
	first := stageFake(t, "a", 0, 6, whole(5))
	second := stageFake(t, "b", 4, 10, whole(5))
	r := newRig(t, first, second)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p", "Q-Tokens: 100,20")
	if !complete || resp.StatusCode() != 200 {
		t.Fatalf("answer %d", resp.StatusCode())
	}
	wantEvents(t, resp.Body(), 1, 5)
	got := string(first.requests()[0].Header.Peek("Q-Stages"))
	forms := []string{
		first.Address + "=0-6," + second.Address + "=6-10",
		first.Address + "=0-4," + second.Address + "=4-10",
	}
	if got != forms[0] && got != forms[1] {
		t.Errorf("chain %q", got)
	}
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	broken := stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		return eventsFrom(conn, req, after(req), 3, false)
	})
	other := stageFake(t, "b", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		// One event that the caller has comes again.
		return eventsFrom(conn, req, after(req)-1, 6, true)
	})
	other.Zone = "far"
	r := newRig(t, broken, other)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete {
		t.Error("the answer does not end whole")
	}
	wantEvents(t, resp.Body(), 1, 6)
	if got := string(other.requests()[0].Header.Peek("Q-Last")); got != "3" {
		t.Errorf("resumed after %q, want 3", got)
	}
}

func TestStreamWithAGapNeverLooksWhole(t *testing.T) {
	gap := func(conn net.Conn, req *fasthttp.Request) bool {
		out := "HTTP/1.1 200 OK\r\nQ-Id: " + string(req.Header.Peek("Q-Id")) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, id := range []int{1, 2, 4} {
			event := fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)
			out += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, _ = conn.Write([]byte(out + "0\r\n\r\n"))
		return false
	}
	r := newRig(t, stageFake(t, "a", 0, 10, gap))
	resp, complete := r.ask(t, "POST", "/once/x", "r1", "p")
	if complete {
		t.Error("a stream with a gap ended as whole")
	}
	if strings.Contains(string(resp.Body()), "e4") {
		t.Error("an event after the gap was passed on")
	}
}

func TestStreamThatMayRunOnceIsNotSentAgain(t *testing.T) {
	broken := stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		return eventsFrom(conn, req, 1, 3, false)
	})
	other := stageFake(t, "b", 0, 10, whole(6))
	other.Zone = "far"
	r := newRig(t, broken, other)
	if _, complete := r.ask(t, "POST", "/once/x", "r1", "p"); complete || len(other.requests()) > 0 {
		t.Errorf("complete %v, %d sends to another", complete, len(other.requests()))
	}
	silent := stageFake(t, "c", 0, 10, func(net.Conn, *fasthttp.Request) bool { return false })
	r = newRig(t, silent)
	if resp, _ := r.ask(t, "POST", "/once/x", "r2", "p"); resp.StatusCode() != 502 {
		t.Errorf("broken before the first event: %d, want 502", resp.StatusCode())
	}
}

func TestRunsAreBoundedByTheRoute(t *testing.T) {
	broken := func(conn net.Conn, req *fasthttp.Request) bool {
		from := after(req)
		return eventsFrom(conn, req, from, from, false)
	}
	a, b, c := stageFake(t, "a", 0, 10, broken), stageFake(t, "b", 0, 10, broken), stageFake(t, "c", 0, 10, broken)
	r := newRig(t, a, b, c)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if complete || resp.StatusCode() != 200 {
		t.Errorf("status %d, complete %v", resp.StatusCode(), complete)
	}
	ran := make(map[string]bool)
	for id, f := range map[string]*fake{"a": a, "b": b, "c": c} {
		if len(f.requests()) > 0 {
			ran[id] = true
		}
	}
	if len(ran) > 2 {
		t.Errorf("ran on %v, the route allows two", ran)
	}
}

func TestSendsToOneUpstreamAreBounded(t *testing.T) {
	f := stageFake(t, "a", 0, 10, func(net.Conn, *fasthttp.Request) bool { return false })
	r := newRig(t, f)
	if resp, _ := r.ask(t, "POST", "/stream/x", "r1", "p"); resp.StatusCode() != 502 {
		t.Errorf("answer %d", resp.StatusCode())
	}
	if n := len(f.requests()); n > maxSends {
		t.Errorf("%d sends", n)
	}
}

func TestRefusalNamesTheStageToLeaveOut(t *testing.T) {
	var second *fake
	first := stageFake(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		if strings.Contains(string(req.Header.Peek("Q-Stages")), second.Address) {
			return reply(conn, req, 503, "", "Q-Not-Run: 1", "Q-Fault: "+second.Address)
		}
		return eventsFrom(conn, req, 1, 2, true)
	})
	second = stageFake(t, "b", 5, 10, whole(2))
	twin := stageFake(t, "c", 5, 10, whole(2))
	twin.Card = "unknown to the model"
	r := newRig(t, first, second, twin)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete || resp.StatusCode() != 200 {
		t.Fatalf("answer %d", resp.StatusCode())
	}
	wantEvents(t, resp.Body(), 1, 2)
}

func TestStalledStreamIsLedAroundADeadStage(t *testing.T) {
	go1 := make(chan struct{})
	var released atomic.Bool
	first := stageFake(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		eventsFrom(conn, req, 1, 2, false)
		<-go1
		last := "id: 3\ndata: e3\n\n"
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(last), last)
		return false
	})
	second := stageFake(t, "b", 5, 10, whole(2))
	twin := stageFake(t, "c", 5, 10, whole(2))
	twin.Zone = "far"
	r := newRig(t, first, second, twin)
	r.calls.dead[life("b")] = true
	r.calls.onRoute = func() {
		if !released.Swap(true) {
			close(go1)
		}
	}
	c := r.dial(t)
	c.send("POST", "/stream/x", "r1", "p")
	resp, complete := c.answer()
	if !complete || !released.Load() {
		t.Fatalf("answer %q, whole %v, rerouted %v", resp.Body(), complete, released.Load())
	}
	wantEvents(t, resp.Body(), 1, 3)
	want := "r1 " + first.Address + "=0-5," + twin.Address + "=5-10"
	if r.calls.rerouted[0] != want {
		t.Errorf("rerouted %q, want %q", r.calls.rerouted[0], want)
	}
	if len(first.requests()) != 1 {
		t.Errorf("%d sends, want none beside the first", len(first.requests()))
	}
}

func TestStreamWhoseFirstStageDiesGoesOnElsewhere(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	dead := stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		eventsFrom(conn, req, 1, 2, false)
		<-hold
		return false
	})
	other := stageFake(t, "b", 0, 10, whole(4))
	other.Zone = "far"
	r := newRig(t, dead, other)
	r.calls.dead[life("a")] = true
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete {
		t.Error("not whole")
	}
	wantEvents(t, resp.Body(), 1, 4)
}

func TestSlowButAloneIsNotLeft(t *testing.T) {
	hold := make(chan struct{})
	slow := stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		<-hold
		return eventsFrom(conn, req, 1, 2, true)
	})
	r := newRig(t, slow)
	r.calls.dead[life("a")] = true
	c := r.dial(t)
	c.send("POST", "/stream/x", "r1", "p")
	eventually(t, "the engine is asked", func() bool { return r.counts.get("upstream.probes") > 1 })
	close(hold)
	resp, complete := c.answer()
	if !complete || resp.StatusCode() != 200 || len(slow.requests()) != 1 {
		t.Errorf("answer %d, %d sends", resp.StatusCode(), len(slow.requests()))
	}
}

func TestEventsAreReadWhole(t *testing.T) {
	var s sequence
	for _, c := range []struct {
		id   int64
		pass bool
		gap  bool
	}{{3, true, false}, {3, false, false}, {4, true, false}, {2, false, false}, {6, false, true}} {
		pass, err := s.take(event{id: c.id, hasID: true})
		if pass != c.pass || (err != nil) != c.gap {
			t.Errorf("event %d: pass %v, error %v", c.id, pass, err)
		}
	}
}

func TestUnknownFleetLeavesNoSlackForRetries(t *testing.T) {
	b := Budget{Ratio: 0.2, Slack: 100}
	if ratio, perSecond := b.share(0); ratio <= 0 || perSecond != 0 {
		t.Errorf("share of an unknown fleet: %v, %v a second", ratio, perSecond)
	}
	_, alone := b.share(1)
	if _, of10 := b.share(10); of10*10 > alone+1e-9 {
		t.Errorf("ten nodes take %v a second each, one %v", of10, alone)
	}
}

func TestStageThatRefusesThoughItHasRoomIsLeftOutForAll(t *testing.T) {
	var second *fake
	first := stageFake(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		if strings.Contains(string(req.Header.Peek("Q-Stages")), second.Address) {
			return reply(conn, req, 503, "", "Q-Not-Run: 1", "Q-Fault: "+second.Address)
		}
		return eventsFrom(conn, req, 1, 2, true)
	})
	second = stageFake(t, "b", 5, 10, whole(2))
	twin := stageFake(t, "c", 5, 10, whole(2))
	twin.Zone = "far"
	r := newRig(t, first, second, twin)
	for _, id := range []string{"r1", "r2", "r3"} {
		if _, complete := r.ask(t, "POST", "/stream/x", id, "p"); !complete {
			t.Errorf("%s is not whole", id)
		}
	}
	if n := len(first.requests()); n != 4 {
		t.Errorf("%d sends for three requests, want one more for the first alone", n)
	}
}

func TestRefusedConnectionsDoNotGiveRunsBack(t *testing.T) {
	// An engine with too many connections refuses further ones and runs on.
	var a *fake
	a = stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		_ = a.listener.Close()
		return eventsFrom(conn, req, 1, 1, false)
	})
	broken := func(conn net.Conn, req *fasthttp.Request) bool {
		from := after(req)
		return eventsFrom(conn, req, from, from, false)
	}
	b, c := stageFake(t, "b", 0, 10, broken), stageFake(t, "c", 0, 10, broken)
	b.Zone, c.Zone = "far", "far"
	r := newRig(t, a, b, c)
	// The engine is asked over a connection of its own, and refuses that.
	r.calls.refused[life("a")] = true
	if _, complete := r.ask(t, "POST", "/stream/x", "r1", "p"); complete {
		t.Error("whole, though each broke off")
	}
	if len(b.requests()) > 0 && len(c.requests()) > 0 {
		t.Errorf("ran on three upstreams, the route allows two")
	}
}

func TestStreamsOfAPlainServiceAreCountedOff(t *testing.T) {
	near, far := newFake(t, "u1", "plain", whole(2)), newFake(t, "u2", "plain", whole(2))
	far.Zone = "far"
	r := newRig(t, near, far)
	for i := range 6 {
		resp, complete := r.ask(t, "POST", "/plainstream/x", fmt.Sprint("r", i), "p")
		if !complete {
			t.Fatalf("answer %d", resp.StatusCode())
		}
		wantEvents(t, resp.Body(), 1, 2)
	}
	if n := len(far.requests()); n > 0 {
		t.Errorf("%d of 6 streams, one after the other, went to another zone", n)
	}
	if len(near.requests()[0].Header.Peek("Q-Stages")) > 0 {
		t.Error("a chain is named to a service without layers")
	}
}

func TestEnginesOwnFailureIsTriedElsewhereFirst(t *testing.T) {
	fails := func(conn net.Conn, req *fasthttp.Request) bool { return reply(conn, req, 500, "bad") }
	a, b := stageFake(t, "a", 0, 10, fails), stageFake(t, "b", 0, 10, whole(2))
	b.Zone = "far"
	r := newRig(t, a, b)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete || resp.StatusCode() != 200 {
		t.Errorf("answer %d", resp.StatusCode())
	}
	c, d := stageFake(t, "c", 0, 10, fails), stageFake(t, "d", 0, 10, fails)
	r = newRig(t, c, d)
	resp, _ = r.ask(t, "POST", "/stream/x", "r2", "p")
	if resp.StatusCode() != 500 || string(resp.Header.Peek("Q-Seal")) != "seal-bad" {
		t.Errorf("both fail: %d, want the engine's own answer", resp.StatusCode())
	}
	if resp, _ = r.ask(t, "POST", "/once/x", "r3", "p"); resp.StatusCode() != 500 || len(c.requests())+len(d.requests()) != 3 {
		t.Errorf("one that may run once: %d", resp.StatusCode())
	}
}

func TestSlowEnginesAreAskedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	engines := &calls{dead: make(map[ids.Life]bool), refused: make(map[ids.Life]bool)}
	o := Options{
		Engines: engines, Log: zerolog.Nop(), Metrics: &counts{n: make(map[string]int64)},
		Now: func() time.Time { return now },
	}
	picks := newPicker(o, newCulprits(o))
	probe := newProber(o, picks)
	d := directory.New()
	for _, id := range []ids.Life{life("slow"), life("usual")} {
		d.Put(directory.Upstream{ID: id, Service: "model", Address: string(id.Upstream), Revision: 1})
	}
	view := d.View()
	picks.paced(view.Get(life("slow")), 12)
	picks.paced(view.Get(life("usual")), 1)
	probe.refresh(t.Context(), view)
	if len(probe.latest) != 0 {
		t.Fatal("asked again at once")
	}
	now = now.Add(2 * time.Second)
	probe.refresh(t.Context(), view)
	if len(probe.latest) != 1 || probe.latest[life("slow")] == nil {
		t.Fatalf("asked %d engines", len(probe.latest))
	}
	<-probe.latest[life("slow")].done
	if pace := picks.conditions.Slowdown(now, life("slow")); pace != 1 {
		t.Errorf("one that has recovered counts as slow by %v", pace)
	}
}

// A stage that answers this node but not the stage before it stalls a stream just
// as a dead one does; the first stage's report names it.
func TestStreamIsLedAroundTheStageThatItsFirstNames(t *testing.T) {
	released := make(chan struct{})
	first := stageFake(t, "a", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		<-released
		return eventsFrom(conn, req, 1, 3, true)
	})
	second := stageFake(t, "b", 5, 10, whole(2))
	twin := stageFake(t, "c", 5, 10, whole(2))
	twin.Zone = "far"
	r := newRig(t, first, second, twin)
	r.calls.stalled = map[ids.Life]map[ids.Request]string{life("a"): {"r1": second.Address}}
	r.calls.onRoute = func() { close(released) }
	c := r.dial(t)
	c.send("POST", "/stream/x", "r1", "p")
	resp, complete := c.answer()
	if !complete {
		t.Fatalf("answer %q is not whole", resp.Body())
	}
	wantEvents(t, resp.Body(), 1, 3)
	if want := "r1 " + first.Address + "=0-5," + twin.Address + "=5-10"; r.calls.rerouted[0] != want {
		t.Errorf("rerouted %q, want %q", r.calls.rerouted[0], want)
	}
}

// A stream that is half with its caller waits a moment for a chain to go on with:
// engines that take over the layers of one that left load them in about a second.
func TestStreamMidwayWaitsForAChain(t *testing.T) {
	dead := stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		return eventsFrom(conn, req, 1, 2, false)
	})
	next := stageFake(t, "b", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		return eventsFrom(conn, req, after(req), 4, true)
	})
	r := newRig(t, dead)
	r.calls.dead[life("a")] = true
	// Callers leave after 2 s without an event.
	time.AfterFunc(1800*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dir.Put(next.Upstream)
	})
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete {
		t.Fatalf("answer %q is not whole", resp.Body())
	}
	wantEvents(t, resp.Body(), 1, 4)
}

// Eight of 39 engines were taken away or replaced as planned within ten seconds, beside a
// change of the configuration, and on one play of 16 streams were still cut in the middle
// once layers were taken over at once: in the broken_off lines of unseen seed 115 eleven of
// twelve with reason retry_budget, 1 to 3 s after the engine had ended with which they
// began, in seconds in which 26 to 72 sends came on top of the first ones. The cause: a
// stream was ended the moment its node had no retry left, though the budget grows by some
// sends a second, and its caller waits for 2 s and then loses what it has.
func TestStreamMidwayWaitsForARetry(t *testing.T) {
	next := stageFake(t, "b", 0, 10, whole(4))
	var r *rig
	dead := dyingFake(t, &r, next)
	r = newRig(t, dead)
	// A twenty-fifth of the budget is three sends, and one more within a second.
	r.SetNodes(25)
	for r.Server.picks.again("model", outcome.UpstreamLost, true) {
	}
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete {
		t.Fatalf("answer %q is not whole", resp.Body())
	}
	wantEvents(t, resp.Body(), 1, 4)
}

// Streams that are slow but run on leave the last retries to those that would end.
func TestSlowStreamsLeaveTheLastRetriesToBrokenOnes(t *testing.T) {
	slow, other := stageFake(t, "a", 0, 10, whole(1)), stageFake(t, "b", 0, 10, whole(1))
	r := newRig(t, slow, other)
	p := r.Server.picks
	for p.again("model", outcome.UpstreamLost, false) {
	}
	table := r.table.Load()
	m, view := table.Service("model").Model, r.dir.View()
	p.paced(&slow.Upstream, 50)
	now := chain.Chain{{Engine: view.Get(life("a")), Layers: slow.Layers}}
	req := chain.Request{Service: "model", Zone: "z", PromptTokens: 10, OutputTokens: 10, Avoid: map[ids.Life]bool{life("a"): true}}
	if p.worthLeaving(m, view, req, now, false) {
		t.Error("a stream that is slow takes one of the last retries")
	}
	if !p.worthLeaving(m, view, req, now, true) {
		t.Error("a stream whose engine is dead gets none of the last retries")
	}
}

// An engine without room has some again once other streams end, which is long before
// the caller of a stream leaves: it may be the only one with its layers.
func TestStreamMidwayComesBackToAnEngineThatWasFull(t *testing.T) {
	var refusals atomic.Int32
	second := stageFake(t, "c", 5, 10, whole(4))
	first := stageFake(t, "b", 0, 5, func(conn net.Conn, req *fasthttp.Request) bool {
		if refusals.Add(1) <= 2 {
			return reply(conn, req, 503, "", "Q-Not-Run: 1", "Q-Fault: "+second.Address)
		}
		return eventsFrom(conn, req, after(req), 4, true)
	})
	var r *rig
	dead := dyingFake(t, &r, first, second)
	r = newRig(t, dead)
	resp, complete := r.ask(t, "POST", "/stream/x", "r1", "p")
	if !complete {
		t.Fatalf("answer %q is not whole", resp.Body())
	}
	wantEvents(t, resp.Body(), 1, 4)
	if refusals.Load() != 3 {
		t.Errorf("sent there %d times", refusals.Load())
	}
}

// Where the only chain leads through an engine that has just had no room, a new request
// is refused at once: its room goes to streams whose callers have part of the answer.
func TestNewRequestsLeaveAFullEngineToStreamsMidway(t *testing.T) {
	full := stageFake(t, "a", 0, 10, func(conn net.Conn, req *fasthttp.Request) bool {
		return reply(conn, req, 503, "", "Q-Not-Run: 1")
	})
	r := newRig(t, full)
	r.Server.picks.full(&full.Upstream)
	resp, _ := r.ask(t, "POST", "/stream/x", "r1", "p")
	if resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("answer %d, want 503 with when to come back", resp.StatusCode())
	}
	if sent := len(full.requests()); sent != 0 {
		t.Errorf("sent %d times", sent)
	}
}
