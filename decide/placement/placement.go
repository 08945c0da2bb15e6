// Package placement decides which layers of a model unlike engines hold.
//
// Each availability zone gets whole copies of its own, since zones are cut off
// from each other. Fast engines come first and tile the model from the front;
// the rest lay further copies over the layers that are least covered, so that
// every part has a stand-in in its zone where the memory allows it. A part of
// each card's memory stays free for the KV cache of requests.
//
// What engines hold already stays: only empty engines get layers, and, where
// a zone lost a part that no empty engine can fill, others of it. None of these gives
// up a layer that no other engine of its zone serves, so an order never makes a zone
// serve less than before. The package is pure: the same input gives the same plan.
package placement

import (
	"math"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Engine is an engine as the plan sees it.
type Engine struct {
	ID   ids.Life
	Zone ids.Zone
	Card string
	// Slots is how many requests it works on at once, 0 where that is not told.
	Slots int
	// Holds is what it holds, empty for nothing.
	Holds layered.Range
	// Told is what an order under way has it hold, empty where there is none.
	Told layered.Range
	// Fixed engines are counted but get no order now.
	Fixed bool
}

// underWay reports whether the engine carries out an order.
func (e Engine) underWay() bool { return !e.Told.Empty() }

// will gives what the engine holds once it has carried out its order.
func (e Engine) will() layered.Range {
	if e.Told.Empty() {
		return e.Holds
	}
	return e.Told
}

// serves gives what it holds and goes on holding.
func (e Engine) serves() layered.Range { return e.Holds.Intersect(e.will()) }

// Order tells an engine what to hold.
type Order struct {
	Engine ids.Life
	Layers layered.Range
}

// Options set up Plan.
type Options struct {
	// WeightPart is the part of a card's memory that weights usually take, 0 to 1; where it
	// is 0 it follows from the requests that engines may work on at once.
	WeightPart float64
	// Reassign names the zones in which an engine whose layers others there serve too
	// may be told to hold missing ones instead.
	Reassign map[ids.Zone]bool
	// Move names the zones in which all engines may be told to move along the model
	// to fill holes. Each loads nothing until what passes through the layers that it
	// gives up has ended, so an engine that comes back empty is the better filling.
	Move map[ids.Zone]bool
	// part is the part of a card's memory that weights may take in one group.
	part float64
	// fromBack has further copies begin at the last layer, once the first stage
	// has a stand-in. Zones take turns, so that they do not all hold the same
	// layers only once.
	fromBack bool
}

// Whole reports for each zone whether its engines hold every layer.
func Whole(m *layered.Model, engines []Engine) map[ids.Zone]bool {
	byZone := make(map[ids.Zone][]Engine)
	for _, e := range engines {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	whole := make(map[ids.Zone]bool, len(byZone))
	for zone, of := range byZone {
		whole[zone] = len(holes(coverage(m, of))) == 0
	}
	return whole
}

// Plan gives the orders for a model. Engines may come in any order.
func Plan(m *layered.Model, engines []Engine, o Options) []Order {
	var orders []Order
	for i, group := range groups(m, engines) {
		o.fromBack = i%2 == 1
		usual := o.WeightPart
		if usual <= 0 || usual > 1 {
			usual = usualPart(m, group)
		}
		o.part = groupPart(m, group, usual)
		orders = append(orders, planGroup(m, group, o)...)
	}
	return orders
}

const (
	// stretch is by how much a zone's part of memory for weights may be above
	// the usual, if its first chain gets faster by that; stretchStep is the
	// step of the search. One layer more on each card can save a chain its last
	// stage.
	stretch     = 0.08
	stretchStep = 0.01
	// stretchGain is the part of the usual chain's time that each step must
	// save, since it costs room for requests.
	stretchGain = 0.02
)

// planGroup gives the orders for the engines of one group. Where they hold nothing
// yet, the part of memory for weights is the one with the fastest first chain.
func planGroup(m *layered.Model, engines []Engine, o Options) []Order {
	best := fill(m, engines, o)
	if slices.ContainsFunc(engines, func(e Engine) bool { return !e.Holds.Empty() }) {
		return best
	}
	usual := firstChainMs(m, engines, best)
	bestMs := usual
	most := fullest(m).part
	for step := 1; float64(step)*stretchStep <= stretch; step++ {
		wider := o
		wider.part += float64(step) * stretchStep
		if wider.part > most {
			break
		}
		orders := fill(m, engines, wider)
		ms := firstChainMs(m, engines, orders) + usual*stretchGain*float64(step)
		if ms < bestMs {
			best, bestMs = orders, ms
		}
	}
	return best
}

// firstChainMs is the time of a pass through the first whole chain of a plan,
// in ms: of the orders in their sequence, as far as they tile the model.
func firstChainMs(m *layered.Model, engines []Engine, orders []Order) float64 {
	cards := make(map[ids.Life]layered.Card, len(engines))
	for _, e := range engines {
		cards[e.ID] = m.Cards[e.Card]
	}
	at, ms := 0, 0.0
	for _, order := range orders {
		if order.Layers.From != at {
			break
		}
		at = order.Layers.To
		card := cards[order.Engine]
		ms += m.PassMs(card, order.Layers.Len(), 1, m.MeanPromptTokens) + m.WaitMs(card, order.Layers.Len(), 1, m.MeanPromptTokens)
	}
	if at < m.Layers {
		return math.Inf(1)
	}
	return ms
}

// fill gives the orders for the engines of one group with a fixed part of memory
// for weights.
func fill(m *layered.Model, engines []Engine, o Options) []Order {
	covered := coverage(m, engines)
	var orders []Order
	for _, e := range engines {
		if e.Fixed || !e.Holds.Empty() {
			continue
		}
		layers := pick(covered, capacity(m, e, o))
		if o.fromBack && len(covered) > 0 && slices.Min(covered) > 0 && covered[0] > 1 {
			layers = pickBack(covered, capacity(m, e, o))
		}
		if layers.Empty() {
			continue
		}
		add(covered, layers, 1)
		orders = append(orders, Order{Engine: e.ID, Layers: layers})
	}
	engines = slices.Clone(engines)
	orders = append(orders, widen(m, engines, covered)...)
	if len(engines) == 0 || len(covered) == 0 {
		return orders
	}
	if len(holes(covered)) > 0 && allowed(o.Reassign, engines) {
		orders = append(orders, reassign(m, engines, covered, o)...)
	}
	switch {
	case len(orders) > 0:
		return orders
	case len(holes(covered)) == 0:
		return trim(m, engines, o)
	case allowed(o.Move, engines):
		return shift(m, engines)
	}
	return nil
}

// allowed reports whether a map allows something in all zones of engines.
func allowed(in map[ids.Zone]bool, engines []Engine) bool {
	return !slices.ContainsFunc(engines, func(e Engine) bool { return !in[e.Zone] })
}

// coverage counts for each layer the engines that hold it or were told to.
func coverage(m *layered.Model, engines []Engine) []int {
	return count(m, engines, Engine.will)
}

// served counts for each layer the engines that hold it and go on holding it.
func served(m *layered.Model, engines []Engine) []int {
	return count(m, engines, Engine.serves)
}

// count counts for each layer the engines whose range has it.
func count(m *layered.Model, engines []Engine, rangeOf func(Engine) layered.Range) []int {
	counts := make([]int, max(m.Layers, 0))
	for _, e := range engines {
		add(counts, rangeOf(e), 1)
	}
	return counts
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
	layers := int(card.MemoryMB * o.part / m.LayerMB)
	return min(layers, m.Layers)
}

// pick gives the range of at most size layers that begins where the model is
// least covered, and goes on as far as it is no better covered.
func pick(covered []int, size int) layered.Range {
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

// pickBack is pick from the last layer backwards.
func pickBack(covered []int, size int) layered.Range {
	least := slices.Min(covered)
	to := len(covered)
	for covered[to-1] != least {
		to--
	}
	from := to
	for from > 0 && to-from < size && covered[from-1] == least {
		from--
	}
	return layered.Range{From: from, To: to}
}

// widen fills holes of a zone by engines that hold the layers next to them:
// they load a few more, while what they hold goes on serving. It gives the
// orders for the holes that can be filled whole, and marks the engines as fixed,
// so that none gets a second order.
func widen(m *layered.Model, engines []Engine, covered []int) []Order {
	var orders []Order
	for _, hole := range holes(covered) {
		left, leftMost := neighbour(m, engines, func(e Engine) bool { return e.Holds.To == hole.From })
		right, rightMost := neighbour(m, engines, func(e Engine) bool { return e.Holds.From == hole.To })
		if leftMost+rightMost < hole.Len() {
			continue
		}
		fromLeft := min(leftMost, hole.Len())
		if rightMost >= hole.Len() && rightMost > leftMost {
			fromLeft = 0
		}
		if fromLeft > 0 {
			orders = append(orders, Order{Engine: left.ID, Layers: layered.Range{From: left.Holds.From, To: hole.From + fromLeft}})
			left.Fixed = true
		}
		if fromLeft < hole.Len() {
			orders = append(orders, Order{Engine: right.ID, Layers: layered.Range{From: hole.From + fromLeft, To: right.Holds.To}})
			right.Fixed = true
		}
		add(covered, hole, 1)
	}
	return orders
}

// holes gives the ranges that no engine holds.
func holes(covered []int) []layered.Range {
	var all []layered.Range
	for i, n := range covered {
		switch {
		case n > 0:
		case i > 0 && covered[i-1] == 0:
			all[len(all)-1].To = i + 1
		default:
			all = append(all, layered.Range{From: i, To: i + 1})
		}
	}
	return all
}

// neighbour gives the engine of those that fit which can hold the most further
// layers, and how many.
func neighbour(m *layered.Model, engines []Engine, fits func(Engine) bool) (best *Engine, most int) {
	for i := range engines {
		e := &engines[i]
		if e.Fixed || e.Holds.Empty() || !fits(*e) {
			continue
		}
		if spare := capacity(m, *e, widest(m)) - e.Holds.Len(); spare > most {
			best, most = e, spare
		}
	}
	return best, most
}
