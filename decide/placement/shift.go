package placement

import (
	"slices"

	"mimosaarch.example/core/layered"
)

// reassign has engines whose layers others of the zone serve too load those that none
// holds. It is the quickest filling beside empty engines: one load, after the streams
// that pass through the engine have ended.
func reassign(m *layered.Model, engines []Engine, covered []int, o Options) []Order {
	serving := served(m, engines)
	var orders []Order
	for _, e := range slices.Backward(engines) {
		if e.Fixed || e.Holds.Empty() || !spared(serving, e.Holds) {
			continue
		}
		layers := pick(covered, capacity(m, e, o))
		if layers.Empty() || covered[layers.From] > 0 {
			break
		}
		add(covered, e.Holds, -1)
		add(serving, e.Holds, -1)
		add(covered, layers, 1)
		orders = append(orders, Order{Engine: e.ID, Layers: layers})
	}
	return orders
}

// spared reports whether another engine serves every layer of a range too.
func spared(serving []int, r layered.Range) bool {
	return sparedFrom(serving, r, r.Len()) == r.Len()
}

// shift gives the next orders by which the engines of a zone come to hold every layer
// again, in the cheapest way. It answers a zone that lost an engine for good, whose
// neighbours cannot fill the hole alone: engines whose layers their neighbours take over
// go there, and others move along the model by some layers each. It gives nothing if they
// do not suffice.
//
// Each order first loads what its engine has room for beside its layers, and gives up
// only what others serve by then, so that it takes several rounds. It leaves the usual
// room for requests where that suffices, and little where it does not.
func shift(m *layered.Model, engines []Engine) []Order {
	room := widest(m)
	if along, last := relocating(m, engines, room); last != nil {
		if orders := steps(m, along, last, room); len(orders) > 0 || slices.ContainsFunc(engines, Engine.underWay) {
			return orders
		}
	}
	along := alongModel(engines)
	for _, room := range []Options{room, fullest(m)} {
		// Without the cost of streams that end, for engines that wait for each other.
		for _, ending := range []int{endingLayers(m, along), 0} {
			last := tiling(m, along, room, ending)
			if orders := steps(m, along, last, room); last.missing == 0 && len(orders) > 0 {
				return orders
			}
		}
	}
	return nil
}

// steps gives the next orders on the way to a tiling.
func steps(m *layered.Model, along []Engine, last *tile, room Options) []Order {
	serving := served(m, along)
	var orders []Order
	for _, goal := range ordersOf(m, along, last, room) {
		e := along[slices.IndexFunc(along, func(e Engine) bool { return e.ID == goal.Engine })]
		next := towards(e.Holds, goal.Layers, capacity(m, e, room), serving)
		if next == e.Holds {
			continue
		}
		add(serving, e.Holds, -1)
		add(serving, e.Holds.Intersect(next), 1)
		orders = append(orders, Order{Engine: e.ID, Layers: next})
	}
	return orders
}

// towards gives what an engine is to hold next on its way to a goal: more while it has
// room for most layers, then what takes the place of layers at the far end that others
// serve too; a goal apart from its layers once others serve all of these. It gives what
// the engine holds if none of it is possible.
func towards(holds, goal layered.Range, most int, serving []int) layered.Range {
	next := holds
	switch {
	case goal.From > holds.To || goal.To < holds.From:
		if spared(serving, holds) {
			next = goal
		}
	case goal.To > holds.To:
		if holds.Len() >= most {
			next.From += sparedFrom(serving, holds, goal.From-holds.From)
		}
		next.To = min(goal.To, next.From+most)
	case goal.From < holds.From:
		if holds.Len() >= most {
			next.To -= sparedTo(serving, holds, holds.To-goal.To)
		}
		next.From = max(goal.From, next.To-most)
	}
	if holds.Covers(next) {
		return holds
	}
	return next
}

// sparedFrom counts the layers at the low end of an engine's range that another engine
// serves too, most at most.
func sparedFrom(serving []int, r layered.Range, most int) int {
	n := 0
	for n < min(most, r.Len()) && needless(serving, r.From+n) {
		n++
	}
	return n
}

// sparedTo is sparedFrom for the high end.
func sparedTo(serving []int, r layered.Range, most int) int {
	n := 0
	for n < min(most, r.Len()) && needless(serving, r.To-1-n) {
		n++
	}
	return n
}

// needless reports whether one of the engines that serve a layer may give it up. The
// model has none beyond its last: an entry may name such a layer.
func needless(serving []int, layer int) bool {
	return layer < 0 || layer >= len(serving) || serving[layer] > 1
}
