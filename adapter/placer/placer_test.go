package placer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/placement"
	"mimosaarch.example/decide/routing"
)

// fleet is a fake of the engines, the directory and the lease.
type fleet struct {
	mu        sync.Mutex
	dir       *directory.Directory
	rev       int64
	orders    []string
	busy      map[ids.Instance]bool
	result    Result
	status    lease.Status
	lastTerm  lease.Status
	stepDowns int
	// probeFails makes Probe fail.
	probeFails bool
	// startTimes holds the start times that engines report.
	startTimes map[ids.Upstream]int64
	// silent is how long engines have left requests unanswered.
	silent map[ids.Upstream]time.Duration
}

func newFleet() *fleet {
	return &fleet{
		dir: directory.New(), busy: make(map[ids.Instance]bool), result: Begun,
		status: lease.Status{Held: true, Left: time.Hour, Fence: 9},
	}
}

// engine adds an engine or changes the layers it holds.
func (f *fleet) engine(id string, from, to int) { f.engineStartedAt(id, 0, from, to) }

// engineStartedAt adds or changes an engine whose process has a known start time.
func (f *fleet) engineStartedAt(id string, startedMs int64, from, to int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.dir.Put(time.Time{}, directory.Upstream{
		ID: ids.Instance{Upstream: ids.Upstream(id), StartedMs: startedMs}, Service: "s", Address: id, Zone: "z", Card: "card", Layers: layered.Range{From: from, To: to}, Revision: revision.Of(f.rev),
	})
}

// silentFor returns how long an engine has been silent.
func (f *fleet) silentFor(u *directory.Upstream) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[u.ID.Upstream]
}

// restarted records the start time that an engine reported.
func (f *fleet) restarted(instance ids.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dir.Restarted(instance)
}

func (f *fleet) Probe(_ context.Context, u *directory.Upstream) (layered.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probeFails {
		return layered.Report{}, &LeaseError{}
	}
	return layered.Report{StartedMs: f.startTimes[u.ID.Upstream], OrdersStarted: 4}, nil
}

func (f *fleet) Place(_ context.Context, u *directory.Upstream, o Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, fmt.Sprintf("%s %s fence %d after %d", u.ID, o.Layers, o.Fence, o.ExpectedOrderCount))
	slices.Sort(f.orders)
	return f.result, nil
}

func (f *fleet) Status() lease.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

func (f *fleet) LastTerm() lease.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastTerm
}

func (f *fleet) StepDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stepDowns++
	f.status = lease.Status{}
}

// takeOrders returns the orders since the last call.
func (f *fleet) takeOrders() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.orders
	f.orders = nil
	return out
}

// testModel has 10 layers on one kind of card.
var testModel = &layered.Model{
	Layers: 10, LayerMB: 10, KVTokenBytes: 10, StepMs: 1, StepsPerPass: 1, LoadSeconds: 10,
	Cards: map[string]layered.Card{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
}

// runPlacer runs a placer over a fleet in a synctest bubble while the scenario
// runs.
func runPlacer(t *testing.T, f *fleet, fenced bool, scenario func()) {
	t.Helper()
	o := Options{Engines: f, Lease: f, EnginesCheckFence: fenced, OnRestart: f.restarted, SilentFor: f.silentFor}
	runPlacerOver(t, testModel, &f.mu, f.dir, o, func(context.Context) { scenario() })
}

// runPlacerOver runs a placer over the engines of one model until the scenario
// returns, in a synctest bubble. mu guards the directory.
func runPlacerOver(t *testing.T, m *layered.Model, mu *sync.Mutex, dir *directory.Directory, o Options, scenario func(context.Context)) {
	t.Helper()
	table, err := routing.Build(routing.Config{Services: []routing.Service{{Name: "s", Model: m}}})
	if err != nil {
		t.Fatal(err)
	}
	o.Table = func() *routing.Table { return table }
	o.View = func() *directory.View {
		mu.Lock()
		defer mu.Unlock()
		return dir.View()
	}
	o.Now, o.Log, o.Count = time.Now, zerolog.Nop(), func(string, int64) {}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		go New(o).Run(ctx)
		scenario(ctx)
		cancel()
		synctest.Wait()
	})
}

func TestWaitsForTheFleetThenPlaces(t *testing.T) {
	f := newFleet()
	runPlacer(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(time.Second)
		f.engine("b", 0, 0)
		time.Sleep(time.Second)
		if got := f.takeOrders(); len(got) > 0 {
			t.Errorf("orders before the list of engines has settled: %v", got)
		}
		time.Sleep(time.Second)
		want := []string{"a 0-6 fence 9 after 4", "b 6-10 fence 9 after 4"}
		if diff := cmp.Diff(want, f.takeOrders()); diff != "" {
			t.Error(diff)
		}
		f.engine("a", 0, 6)
		f.engine("b", 6, 10)
		time.Sleep(time.Minute)
		if got := f.takeOrders(); len(got) > 0 {
			t.Errorf("orders to a complete fleet: %v", got)
		}
	})
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	for name, status := range map[string]lease.Status{"none": {}, "about to end": {Held: true, Left: minLeaseRemaining / 2, Fence: 9}} {
		f := newFleet()
		f.status = status
		runPlacer(t, f, false, func() {
			f.engine("a", 0, 0)
			time.Sleep(time.Minute)
		})
		if got := f.takeOrders(); len(got) > 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestExpiredTermContinuesOnlyIfOrdersAreFenced(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		f := newFleet()
		f.status = lease.Status{}
		f.lastTerm = lease.Status{Held: true, Fence: 8}
		runPlacer(t, f, fenced, func() {
			f.engine("a", 0, 0)
			time.Sleep(5 * time.Second)
		})
		if got := f.takeOrders(); (len(got) > 0) != fenced {
			t.Errorf("fenced %v: orders %v", fenced, got)
		}
	}
}

func TestFencedOrderEndsTheTerm(t *testing.T) {
	f := newFleet()
	f.result = Fenced
	runPlacer(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(time.Minute)
	})
	if got := f.takeOrders(); len(got) != 1 || f.stepDowns != 1 {
		t.Errorf("orders %v, stepped down %d times", got, f.stepDowns)
	}
}

func TestOrderWithoutEffectIsRepeated(t *testing.T) {
	f := newFleet()
	f.result = Unknown
	runPlacer(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(4 * time.Second)
		if got := f.takeOrders(); len(got) != 1 {
			t.Errorf("orders %v, want one while it may still take effect", got)
		}
		time.Sleep(time.Minute)
		if got := f.takeOrders(); len(got) == 0 {
			t.Error("an order that never took effect is not sent again")
		}
	})
}

func TestEngineThatDoesNotReportGetsNoOrder(t *testing.T) {
	f := newFleet()
	f.probeFails = true
	runPlacer(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(10 * time.Second)
	})
	if got := f.takeOrders(); len(got) > 0 {
		t.Errorf("orders %v", got)
	}
}

func TestUnchangedInputIsNotPlannedAgain(t *testing.T) {
	m := &layered.Model{Layers: 8}
	input := func(to int, move bool) planInput {
		return planInput{
			model: m, move: map[ids.Zone]bool{"z": move},
			state: []placement.Engine{{ID: ids.Instance{Upstream: "e"}, Holds: layered.Range{To: to}}},
		}
	}
	p := New(Options{})
	if p.planWasEmpty("s", input(8, false)) {
		t.Error("the plan counts as empty before one was made")
	}
	p.emptyPlans["s"] = input(8, false)
	if !p.planWasEmpty("s", input(8, false)) || p.planWasEmpty("other", input(8, false)) {
		t.Error("unchanged input is planned again, or another service is not planned")
	}
	if p.planWasEmpty("s", input(4, false)) || p.planWasEmpty("s", input(8, true)) {
		t.Error("the plan counts as empty although an engine or the zones to move in have changed")
	}
	other := input(8, false)
	other.model = &layered.Model{Layers: 8}
	if p.planWasEmpty("s", other) {
		t.Error("the plan counts as empty although the model has changed")
	}
}
