package placement

import (
	"math"
	"slices"
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// evenSplit is a baseline for BenchmarkPlacements: it gives each engine of a zone
// an equal part of the model, if its card can hold it.
func evenSplit(m *layered.Model, engines []Engine) []Order {
	var orders []Order
	for _, members := range groupByZone(engines) {
		share := (m.Layers + len(members) - 1) / len(members)
		for i, e := range members {
			from := i * share
			r := layered.Range{From: from, To: min(from+share, m.Layers)}
			if !r.Empty() && m.Fits(m.Cards[e.Card], r.Len()) {
				orders = append(orders, Order{Engine: e.ID, Layers: r})
			}
		}
	}
	return orders
}

// fillByCard is a baseline for BenchmarkPlacements: it fills the same fraction of each
// card's memory, one engine after the other, regardless of speed.
func fillByCard(m *layered.Model, engines []Engine) []Order {
	var orders []Order
	for _, members := range groupByZone(engines) {
		at := 0
		for _, e := range members {
			size := capacity(m, e, Options{groupFraction: DefaultWeightFraction})
			r := layered.Range{From: at, To: min(at+size, m.Layers)}
			if at = r.To; at >= m.Layers {
				at = 0
			}
			if !r.Empty() {
				orders = append(orders, Order{Engine: e.ID, Layers: r})
			}
		}
	}
	return orders
}

// groupByZone groups the engines by zone, sorted by zone name.
func groupByZone(engines []Engine) [][]Engine {
	var zones []ids.Zone
	for _, e := range engines {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	groups := make([][]Engine, len(zones))
	for _, e := range engines {
		i := slices.Index(zones, e.Zone)
		groups[i] = append(groups[i], e)
	}
	return groups
}

// passRate returns the passes per ms that the engines can make together, each through
// all the layers it holds. The layer with the lowest total rate is the limit.
func passRate(m *layered.Model, engines []Engine) float64 {
	least := math.Inf(1)
	for layer := range m.Layers {
		sum := 0.0
		for _, e := range engines {
			if e.Holds.Covers(layered.Range{From: layer, To: layer + 1}) {
				sum += 1 / m.PassMs(m.Cards[e.Card], e.Holds.Len(), 1, m.MeanPromptTokens)
			}
		}
		least = min(least, sum)
	}
	return least
}

// passRateBound returns the passes per ms that the engines could make if the layers could
// be divided among them at will: an upper bound of passRate.
func passRateBound(m *layered.Model, engines []Engine) float64 {
	sum := 0.0
	for _, e := range engines {
		sum += 1 / m.PassMs(m.Cards[e.Card], 1, 1, m.MeanPromptTokens)
	}
	return sum / float64(m.Layers)
}

// minKVTokens returns the KV cache, in tokens, of the engine with the least of it among
// those that hold layers.
func minKVTokens(m *layered.Model, engines []Engine) float64 {
	least := math.Inf(1)
	for _, e := range engines {
		if !e.Holds.Empty() {
			least = min(least, m.KVCapacityTokens(m.Cards[e.Card], e.Holds.Len()))
		}
	}
	return least
}

// fleets lists fleets by name. "today" and "today, one zone" have the same cards,
// in three zones and in one; the others have only large or mostly small cards.
func fleets() map[string][]Engine {
	return map[string][]Engine{
		"today":           slices.Concat(zone("a", 1, 3, 8), zone("b", 1, 6, 5), zone("c", 2, 2, 5)),
		"few large":       slices.Concat(zone("a", 6, 0, 0), zone("b", 6, 0, 0)),
		"many small":      slices.Concat(zone("a", 0, 2, 20), zone("b", 0, 2, 20), zone("c", 0, 2, 20), zone("d", 0, 2, 20)),
		"today, one zone": slices.Concat(zone("a", 4, 11, 18)),
	}
}

// BenchmarkPlacements compares Plan with the baselines: the pass rate as a fraction
// of the bound, the slowest zone's chain, and the smallest KV cache.
func BenchmarkPlacements(b *testing.B) {
	m := model()
	for name, engines := range fleets() {
		for way, plan := range map[string]func() []Order{
			"even":    func() []Order { return evenSplit(m, engines) },
			"by card": func() []Order { return fillByCard(m, engines) },
			"ours":    func() []Order { return Plan(m, engines, Options{}) },
		} {
			b.Run(name+"/"+way, func(b *testing.B) {
				var after []Engine
				for b.Loop() {
					after = applyOrders(engines, plan())
				}
				zones := groupByZone(after)
				slowest := 0.0
				for _, members := range zones {
					slowest = max(slowest, chainMs(m, members))
				}
				b.ReportMetric(passRate(m, after)/passRateBound(m, after), "of-bound")
				b.ReportMetric(slowest, "slowest-chain-ms")
				b.ReportMetric(minKVTokens(m, after), "least-room-tokens")
			})
		}
	}
}

// chainMs returns the time of a pass through the fastest complete chain of one
// zone, in ms, with the wait at each stage; +Inf if there is no complete chain.
func chainMs(m *layered.Model, engines []Engine) float64 {
	best := make([]float64, m.Layers+1)
	for i := range best[1:] {
		best[i+1] = math.Inf(1)
	}
	for at := range m.Layers {
		for _, e := range engines {
			if e.Holds.From > at || e.Holds.To <= at {
				continue
			}
			card := m.Cards[e.Card]
			for to := at + 1; to <= e.Holds.To; to++ {
				ms := best[at] + m.PassMs(card, to-at, 1, m.MeanPromptTokens) + m.WaitMs(card, e.Holds.Len(), 1, m.MeanPromptTokens)
				best[to] = min(best[to], ms)
			}
		}
	}
	return best[m.Layers]
}
