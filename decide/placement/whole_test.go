package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Callers were refused for 15 of 30 s, for want of two layers of 80 that no engine held,
// while 22 of 24 engines stood. Every zone had laid its layers from the front with the
// same part of its memory and ended short of the last ones; as none of them could hold a
// copy with that part, nothing was moved. The directory, layer by layer and second by
// second, showed layers 0 to 50 held three times and the last ones by nobody. A fleet
// whose engines together have memory for the model is to hold it.

// drawFleet gives a model and a fleet of one to four zones.
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

// movingAll lets the engines of all zones be told to hold other layers.
func movingAll(engines []Engine) Options {
	var zones []ids.Zone
	for _, e := range engines {
		zones = append(zones, e.Zone)
	}
	return moving(zones...)
}

// checkWhole fails the test if layers are missing for which there is memory: in the
// fleet, or in a zone that has memory for the model.
func checkWhole(t *testing.T, seed uint64, m *layered.Model, engines []Engine) {
	t.Helper()
	most := fullest(m).part
	if layersAt(m, engines, most) >= m.Layers {
		if missing := holes(coverage(m, engines)); len(missing) > 0 {
			t.Errorf("seed %d: nobody holds %v, with room for %d layers: %+v", seed, missing, layersAt(m, engines, most), engines)
		}
	}
	whole := Whole(m, engines)
	for name, of := range grouped(engines) {
		if layersAt(m, of, most) >= m.Layers && !whole[name] {
			t.Errorf("seed %d: zone %s with room for %d layers is not whole: %+v", seed, name, layersAt(m, of, most), of)
		}
	}
}

func TestFleetWithMemoryForTheModelHoldsIt(t *testing.T) {
	for seed := range uint64(1000) {
		m, engines := drawFleet(rand.New(rand.NewPCG(seed, 3)))
		engines = apply(engines, Plan(m, engines, Options{}))
		after, _ := settle(t, m, engines, Options{})
		checkWhole(t, seed, m, after)
	}
}

// TestFleetHoldsTheModelAgainAfterLosses takes one to four engines away for good, of which
// some come back empty later.
func TestFleetHoldsTheModelAgainAfterLosses(t *testing.T) {
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 4))
		m, engines := drawFleet(r)
		engines = apply(engines, Plan(m, engines, Options{}))
		var lost []Engine
		for range min(1+r.IntN(4), len(engines)-1) {
			i := r.IntN(len(engines))
			lost = append(lost, engines[i])
			engines = slices.Delete(engines, i, i+1)
		}
		engines, _ = settle(t, m, engines, movingAll(engines))
		checkWhole(t, seed, m, engines)
		for _, e := range lost[:r.IntN(len(lost)+1)] {
			e.Holds = layered.Range{}
			engines = append(engines, e)
		}
		engines, _ = settle(t, m, engines, movingAll(engines))
		checkWhole(t, seed, m, engines)
	}
}

// Room for more requests than engines may work on at once goes to weights, and what a
// card must not hold is never ordered.
func TestPartOfMemoryFollowsTheSizeOfRequests(t *testing.T) {
	for name, c := range map[string]struct {
		cache       float64
		slots       int
		least, most float64
	}{
		"large caches":         {918e3, 192, DefaultPart, DefaultPart},
		"small caches":         {300e3, 192, 0.7, 0.8},
		"small caches, halved": {150e3, 192, mostUsual, mostUsual},
		"few requests at once": {918e3, 32, mostUsual, mostUsual},
		"slots not told":       {300e3, 0, DefaultPart, DefaultPart},
		"sizes not told":       {0, 192, DefaultPart, DefaultPart},
	} {
		m := model()
		m.KVTokenBytes = c.cache
		engines := zone("a", 1, 3, 8)
		for i := range engines {
			engines[i].Slots = c.slots
		}
		if part := usualPart(m, engines); part < c.least || part > c.most {
			t.Errorf("%s: a part of %.2f for weights, want %.2f to %.2f", name, part, c.least, c.most)
		}
		for _, o := range Plan(m, engines, Options{}) {
			if e := find(engines, o.Engine); !m.Fits(m.Cards[e.Card], o.Layers.Len()) {
				t.Errorf("%s: %s is to hold %s", name, e.Card, o.Layers)
			}
		}
	}
}
