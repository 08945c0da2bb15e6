package placement

import (
	"math"
	"slices"
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// evenSplit gives each zone's engines equal parts of the model, as far as their
// cards hold them.
func evenSplit(m *layered.Model, engines []Engine) []Order {
	var orders []Order
	for _, of := range byZone(engines) {
		part := (m.Layers + len(of) - 1) / len(of)
		for i, e := range of {
			from := i * part
			r := layered.Range{From: from, To: min(from+part, m.Layers)}
			if !r.Empty() && m.Fits(m.Cards[e.Card], r.Len()) {
				orders = append(orders, Order{Engine: e.ID, Layers: r})
			}
		}
	}
	return orders
}

// byCard fills each card to the same part of its memory, one engine after the
// other, with no regard to speed.
func byCard(m *layered.Model, engines []Engine) []Order {
	var orders []Order
	for _, of := range byZone(engines) {
		at := 0
		for _, e := range of {
			size := capacity(m, e, Options{part: DefaultPart})
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

// byZone groups engines, in the order of zones and names.
func byZone(engines []Engine) [][]Engine {
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

// rate is the passes a ms that engines can make together, each for all that it
// holds: no more than pass the layer that is served least.
func rate(m *layered.Model, engines []Engine) float64 {
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

// bound is the passes a ms if work could be cut as finely as wanted.
func bound(m *layered.Model, engines []Engine) float64 {
	sum := 0.0
	for _, e := range engines {
		sum += 1 / m.PassMs(m.Cards[e.Card], 1, 1, m.MeanPromptTokens)
	}
	return sum / float64(m.Layers)
}

// room is the least room for requests, in tokens, of an engine that holds layers.
func room(m *layered.Model, engines []Engine) float64 {
	least := math.Inf(1)
	for _, e := range engines {
		if !e.Holds.Empty() {
			least = min(least, m.KVCapacityTokens(m.Cards[e.Card], e.Holds.Len()))
		}
	}
	return least
}

// fleets are today's two, which have the same cards, and two invented ones.
func fleets() map[string][]Engine {
	return map[string][]Engine{
		"today":           slices.Concat(zone("a", 1, 3, 8), zone("b", 1, 6, 5), zone("c", 2, 2, 5)),
		"few large":       slices.Concat(zone("a", 6, 0, 0), zone("b", 6, 0, 0)),
		"many small":      slices.Concat(zone("a", 0, 2, 20), zone("b", 0, 2, 20), zone("c", 0, 2, 20), zone("d", 0, 2, 20)),
		"today, one zone": slices.Concat(zone("a", 4, 11, 18)),
	}
}

// BenchmarkPlacements compares ways to place a model: passes as a part of the
// bound, and the least room for requests.
func BenchmarkPlacements(b *testing.B) {
	m := model()
	for name, engines := range fleets() {
		for way, plan := range map[string]func() []Order{
			"even":    func() []Order { return evenSplit(m, engines) },
			"by card": func() []Order { return byCard(m, engines) },
			"ours":    func() []Order { return Plan(m, engines, Options{}) },
		} {
			b.Run(name+"/"+way, func(b *testing.B) {
				var after []Engine
				for b.Loop() {
					after = apply(engines, plan())
				}
				zones := byZone(after)
				slowest := 0.0
				for _, of := range zones {
					slowest = max(slowest, chainMs(m, of))
				}
				b.ReportMetric(rate(m, after)/bound(m, after), "of-bound")
				b.ReportMetric(slowest, "slowest-chain-ms")
				b.ReportMetric(room(m, after), "least-room-tokens")
			})
		}
	}
}

// chainMs is the time of a pass through the fastest whole chain of one zone, with
// the wait at each stage; infinite where there is none.
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
