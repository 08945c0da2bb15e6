package placement

import (
	"slices"

	"mimosaarch.example/core/layered"
)

// Values of tilingRow.from that are no first layer of a segment.
const (
	// unused means that the tiling is that of the row before.
	unused = -1
	// gap means that no engine runs the last layer.
	gap = -2
)

// tilingRow holds the cheapest tilings of the first layers of a model with the first engines of an
// order: for each number of layers the cost, and the first layer of the segment that the last of
// these engines runs, or unused or gap.
type tilingRow struct {
	cost []int
	from []int32
}

// newTilingRow returns a row for a number of layers.
func newTilingRow(layers int) tilingRow {
	return tilingRow{cost: make([]int, layers+1), from: make([]int32, layers+1)}
}

// tilings holds the cheapest tilings of a model with the engines in one order. The row at an index
// is that of as many engines.
type tilings struct {
	model     *layered.Model
	opts      Options
	drainCost int
	// missing is the cost of a layer that no engine runs, more than any way to run it.
	missing int
	ordered []Engine
	rows    []tilingRow
}

// newTilings finds the cheapest tilings with the engines in the given order.
func newTilings(m *layered.Model, ordered []Engine, o Options, drainCost int) *tilings {
	t := &tilings{model: m, opts: o, drainCost: drainCost, missing: 1 + len(ordered)*(m.Layers+orderCostLayers+drainCost), ordered: ordered}
	first := newTilingRow(m.Layers)
	for to := 1; to <= m.Layers; to++ {
		first.cost[to], first.from[to] = to*t.missing, gap
	}
	t.rows = append(t.rows, first)
	for range ordered {
		t.rows = append(t.rows, newTilingRow(m.Layers))
	}
	t.solveFrom(0)
	return t
}

// reordered returns the tilings with the same engines in another order. It shares the rows up to
// the first difference with t. The others are written into rows, one for each engine and one
// more, which must not be part of tilings that are still in use.
func (t *tilings) reordered(ordered []Engine, rows []tilingRow) *tilings {
	same := 0
	for same < len(ordered) && ordered[same].ID == t.ordered[same].ID {
		same++
	}
	r := &tilings{model: t.model, opts: t.opts, drainCost: t.drainCost, missing: t.missing, ordered: ordered}
	r.rows = slices.Concat(t.rows[:same+1], rows[same+1:])
	r.solveFrom(same)
	return r
}

// newRows returns rows for the tilings with the same engines in another order.
func (t *tilings) newRows() []tilingRow {
	rows := make([]tilingRow, len(t.rows))
	for i := range rows {
		rows[i] = newTilingRow(t.model.Layers)
	}
	return rows
}

// solveFrom computes the rows after that of some engines.
func (t *tilings) solveFrom(engines int) {
	for i := engines; i < len(t.ordered); i++ {
		t.solve(t.rows[i], t.rows[i+1], t.ordered[i])
	}
}

// solve computes the row after prev, with one engine more.
func (t *tilings) solve(prev, next tilingRow, e Engine) {
	copy(next.cost, prev.cost)
	for i := range next.from {
		next.from[i] = unused
	}
	costs := newSegmentCosts(t.model, e, t.opts, t.drainCost)
	for from, before := range prev.cost {
		for to := from + 1; to <= min(from+costs.longest, t.model.Layers); to++ {
			if before >= next.cost[to] {
				continue
			}
			cost, possible := costs.of(from, to)
			if possible && before+cost < next.cost[to] {
				next.cost[to], next.from[to] = before+cost, int32(from)
			}
		}
	}
	for to := 1; to < len(next.cost); to++ {
		if cost := next.cost[to-1] + t.missing; cost < next.cost[to] {
			next.cost[to], next.from[to] = cost, gap
		}
	}
}

// cost returns the cost of the cheapest tiling of all layers.
func (t *tilings) cost() int { return t.rows[len(t.ordered)].cost[t.model.Layers] }

// last returns the last segment of the cheapest tiling of all layers.
func (t *tilings) last() *segment {
	var reversed []segment
	engines, to := len(t.ordered), t.model.Layers
	for to > 0 {
		row := t.rows[engines]
		switch from := int(row.from[to]); from {
		case unused:
			engines--
		case gap:
			to--
			reversed = append(reversed, segment{engine: -1, from: to})
		default:
			engines, to = engines-1, from
			reversed = append(reversed, segment{engine: engines, from: from})
		}
	}
	last := &segment{engine: -1}
	for _, s := range slices.Backward(reversed) {
		s.prev, s.missing = last, last.missing
		if s.engine < 0 {
			s.missing++
		}
		last = &s
	}
	last.cost = t.cost()
	return last
}

// segmentCosts computes the cost for one engine to run a range, as a number of layers loaded.
type segmentCosts struct {
	held layered.Range
	// maxLayers is the engine's capacity, and longest the length of the longest range that it can
	// run.
	maxLayers, longest int
	// order is the cost of an order, and drain that of giving up layers.
	order, drain int
	// fixed is true if the engine can run only what it holds.
	fixed bool
}

// newSegmentCosts returns the costs of an engine. An engine with a pending order can get another
// one afterwards.
func newSegmentCosts(m *layered.Model, e Engine, o Options, drainCost int) segmentCosts {
	c := segmentCosts{held: e.heldAfterOrder(), maxLayers: capacity(m, e, o), drain: drainCost}
	c.longest = max(c.maxLayers, c.held.Len())
	if !e.hasPendingOrder() {
		c.order, c.fixed = orderCostLayers, e.Fixed
	}
	return c
}

// of returns the cost of the range from one layer to another, and whether the engine can run it.
func (c *segmentCosts) of(from, to int) (cost int, possible bool) {
	first, last := max(from, c.held.From), min(to, c.held.To)
	if first == from && last == to {
		return 0, true
	}
	if c.fixed || to-from > c.maxLayers {
		return 0, false
	}
	cost = to - from - max(last-first, 0) + c.order
	// The engine keeps what it holds if both ranges touch and it has memory for all of it.
	if first > last || max(to, c.held.To)-min(from, c.held.From) > c.maxLayers {
		cost += c.drain
	}
	return cost, true
}
