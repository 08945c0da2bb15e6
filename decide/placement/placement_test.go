package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// model returns a model of 80 layers on three kinds of cards.
func model() *layered.Model {
	return &layered.Model{
		Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, StepMs: 1, PerSequenceMs: 0.007, PerContextMs: 0.01,
		PrefillTokensPerMs: 105, StepsPerPass: 3, LoadSeconds: 14, MeanPromptTokens: 774, MeanOutputTokens: 200,
		Cards: map[string]layered.Card{
			"large":  {MemoryMB: 72000, StepFactor: 2.4, PrefillFactor: 3.2},
			"medium": {MemoryMB: 43200, StepFactor: 5.6, PrefillFactor: 2.7},
			"small":  {MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2},
		},
	}
}

// zone returns the engines of a zone: the given numbers of large, medium and small
// cards.
func zone(name string, large, medium, small int) []Engine {
	var out []Engine
	for _, k := range []struct {
		card string
		n    int
	}{{"large", large}, {"medium", medium}, {"small", small}} {
		for i := range k.n {
			out = append(out, Engine{ID: ids.Instance{Upstream: ids.Upstream(fmt.Sprintf("%s-%s-%d", name, k.card, i))}, Zone: ids.Zone(name), Card: k.card})
		}
	}
	return out
}

// applyOrders returns the engines as they are after they have carried out the orders.
func applyOrders(engines []Engine, orders []Order) []Engine {
	out := append([]Engine(nil), engines...)
	for _, o := range orders {
		for i := range out {
			if out[i].ID == o.Engine {
				out[i].Holds = o.Layers
			}
		}
	}
	return out
}

func TestEachZoneIsWhole(t *testing.T) {
	m := model()
	engines := append(append(zone("a", 1, 3, 8), zone("b", 1, 6, 5)...), zone("c", 2, 2, 5)...)
	after := applyOrders(engines, Plan(m, engines, Options{}))
	for name, complete := range CompleteZones(m, after) {
		if !complete {
			t.Errorf("zone %s lacks layers", name)
		}
	}
	if more := Plan(m, after, Options{}); len(more) > 0 {
		t.Errorf("orders after the plan was carried out: %v", more)
	}
}

// TestPlansFitAndDoNotDependOnOrder checks random fleets with random ranges held.
func TestPlansFitAndDoNotDependOnOrder(t *testing.T) {
	m := model()
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		var engines []Engine
		for _, name := range []string{"a", "b", "c", "d"}[:1+r.IntN(4)] {
			engines = append(engines, zone(name, r.IntN(3), r.IntN(7), r.IntN(12))...)
		}
		move, reassign := make(map[ids.Zone]bool), make(map[ids.Zone]bool)
		for i := range engines {
			if r.IntN(3) == 0 {
				maxLayers := int(m.Cards[engines[i].Card].MemoryMB / m.LayerMB)
				from := r.IntN(m.Layers)
				engines[i].Holds = layered.Range{From: from, To: min(m.Layers, from+1+r.IntN(maxLayers))}
			}
			engines[i].Fixed = r.IntN(10) == 0
			move[engines[i].Zone] = r.IntN(2) == 0
			reassign[engines[i].Zone] = r.IntN(2) == 0
		}
		o := Options{Reassign: reassign, Move: move}
		orders := Plan(m, engines, o)
		checkServed(t, m, engines, orders)
		seen := make(map[ids.Instance]bool)
		for _, o := range orders {
			e := find(engines, o.Engine)
			switch {
			case seen[o.Engine]:
				t.Errorf("seed %d: two orders for %s", seed, o.Engine)
			case e.Fixed:
				t.Errorf("seed %d: an order for %s, which is fixed", seed, o.Engine)
			case o.Layers.Empty() || o.Layers.From < 0 || o.Layers.To > m.Layers:
				t.Errorf("seed %d: %s is told to hold %s", seed, o.Engine, o.Layers)
			case !m.Fits(m.Cards[e.Card], o.Layers.Len()):
				t.Errorf("seed %d: %s does not fit %s", seed, o.Layers, o.Engine)
			case !move[e.Zone] && !reassign[e.Zone] && !e.Holds.Empty() && !o.Layers.Covers(e.Holds):
				t.Errorf("seed %d: %s was moved from %s to %s", seed, o.Engine, e.Holds, o.Layers)
			}
			seen[o.Engine] = true
		}
		r.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		if diff := cmp.Diff(orders, Plan(m, engines, o)); diff != "" {
			t.Errorf("seed %d: the plan depends on the order of the engines: %s", seed, diff)
		}
	}
}

func find(engines []Engine, id ids.Instance) Engine {
	for _, e := range engines {
		if e.ID == id {
			return e
		}
	}
	return Engine{}
}

func TestEmptyEngineFillsGap(t *testing.T) {
	m := model()
	engines := zone("a", 1, 3, 8)
	held := applyOrders(engines, Plan(m, engines, Options{}))
	var lost layered.Range
	for i := range held {
		if held[i].Card == "medium" {
			lost, held[i].Holds = held[i].Holds, layered.Range{}
			break
		}
	}
	orders := Plan(m, held, Options{})
	if len(orders) != 1 || orders[0].Layers.From > lost.From || orders[0].Layers.To < lost.From {
		t.Errorf("lost %s, orders %v", lost, orders)
	}
}

func TestNeighboursExtendOverSmallGap(t *testing.T) {
	m := model()
	engines := []Engine{
		{ID: ids.Instance{Upstream: "l"}, Zone: "a", Card: "large", Holds: layered.Range{From: 0, To: 24}},
		{ID: ids.Instance{Upstream: "m"}, Zone: "a", Card: "large", Holds: layered.Range{From: 28, To: 52}},
		{ID: ids.Instance{Upstream: "n"}, Zone: "a", Card: "large", Holds: layered.Range{From: 52, To: 80}},
	}
	want := []Order{{Engine: instanceOf("l"), Layers: layered.Range{From: 0, To: 28}}}
	if diff := cmp.Diff(want, Plan(m, engines, Options{})); diff != "" {
		t.Error(diff)
	}
}

func TestEnginesMoveOnlyWhereAllowed(t *testing.T) {
	m := model()
	var engines []Engine
	for i, r := range []layered.Range{{From: 0, To: 12}, {From: 0, To: 12}, {From: 24, To: 36}, {From: 36, To: 80}} {
		engines = append(engines, Engine{ID: ids.Instance{Upstream: ids.Upstream(fmt.Sprint(i))}, Zone: "a", Card: "small", Holds: r})
	}
	if orders := Plan(m, engines, Options{}); len(orders) > 0 {
		t.Errorf("orders in a zone that allows none: %v", orders)
	}
	orders := Plan(m, engines, Options{Reassign: map[ids.Zone]bool{"a": true}})
	if len(orders) != 1 || orders[0].Layers.From != 12 {
		t.Errorf("orders %v, want one of the two that hold 0-12 to go on from 12", orders)
	}
}

func TestUnknownCardsGetNothing(t *testing.T) {
	engines := []Engine{{ID: ids.Instance{Upstream: "x"}, Zone: "a", Card: "unheard"}}
	if orders := Plan(model(), engines, Options{}); len(orders) > 0 {
		t.Errorf("orders %v", orders)
	}
	if orders := Plan(&layered.Model{}, engines, Options{}); len(orders) > 0 {
		t.Errorf("orders for an empty model: %v", orders)
	}
}

// BenchmarkPlan measures a plan for fleets of increasing size with up to 15 zones.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{33, 90, 3100} {
		var engines []Engine
		for i := 0; len(engines) < size; i++ {
			engines = append(engines, zone(fmt.Sprintf("z%02d", i%15), 1, 3, 7)...)
		}
		engines = engines[:size]
		for i := range engines {
			engines[i].ID = ids.Instance{Upstream: ids.Upstream(fmt.Sprintf("%05d", i))}
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				Plan(model(), append([]Engine(nil), engines...), Options{})
			}
		})
	}
}

func TestZonesLayFurtherCopiesFromDifferentEnds(t *testing.T) {
	m := model()
	engines := append(append(zone("a", 1, 3, 8), zone("b", 1, 6, 5)...), zone("c", 2, 2, 5)...)
	after := applyOrders(engines, Plan(m, engines, Options{}))
	// One engine of each zone may leave while no order can be given, so one copy
	// more than there are zones is needed.
	if least := slices.Min(coverage(m, after)); least < 4 {
		t.Errorf("some layers are held by %d engines of three zones, want one more than zones", least)
	}
}

// instanceOf returns the ID of an upstream that does not report its start time.
func instanceOf(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }
