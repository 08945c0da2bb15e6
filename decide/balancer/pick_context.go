package balancer

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/topology"
)

// pickContext holds the inputs of one pick. Engines are named by their index
// in the graph.
type pickContext struct {
	now     time.Time
	request *Request
	view    View
	graph   *topology.Graph
}

// id returns the name of an engine.
func (c *pickContext) id(i int) ids.Upstream { return c.graph.Engines()[i].ID }

// engineAllowed reports whether the request may use an engine, whatever its
// load: the request does not exclude it and its weight is not 0.
func (c *pickContext) engineAllowed(i int) bool {
	id := c.id(i)
	if c.request.Exclude != nil && c.request.Exclude(id) {
		return false
	}
	return c.view.Weight(id) > 0
}

// linkAllowed reports whether the k-th edge of an engine may be used.
func (c *pickContext) linkAllowed(from, k int) bool {
	return c.linkWeight(from, c.graph.Next(from)[k].To) > 0
}

// linkWeight returns the fraction of a link's capacity that may be used.
func (c *pickContext) linkWeight(from, to int) float64 {
	return c.view.LinkWeight(c.id(from), c.id(to))
}

// estimate returns the estimated load of an engine.
func (c *pickContext) estimate(i int) load.Estimate {
	return c.view.Estimate(c.now, c.id(i))
}

// engineWeight returns the fraction of an engine's capacity that requests in
// general may use, from 0 to 1. It is 0 for an engine that is leaving.
func (c *pickContext) engineWeight(i int) float64 {
	if c.estimate(i).Leaving {
		return 0
	}
	return min(max(c.view.Weight(c.id(i)), 0), 1)
}

// slots returns the maximum number of requests that an engine runs at once:
// from its last load report, or from the graph when no report says.
func (c *pickContext) slots(i int, e load.Estimate) int {
	if e.Slots > 0 {
		return e.Slots
	}
	return c.graph.Engines()[i].Slots
}

// hasFreeSlot reports whether an engine is not leaving and has a free slot
// when inFlight requests run there.
func (c *pickContext) hasFreeSlot(i int, e load.Estimate, inFlight float64) bool {
	return !e.Leaving && inFlight < float64(c.slots(i, e))
}
