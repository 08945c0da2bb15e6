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

// epoch is the start time of the tests.
var epoch = time.Unix(1e9, 0)

// fakeView is a View of one graph, with an Estimator and settable weights.
type fakeView struct {
	graph     *topology.Graph
	estimator *load.Estimator
	weights   map[ids.Upstream]float64
	links     map[[2]ids.Upstream]float64
}

// newFakeView returns a view in which every engine reports no running requests.
func newFakeView(g *topology.Graph) *fakeView {
	v := &fakeView{
		graph:     g,
		estimator: load.New(load.Settings{}),
		weights:   map[ids.Upstream]float64{},
		links:     map[[2]ids.Upstream]float64{},
	}
	v.reportAll(0)
	return v
}

// reportAll resets the estimator and makes every engine report n running requests.
func (v *fakeView) reportAll(n int) {
	v.estimator = load.New(load.Settings{})
	for _, e := range v.graph.Engines() {
		v.report(e.ID, n, false)
	}
}

// report applies a load report of one engine.
func (v *fakeView) report(id ids.Upstream, running int, leaving bool) {
	r := engineapi.LoadReport{Engine: string(id), Slots: modelSlotsPerEngine, Running: running, Leaving: leaving}
	if err := v.estimator.ApplyReport(epoch, r, epoch); err != nil {
		panic(err)
	}
}

func (v *fakeView) Graph(ids.Service) *topology.Graph { return v.graph }

func (v *fakeView) Estimate(now time.Time, id ids.Upstream) load.Estimate {
	return v.estimator.Estimate(now, id)
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

// twoStages returns a model of two stages with two engines each: a and b run
// the first layer, c and d the second.
func twoStages(rates ...float64) *topology.Graph {
	var engines []topology.Engine
	for i, rate := range rates {
		engines = append(engines, topology.Engine{
			ID: ids.Upstream("abcd"[i : i+1]), Zone: "z", First: i / 2, Last: i / 2, Slots: modelSlotsPerEngine, Rate: rate,
		})
	}
	return topology.NewGraph(2, engines, nil)
}

// newPicker returns a Picker for a known strategy.
func newPicker(strategy string, opts Options) Picker {
	p, err := New(strategy, opts, 1)
	if err != nil {
		panic(err)
	}
	return p
}

// strategies are all names that New knows.
var strategies = []string{
	fleet.StrategyFlow, fleet.StrategyRoundRobin, fleet.StrategyTwoChoices, fleet.StrategyLeastLoaded,
}

func TestNewRefusesUnknownStrategy(t *testing.T) {
	_, err := New("fastest", Options{}, 1)
	var typed *UnknownStrategyError
	if !errors.As(err, &typed) || typed.Name != "fastest" {
		t.Errorf("got %v", err)
	}
}

// TestUnusableEnginesGetNothing guards against requests sent to an engine or
// over a link that must not be used: each way of excluding engine a must leave
// only b, and no chain may be picked once a whole stage is excluded.
func TestUnusableEnginesGetNothing(t *testing.T) {
	excluded := map[ids.Upstream]bool{}
	exclusions := map[string]func(*fakeView){
		"weight":   func(v *fakeView) { v.weights["a"] = 0 },
		"excluded": func(*fakeView) { excluded["a"] = true },
		"leaving":  func(v *fakeView) { v.report("a", 0, true) },
		"link": func(v *fakeView) {
			v.links[[2]ids.Upstream{"a", "c"}], v.links[[2]ids.Upstream{"a", "d"}] = 0, 0
		},
	}
	for _, strategy := range strategies {
		for name, exclude := range exclusions {
			clear(excluded)
			v := newFakeView(twoStages(1000, 1, 100, 100))
			r := Request{Exclude: func(id ids.Upstream) bool { return excluded[id] }}
			p := newPicker(strategy, Options{})
			p.Pick(epoch, r, v)
			exclude(v)
			for k := range 200 {
				c, ok := p.Pick(epoch.Add(time.Duration(k)*10*time.Millisecond), r, v)
				if !ok || !c.Tiles(2) || c[0].ID != "b" {
					t.Fatalf("%s, a excluded by %s: picked %v, %v", strategy, name, c, ok)
				}
			}
			v.weights["c"], v.weights["d"] = 0, 0
			if c, ok := p.Pick(epoch, r, v); ok {
				t.Errorf("%s: picked %v with one stage excluded", strategy, c)
			}
		}
	}
}

func TestFullEnginesGetNothing(t *testing.T) {
	for _, strategy := range strategies {
		v := newFakeView(twoStages(100, 100, 100, 100))
		v.reportAll(modelSlotsPerEngine)
		_, ok := newPicker(strategy, Options{}).Pick(epoch, Request{}, v)
		if want := strategy == fleet.StrategyRoundRobin; ok != want {
			t.Errorf("%s: picked a chain of full engines: %v", strategy, ok)
		}
	}
}

func TestSameSeedSameChoices(t *testing.T) {
	for _, strategy := range strategies {
		var runs [2][]topology.Chain
		for k := range runs {
			v, p := newFakeView(heterogeneousFleet(30)), newPicker(strategy, Options{})
			for range 50 {
				c, _ := p.Pick(epoch, Request{PrefixHash: 3}, v)
				runs[k] = append(runs[k], c)
			}
		}
		if diff := cmp.Diff(runs[0], runs[1]); diff != "" {
			t.Errorf("%s: %s", strategy, diff)
		}
	}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	p, v := newPicker(fleet.StrategyRoundRobin, Options{}), newFakeView(twoStages(1, 1, 1, 1))
	chains := map[string]int{}
	for range 40 {
		c, _ := p.Pick(epoch, Request{}, v)
		chains[fmt.Sprint(c[0].ID, c[1].ID)]++
	}
	if diff := cmp.Diff(map[string]int{"ac": 10, "ad": 10, "bc": 10, "bd": 10}, chains); diff != "" {
		t.Error(diff)
	}
}

// TestFlowKeepsInFlightInProportion sends requests that never end: the numbers
// in flight must be in proportion to the maximum flow. Each engine of the first
// stage fits only one of the second.
func TestFlowKeepsInFlightInProportion(t *testing.T) {
	g := topology.NewGraph(48, []topology.Engine{
		{ID: "0-15", First: 0, Last: 15, Rate: 40, Slots: 1000},
		{ID: "16-47", First: 16, Last: 47, Rate: 40, Slots: 1000},
		{ID: "0-23", First: 0, Last: 23, Rate: 10, Slots: 1000},
		{ID: "24-47", First: 24, Last: 47, Rate: 20, Slots: 1000},
	}, nil)
	v, p := &fakeView{graph: g, estimator: load.New(load.Settings{})}, newPicker(fleet.StrategyFlow, Options{})
	for range 500 {
		c, ok := p.Pick(epoch, Request{}, v)
		if !ok || !c.Tiles(48) {
			t.Fatal(c, ok)
		}
		for _, e := range c {
			_ = v.estimator.RequestStarted(epoch, e.ID)
		}
	}
	for id, want := range map[ids.Upstream]float64{"0-15": 400, "16-47": 400, "0-23": 100, "24-47": 100} {
		if got := v.Estimate(epoch, id).InFlight; math.Abs(got-want) > 10 {
			t.Errorf("%s has %v in flight, want near %v", id, got, want)
		}
	}
}

// TestFlowFollowsWeights lowers the weight of an engine to 0.1, as for one that
// has recovered: it must get about a tenth of its usual share.
func TestFlowFollowsWeights(t *testing.T) {
	v, p := newFakeView(twoStages(100, 100, 300, 300)), newPicker(fleet.StrategyFlow, Options{})
	p.Pick(epoch, Request{}, v)
	v.weights["a"] = 0.1
	later := epoch.Add(weightCheckInterval)
	for range 20 {
		c, _ := p.Pick(later, Request{}, v)
		_ = v.estimator.RequestStarted(later, c[0].ID)
	}
	if got := v.Estimate(later, "a").InFlight; got < 1 || got > 4 {
		t.Errorf("%v of 20 in flight on an engine of weight 0.1", got)
	}
}

// TestTokenIntervalLimitsWork checks that engines take requests until the token
// interval is reached and no more, but always one.
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
		v := newFakeView(twoStages(test.rate, test.rate, test.rate, test.rate))
		v.reportAll(test.running)
		if _, ok := newPicker(fleet.StrategyFlow, test.opts).Pick(epoch, Request{}, v); ok != test.want {
			t.Errorf("%+v: picked %v", test, ok)
		}
	}
}

// TestPrefixIsABoundedHint checks, with 8 equal engines in each of two stages,
// that requests with a prefix hash stay on its chain while that has capacity, and
// leave it once an engine of it is nearly full.
func TestPrefixIsABoundedHint(t *testing.T) {
	var engines []topology.Engine
	for i := range 16 {
		e := topology.Engine{ID: ids.Upstream(fmt.Sprint(i)), First: i % 2, Last: i % 2, Slots: modelSlotsPerEngine, Rate: 100}
		engines = append(engines, e)
	}
	v, p := newFakeView(topology.NewGraph(2, engines, nil)), newPicker(fleet.StrategyFlow, Options{})
	first, _ := p.Pick(epoch, Request{PrefixHash: 9}, v)
	same, others := 0, 0
	for k := range 100 {
		if c, _ := p.Pick(epoch, Request{PrefixHash: 9}, v); cmp.Equal(c, first) {
			same++
		}
		if c, _ := p.Pick(epoch, Request{PrefixHash: uint64(k + 10)}, v); cmp.Equal(c, first) {
			others++
		}
	}
	if same < 100 || others > 20 {
		t.Errorf("the prefix kept its chain %d times of 100, other prefixes took that chain %d times", same, others)
	}
	for range modelSlotsPerEngine - 1 {
		_ = v.estimator.RequestStarted(epoch, first[1].ID)
	}
	if c, _ := p.Pick(epoch, Request{PrefixHash: 9}, v); c[1].ID == first[1].ID {
		t.Error("a request with the prefix hash went to a nearly full engine")
	}
}

// TestSlowEngineRunsOne excludes the fast head: the slow one must still run one
// request, although a single step there takes longer than the token interval.
func TestSlowEngineRunsOne(t *testing.T) {
	v, p := newFakeView(twoStages(1, 100, 100, 100)), newPicker(fleet.StrategyFlow, Options{TokenInterval: 100 * time.Millisecond})
	r := Request{Exclude: func(id ids.Upstream) bool { return id == "b" }}
	if c, ok := p.Pick(epoch, r, v); !ok || c[0].ID != "a" {
		t.Errorf("idle slow engine: picked %v, %v", c, ok)
	}
	_ = v.estimator.RequestStarted(epoch, "a")
	if c, ok := p.Pick(epoch, r, v); ok {
		t.Errorf("busy slow engine: picked %v", c)
	}
}

// TestPlanFollowsTheWeights ejects an engine that takes most of the flow: the
// target rates of the others rise, and with them the number of requests that
// they take.
func TestPlanFollowsTheWeights(t *testing.T) {
	v, p := newFakeView(twoStages(100, 100, 300, 10)), newPicker(fleet.StrategyFlow, Options{TokenInterval: 2 * time.Second})
	p.Pick(epoch, Request{}, v)
	v.weights["c"] = 0
	later, sent := epoch.Add(weightCheckInterval), 0
	for c, ok := p.Pick(later, Request{}, v); ok; c, ok = p.Pick(later, Request{}, v) {
		_ = v.estimator.RequestStarted(later, c[1].ID)
		sent++
	}
	if want := int(meanIntervalFraction * 2 * 10); sent != want {
		t.Errorf("%d in flight at 10 steps per second, want %d", sent, want)
	}
}

// TestSlowLinksAreLeftOut checks that a slow link gets a part of the flow only
// without a limit on the step time of links, or if the flow needs the link.
func TestSlowLinksAreLeftOut(t *testing.T) {
	slow := topology.Link{From: "a", To: "c", Rate: 20}
	free := topology.Link{From: "a", To: "d", Latency: topology.DefaultSameZoneLatency}
	for _, test := range []struct {
		maxLinkTime float64
		rates       []float64
		want        bool
	}{
		{math.Inf(1), []float64{100, 100, 100, 100}, true},
		{0.025, []float64{100, 100, 100, 100}, false},
		{0.025, []float64{100, 1, 100, 1}, true},
	} {
		g := topology.NewGraph(2, twoStages(test.rates...).Engines(), []topology.Link{slow, free})
		computed := newPlan(&pickContext{now: epoch, view: newFakeView(g), graph: g}, test.maxLinkTime)
		if got := computed.hasFlow(0, 0); got != test.want {
			t.Errorf("%+v: flow over the slow link is %v", test, got)
		}
	}
}

// TestLessLoadedEngineGetsMore counts how many of 100 picks take the less loaded
// one of two heads.
func TestLessLoadedEngineGetsMore(t *testing.T) {
	for strategy, least := range map[string]int{
		fleet.StrategyRoundRobin: 50, fleet.StrategyTwoChoices: 65, fleet.StrategyFlow: 85, fleet.StrategyLeastLoaded: 100,
	} {
		v := newFakeView(twoStages(100, 100, 100, 100))
		v.estimator = load.New(load.Settings{})
		v.report("a", 20, false)
		v.report("b", 1, false)
		if got := headCount(newPicker(strategy, Options{}), v, Request{}, "b"); got < least {
			t.Errorf("%s takes the less loaded head %d times of 100", strategy, got)
		}
	}
}

func TestHeadOfOwnZoneGetsMore(t *testing.T) {
	engines := twoStages(100, 100, 100, 100).Engines()
	engines[1].Zone = "far"
	links := []topology.Link{{From: "b", To: "c", Latency: topology.DefaultSameZoneLatency}, {From: "b", To: "d", Latency: topology.DefaultSameZoneLatency}}
	v := newFakeView(topology.NewGraph(2, engines, links))
	if got := headCount(newPicker(fleet.StrategyFlow, Options{}), v, Request{Zone: "z"}, "a"); got < 85 {
		t.Errorf("the head in the zone of the request is taken %d times of 100", got)
	}
}

// headCount returns how many of 100 picks have the given head.
func headCount(p Picker, v View, r Request, head ids.Upstream) int {
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
	v, p := newFakeView(twoStages(1, 1, 1, 1)), NewPlainPicker(1)
	for range 3 {
		_ = v.estimator.RequestStarted(epoch, "near1")
	}
	for _, step := range []struct {
		exclude ids.Upstream
		want    ids.Upstream
	}{{"", "near2"}, {"near2", "near1"}, {"near1", "far"}, {"far", ""}} {
		v.weights[step.exclude] = 0
		for range 20 {
			if u, ok := p.Pick(epoch, Request{Zone: "z"}, upstreams, v); u.ID != step.want || ok != (step.want != "") {
				t.Fatalf("after %q: got %q, %v, want %q", step.exclude, u.ID, ok, step.want)
			}
		}
	}
}
