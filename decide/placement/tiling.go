package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

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
	// missing counts the layers before its end that no engine runs.
	missing int
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

// tiling finds the cheapest way to run each layer once by engines in the order in which
// they lie along the model; it leaves layers out where there is none. Each engine that gives
// up layers costs ending.
func tiling(m *layered.Model, along []Engine, o Options, ending int) *tile {
	// A layer that nobody runs costs more than any way to run it.
	missing := 1 + len(along)*(m.Layers+orderLayers+ending)
	best := make([]*tile, m.Layers+1)
	best[0] = &tile{engine: -1}
	withMissing(best, missing)
	for i, e := range along {
		next := slices.Clone(best)
		most := capacity(m, e, o)
		for from, before := range best {
			for to := from + 1; to <= min(from+max(most, e.will().Len()), m.Layers); to++ {
				cost := stretchCost(e, layered.Range{From: from, To: to}, most, ending)
				if cost == math.MaxInt {
					continue
				}
				if cost += before.cost; cost < next[to].cost {
					next[to] = &tile{cost: cost, missing: before.missing, engine: i, from: from, before: before}
				}
			}
		}
		withMissing(next, missing)
		best = next
	}
	return best[m.Layers]
}

// withMissing adds to the ways up to each layer those that leave the last one out, at a cost.
func withMissing(best []*tile, missing int) {
	for to := 1; to < len(best); to++ {
		before := best[to-1]
		if cost := before.cost + missing; best[to] == nil || cost < best[to].cost {
			best[to] = &tile{cost: cost, missing: before.missing + 1, engine: -1, from: to - 1, before: before}
		}
	}
}

// stretchCost is what it costs that an engine runs a stretch, in layers loaded;
// math.MaxInt if it cannot. One that carries out an order can get another after it.
// It costs ending more if the engine gives up layers for it.
func stretchCost(e Engine, r layered.Range, most, ending int) int {
	held := e.will()
	if held.Covers(r) {
		return 0
	}
	if r.Len() > most || e.Fixed && !e.underWay() {
		return math.MaxInt
	}
	cost := r.Len() - held.Intersect(r).Len()
	if !e.underWay() {
		cost += orderLayers
	}
	if !keepMore(held, r, most).Covers(held) {
		cost += ending
	}
	return cost
}

// endingLayers gives the time in which the streams that pass through an engine end, in
// layers loaded: an engine that gives up layers loads no others before. That is the time of
// a usual answer on a chain of the engines.
func endingLayers(m *layered.Model, along []Engine) int {
	if m.LoadSeconds <= 0 {
		return 0
	}
	passMs := 0.0
	for _, e := range along {
		passMs += m.PassMs(m.Cards[e.Card], e.will().Len(), fewStreams, m.MeanPromptTokens+m.MeanOutputTokens)
	}
	answer := time.Duration(m.MeanOutputTokens / float64(max(m.StepsPerPass, 1)) * passMs * float64(time.Millisecond))
	return int(answer.Seconds() / m.LoadSeconds * float64(m.Layers))
}

// ordersOf gives the orders of a tiling that may be given now, which keep what there is
// room for.
func ordersOf(m *layered.Model, along []Engine, last *tile, room Options) []Order {
	var orders []Order
	to := m.Layers
	for t := last; t.before != nil; t = t.before {
		r := layered.Range{From: t.from, To: to}
		to = t.from
		if t.engine < 0 {
			continue
		}
		e := along[t.engine]
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
