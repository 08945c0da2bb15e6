package placement

import (
	"cmp"
	"math"
	"slices"

	"mimosaarch.example/core/layered"
)

// Bounds of a new tiling.
const (
	// orderLayers is the cost of an order in layers loaded, so that few engines
	// change: each serves nothing new in the layers that it gives up until another
	// has loaded them.
	orderLayers = 2
)

// tile is a stretch of the model that one engine runs in a new tiling.
type tile struct {
	cost int
	// engine is an index, -1 for none; from is where its stretch begins.
	engine, from int
	// before is the stretch that ends where this one begins.
	before *tile
}

// alongModel gives the engines with layers in the order of these.
func alongModel(engines []Engine) []Engine {
	along := slices.Clone(engines)
	along = slices.DeleteFunc(along, func(e Engine) bool { return e.will().Empty() })
	slices.SortStableFunc(along, func(a, b Engine) int {
		return cmp.Compare(a.will().From+a.will().To, b.will().From+b.will().To)
	})
	return along
}

// tiling finds the cheapest way to run every layer once by engines in the order
// in which they lie along the model; nil if there is none.
func tiling(m *layered.Model, along []Engine, o Options) *tile {
	best := make([]*tile, m.Layers+1)
	best[0] = &tile{engine: -1}
	for i, e := range along {
		next := slices.Clone(best)
		most := capacity(m, e, o)
		for from, before := range best {
			if before == nil {
				continue
			}
			for to := from + 1; to <= min(from+max(most, e.will().Len()), m.Layers); to++ {
				cost := stretchCost(e, layered.Range{From: from, To: to}, most)
				if cost == math.MaxInt {
					continue
				}
				if cost += before.cost; next[to] == nil || cost < next[to].cost {
					next[to] = &tile{cost: cost, engine: i, from: from, before: before}
				}
			}
		}
		best = next
	}
	return best[m.Layers]
}

// stretchCost is what it costs that an engine runs a stretch, in layers loaded;
// math.MaxInt if it cannot. One that carries out an order can get another after it.
func stretchCost(e Engine, r layered.Range, most int) int {
	if e.will().Covers(r) {
		return 0
	}
	if r.Len() > most || e.Fixed && !e.underWay() {
		return math.MaxInt
	}
	cost := r.Len() - e.will().Common(r).Len()
	if !e.underWay() {
		cost += orderLayers
	}
	return cost
}

// ordersOf gives the orders of a tiling that may be given now, which keep what there is
// room for.
func ordersOf(m *layered.Model, along []Engine, last *tile, room Options) []Order {
	var orders []Order
	to := m.Layers
	for t := last; t.engine >= 0; t = t.before {
		e := along[t.engine]
		r := layered.Range{From: t.from, To: to}
		to = t.from
		if e.will().Covers(r) || e.Fixed {
			continue
		}
		layers := keepMore(e.Holds, r, capacity(m, e, room))
		orders = append(orders, Order{Engine: e.ID, Layers: layers})
	}
	slices.Reverse(orders)
	return orders
}

// keepMore widens a range towards what an engine holds, as far as it may hold so
// many layers.
func keepMore(holds, r layered.Range, most int) layered.Range {
	if holds.To < r.From || holds.From > r.To {
		return r
	}
	left := min(max(r.From-holds.From, 0), most-r.Len())
	r.From -= max(left, 0)
	right := min(max(holds.To-r.To, 0), most-r.Len())
	r.To += max(right, 0)
	return r
}

// trim gives the order by which an engine of a whole zone that holds more than
// usual gives up layers which others there hold too, so that it has room for
// requests again. Engines that take over layers keep their own meanwhile, as far as
// their memory allows.
func trim(m *layered.Model, engines []Engine, o Options) []Order {
	o.part += stretch
	// Engines under way do not hold yet what they were told.
	covered := coverage(m, slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Fixed }))
	for _, e := range engines {
		over := e.Holds.Len() - capacity(m, e, o)
		if e.Fixed || over <= 0 {
			continue
		}
		left := sparedFrom(covered, e.Holds, e.Holds.Len())
		right := sparedTo(covered, e.Holds, e.Holds.Len()-left)
		r := e.Holds
		r.From += min(left, over)
		r.To -= min(right, over-min(left, over))
		if r != e.Holds {
			return []Order{{Engine: e.ID, Layers: r}}
		}
	}
	return nil
}
