package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// heterogeneousFleet returns a graph of n engines in three stages of unequal
// size. The rates of engines differ by up to a factor of 4, those of links by up
// to a factor of 100.
func heterogeneousFleet(n int) *topology.Graph {
	rng := rand.New(rand.NewPCG(3, 3))
	stages := []struct{ first, last, upTo int }{{0, 11, n * 8 / 30}, {12, 31, n * 20 / 30}, {32, 47, n}}
	var engines []topology.Engine
	var links []topology.Link
	for s := 0; len(engines) < n; {
		if len(engines) == stages[s].upTo {
			s++
		}
		e := topology.Engine{
			ID: ids.Upstream(fmt.Sprint("engine-", len(engines))), Zone: "zone-a", Slots: modelSlotsPerEngine,
			First: stages[s].first, Last: stages[s].last, Rate: 125 * math.Pow(4, rng.Float64()),
		}
		for _, before := range engines {
			if e.First == before.Last+1 {
				rate := 10 * math.Pow(100, rng.Float64())
				links = append(links, topology.Link{From: before.ID, To: e.ID, Rate: rate, Latency: time.Duration(1e8 / rate)})
			}
		}
		engines = append(engines, e)
	}
	return topology.NewGraph(48, engines, links)
}

// variants are the strategies compared, with their options.
var variants = []struct {
	name, strategy string
	opts           Options
	withPrefix     bool
}{
	{"round_robin", fleet.StrategyRoundRobin, Options{}, false},
	{"least_loaded", fleet.StrategyLeastLoaded, Options{}, false},
	{"two_choices", fleet.StrategyTwoChoices, Options{}, false},
	{"flow", fleet.StrategyFlow, Options{}, false},
	{"flow_54ms", fleet.StrategyFlow, Options{TokenInterval: 54 * time.Millisecond}, false},
	{"flow_54ms_prefix", fleet.StrategyFlow, Options{TokenInterval: 54 * time.Millisecond}, true},
}

// BenchmarkStrategies reports, for loads around the maximum throughput of the
// graph, the offered and delivered fractions of it, quantiles of the time between
// tokens in milliseconds, and the number of refusals by full engines.
func BenchmarkStrategies(b *testing.B) {
	g := heterogeneousFleet(30)
	bound := topology.Bound(g)
	for _, times := range []float64{0.8, 1, 2} {
		for _, v := range variants {
			b.Run(fmt.Sprintf("load=%.1f/%s", times, v.name), func(b *testing.B) {
				for b.Loop() {
					m := newModel(g, v.strategy, v.opts, times*bound/modelMeanTokens)
					m.withPrefix = v.withPrefix
					offered, delivered := m.run(time.Minute)
					b.ReportMetric(offered/bound, "offered")
					b.ReportMetric(delivered/bound, "delivered")
					b.ReportMetric(m.interval(0.5), "p50-ms")
					b.ReportMetric(m.interval(0.95), "p95-ms")
					b.ReportMetric(float64(m.refused), "refusals")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func TestFlowComesNearTheBound(t *testing.T) {
	g := heterogeneousFleet(30)
	bound := topology.Bound(g)
	fraction := map[string]float64{}
	p95 := map[string]float64{}
	for _, v := range variants {
		m := newModel(g, v.strategy, v.opts, 2*bound/modelMeanTokens)
		m.withPrefix = v.withPrefix
		_, delivered := m.run(10 * time.Second)
		fraction[v.name], p95[v.name] = delivered/bound, m.interval(0.95)
	}
	for _, name := range []string{"flow", "flow_54ms", "flow_54ms_prefix"} {
		if fraction[name] < 0.93 || fraction[name] > 1.02 {
			t.Errorf("%s delivers %.3f of the maximum throughput", name, fraction[name])
		}
		for _, other := range []string{"round_robin", "least_loaded", "two_choices"} {
			if fraction[other] >= fraction[name]-0.1 {
				t.Errorf("%s delivers %.3f of the maximum throughput, %s %.3f", other, fraction[other], name, fraction[name])
			}
		}
	}
	if p95["flow_54ms"] > 65 || p95["flow"] < 65 {
		t.Errorf("95th percentile of the time between tokens is %.1f ms with the limit, %.1f ms without", p95["flow_54ms"], p95["flow"])
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{30, 210} {
		v := newFakeView(heterogeneousFleet(n))
		for _, variant := range variants {
			for _, full := range []bool{false, true} {
				b.Run(fmt.Sprintf("engines=%d/%s/full=%v", n, variant.name, full), func(b *testing.B) {
					v.reportAll(0)
					if full {
						v.reportAll(modelSlotsPerEngine)
					}
					p, _ := New(variant.strategy, variant.opts, 1)
					r := Request{}
					if variant.withPrefix {
						r.PrefixHash = 77
					}
					p.Pick(epoch, r, v)
					b.ReportAllocs()
					for b.Loop() {
						p.Pick(epoch, r, v)
					}
				})
			}
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{30, 90, 210} {
		v := newFakeView(heterogeneousFleet(n))
		c := &pickContext{now: epoch, request: &Request{}, view: v, graph: v.graph}
		computed := newPlan(c, 0.0135)
		b.Run(fmt.Sprintf("make/engines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newPlan(c, 0.0135)
			}
		})
		b.Run(fmt.Sprintf("check/engines=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				computed.weightsChanged(c)
			}
		})
	}
}
