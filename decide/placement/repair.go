package placement

import (
	"slices"

	"mimosaarch.example/core/layered"
)

// reassign tells engines whose layers are all served by others of the zone to hold
// missing layers instead. After empty engines this is the quickest way to close a
// gap: it takes one load, after the streams through the engine have ended.
func reassign(m *layered.Model, engines []Engine, covered []int, o Options) []Order {
	serving := retainedCoverage(m, engines)
	var orders []Order
	for _, e := range slices.Backward(engines) {
		if e.Fixed || e.Holds.Empty() || !isRedundant(serving, e.Holds) {
			continue
		}
		layers := pickForward(covered, capacity(m, e, o))
		if layers.Empty() || covered[layers.From] > 0 {
			break
		}
		addToRange(covered, e.Holds, -1)
		addToRange(serving, e.Holds, -1)
		addToRange(covered, layers, 1)
		orders = append(orders, Order{Engine: e.ID, Layers: layers})
	}
	return orders
}

// isRedundant reports whether every layer of the range is served by another engine
// too.
func isRedundant(serving []int, r layered.Range) bool {
	return redundantAtStart(serving, r, r.Len()) == r.Len()
}

// repair returns the next orders on the cheapest way to cover every layer again. It
// is for zones that lost an engine permanently and whose neighbours cannot close the
// gap by themselves: engines whose layers their neighbours can take over move to
// the gap, and others shift their range along the model. It returns nil if the
// engines do not suffice.
//
// An order first adds layers that the engine has memory for and gives up only
// layers that others serve by then, so a repair takes several rounds. It leaves KV
// cache for repairReserveStreams requests if that suffices, and else for minReserveStreams.
func repair(m *layered.Model, engines []Engine) []Order {
	opts := repairOptions(m)
	if ordered, last := tilingWithRelocation(m, engines, opts); last != nil {
		if orders := nextOrders(m, ordered, last, opts); len(orders) > 0 || slices.ContainsFunc(engines, Engine.hasPendingOrder) {
			return orders
		}
	}
	ordered := inModelOrder(engines)
	for _, opts := range []Options{opts, minReserveOptions(m)} {
		// The second try ignores the cost of draining, which can keep engines
		// waiting for each other.
		for _, drainCost := range []int{drainCostOf(m, ordered), 0} {
			last := cheapestTiling(m, ordered, opts, drainCost)
			if orders := nextOrders(m, ordered, last, opts); last.missing == 0 && len(orders) > 0 {
				return orders
			}
		}
	}
	return nil
}

// nextOrders returns the next orders on the way to a tiling.
func nextOrders(m *layered.Model, ordered []Engine, last *segment, opts Options) []Order {
	serving := retainedCoverage(m, ordered)
	var orders []Order
	for _, goal := range tilingOrders(m, ordered, last, opts) {
		e := ordered[slices.IndexFunc(ordered, func(e Engine) bool { return e.ID == goal.Engine })]
		next := nextRange(e.Holds, goal.Layers, capacity(m, e, opts), serving)
		if next == e.Holds {
			continue
		}
		addToRange(serving, e.Holds, -1)
		addToRange(serving, e.Holds.Intersect(next), 1)
		orders = append(orders, Order{Engine: e.ID, Layers: next})
	}
	return orders
}

// nextRange returns what an engine is to hold next on its way to goal. It extends
// its range towards the goal up to maxLayers; once it is full, it replaces
// redundant layers at its far end. If the goal does not touch its range, it moves
// there once all its layers are redundant. It returns holds if no step is possible
// yet.
func nextRange(holds, goal layered.Range, maxLayers int, serving []int) layered.Range {
	next := holds
	switch {
	case goal.From > holds.To || goal.To < holds.From:
		if isRedundant(serving, holds) {
			next = goal
		}
	case goal.To > holds.To:
		if holds.Len() >= maxLayers {
			next.From += redundantAtStart(serving, holds, goal.From-holds.From)
		}
		next.To = min(goal.To, next.From+maxLayers)
	case goal.From < holds.From:
		if holds.Len() >= maxLayers {
			next.To -= redundantAtEnd(serving, holds, holds.To-goal.To)
		}
		next.From = max(goal.From, next.To-maxLayers)
	}
	if holds.Covers(next) {
		return holds
	}
	return next
}

// redundantAtStart counts the consecutive redundant layers at the start of the
// range, up to limit.
func redundantAtStart(serving []int, r layered.Range, limit int) int {
	n := 0
	for n < min(limit, r.Len()) && isRedundantLayer(serving, r.From+n) {
		n++
	}
	return n
}

// redundantAtEnd is redundantAtStart for the end of the range.
func redundantAtEnd(serving []int, r layered.Range, limit int) int {
	n := 0
	for n < min(limit, r.Len()) && isRedundantLayer(serving, r.To-1-n) {
		n++
	}
	return n
}

// isRedundantLayer reports whether a layer is served by another engine too. Layers
// outside the model, which a directory entry may name, count as redundant.
func isRedundantLayer(serving []int, layer int) bool {
	return layer < 0 || layer >= len(serving) || serving[layer] > 1
}
