package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// These tests guard against layers that no engine holds although the fleet has
// memory for the model. With 22 of 24 engines up, callers were refused for 15 of 30 s
// because two of 80 layers were held nowhere, while layers 0 to 50 were held three
// times: every zone assigned layers from the front with the same fraction of its
// memory and ran out before the last ones, and no engine was moved because no zone
// could hold a copy with that fraction.

// drawFleet draws a model and a fleet of one to four zones.
func drawFleet(r *rand.Rand) (*layered.Model, []Engine) {
	m := model()
	m.KVTokenBytes = []float64{300e3, 600e3, 900e3}[r.IntN(3)]
	m.MeanPromptTokens = 300 + 1000*r.Float64()
	var engines []Engine
	for i := range 1 + r.IntN(4) {
		engines = append(engines, zone(string(rune('a'+i)), r.IntN(2), r.IntN(5), 1+r.IntN(9))...)
	}
	return m, engines
}

// allowAllMoves allows reassignments and moves in the zones of all engines.
func allowAllMoves(engines []Engine) Options {
	var zones []ids.Zone
	for _, e := range engines {
		zones = append(zones, e.Zone)
	}
	return allowMoves(zones...)
}

// checkComplete fails the test if layers are missing although the fleet, or one
// zone by itself, has memory for the whole model.
func checkComplete(t *testing.T, seed uint64, m *layered.Model, engines []Engine) {
	t.Helper()
	maxFraction := minReserveOptions(m).groupFraction
	if groupCapacity(m, engines, maxFraction) >= m.Layers {
		if missing := findGaps(coverage(m, engines)); len(missing) > 0 {
			t.Errorf("seed %d: no engine holds %v, with memory for %d layers: %+v", seed, missing, groupCapacity(m, engines, maxFraction), engines)
		}
	}
	complete := CompleteZones(m, engines)
	for name, members := range enginesByZone(engines) {
		if groupCapacity(m, members, maxFraction) >= m.Layers && !complete[name] {
			t.Errorf("seed %d: zone %s with memory for %d layers is not complete: %+v", seed, name, groupCapacity(m, members, maxFraction), members)
		}
	}
}

func TestFleetWithMemoryForTheModelHoldsIt(t *testing.T) {
	for seed := range uint64(1000) {
		m, engines := drawFleet(rand.New(rand.NewPCG(seed, 3)))
		engines = applyOrders(engines, Plan(m, engines, Options{}))
		after, _ := converge(t, m, engines, Options{})
		checkComplete(t, seed, m, after)
	}
}

// TestFleetHoldsTheModelAgainAfterLosses removes one to four engines. Some of them
// return empty later.
func TestFleetHoldsTheModelAgainAfterLosses(t *testing.T) {
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 4))
		m, engines := drawFleet(r)
		engines = applyOrders(engines, Plan(m, engines, Options{}))
		var lost []Engine
		for range min(1+r.IntN(4), len(engines)-1) {
			i := r.IntN(len(engines))
			lost = append(lost, engines[i])
			engines = slices.Delete(engines, i, i+1)
		}
		engines, _ = converge(t, m, engines, allowAllMoves(engines))
		checkComplete(t, seed, m, engines)
		for _, e := range lost[:r.IntN(len(lost)+1)] {
			e.Holds = layered.Range{}
			engines = append(engines, e)
		}
		engines, _ = converge(t, m, engines, allowAllMoves(engines))
		checkComplete(t, seed, m, engines)
	}
}

// Memory beyond what the slots' requests need goes to weights, and no order exceeds
// a card's memory.
func TestWeightFractionFollowsRequestSize(t *testing.T) {
	for name, c := range map[string]struct {
		cache       float64
		slots       int
		least, most float64
	}{
		"large caches":         {918e3, 192, DefaultWeightFraction, DefaultWeightFraction},
		"small caches":         {300e3, 192, 0.7, 0.8},
		"small caches, halved": {150e3, 192, maxUsualWeightFraction, maxUsualWeightFraction},
		"few requests at once": {918e3, 32, maxUsualWeightFraction, maxUsualWeightFraction},
		"slots not told":       {300e3, 0, DefaultWeightFraction, DefaultWeightFraction},
		"sizes not told":       {0, 192, DefaultWeightFraction, DefaultWeightFraction},
	} {
		m := model()
		m.KVTokenBytes = c.cache
		engines := zone("a", 1, 3, 8)
		for i := range engines {
			engines[i].Slots = c.slots
		}
		if fraction := usualFraction(m, engines); fraction < c.least || fraction > c.most {
			t.Errorf("%s: a weight fraction of %.2f, want %.2f to %.2f", name, fraction, c.least, c.most)
		}
		for _, o := range Plan(m, engines, Options{}) {
			if e := find(engines, o.Engine); !m.Fits(m.Cards[e.Card], o.Layers.Len()) {
				t.Errorf("%s: %s is to hold %s", name, e.Card, o.Layers)
			}
		}
	}
}
