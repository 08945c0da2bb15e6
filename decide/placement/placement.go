// Package placement decides which layers of a model unlike engines hold.
//
// Each availability zone gets whole copies of its own, since zones are cut off
// from each other. Fast engines come first and tile the model from the front;
// the rest lay further copies over the layers that are least covered, so that
// every part has a stand-in in its zone where the memory allows it. A part of
// each card's memory stays free for the KV cache of requests.
//
// What engines hold already stays: only empty engines get layers, and, where
// a zone lost a part that no empty engine can fill, one whose own layers are
// held twice. The package is pure: the same input gives the same plan.
package placement

import (
	"cmp"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Engine is an engine as the plan sees it.
type Engine struct {
	ID   ids.Upstream
	Zone ids.Zone
	Card string
	// Holds is what it holds or was told to hold; empty for nothing.
	Holds layered.Range
	// Fixed engines are counted but get no order now.
	Fixed bool
}

// Order tells an engine what to hold.
type Order struct {
	Engine ids.Upstream
	Layers layered.Range
}

// Options set up Plan.
type Options struct {
	// WeightPart is the part of a card's memory that weights may take, 0 to 1.
	WeightPart float64
}

// DefaultWeightPart leaves 0.4 of the memory to the KV cache. Of parts from 0.5
// to 0.8 tried on two fleets of 33 engines it lost least when engines died.
const DefaultWeightPart = 0.6

// Plan gives the orders for a model. Engines may come in any order.
func Plan(m *layered.Model, engines []Engine, o Options) []Order {
	if o.WeightPart <= 0 || o.WeightPart > 1 {
		o.WeightPart = DefaultWeightPart
	}
	byZone := make(map[ids.Zone][]Engine)
	for _, e := range engines {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	zones := make([]ids.Zone, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	var orders []Order
	for _, zone := range zones {
		orders = append(orders, planZone(m, byZone[zone], o)...)
	}
	return orders
}

// planZone gives the orders for the engines of one zone.
func planZone(m *layered.Model, engines []Engine, o Options) []Order {
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(m.Cards[a.Card].StepFactor, m.Cards[b.Card].StepFactor), cmp.Compare(a.ID, b.ID))
	})
	covered := coverage(m, engines)
	var orders []Order
	for _, e := range engines {
		if e.Fixed || !e.Holds.Empty() {
			continue
		}
		layers := pick(m, covered, capacity(m, e, o))
		if layers.Empty() {
			continue
		}
		add(covered, layers, 1)
		orders = append(orders, Order{e.ID, layers})
	}
	return append(orders, moves(m, engines, covered, o)...)
}

// coverage counts for each layer the engines that hold it.
func coverage(m *layered.Model, engines []Engine) []int {
	covered := make([]int, max(m.Layers, 0))
	for _, e := range engines {
		add(covered, e.Holds, 1)
	}
	return covered
}

// add changes the count of a range's layers.
func add(covered []int, r layered.Range, by int) {
	for i := max(r.From, 0); i < min(r.To, len(covered)); i++ {
		covered[i] += by
	}
}

// capacity is the most layers that an engine should hold.
func capacity(m *layered.Model, e Engine, o Options) int {
	card, known := m.Cards[e.Card]
	if !known || m.LayerMB <= 0 {
		return 0
	}
	layers := int(card.MemoryMB * o.WeightPart / m.LayerMB)
	return min(layers, m.Layers)
}

// pick gives the range of at most size layers that begins where the model is
// least covered, and goes on as far as it is no better covered.
func pick(m *layered.Model, covered []int, size int) layered.Range {
	if size <= 0 || len(covered) == 0 {
		return layered.Range{}
	}
	least := slices.Min(covered)
	from := slices.Index(covered, least)
	to := from
	for to < len(covered) && to-from < size && covered[to] == least {
		to++
	}
	return layered.Range{From: from, To: to}
}

// moves fills holes of a zone with engines whose own layers others hold too.
// It does nothing while an engine without layers or under way may still fill
// them.
func moves(m *layered.Model, engines []Engine, covered []int, o Options) []Order {
	if len(covered) == 0 || slices.Min(covered) > 0 {
		return nil
	}
	var orders []Order
	for _, e := range slices.Backward(engines) {
		if e.Fixed || e.Holds.Empty() || !spared(covered, e.Holds) {
			continue
		}
		layers := pick(m, covered, capacity(m, e, o))
		if layers.Empty() || covered[layers.From] > 0 {
			break
		}
		add(covered, e.Holds, -1)
		add(covered, layers, 1)
		orders = append(orders, Order{e.ID, layers})
	}
	return orders
}

// spared reports whether every layer of a range is held by another engine too.
func spared(covered []int, r layered.Range) bool {
	for i := max(r.From, 0); i < min(r.To, len(covered)); i++ {
		if covered[i] < 2 {
			return false
		}
	}
	return true
}
