package placement

import (
	"slices"
	"time"

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

// minDrainsSaved is the number of drains that a repair must take less to use the
// memory of repairReserveStreams requests: engines with less KV cache take fewer
// requests long after the repair.
const minDrainsSaved = 1.5

// repair returns the next orders on the fastest way to cover every layer again. It
// is for zones that lost an engine permanently and whose neighbours cannot close the
// gap by themselves: engines whose layers their neighbours can take over move to
// the gap, and others shift their range along the model. It returns nil if the
// engines do not suffice.
//
// An order first adds layers that the engine has memory for and gives up only
// layers that others serve by then, so a repair takes several rounds. A full engine
// waits until the next one has drained and loaded the layers that it gives up, so
// a row of full engines drains one after the other. With more memory they move at
// the same time: a repair leaves KV cache for repairReserveStreams requests unless
// one that leaves it for minReserveStreams takes minDrainsSaved drains less.
func repair(m *layered.Model, engines []Engine) []Order {
	drain := drainTime(m, inModelOrder(engines))
	minSaving := time.Duration(minDrainsSaved * float64(drain))
	best, bestTime := fastest(m, completeGoals(m, engines, repairOptions(m)), drain)
	if bestTime > minSaving {
		g, t := fastest(m, completeGoals(m, engines, minReserveOptions(m)), drain)
		if t < bestTime-minSaving {
			best, bestTime = g, t
		}
	}
	if bestTime == neverComplete {
		return nil
	}
	return nextOrders(m, best.ordered, best.last, best.opts)
}

// fastest returns the goal that is reached first, and when.
func fastest(m *layered.Model, goals []goal, drain time.Duration) (best goal, bestTime time.Duration) {
	bestTime = neverComplete
	for _, g := range goals {
		if t := g.completionTime(m, drain); t < bestTime {
			best, bestTime = g, t
		}
	}
	return best, bestTime
}

// completeGoals returns goals within the options' memory that cover every layer.
func completeGoals(m *layered.Model, engines []Engine, opts Options) []goal {
	var goals []goal
	if ordered, last := tilingWithRelocation(m, engines, opts); last != nil {
		goals = append(goals, goal{ordered, last, opts})
	}
	ordered := inModelOrder(engines)
	// The cost of draining can keep engines waiting for each other.
	for _, drainCost := range []int{drainCostOf(m, ordered), 0} {
		if last := cheapestTiling(m, ordered, opts, drainCost); last.missing == 0 {
			goals = append(goals, goal{ordered, last, opts})
		}
	}
	return goals
}

// nextOrders returns the next orders on the way to a tiling.
func nextOrders(m *layered.Model, ordered []Engine, last *segment, opts Options) []Order {
	serving := retainedCoverage(m, ordered)
	var orders []Order
	for _, target := range tilingOrders(m, ordered, last, opts) {
		e := ordered[slices.IndexFunc(ordered, func(e Engine) bool { return e.ID == target.Engine })]
		next := nextRange(e.Holds, target.Layers, capacity(m, e, opts), serving)
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
