// Package placement decides which layers of a model each engine of a heterogeneous
// fleet holds.
//
// Each availability zone gets complete copies of its own, because zones can be cut
// off from each other. The fastest engines are assigned first and tile the model
// from the front. The remaining engines hold further copies of the least covered
// layers, so that every layer has a second engine in its zone if the memory allows
// it. A fraction of each card's memory stays free for the KV cache of requests.
//
// Layers that are already loaded stay where they are. Only empty engines are
// assigned layers, unless a zone lost layers that no empty engine can take over;
// then other engines of the zone are reassigned. No engine gives up a layer that no
// other engine of its zone serves, so an order never makes a zone serve fewer
// layers. The package is pure: the same input results in the same plan.
package placement

import (
	"math"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Engine is the planner's view of an engine.
type Engine struct {
	ID   ids.Instance
	Zone ids.Zone
	Card string
	// Slots is the number of requests it runs concurrently; 0 if unknown.
	Slots int
	// Holds is the range of layers it holds; empty if it holds none.
	Holds layered.Range
	// Target is the range of a pending order; empty if no order
	// is pending.
	Target layered.Range
	// Fixed engines count as coverage but get no order in this plan.
	Fixed bool
}

// hasPendingOrder reports whether the engine is carrying out an order.
func (e Engine) hasPendingOrder() bool { return !e.Target.Empty() }

// heldAfterOrder returns the layers that the engine holds once it has carried out
// its pending order, if any.
func (e Engine) heldAfterOrder() layered.Range {
	if e.Target.Empty() {
		return e.Holds
	}
	return e.Target
}

// retained returns the layers that the engine holds now and keeps through its
// pending order.
func (e Engine) retained() layered.Range { return e.Holds.Intersect(e.heldAfterOrder()) }

// Order tells an engine which layers to hold.
type Order struct {
	Engine ids.Instance
	Layers layered.Range
}

// Options configure Plan.
type Options struct {
	// WeightFraction is the usual fraction of a card's memory for weights, 0 to 1.
	// 0 means to derive it from the engines' slots.
	WeightFraction float64
	// Reassign names the zones in which an engine may be told to hold missing
	// layers instead of its own, if other engines of the zone serve all of its
	// layers.
	Reassign map[ids.Zone]bool
	// Move names the zones in which every engine may be told to shift its range
	// along the model to close gaps. An engine that gives up layers loads nothing
	// until the streams through them have ended, so an empty engine closes a gap
	// sooner.
	Move map[ids.Zone]bool
	// groupFraction is the fraction of a card's memory that weights may take in the
	// group being planned.
	groupFraction float64
	// fromBack assigns further copies from the last layer backwards once the first
	// layer has a second engine. Zones alternate, so that the layers with a single
	// copy differ between zones.
	fromBack bool
}

// CompleteZones reports for each zone whether its engines hold every layer,
// counting pending orders as carried out.
func CompleteZones(m *layered.Model, engines []Engine) map[ids.Zone]bool {
	byZone := make(map[ids.Zone][]Engine)
	for _, e := range engines {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	complete := make(map[ids.Zone]bool, len(byZone))
	for zone, members := range byZone {
		complete[zone] = len(findGaps(coverage(m, members))) == 0
	}
	return complete
}

// Plan returns the orders for a model's engines, at most one for each. The result
// does not depend on the order of the engines.
func Plan(m *layered.Model, engines []Engine, o Options) []Order {
	var orders []Order
	for i, group := range groups(m, engines) {
		o.fromBack = i%2 == 1
		usual := o.WeightFraction
		if usual <= 0 || usual > 1 {
			usual = usualFraction(m, group)
		}
		o.groupFraction = fittingFraction(m, group, usual)
		orders = append(orders, planGroup(m, group, o)...)
	}
	return orders
}

const (
	// maxWeightFractionIncrease limits how far a group's weight fraction may rise above
	// the usual one to make its first chain faster: one more layer on each card can
	// save a stage. The search goes in steps of weightFractionIncreaseStep.
	maxWeightFractionIncrease  = 0.08
	weightFractionIncreaseStep = 0.01
	// minTimeSavingPerStep is the fraction of the first chain's time that each step must
	// save, because each step takes KV cache from requests.
	minTimeSavingPerStep = 0.02
)

// planGroup returns the orders for the engines of one group. If none of them holds
// layers yet, it picks the weight fraction with the fastest first chain.
func planGroup(m *layered.Model, engines []Engine, o Options) []Order {
	best := planWithFraction(m, engines, o)
	if slices.ContainsFunc(engines, func(e Engine) bool { return !e.Holds.Empty() }) {
		return best
	}
	usual := firstChainMs(m, engines, best)
	bestMs := usual
	maxFraction := minReserveOptions(m).groupFraction
	for step := 1; float64(step)*weightFractionIncreaseStep <= maxWeightFractionIncrease; step++ {
		wider := o
		wider.groupFraction += float64(step) * weightFractionIncreaseStep
		if wider.groupFraction > maxFraction {
			break
		}
		orders := planWithFraction(m, engines, wider)
		ms := firstChainMs(m, engines, orders) + usual*minTimeSavingPerStep*float64(step)
		if ms < bestMs {
			best, bestMs = orders, ms
		}
	}
	return best
}

// firstChainMs returns the time of a pass through the first complete chain of a
// plan, in ms, with the wait at each stage. The chain consists of the leading
// orders that tile the model; the result is +Inf if they do not reach the last
// layer.
func firstChainMs(m *layered.Model, engines []Engine, orders []Order) float64 {
	cards := make(map[ids.Instance]layered.Card, len(engines))
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

// planWithFraction returns the orders for the engines of one group with the weight
// fraction o.groupFraction.
func planWithFraction(m *layered.Model, engines []Engine, o Options) []Order {
	covered := coverage(m, engines)
	var orders []Order
	for _, e := range engines {
		if e.Fixed || !e.Holds.Empty() {
			continue
		}
		layers := pickForward(covered, capacity(m, e, o))
		if o.fromBack && len(covered) > 0 && slices.Min(covered) > 0 && covered[0] > 1 {
			layers = pickBackward(covered, capacity(m, e, o))
		}
		if layers.Empty() {
			continue
		}
		addToRange(covered, layers, 1)
		orders = append(orders, Order{Engine: e.ID, Layers: layers})
	}
	engines = slices.Clone(engines)
	orders = append(orders, extendNeighbours(m, engines, covered)...)
	if len(engines) == 0 || len(covered) == 0 {
		return orders
	}
	if len(findGaps(covered)) > 0 && allZonesIn(o.Reassign, engines) {
		orders = append(orders, reassign(m, engines, covered, o)...)
	}
	switch {
	case len(orders) > 0:
		return orders
	case len(findGaps(covered)) == 0:
		return trim(m, engines, o)
	case allZonesIn(o.Move, engines):
		return repair(m, engines)
	}
	return nil
}

// allZonesIn reports whether the set contains the zones of all engines.
func allZonesIn(zones map[ids.Zone]bool, engines []Engine) bool {
	return !slices.ContainsFunc(engines, func(e Engine) bool { return !zones[e.Zone] })
}

// coverage counts for each layer the engines that hold it once pending orders are
// carried out.
func coverage(m *layered.Model, engines []Engine) []int {
	return countEnginesByLayer(m, engines, Engine.heldAfterOrder)
}

// retainedCoverage counts for each layer the engines that hold it and keep it through pending
// orders.
func retainedCoverage(m *layered.Model, engines []Engine) []int {
	return countEnginesByLayer(m, engines, Engine.retained)
}

// countEnginesByLayer counts for each layer the engines whose range contains it.
func countEnginesByLayer(m *layered.Model, engines []Engine, rangeOf func(Engine) layered.Range) []int {
	counts := make([]int, max(m.Layers, 0))
	for _, e := range engines {
		addToRange(counts, rangeOf(e), 1)
	}
	return counts
}

// addToRange adds by to the count of each layer of the range. Layers outside the
// model are ignored.
func addToRange(covered []int, r layered.Range, by int) {
	for i := max(r.From, 0); i < min(r.To, len(covered)); i++ {
		covered[i] += by
	}
}

// capacity returns the most layers that the engine may hold with the weight
// fraction o.groupFraction; 0 if its card is unknown.
func capacity(m *layered.Model, e Engine, o Options) int {
	card, known := m.Cards[e.Card]
	if !known || m.LayerMB <= 0 {
		return 0
	}
	layers := int(card.MemoryMB * o.groupFraction / m.LayerMB)
	return min(layers, m.Layers)
}

// pickForward returns a range of at most size layers: it starts at the first of the
// least covered layers and ends before the next layer with more coverage.
func pickForward(covered []int, size int) layered.Range {
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

// pickBackward is pickForward from the last layer backwards.
func pickBackward(covered []int, size int) layered.Range {
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

// extendNeighbours closes gaps by extending the ranges of the engines next to them,
// which go on serving the layers they hold. It returns the orders for the gaps that
// can be closed completely, and marks the engines as fixed so that none gets a
// second order.
func extendNeighbours(m *layered.Model, engines []Engine, covered []int) []Order {
	var orders []Order
	for _, gap := range findGaps(covered) {
		left, leftMost := bestNeighbour(m, engines, func(e Engine) bool { return e.Holds.To == gap.From })
		right, rightMost := bestNeighbour(m, engines, func(e Engine) bool { return e.Holds.From == gap.To })
		if leftMost+rightMost < gap.Len() {
			continue
		}
		fromLeft := min(leftMost, gap.Len())
		if rightMost >= gap.Len() && rightMost > leftMost {
			fromLeft = 0
		}
		if fromLeft > 0 {
			orders = append(orders, Order{Engine: left.ID, Layers: layered.Range{From: left.Holds.From, To: gap.From + fromLeft}})
			left.Fixed = true
		}
		if fromLeft < gap.Len() {
			orders = append(orders, Order{Engine: right.ID, Layers: layered.Range{From: gap.From + fromLeft, To: right.Holds.To}})
			right.Fixed = true
		}
		addToRange(covered, gap, 1)
	}
	return orders
}

// findGaps returns the ranges of layers that no engine holds.
func findGaps(covered []int) []layered.Range {
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

// bestNeighbour returns the engine with the most spare capacity among those that
// fit, and that capacity in layers; nil and 0 if there is none.
func bestNeighbour(m *layered.Model, engines []Engine, fits func(Engine) bool) (best *Engine, maxSpare int) {
	for i := range engines {
		e := &engines[i]
		if e.Fixed || e.Holds.Empty() || !fits(*e) {
			continue
		}
		if spare := capacity(m, *e, repairOptions(m)) - e.Holds.Len(); spare > maxSpare {
			best, maxSpare = e, spare
		}
	}
	return best, maxSpare
}
