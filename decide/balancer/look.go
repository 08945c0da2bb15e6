package balancer

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/topology"
)

// look is one request's look at the engines of a graph.
type look struct {
	now     time.Time
	request *Request
	view    View
	graph   *topology.Graph
}

// id gives the name of an engine.
func (l *look) id(i int) ids.Upstream { return l.graph.Engines()[i].ID }

// allowed reports whether an engine may be used at all, whatever its load.
func (l *look) allowed(i int) bool {
	id := l.id(i)
	if l.request.Exclude != nil && l.request.Exclude(id) {
		return false
	}
	return l.view.Weight(id) > 0
}

// linked reports whether the k-th edge of an engine may be used.
func (l *look) linked(from, k int) bool {
	return l.linkWeight(from, l.graph.Next(from)[k].To) > 0
}

// linkWeight gives the part of a link to be used.
func (l *look) linkWeight(from, to int) float64 {
	return l.view.LinkWeight(l.id(from), l.id(to))
}

// estimate gives an engine's load.
func (l *look) estimate(i int) load.Estimate {
	return l.view.Estimate(l.now, l.id(i))
}

// part gives the part of an engine in use for any request.
func (l *look) part(i int) float64 {
	if l.estimate(i).Leaving {
		return 0
	}
	return min(max(l.view.Weight(l.id(i)), 0), 1)
}

// slots gives the most requests an engine runs at once, by its last report
// or else by the graph.
func (l *look) slots(i int, e load.Estimate) int {
	if e.Slots > 0 {
		return e.Slots
	}
	return l.graph.Engines()[i].Slots
}

// room reports whether an engine is allowed, not leaving and has a free slot
// by the count given.
func (l *look) room(i int, e load.Estimate, inFlight float64) bool {
	return !e.Leaving && inFlight < float64(l.slots(i, e))
}
