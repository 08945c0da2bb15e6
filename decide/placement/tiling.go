package placement

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/layered"
)

// Costs of a tiling.
const (
	// orderCostLayers is the cost of an order, as a number of layers loaded, so that few
	// engines change: the layers that an engine gives up must first be loaded by
	// another.
	orderCostLayers = 2
)

// segment is a range of layers that one engine runs in a tiling, or that no engine
// runs. It ends where the next segment begins.
type segment struct {
	cost int
	// missing counts the layers up to the segment's end that no engine runs.
	missing int
	// engine is the engine's index, -1 for none; from is the first layer.
	engine, from int
	// prev is the segment that ends where this one begins.
	prev *segment
}

// inModelOrder returns the engines that hold layers, or will after a pending order,
// sorted by the middle of their range.
func inModelOrder(engines []Engine) []Engine {
	ordered := slices.Clone(engines)
	ordered = slices.DeleteFunc(ordered, func(e Engine) bool { return e.heldAfterOrder().Empty() })
	slices.SortStableFunc(ordered, func(a, b Engine) int {
		return cmp.Compare(a.heldAfterOrder().From+a.heldAfterOrder().To, b.heldAfterOrder().From+b.heldAfterOrder().To)
	})
	return ordered
}

// cheapestTiling finds the cheapest way to run each layer exactly once, with the
// engines in the given order, and returns the last segment. It leaves out layers
// that no engine can run. Giving up layers costs an engine drainCost.
func cheapestTiling(m *layered.Model, ordered []Engine, o Options, drainCost int) *segment {
	return newTilings(m, ordered, o, drainCost).last()
}

// drainCostOf returns drainTime as the number of layers that could be loaded meanwhile.
func drainCostOf(m *layered.Model, ordered []Engine) int {
	if m.LoadSeconds <= 0 {
		return 0
	}
	return int(drainTime(m, ordered).Seconds() / m.LoadSeconds * float64(m.Layers))
}

// drainTime returns the time until the streams through an engine end: an engine that
// gives up layers loads no others before that. The time is that of a mean answer on a
// chain of the engines.
func drainTime(m *layered.Model, ordered []Engine) time.Duration {
	passMs := 0.0
	for _, e := range ordered {
		passMs += m.PassMs(m.Cards[e.Card], e.heldAfterOrder().Len(), repairReserveStreams, m.MeanPromptTokens+m.MeanOutputTokens)
	}
	return time.Duration(m.MeanOutputTokens / float64(max(m.StepsPerPass, 1)) * passMs * float64(time.Millisecond))
}

// tilingOrders returns the orders of a tiling that can be given now. Each engine
// keeps as many of the layers it holds as it has memory for.
func tilingOrders(m *layered.Model, ordered []Engine, last *segment, opts Options) []Order {
	var orders []Order
	to := m.Layers
	for t := last; t.prev != nil; t = t.prev {
		r := layered.Range{From: t.from, To: to}
		to = t.from
		if t.engine < 0 {
			continue
		}
		e := ordered[t.engine]
		if e.heldAfterOrder().Covers(r) || e.Fixed {
			continue
		}
		layers := keepHeld(e.Holds, r, capacity(m, e, opts))
		orders = append(orders, Order{Engine: e.ID, Layers: layers})
	}
	slices.Reverse(orders)
	return orders
}

// keepHeld extends the range towards what the engine holds, up to maxLayers.
func keepHeld(holds, r layered.Range, maxLayers int) layered.Range {
	if holds.To < r.From || holds.From > r.To {
		return r
	}
	left := min(max(r.From-holds.From, 0), maxLayers-r.Len())
	r.From -= max(left, 0)
	right := min(max(holds.To-r.To, 0), maxLayers-r.Len())
	r.To += max(right, 0)
	return r
}

// trim returns an order for one engine of a complete zone that holds more layers
// than usual: it gives up layers at the ends of its range that others serve too,
// which frees memory for KV cache. Engines that still load layers to take over do
// not count as serving them.
func trim(m *layered.Model, engines []Engine, o Options) []Order {
	o.groupFraction += maxWeightFractionIncrease
	// Fixed engines may still be loading the layers that they were ordered to hold.
	covered := coverage(m, slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Fixed }))
	for _, e := range engines {
		over := e.Holds.Len() - capacity(m, e, o)
		if e.Fixed || over <= 0 {
			continue
		}
		left := redundantAtStart(covered, e.Holds, e.Holds.Len())
		right := redundantAtEnd(covered, e.Holds, e.Holds.Len()-left)
		r := e.Holds
		r.From += min(left, over)
		r.To -= min(right, over-min(left, over))
		if r != e.Holds {
			return []Order{{Engine: e.ID, Layers: r}}
		}
	}
	return nil
}
