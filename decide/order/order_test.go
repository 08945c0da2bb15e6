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

// held is a lease held since the start.
func held(fence int64) lease.Status {
	return lease.Status{Held: true, Left: 10 * time.Second, Fence: fence, Since: start}
}

// bench is a planner with two layer ranges and some engines in each, all of
// which hold version 1's layers.
type bench struct {
	*Planner
	t    *testing.T
	plan Plan
}

func newBench(t *testing.T, opts Options, each int) *bench {
	b := &bench{Planner: New(opts), t: t, plan: Plan{Layers: 4, ChecksFence: true}}
	for half := range 2 {
		for i := range each {
			b.plan.Engines = append(b.plan.Engines, Assignment{
				Engine: ids.Upstream(fmt.Sprintf("e%d%d", half, i)),
				Model:  "m", First: 2 * half, Last: 2*half + 1, Version: "2",
			})
		}
	}
	if err := b.SetPlan("s", b.plan); err != nil {
		t.Fatal(err)
	}
	b.report(0, "m")
	return b
}

// report lets all engines report that they hold a model.
func (b *bench) report(seconds int, model string) {
	for _, w := range b.plan.Engines {
		b.reportOne(seconds, w, model, "x")
	}
}

// broken lets the first engine report another model, so that no chain is left
// to keep.
func (b *bench) broken(seconds int) {
	b.report(seconds, "m")
	b.reportOne(seconds, b.plan.Engines[0], "old", "x")
}

func (b *bench) reportOne(seconds int, w Assignment, model, epoch string) {
	b.Reported(at(seconds), engineapi.LoadReport{Engine: string(w.Engine), Epoch: epoch, Model: model, First: w.First, Last: w.Last})
}

// tick gives the names of the engines ordered.
func (b *bench) tick(seconds int, s lease.Status) (out []string, sends []Send) {
	sends = b.Tick(at(seconds), s)
	for _, send := range sends {
		out = append(out, string(send.Engine))
	}
	return out, sends
}

func (b *bench) want(what string, got []string, want ...string) {
	b.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		b.t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func TestAtOnceAndRate(t *testing.T) {
	b := newBench(t, Options{LoadsPerMinute: 3, MaxConcurrentLoads: 2}, 3)
	got, _ := b.tick(1, held(5))
	b.want("the last holder's loads count", got)
	b.report(61, "old")
	got, sends := b.tick(61, held(5))
	b.want("two at once", got, "e00", "e01")
	for _, s := range sends {
		b.Ended(s, Applied)
	}
	got, _ = b.tick(62, held(5))
	b.want("both still load", got)
	b.report(63, "m")
	got, sends = b.tick(63, held(5))
	b.want("one more in the minute", got, "e02")
	b.Ended(sends[0], Applied)
	b.report(64, "m")
	got, _ = b.tick(64, held(5))
	b.want("the minute's rate is used", got)
	b.report(121, "m")
	got, _ = b.tick(121, held(5))
	b.want("the next minute", got, "e10", "e11")
}

func TestChainStays(t *testing.T) {
	b := newBench(t, Options{LoadsPerMinute: 100, MaxConcurrentLoads: 100}, 2)
	b.report(60, "m")
	got, sends := b.tick(60, held(5))
	b.want("one of each range stays", got, "e00", "e10")
	// One engine that remains falls silent: the others may not be touched.
	for _, s := range sends {
		b.Ended(s, Applied)
	}
	b.report(61, "m")
	got, _ = b.tick(61, held(5))
	b.want("the rest follows", got, "e01", "e11")
}

func TestNoLoadWithoutSpare(t *testing.T) {
	b := newBench(t, Options{LoadsPerMinute: 100, MaxConcurrentLoads: 100}, 1)
	b.report(60, "m")
	got, _ := b.tick(60, held(5))
	b.want("the only chain is kept", got)
	b.reportOne(61, b.plan.Engines[0], "other", "x")
	got, _ = b.tick(61, held(5))
	b.want("no chain is left to keep", got, "e00", "e10")
}

func TestRepeatsUntilTheReportConfirms(t *testing.T) {
	b := newBench(t, Options{LoadsPerMinute: 1, MaxConcurrentLoads: 1}, 1)
	b.broken(60)
	_, sends := b.tick(60, held(5))
	if len(sends) != 1 || sends[0].Order != (engineapi.Order{Fence: 5, Model: "m", First: 0, Last: 1, Version: "2"}) {
		t.Fatalf("%+v", sends)
	}
	got, _ := b.tick(75, held(5))
	b.want("one is under way", got)
	b.Ended(sends[0], Lost)
	b.broken(75)
	got, sends = b.tick(75, held(5))
	b.want("repeated", got, "e00")
	b.Ended(sends[0], Applied)
	b.broken(90)
	got, sends = b.tick(90, held(5))
	b.want("taken but not confirmed", got, "e00")
	b.Ended(sends[0], Applied)
	b.reportOne(119, b.plan.Engines[0], "m", "x")
	got, _ = b.tick(119, held(5))
	b.want("confirmed", got)
	b.reportOne(130, b.plan.Engines[0], "m", "y")
	got, _ = b.tick(130, held(5))
	b.want("a new process life is ordered anew", got, "e00")
}

func TestLeaseGuardsOrders(t *testing.T) {
	b := newBench(t, Options{LoadsPerMinute: 9, MaxConcurrentLoads: 9, MinLeaseRemaining: 3 * time.Second, OrderTimeout: 2 * time.Second}, 1)
	b.plan.ChecksFence = false
	if err := b.SetPlan("s", b.plan); err != nil {
		t.Fatal(err)
	}
	b.broken(60)
	late := lease.Status{Held: true, Left: 3*time.Second - 1, Fence: 5, Since: start}
	got, _ := b.tick(60, late)
	b.want("little is left", got)
	got, _ = b.tick(60, lease.Status{Fence: 5})
	b.want("not held", got)
	got, sends := b.tick(60, held(5))
	b.want("held", got, "e00", "e10")
	if b.Ended(sends[0], Refused) || !b.Ended(sends[1], Stale) {
		t.Fatal("only a stale fence makes it step down")
	}
	// A new term: engines that ignore fences wait out the last holder's
	// orders, and an answer to the earlier term's order tells nothing.
	b.opts.LoadsPerMinute = 0
	b.broken(70)
	took := lease.Status{Held: true, Left: 10 * time.Second, Fence: 9, Since: at(70)}
	b.tick(70, took)
	b.opts.LoadsPerMinute = 9
	got, _ = b.tick(71, took)
	b.want("one second after the takeover", got)
	if b.Ended(sends[1], Stale) {
		t.Fatal("stepped down for an earlier term's order")
	}
	b.broken(72)
	got, _ = b.tick(72, took)
	b.want("after the order timeout", got, "e00", "e10")
}

func TestPlans(t *testing.T) {
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
