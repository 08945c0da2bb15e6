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
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/placement"
	"mimosaarch.example/decide/routing"
)

// fleet stands for the engines, the directory and the lease.
type fleet struct {
	mu     sync.Mutex
	dir    *directory.Directory
	rev    int64
	orders []string
	busy   map[ids.Life]bool
	result Result
	status lease.Status
	lapsed lease.Status
	downs  int
	// hangs makes reports fail.
	hangs bool
	// born are the starts that engines report.
	born map[ids.Upstream]int64
	// silent is for how long engines have not answered.
	silent map[ids.Upstream]time.Duration
}

func newFleet() *fleet {
	return &fleet{
		dir: directory.New(), busy: make(map[ids.Life]bool), result: Begun,
		status: lease.Status{Held: true, Left: time.Hour, Fence: 9},
	}
}

// engine adds an engine or changes what it holds.
func (f *fleet) engine(id string, from, to int) { f.life(id, 0, from, to) }

// life is engine for a process whose start is told.
func (f *fleet) life(id string, born int64, from, to int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	f.dir.Put(directory.Upstream{
		ID: ids.Life{Upstream: ids.Upstream(id), Born: born}, Service: "s", Address: id, Zone: "z", Card: "card", Layers: layered.Range{From: from, To: to}, Revision: f.rev,
	})
}

// silentFor tells for how long an engine has been silent.
func (f *fleet) silentFor(u *directory.Upstream) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[u.ID.Upstream]
}

// restarted takes what an engine says of its start.
func (f *fleet) restarted(life ids.Life) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dir.Restarted(life)
}

func (f *fleet) Probe(_ context.Context, u *directory.Upstream) (layered.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hangs {
		return layered.Report{}, &LeaseError{}
	}
	return layered.Report{Born: f.born[u.ID.Upstream], OrdersStarted: 4}, nil
}

func (f *fleet) Place(_ context.Context, u *directory.Upstream, o Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, fmt.Sprintf("%s %s fence %d after %d", u.ID, o.Layers, o.Fence, o.After))
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
	return f.lapsed
}

func (f *fleet) StepDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downs++
	f.status = lease.Status{}
}

// given takes the orders given so far.
func (f *fleet) given() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.orders
	f.orders = nil
	return out
}

// playModel has 10 layers on one kind of card.
var playModel = &layered.Model{
	Layers: 10, LayerMB: 10, KVTokenBytes: 10, StepMs: 1, StepsPerPass: 1, LoadSeconds: 10,
	Cards: map[string]layered.Card{"card": {MemoryMB: 100, StepFactor: 1, PrefillFactor: 1}},
}

// play runs the duty over a fleet, in a bubble of its own clock.
func play(t *testing.T, f *fleet, fenced bool, story func()) {
	t.Helper()
	o := Options{Engines: f, Lease: f, Fenced: fenced, Restarted: f.restarted, SilentFor: f.silentFor}
	playPlacer(t, playModel, &f.mu, f.dir, o, func(context.Context) { story() })
}

// playPlacer runs the duty over the engines of one model until the story ends, in a bubble of
// its own clock; mu guards the directory.
func playPlacer(t *testing.T, m *layered.Model, mu *sync.Mutex, dir *directory.Directory, o Options, story func(context.Context)) {
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
		story(ctx)
		cancel()
		synctest.Wait()
	})
}

func TestWaitsForTheFleetThenPlaces(t *testing.T) {
	f := newFleet()
	play(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(time.Second)
		f.engine("b", 0, 0)
		time.Sleep(time.Second)
		if got := f.given(); len(got) > 0 {
			t.Errorf("orders before the list has settled: %v", got)
		}
		time.Sleep(time.Second)
		want := []string{"a 0-6 fence 9 after 4", "b 6-10 fence 9 after 4"}
		if diff := cmp.Diff(want, f.given()); diff != "" {
			t.Error(diff)
		}
		f.engine("a", 0, 6)
		f.engine("b", 6, 10)
		time.Sleep(time.Minute)
		if got := f.given(); len(got) > 0 {
			t.Errorf("orders to a fleet that is whole: %v", got)
		}
	})
}

func TestNoOrderWithoutTheLease(t *testing.T) {
	for name, status := range map[string]lease.Status{"none": {}, "about to end": {Held: true, Left: leastLeft / 2, Fence: 9}} {
		f := newFleet()
		f.status = status
		play(t, f, false, func() {
			f.engine("a", 0, 0)
			time.Sleep(time.Minute)
		})
		if got := f.given(); len(got) > 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestLapsedTermGoesOnOnlyWhereOrdersAreFenced(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		f := newFleet()
		f.status = lease.Status{}
		f.lapsed = lease.Status{Held: true, Fence: 8}
		play(t, f, fenced, func() {
			f.engine("a", 0, 0)
			time.Sleep(5 * time.Second)
		})
		if got := f.given(); (len(got) > 0) != fenced {
			t.Errorf("fenced %v: orders %v", fenced, got)
		}
	}
}

func TestFencedOrderEndsTheTerm(t *testing.T) {
	f := newFleet()
	f.result = Fenced
	play(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(time.Minute)
	})
	if got := f.given(); len(got) != 1 || f.downs != 1 {
		t.Errorf("orders %v, stepped down %d times", got, f.downs)
	}
}

func TestOrderWithoutEffectComesAgain(t *testing.T) {
	f := newFleet()
	f.result = Unknown
	play(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(4 * time.Second)
		if got := f.given(); len(got) != 1 {
			t.Errorf("orders %v, want one while it may still take effect", got)
		}
		time.Sleep(time.Minute)
		if got := f.given(); len(got) == 0 {
			t.Error("an order that never took effect is not given again")
		}
	})
}

func TestEngineThatDoesNotReportGetsNoOrder(t *testing.T) {
	f := newFleet()
	f.hangs = true
	play(t, f, true, func() {
		f.engine("a", 0, 0)
		time.Sleep(10 * time.Second)
	})
	if got := f.given(); len(got) > 0 {
		t.Errorf("orders %v", got)
	}
}

func TestNoPlanIsMadeTwiceForTheSame(t *testing.T) {
	m := &layered.Model{Layers: 8}
	q := func(to int, move bool) question {
		return question{
			model: m, move: map[ids.Zone]bool{"z": move},
			state: []placement.Engine{{ID: ids.Life{Upstream: "e"}, Holds: layered.Range{To: to}}},
		}
	}
	p := New(Options{})
	if p.atRest("s", q(8, false)) {
		t.Error("at rest before any plan")
	}
	p.rest["s"] = q(8, false)
	if !p.atRest("s", q(8, false)) || p.atRest("other", q(8, false)) {
		t.Error("the same is planned again, or another service is not")
	}
	if p.atRest("s", q(4, false)) || p.atRest("s", q(8, true)) {
		t.Error("at rest though an engine, or what may move, has changed")
	}
	other := q(8, false)
	other.model = &layered.Model{Layers: 8}
	if p.atRest("s", other) {
		t.Error("at rest though the model is another")
	}
}
