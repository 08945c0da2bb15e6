package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// referenceTiling finds the cheapest way to run each layer exactly once, with the
// engines in the given order, and returns the last segment. It leaves out layers
// that no engine can run. Giving up layers costs an engine drainCost.
func referenceTiling(m *layered.Model, ordered []Engine, o Options, drainCost int) *segment {
	// A missing layer costs more than any way to run it.
	missing := 1 + len(ordered)*(m.Layers+orderCostLayers+drainCost)
	best := make([]*segment, m.Layers+1)
	best[0] = &segment{engine: -1}
	referenceGaps(best, missing)
	for i, e := range ordered {
		next := slices.Clone(best)
		maxLayers := capacity(m, e, o)
		for from, prev := range best {
			for to := from + 1; to <= min(from+max(maxLayers, e.heldAfterOrder().Len()), m.Layers); to++ {
				cost := referenceCost(e, layered.Range{From: from, To: to}, maxLayers, drainCost)
				if cost == math.MaxInt {
					continue
				}
				if cost += prev.cost; cost < next[to].cost {
					next[to] = &segment{cost: cost, missing: prev.missing, engine: i, from: from, prev: prev}
				}
			}
		}
		referenceGaps(next, missing)
		best = next
	}
	return best[m.Layers]
}

// referenceGaps extends the tilings that end one layer earlier by a missing layer,
// where that is cheaper.
func referenceGaps(best []*segment, missing int) {
	for to := 1; to < len(best); to++ {
		prev := best[to-1]
		if cost := prev.cost + missing; best[to] == nil || cost < best[to].cost {
			best[to] = &segment{cost: cost, missing: prev.missing + 1, engine: -1, from: to - 1, prev: prev}
		}
	}
}

// referenceCost returns the cost for the engine to run the range, as a number of
// layers loaded; math.MaxInt if it cannot. An engine with a pending order can get
// another one afterwards. Giving up layers adds drainCost.
func referenceCost(e Engine, r layered.Range, maxLayers, drainCost int) int {
	held := e.heldAfterOrder()
	if held.Covers(r) {
		return 0
	}
	if r.Len() > maxLayers || e.Fixed && !e.hasPendingOrder() {
		return math.MaxInt
	}
	cost := r.Len() - held.Intersect(r).Len()
	if !e.hasPendingOrder() {
		cost += orderCostLayers
	}
	if !keepHeld(held, r, maxLayers).Covers(held) {
		cost += drainCost
	}
	return cost
}

// referenceRelocation is tilingWithRelocation that computes each tiling anew.
func referenceRelocation(m *layered.Model, engines []Engine, opts Options) ([]Engine, *segment) {
	ordered := inModelOrder(engines)
	drainCost := drainCostOf(m, ordered)
	best := referenceTiling(m, ordered, opts, drainCost)
	gaps := findGaps(coverage(m, ordered))
	free := relocatable(ordered)
	for range maxMovedEngines {
		moved, last := ordered, best
		for _, id := range free {
			for _, gap := range gaps {
				other := withRelocated(ordered, id, gap)
				if t := referenceTiling(m, other, opts, drainCost); t.cost < last.cost {
					moved, last = other, t
				}
			}
		}
		if last == best {
			break
		}
		ordered, best = moved, last
	}
	if best.missing > 0 {
		return nil, nil
	}
	return ordered, best
}

// randomZone returns engines of a zone that hold random ranges, some with pending orders.
func randomZone(rng *rand.Rand, m *layered.Model) []Engine {
	cards := []string{"small", "medium", "big"}
	var engines []Engine
	for i := range 4 + rng.IntN(14) {
		e := Engine{ID: ids.Instance{Upstream: ids.Upstream(fmt.Sprint("e", i))}, Zone: "z", Card: cards[rng.IntN(3)], Fixed: rng.IntN(6) == 0}
		random := func() layered.Range {
			from := rng.IntN(m.Layers)
			return layered.Range{From: from, To: min(m.Layers, from+1+rng.IntN(24))}
		}
		e.Holds = random()
		if rng.IntN(5) == 0 {
			e.Target = random()
		}
		engines = append(engines, e)
	}
	return engines
}

// Guards against tilings that differ from those of the plain search, by which layers are repaired.
func TestTilingsAreThoseOfThePlainSearch(t *testing.T) {
	m := model()
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 1))
		engines := randomZone(rng, m)
		for _, opts := range []Options{repairOptions(m), minReserveOptions(m)} {
			ordered := inModelOrder(engines)
			for _, drainCost := range []int{drainCostOf(m, ordered), 0} {
				got, want := cheapestTiling(m, ordered, opts, drainCost), referenceTiling(m, ordered, opts, drainCost)
				if got.cost != want.cost || got.missing != want.missing || !slices.Equal(tilingOrders(m, ordered, got, opts), tilingOrders(m, ordered, want, opts)) {
					t.Fatalf("seed %d: tiling of cost %d with %d missing layers, want %d and %d", seed, got.cost, got.missing, want.cost, want.missing)
				}
			}
			gotOrder, got := tilingWithRelocation(m, engines, opts)
			wantOrder, want := referenceRelocation(m, engines, opts)
			if (got == nil) != (want == nil) || !slices.Equal(gotOrder, wantOrder) {
				t.Fatalf("seed %d: engines are moved to %v, want %v", seed, gotOrder, wantOrder)
			}
			if got != nil && !slices.Equal(tilingOrders(m, gotOrder, got, opts), tilingOrders(m, wantOrder, want, opts)) {
				t.Fatalf("seed %d: orders %v, want %v", seed, tilingOrders(m, gotOrder, got, opts), tilingOrders(m, wantOrder, want, opts))
			}
		}
	}
}
