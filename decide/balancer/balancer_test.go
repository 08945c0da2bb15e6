package balancer

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/topology"
)

// epoch is the time tests start at.
var epoch = time.Unix(1e9, 0)

// fakeView is a View of one graph with a Book and weights.
type fakeView struct {
	graph   *topology.Graph
	book    *load.Book
	weights map[ids.Upstream]float64
	links   map[[2]ids.Upstream]float64
}

func newFakeView(g *topology.Graph) *fakeView {
	v := &fakeView{
		graph:   g,
		book:    load.New(load.Settings{}),
		weights: map[ids.Upstream]float64{},
		links:   map[[2]ids.Upstream]float64{},
	}
	v.fill(0)
	return v
}

// fill reports every engine as running n requests.
func (v *fakeView) fill(n int) {
	v.book = load.New(load.Settings{})
	for _, e := range v.graph.Engines() {
		v.report(e.ID, n, false)
	}
}

// report reports one engine.
func (v *fakeView) report(id ids.Upstream, running int, leaving bool) {
	r := engineapi.LoadReport{Engine: string(id), Slots: modelSlots, Running: running, Leaving: leaving}
	if err := v.book.Report(epoch, r, epoch); err != nil {
		panic(err)
	}
}

func (v *fakeView) Graph(ids.Service) *topology.Graph { return v.graph }

func (v *fakeView) Estimate(now time.Time, id ids.Upstream) load.Estimate {
	return v.book.Estimate(now, id)
}

func (v *fakeView) Weight(id ids.Upstream) float64 {
	if w, ok := v.weights[id]; ok {
		return w
	}
	return 1
}

func (v *fakeView) LinkWeight(from, to ids.Upstream) float64 {
	if w, ok := v.links[[2]ids.Upstream{from, to}]; ok {
		return w
	}
	return 1
}

// pair is a model of two stages with two engines each, a and b before c and d.
func pair(rates ...float64) *topology.Graph {
	var engines []topology.Engine
	for i, rate := range rates {
		engines = append(engines, topology.Engine{
			ID: ids.Upstream("abcd"[i : i+1]), Zone: "z", First: i / 2, Last: i / 2, Slots: modelSlots, Rate: rate,
		})
	}
	return topology.NewGraph(2, engines, nil)
}

// picker makes a Picker of a known strategy.
func picker(strategy string, opts Options) Picker {
	p, err := New(strategy, opts, 1)
	if err != nil {
		panic(err)
	}
	return p
}

// strategies are all names New knows.
var strategies = []string{
	fleet.StrategyFlow, fleet.StrategyRoundRobin, fleet.StrategyTwoChoices, fleet.StrategyLeastLoaded,
}

func TestNewRefusesUnknownStrategy(t *testing.T) {
	_, err := New("fastest", Options{}, 1)
	var typed *StrategyError
	if !errors.As(err, &typed) || typed.Name != "fastest" {
		t.Errorf("got %v", err)
	}
}

// TestUnusableEnginesGetNothing bars each engine and link in each way while
// the rest has room, and then all.
func TestUnusableEnginesGetNothing(t *testing.T) {
	exclude := map[ids.Upstream]bool{}
	bars := map[string]func(*fakeView){
		"weight":   func(v *fakeView) { v.weights["a"] = 0 },
		"excluded": func(*fakeView) { exclude["a"] = true },
		"leaving":  func(v *fakeView) { v.report("a", 0, true) },
		"link": func(v *fakeView) {
			v.links[[2]ids.Upstream{"a", "c"}], v.links[[2]ids.Upstream{"a", "d"}] = 0, 0
		},
	}
	for _, strategy := range strategies {
		for name, bar := range bars {
			clear(exclude)
			v := newFakeView(pair(1000, 1, 100, 100))
			r := Request{Exclude: func(id ids.Upstream) bool { return exclude[id] }}
			p := picker(strategy, Options{})
			p.Pick(epoch, r, v)
			bar(v)
			for k := range 200 {
				c, ok := p.Pick(epoch.Add(time.Duration(k)*10*time.Millisecond), r, v)
				if !ok || !c.Tiles(2) || c[0].ID != "b" {
					t.Fatalf("%s, %s: %v, %v", strategy, name, c, ok)
				}
			}
			v.weights["c"], v.weights["d"] = 0, 0
			if c, ok := p.Pick(epoch, r, v); ok {
				t.Errorf("%s: %v with a stage gone", strategy, c)
			}
		}
	}
}

func TestFullEnginesGetNothing(t *testing.T) {
	for _, strategy := range strategies {
		v := newFakeView(pair(100, 100, 100, 100))
		v.fill(modelSlots)
		_, ok := picker(strategy, Options{}).Pick(epoch, Request{}, v)
		if want := strategy == fleet.StrategyRoundRobin; ok != want {
			t.Errorf("%s: picked %v from full engines", strategy, ok)
		}
	}
}

func TestSameSeedSameChoices(t *testing.T) {
	for _, strategy := range strategies {
		var runs [2][]topology.Chain
		for k := range runs {
			v, p := newFakeView(unlikeFleet(30)), picker(strategy, Options{})
			for range 50 {
				c, _ := p.Pick(epoch, Request{Prefix: 3}, v)
				runs[k] = append(runs[k], c)
			}
		}
		if diff := cmp.Diff(runs[0], runs[1]); diff != "" {
			t.Errorf("%s: %s", strategy, diff)
		}
	}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	p, v := picker(fleet.StrategyRoundRobin, Options{}), newFakeView(pair(1, 1, 1, 1))
	chains := map[string]int{}
	for range 40 {
		c, _ := p.Pick(epoch, Request{}, v)
		chains[fmt.Sprint(c[0].ID, c[1].ID)]++
	}
	if diff := cmp.Diff(map[string]int{"ac": 10, "ad": 10, "bc": 10, "bd": 10}, chains); diff != "" {
		t.Error(diff)
	}
}

// TestFlowKeepsInFlightInProportion sends without ends: the work in flight
// follows the maximum flow, over cuts that leave only one fit.
func TestFlowKeepsInFlightInProportion(t *testing.T) {
	g := topology.NewGraph(48, []topology.Engine{
		{ID: "0-15", First: 0, Last: 15, Rate: 40, Slots: 1000},
		{ID: "16-47", First: 16, Last: 47, Rate: 40, Slots: 1000},
		{ID: "0-23", First: 0, Last: 23, Rate: 10, Slots: 1000},
		{ID: "24-47", First: 24, Last: 47, Rate: 20, Slots: 1000},
	}, nil)
	v, p := &fakeView{graph: g, book: load.New(load.Settings{})}, picker(fleet.StrategyFlow, Options{})
	for range 500 {
		c, ok := p.Pick(epoch, Request{}, v)
		if !ok || !c.Tiles(48) {
			t.Fatal(c, ok)
		}
		for _, e := range c {
			_ = v.book.Sent(epoch, e.ID)
		}
	}
	for id, want := range map[ids.Upstream]float64{"0-15": 400, "16-47": 400, "0-23": 100, "24-47": 100} {
		if got := v.Estimate(epoch, id).InFlight; math.Abs(got-want) > 10 {
			t.Errorf("%s has %v in flight, want near %v", id, got, want)
		}
	}
}

// TestFlowFollowsWeights gives a slow return a tenth of its share.
func TestFlowFollowsWeights(t *testing.T) {
	v, p := newFakeView(pair(100, 100, 300, 300)), picker(fleet.StrategyFlow, Options{})
	p.Pick(epoch, Request{}, v)
	v.weights["a"] = 0.1
	later := epoch.Add(replanEvery)
	for range 20 {
		c, _ := p.Pick(later, Request{}, v)
		_ = v.book.Sent(later, c[0].ID)
	}
	if got := v.Estimate(later, "a").InFlight; got < 1 || got > 4 {
		t.Errorf("%v of 20 in flight on a slow return", got)
	}
}

// TestTokenIntervalLimitsWork fills engines up to the interval and no more,
// but always lets one request run.
func TestTokenIntervalLimitsWork(t *testing.T) {
	limit := 100 * time.Millisecond
	for _, test := range []struct {
		rate    float64
		opts    Options
		running int
		want    bool
	}{
		{100, Options{TokenInterval: limit}, 4, true},
		{100, Options{TokenInterval: limit}, 10, false},
		{100, Options{}, 10, true},
		{1, Options{TokenInterval: limit}, 0, true},
	} {
		v := newFakeView(pair(test.rate, test.rate, test.rate, test.rate))
		v.fill(test.running)
		if _, ok := picker(fleet.StrategyFlow, test.opts).Pick(epoch, Request{}, v); ok != test.want {
			t.Errorf("%+v: picked %v", test, ok)
		}
	}
}

// TestPrefixIsABoundedHint has 8 equal engines in each of two stages.
func TestPrefixIsABoundedHint(t *testing.T) {
	var engines []topology.Engine
	for i := range 16 {
		e := topology.Engine{ID: ids.Upstream(fmt.Sprint(i)), First: i % 2, Last: i % 2, Slots: modelSlots, Rate: 100}
		engines = append(engines, e)
	}
	v, p := newFakeView(topology.NewGraph(2, engines, nil)), picker(fleet.StrategyFlow, Options{})
	first, _ := p.Pick(epoch, Request{Prefix: 9}, v)
	same, others := 0, 0
	for k := range 100 {
		if c, _ := p.Pick(epoch, Request{Prefix: 9}, v); cmp.Equal(c, first) {
			same++
		}
		if c, _ := p.Pick(epoch, Request{Prefix: uint64(k + 10)}, v); cmp.Equal(c, first) {
			others++
		}
	}
	if same < 100 || others > 20 {
		t.Errorf("prefix kept its chain %d times, others took it %d times", same, others)
	}
	for range modelSlots - 1 {
		_ = v.book.Sent(epoch, first[1].ID)
	}
	if c, _ := p.Pick(epoch, Request{Prefix: 9}, v); c[1].ID == first[1].ID {
		t.Error("a prefix went to a nearly full engine")
	}
}

// TestSlowEngineRunsOne excludes the fast head: the slow one, whose steps take
// longer than the interval, still runs one request.
func TestSlowEngineRunsOne(t *testing.T) {
	v, p := newFakeView(pair(1, 100, 100, 100)), picker(fleet.StrategyFlow, Options{TokenInterval: 100 * time.Millisecond})
	r := Request{Exclude: func(id ids.Upstream) bool { return id == "b" }}
	if c, ok := p.Pick(epoch, r, v); !ok || c[0].ID != "a" {
		t.Errorf("idle slow engine: %v, %v", c, ok)
	}
	_ = v.book.Sent(epoch, "a")
	if c, ok := p.Pick(epoch, r, v); ok {
		t.Errorf("busy slow engine: %v", c)
	}
}

// TestFlowIsPlannedAnew ejects an engine that takes most of the flow: the
// targets of the others rise, and with them what they are filled to.
func TestFlowIsPlannedAnew(t *testing.T) {
	v, p := newFakeView(pair(100, 100, 300, 10)), picker(fleet.StrategyFlow, Options{TokenInterval: 2 * time.Second})
	p.Pick(epoch, Request{}, v)
	v.weights["c"] = 0
	later, sent := epoch.Add(replanEvery), 0
	for c, ok := p.Pick(later, Request{}, v); ok; c, ok = p.Pick(later, Request{}, v) {
		_ = v.book.Sent(later, c[1].ID)
		sent++
	}
	if want := int(intervalPart * 2 * 10); sent != want {
		t.Errorf("%d in flight at 10 steps a second, want %d", sent, want)
	}
}

// TestSlowLinksAreLeftOut gives a slow link a part of the flow only where
// there is no interval to keep or where the flow needs it.
func TestSlowLinksAreLeftOut(t *testing.T) {
	slow := topology.Link{From: "a", To: "c", Rate: 20}
	free := topology.Link{From: "a", To: "d", Latency: topology.DefaultSameZoneLatency}
	for _, test := range []struct {
		slowest float64
		rates   []float64
		want    bool
	}{
		{math.Inf(1), []float64{100, 100, 100, 100}, true},
		{0.025, []float64{100, 100, 100, 100}, false},
		{0.025, []float64{100, 1, 100, 1}, true},
	} {
		g := topology.NewGraph(2, pair(test.rates...).Engines(), []topology.Link{slow, free})
		made := newPlan(&look{now: epoch, view: newFakeView(g), graph: g}, test.slowest)
		if got := made.carries(0, 0); got != test.want {
			t.Errorf("%+v: slow link carries %v", test, got)
		}
	}
}

// TestLessLoadedEngineGetsMore counts how often of 100 the idle one of two
// heads is taken.
func TestLessLoadedEngineGetsMore(t *testing.T) {
	for strategy, least := range map[string]int{
		fleet.StrategyRoundRobin: 50, fleet.StrategyTwoChoices: 65, fleet.StrategyFlow: 85, fleet.StrategyLeastLoaded: 100,
	} {
		v := newFakeView(pair(100, 100, 100, 100))
		v.book = load.New(load.Settings{})
		v.report("a", 20, false)
		v.report("b", 1, false)
		if got := taken(picker(strategy, Options{}), v, Request{}, "b"); got < least {
			t.Errorf("%s takes the idle head %d times of 100", strategy, got)
		}
	}
}

func TestHeadOfOwnZoneGetsMore(t *testing.T) {
	engines := pair(100, 100, 100, 100).Engines()
	engines[1].Zone = "far"
	links := []topology.Link{{From: "b", To: "c", Latency: topology.DefaultSameZoneLatency}, {From: "b", To: "d", Latency: topology.DefaultSameZoneLatency}}
	v := newFakeView(topology.NewGraph(2, engines, links))
	if got := taken(picker(fleet.StrategyFlow, Options{}), v, Request{Zone: "z"}, "a"); got < 85 {
		t.Errorf("the head of the own zone is taken %d times of 100", got)
	}
}

// taken counts how often of 100 an engine is the head.
func taken(p Picker, v View, r Request, head ids.Upstream) int {
	count := 0
	for range 100 {
		if c, _ := p.Pick(epoch, r, v); c[0].ID == head {
			count++
		}
	}
	return count
}

func TestPickPlain(t *testing.T) {
	upstreams := []topology.Engine{
		{ID: "near1", Zone: "z"}, {ID: "near2", Zone: "z"}, {ID: "far", Zone: "y"},
	}
	v, p := newFakeView(pair(1, 1, 1, 1)), NewPlain(1)
	for range 3 {
		_ = v.book.Sent(epoch, "near1")
	}
	for _, step := range []struct {
		bar  ids.Upstream
		want ids.Upstream
	}{{"", "near2"}, {"near2", "near1"}, {"near1", "far"}, {"far", ""}} {
		v.weights[step.bar] = 0
		for range 20 {
			if u, ok := p.PickPlain(epoch, Request{Zone: "z"}, upstreams, v); u.ID != step.want || ok != (step.want != "") {
				t.Fatalf("after %q: got %q, %v, want %q", step.bar, u.ID, ok, step.want)
			}
		}
	}
}
