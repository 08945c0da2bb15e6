package order

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
)

var start = time.Unix(1000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// heldLease returns a lease that has been held since start.
func heldLease(fence int64) lease.Status {
	return lease.Status{Held: true, Left: 10 * time.Second, Fence: fence, Since: start}
}

// harness is a planner with two layer ranges and some engines in each. All of them
// hold their range in version 1 at first; the plan asks for version 2.
type harness struct {
	*Planner
	t    *testing.T
	plan Plan
}

func newHarness(t *testing.T, opts Options, perRange int) *harness {
	h := &harness{Planner: New(opts), t: t, plan: Plan{Layers: 4, ChecksFence: true}}
	for half := range 2 {
		for i := range perRange {
			h.plan.Engines = append(h.plan.Engines, Assignment{
				Engine: ids.Upstream(fmt.Sprintf("e%d%d", half, i)),
				Model:  "m", First: 2 * half, Last: 2*half + 1, Version: "2",
			})
		}
	}
	if err := h.SetPlan("s", h.plan); err != nil {
		t.Fatal(err)
	}
	h.reportAll(0, "m")
	return h
}

// reportAll makes all engines report the given model.
func (h *harness) reportAll(seconds int, model string) {
	for _, w := range h.plan.Engines {
		h.reportOne(seconds, w, model, "x")
	}
}

// breakChain makes the first engine report another model, so that the engines form
// no chain that a load could break.
func (h *harness) breakChain(seconds int) {
	h.reportAll(seconds, "m")
	h.reportOne(seconds, h.plan.Engines[0], "old", "x")
}

func (h *harness) reportOne(seconds int, w Assignment, model, epoch string) {
	h.Reported(at(seconds), engineapi.LoadReport{Engine: string(w.Engine), Epoch: epoch, Model: model, First: w.First, Last: w.Last})
}

// tick returns the sends due and the names of their engines.
func (h *harness) tick(seconds int, s lease.Status) (out []string, sends []Send) {
	sends = h.Tick(at(seconds), s)
	for _, send := range sends {
		out = append(out, string(send.Engine))
	}
	return out, sends
}

func (h *harness) want(what string, got []string, want ...string) {
	h.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		h.t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestLoadsAreLimitedInRateAndConcurrency(t *testing.T) {
	h := newHarness(t, Options{LoadsPerMinute: 3, MaxConcurrentLoads: 2}, 3)
	got, _ := h.tick(1, heldLease(5))
	h.want("the last holder's loads count", got)
	h.reportAll(61, "old")
	got, sends := h.tick(61, heldLease(5))
	h.want("two at once", got, "e00", "e01")
	for _, s := range sends {
		h.Ended(s, Applied)
	}
	got, _ = h.tick(62, heldLease(5))
	h.want("both still load", got)
	h.reportAll(63, "m")
	got, sends = h.tick(63, heldLease(5))
	h.want("one more in the minute", got, "e02")
	h.Ended(sends[0], Applied)
	h.reportAll(64, "m")
	got, _ = h.tick(64, heldLease(5))
	h.want("the minute's rate is used", got)
	h.reportAll(121, "m")
	got, _ = h.tick(121, heldLease(5))
	h.want("the next minute", got, "e10", "e11")
}

func TestLoadsLeaveACompleteChain(t *testing.T) {
	h := newHarness(t, Options{LoadsPerMinute: 100, MaxConcurrentLoads: 100}, 2)
	h.reportAll(60, "m")
	got, sends := h.tick(60, heldLease(5))
	h.want("one of each range stays", got, "e00", "e10")
	// The other engines get their orders once the first ones have confirmed theirs.
	for _, s := range sends {
		h.Ended(s, Applied)
	}
	h.reportAll(61, "m")
	got, _ = h.tick(61, heldLease(5))
	h.want("the rest follows", got, "e01", "e11")
}

func TestLastCompleteChainIsNotBroken(t *testing.T) {
	h := newHarness(t, Options{LoadsPerMinute: 100, MaxConcurrentLoads: 100}, 1)
	h.reportAll(60, "m")
	got, _ := h.tick(60, heldLease(5))
	h.want("the only chain is kept", got)
	h.reportOne(61, h.plan.Engines[0], "other", "x")
	got, _ = h.tick(61, heldLease(5))
	h.want("no chain is left to keep", got, "e00", "e10")
}

func TestRepeatsUntilTheReportConfirms(t *testing.T) {
	h := newHarness(t, Options{LoadsPerMinute: 1, MaxConcurrentLoads: 1}, 1)
	h.breakChain(60)
	_, sends := h.tick(60, heldLease(5))
	if len(sends) != 1 || sends[0].Order != (engineapi.Order{Fence: 5, Model: "m", First: 0, Last: 1, Version: "2"}) {
		t.Fatalf("%+v", sends)
	}
	got, _ := h.tick(75, heldLease(5))
	h.want("one is under way", got)
	h.Ended(sends[0], Lost)
	h.breakChain(75)
	got, sends = h.tick(75, heldLease(5))
	h.want("repeated", got, "e00")
	h.Ended(sends[0], Applied)
	h.breakChain(90)
	got, sends = h.tick(90, heldLease(5))
	h.want("taken but not confirmed", got, "e00")
	h.Ended(sends[0], Applied)
	h.reportOne(119, h.plan.Engines[0], "m", "x")
	got, _ = h.tick(119, heldLease(5))
	h.want("confirmed", got)
	h.reportOne(130, h.plan.Engines[0], "m", "y")
	got, _ = h.tick(130, heldLease(5))
	h.want("a restarted process is ordered again", got, "e00")
}

func TestLeaseGuardsOrders(t *testing.T) {
	h := newHarness(t, Options{LoadsPerMinute: 9, MaxConcurrentLoads: 9, MinLeaseRemaining: 3 * time.Second, OrderTimeout: 2 * time.Second}, 1)
	h.plan.ChecksFence = false
	if err := h.SetPlan("s", h.plan); err != nil {
		t.Fatal(err)
	}
	h.breakChain(60)
	late := lease.Status{Held: true, Left: 3*time.Second - 1, Fence: 5, Since: start}
	got, _ := h.tick(60, late)
	h.want("little is left", got)
	got, _ = h.tick(60, lease.Status{Fence: 5})
	h.want("not held", got)
	got, sends := h.tick(60, heldLease(5))
	h.want("held", got, "e00", "e10")
	if h.Ended(sends[0], Refused) || !h.Ended(sends[1], Stale) {
		t.Fatal("only a stale fence makes it step down")
	}
	// In a new term, engines that do not check the fencing token get no order until
	// the previous holder's orders have timed out. The answer to an order of the
	// earlier term is ignored.
	h.opts.LoadsPerMinute = 0
	h.breakChain(70)
	took := lease.Status{Held: true, Left: 10 * time.Second, Fence: 9, Since: at(70)}
	h.tick(70, took)
	h.opts.LoadsPerMinute = 9
	got, _ = h.tick(71, took)
	h.want("one second after the takeover", got)
	if h.Ended(sends[1], Stale) {
		t.Fatal("stepped down for an earlier term's order")
	}
	h.breakChain(72)
	got, _ = h.tick(72, took)
	h.want("after the order timeout", got, "e00", "e10")
}

func TestInvalidPlansAreRefused(t *testing.T) {
	cases := map[string]string{
		"no layers":     `{"engines":[]}`,
		"unknown field": `{"layers":2,"x":1}`,
		"beyond layers": `{"layers":2,"engines":[{"engine":"e","model":"m","first":0,"last":2}]}`,
		"backwards":     `{"layers":2,"engines":[{"engine":"e","model":"m","first":1,"last":0}]}`,
		"twice":         `{"layers":2,"engines":[{"engine":"e","model":"m"},{"engine":"e","model":"m"}]}`,
		"no model":      `{"layers":2,"engines":[{"engine":"e"}]}`,
		"no JSON":       `layers: 2`,
	}
	for name, text := range cases {
		var refused *PlanError
		if _, err := ParsePlan("s", []byte(text)); !errors.As(err, &refused) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	p := New(Options{MaxEngines: 1})
	one := Plan{Layers: 1, Engines: []Assignment{{Engine: "e", Model: "m"}}}
	two := Plan{Layers: 1, Engines: []Assignment{{Engine: "f", Model: "m"}, {Engine: "g", Model: "m"}}}
	var refused *PlanError
	if err := p.SetPlan("s", one); err != nil {
		t.Fatal(err)
	}
	if err := p.SetPlan("t", one); !errors.As(err, &refused) || refused.Engine != "e" {
		t.Fatalf("got %v", err)
	}
	if err := p.SetPlan("t", two); !errors.As(err, &refused) || len(p.engines) != 1 {
		t.Fatalf("got %v", err)
	}
	p.DropPlan("s")
	if len(p.engines) != 0 {
		t.Fatal("engines of a dropped plan are kept")
	}
}
