package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/layered"
)

const (
	// neverComplete is the completion time of a goal that orders do not reach.
	neverComplete = time.Duration(math.MaxInt64)
	// maxOrdersPerEngine limits the orders of a simulated schedule.
	maxOrdersPerEngine = 16
)

// goal is a tiling that a group of engines is to reach, and the memory that the
// engines may use for weights on the way.
type goal struct {
	// ordered are the engines in the order of their segments.
	ordered []Engine
	// last is the last segment of the tiling.
	last *segment
	opts Options
}

// execution is an order that an engine is carrying out in a simulated schedule.
type execution struct {
	// engine is the index of the engine in goal.ordered.
	engine int
	doneAt time.Duration
}

// completionTime returns the time until the engines hold every layer if each order on
// the way to the goal is given as soon as possible. drain is the time until the
// streams through an engine that gives up layers have ended.
func (g goal) completionTime(m *layered.Model, drain time.Duration) time.Duration {
	g.ordered = slices.Clone(g.ordered)
	running := g.start(m, drain)
	now := time.Duration(0)
	for range maxOrdersPerEngine * len(g.ordered) {
		if len(findGaps(retainedCoverage(m, g.ordered))) == 0 {
			return now
		}
		if len(running) == 0 {
			return neverComplete
		}
		now = slices.MinFunc(running, func(a, b execution) int { return cmp.Compare(a.doneAt, b.doneAt) }).doneAt
		running = g.finishUntil(now, running)
		running = append(running, g.giveOrders(m, now, drain)...)
	}
	return neverComplete
}

// finishUntil lets engines hold the layers of the orders that are done by now, and
// returns the other executions.
func (g goal) finishUntil(now time.Duration, running []execution) []execution {
	return slices.DeleteFunc(running, func(x execution) bool {
		if x.doneAt > now {
			return false
		}
		e := &g.ordered[x.engine]
		e.Holds, e.Target, e.Fixed = e.Target, layered.Range{}, false
		return true
	})
}

// start returns the executions of the pending orders and of the first new ones.
func (g goal) start(m *layered.Model, drain time.Duration) []execution {
	var running []execution
	for i, e := range g.ordered {
		if e.hasPendingOrder() {
			running = append(running, execution{engine: i, doneAt: e.orderTime(m, drain)})
		}
	}
	return append(running, g.giveOrders(m, 0, drain)...)
}

// giveOrders makes the next orders to the goal pending and returns their executions.
func (g goal) giveOrders(m *layered.Model, now, drain time.Duration) []execution {
	var given []execution
	for _, o := range nextOrders(m, g.ordered, g.last, g.opts) {
		i := slices.IndexFunc(g.ordered, func(e Engine) bool { return e.ID == o.Engine })
		e := &g.ordered[i]
		e.Target, e.Fixed = o.Layers, true
		given = append(given, execution{engine: i, doneAt: now + e.orderTime(m, drain)})
	}
	return given
}

// orderTime returns the time that the engine takes for its pending order.
func (e Engine) orderTime(m *layered.Model, drain time.Duration) time.Duration {
	kept := e.retained().Len()
	seconds := m.LoadSeconds * float64(e.Target.Len()-kept) / float64(max(m.Layers, 1))
	load := time.Duration(seconds * float64(time.Second))
	if kept < e.Holds.Len() {
		return drain + load
	}
	return load
}
