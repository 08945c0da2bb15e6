package balancer

import (
	"math"
	"time"

	"mimosaarch.example/decide/topology"
)

// leastLoaded takes the chain with the least sum of slots taken, by the
// engines' own reports alone. It shows what comes of lagging reports.
type leastLoaded struct {
	cheapest cheapest
}

// newLeastLoaded makes a leastLoaded.
func newLeastLoaded() *leastLoaded { return &leastLoaded{} }

// Pick implements Picker.
func (p *leastLoaded) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil {
		return nil, false
	}
	l := look{now: now, request: &r, view: v, graph: g}
	p.cheapest.engine = l.slotsTaken
	p.cheapest.edge = func(from int, e topology.Edge) float64 {
		if l.linkWeight(from, e.To) <= 0 {
			return math.Inf(1)
		}
		return 0
	}
	path := p.cheapest.find(g)
	if path == nil {
		return nil, false
	}
	return g.Chain(path), true
}

// slotsTaken gives the part of an engine's slots that its report shows as
// taken, +Inf when it may not be used or has none free.
func (l *look) slotsTaken(i int) float64 {
	e := l.estimate(i)
	reported := float64(e.ReportedRunning)
	if !l.allowed(i) || !l.room(i, e, reported) {
		return math.Inf(1)
	}
	return reported / float64(l.slots(i, e))
}
