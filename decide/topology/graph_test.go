package topology

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mimosaarch.example/core/ids"
)

// engine returns an engine in zone a whose ID is its layer range.
func engine(first, last int, rate float64) Engine {
	return Engine{ID: ids.Upstream(fmt.Sprintf("%d-%d", first, last)), Zone: "a", First: first, Last: last, Rate: rate}
}

// names returns the engines' IDs.
func names(engines []Engine) []ids.Upstream {
	var out []ids.Upstream
	for _, e := range engines {
		out = append(out, e.ID)
	}
	return out
}

func TestGraphKeepsOnlyEnginesOnATiling(t *testing.T) {
	g := NewGraph(48, []Engine{
		engine(24, 47, 1), engine(16, 47, 1), engine(0, 23, 1), engine(0, 15, 1),
		engine(0, 30, 1),  // nothing starts at 31
		engine(20, 47, 1), // nothing ends at 19
		engine(16, 23, 1), engine(16, 23, 2),
		engine(0, 48, 1), engine(-1, 47, 1), engine(30, 29, 1),
	}, nil)
	want := []ids.Upstream{"0-15", "0-23", "16-23", "16-47", "24-47"}
	if diff := cmp.Diff(want, names(g.Engines())); diff != "" {
		t.Error(diff)
	}
	if rate := g.Engines()[2].Rate; rate != 1 {
		t.Errorf("a repeated ID replaced the first: rate %v", rate)
	}
	if g := NewGraph(48, []Engine{engine(0, 15, 1)}, nil); len(g.Heads()) != 0 || Bound(g) != 0 {
		t.Error("an incomplete model gives a graph with engines")
	}
}

func TestEdgesTakeReportsOrDefaults(t *testing.T) {
	far := engine(1, 1, 1)
	far.ID, far.Zone = "far", "b"
	report := Link{From: "0-0", To: "1-1", Latency: time.Second, Rate: 7}
	silent := engine(0, 0, 1)
	silent.ID = "silent"
	g := NewGraph(2, []Engine{engine(0, 0, 1), silent, engine(1, 1, 1), far}, []Link{report})
	if diff := cmp.Diff([]Edge{{To: 2, Latency: time.Second, Rate: 7}}, g.Next(0)); diff != "" {
		t.Error(diff)
	}
	defaults := []Edge{{To: 2, Latency: DefaultSameZoneLatency}, {To: 3, Latency: DefaultCrossZoneLatency}}
	if diff := cmp.Diff(defaults, g.Next(1)); diff != "" {
		t.Error(diff)
	}
}

func TestBound(t *testing.T) {
	a, b, c, d := engine(0, 15, 30), engine(16, 47, 50), engine(0, 23, 40), engine(24, 47, 10)
	e, f := engine(0, 23, 10), engine(24, 47, 10)
	e.ID, f.ID = "e", "f"
	slow := Link{From: a.ID, To: b.ID, Rate: 5}
	for _, test := range []struct {
		name    string
		engines []Engine
		links   []Link
		want    float64
	}{
		{"slowest stage", []Engine{a, b}, nil, 30},
		{"unequal cuts add up", []Engine{a, b, c, d}, nil, 40},
		{"slow link", []Engine{a, b, c, d}, []Link{slow}, 15},
		{"link to one of two", []Engine{c, e, d, f}, []Link{{From: c.ID, To: d.ID}}, 20},
	} {
		g := NewGraph(48, test.engines, test.links)
		if got := Bound(g); math.Abs(got-test.want) > 1e-6 {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// drawGraph draws a graph of up to 14 engines with overlapping ranges and some
// limited links.
func drawGraph(t *rapid.T) *Graph {
	cuts := []int{0, 4, 6, 8, 12}
	var engines []Engine
	for i := range rapid.IntRange(2, 14).Draw(t, "engines") {
		from := rapid.IntRange(0, 3).Draw(t, "from")
		to := rapid.IntRange(from+1, 4).Draw(t, "to")
		e := engine(cuts[from], cuts[to]-1, float64(rapid.IntRange(0, 50).Draw(t, "rate")))
		e.ID = ids.Upstream(fmt.Sprint(i))
		engines = append(engines, e)
	}
	var links []Link
	for range rapid.IntRange(0, 20).Draw(t, "links") {
		from := rapid.SampledFrom(engines).Draw(t, "tail").ID
		to := rapid.SampledFrom(engines).Draw(t, "head").ID
		links = append(links, Link{From: from, To: to, Rate: float64(rapid.IntRange(1, 20).Draw(t, "limit"))})
	}
	return NewGraph(12, engines, links)
}

func TestFlowsAreFeasibleAndMaximal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drawGraph(t)
		f := Flows(g)
		if want := Bound(g); math.Abs(f.Total-want) > 1e-6*(1+want) {
			t.Fatalf("flow %v, bound %v", f.Total, want)
		}
		into, ended := make([]float64, len(g.Engines())), 0.0
		for i, e := range g.Engines() {
			if f.Engine[i] < -1e-9 || f.Engine[i] > e.Rate+1e-6 {
				t.Fatalf("engine %v carries %v", e, f.Engine[i])
			}
			if e.First > 0 && math.Abs(into[i]-f.Engine[i]) > 1e-6 {
				t.Fatalf("engine %v: %v in, %v through", e, into[i], f.Engine[i])
			}
			out := 0.0
			for k, edge := range g.Next(i) {
				if edge.Rate > 0 && f.Edge[i][k] > edge.Rate+1e-6 {
					t.Fatalf("edge %v carries %v", edge, f.Edge[i][k])
				}
				out += f.Edge[i][k]
				into[edge.To] += f.Edge[i][k]
			}
			if g.IsTail(i) {
				ended += f.Engine[i]
			} else if math.Abs(out-f.Engine[i]) > 1e-6 {
				t.Fatalf("engine %v: %v through, %v out", e, f.Engine[i], out)
			}
		}
		if math.Abs(ended-f.Total) > 1e-6 {
			t.Fatalf("a flow of %v reaches the last layer, total %v", ended, f.Total)
		}
	})
}

// threeStageFleet returns n engines in three stages and the links between adjacent
// stages. The engines' rates differ up to 4 to 1, the links' rates 100 to 1.
func threeStageFleet(n int) ([]Engine, []Link) {
	rng := rand.New(rand.NewPCG(1, 1))
	cuts := []int{0, 12, 32, 48}
	var engines []Engine
	for i := range n {
		stage := i * 3 / n
		e := engine(cuts[stage], cuts[stage+1]-1, 100+300*rng.Float64())
		e.ID = ids.Upstream(fmt.Sprint("engine-", i))
		engines = append(engines, e)
	}
	var links []Link
	for _, a := range engines {
		for _, b := range engines {
			if b.First == a.Last+1 {
				rate := 20 * math.Pow(100, rng.Float64())
				links = append(links, Link{From: a.ID, To: b.ID, Latency: time.Duration(20/rate*1e6) * time.Nanosecond, Rate: rate})
			}
		}
	}
	return engines, links
}

func TestFlowsSpreadInProportion(t *testing.T) {
	engines, _ := threeStageFleet(30)
	g := NewGraph(48, engines, nil)
	f := Flows(g)
	least, most := map[int]float64{}, map[int]float64{}
	for i, e := range g.Engines() {
		used := f.Engine[i] / e.Rate
		if _, ok := least[e.First]; !ok {
			least[e.First] = math.Inf(1)
		}
		least[e.First], most[e.First] = min(least[e.First], used), max(most[e.First], used)
	}
	for first := range least {
		if most[first] > 1.01*least[first] {
			t.Errorf("stage at layer %d: used fractions from %.3f to %.3f", first, least[first], most[first])
		}
	}
}

func BenchmarkGraph(b *testing.B) {
	for _, n := range []int{30, 90, 210} {
		engines, links := threeStageFleet(n)
		g := NewGraph(48, engines, links)
		for _, bench := range []struct {
			name string
			run  func()
		}{
			{"NewGraph", func() { NewGraph(48, engines, links) }},
			{"Bound", func() { Bound(g) }},
			{"Flows", func() { Flows(g) }},
		} {
			b.Run(fmt.Sprintf("%s/%d", bench.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					bench.run()
				}
			})
		}
	}
}

func TestReportedLinksAreAllThereAre(t *testing.T) {
	engine := func(id string, first, last int) Engine {
		return Engine{ID: ids.Upstream(id), First: first, Last: last, Rate: 1, Slots: 1}
	}
	engines := []Engine{engine("a1", 0, 1), engine("a2", 0, 1), engine("b1", 2, 3), engine("b2", 2, 3), engine("b3", 2, 3)}
	links := []Link{{From: "a1", To: "b1"}, {From: "a2", To: "gone"}}
	var got []string
	for _, e := range NewGraph(4, engines, links).Engines() {
		got = append(got, string(e.ID))
	}
	// a2 reports only a link to an unknown engine, and b2 and b3 are reachable only
	// from a2.
	if diff := cmp.Diff([]string{"a1", "b1"}, got); diff != "" {
		t.Error(diff)
	}
}
