package balancer

import (
	"math"
	"time"

	"mimosaarch.example/decide/topology"
)

// leastLoaded picks the chain with the least sum of slot utilizations. It uses
// the engines' own load reports only, without the requests sent since, and so
// serves as a baseline that shows the effect of stale reports.
type leastLoaded struct {
	shortest shortestPath
}

// newLeastLoaded returns a leastLoaded without any state.
func newLeastLoaded() *leastLoaded { return &leastLoaded{} }

// Pick implements Picker.
func (p *leastLoaded) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil {
		return nil, false
	}
	c := pickContext{now: now, request: &r, view: v, graph: g}
	p.shortest.engineCost = c.reportedUtilization
	p.shortest.linkCost = func(from int, e topology.Edge) float64 {
		if c.linkWeight(from, e.To) <= 0 {
			return math.Inf(1)
		}
		return 0
	}
	path := p.shortest.find(g)
	if path == nil {
		return nil, false
	}
	return g.Chain(path), true
}

// reportedUtilization returns the fraction of an engine's slots that its last
// report shows as taken, +Inf when it must not be used or has no free slot.
func (c *pickContext) reportedUtilization(i int) float64 {
	e := c.estimate(i)
	reported := float64(e.ReportedRunning)
	if !c.engineAllowed(i) || !c.hasFreeSlot(i, e, reported) {
		return math.Inf(1)
	}
	return reported / float64(c.slots(i, e))
}
