package balancer

import (
	"math"

	"mimosaarch.example/decide/prefix"
	"mimosaarch.example/decide/topology"
)

// flowContext adds the plan and limits of the flow strategy to a pickContext.
type flowContext struct {
	pickContext
	plan *plan
	// maxWait is the longest expected wait up to which engines take further
	// requests, in seconds.
	maxWait float64
	// unusableSeen is set once a sampled engine or link must not be used,
	// whatever its load.
	unusableSeen bool
}

// engineWait returns the wait expected at an engine with the request added, in
// seconds, or +Inf when the engine has no capacity for it.
func (c *flowContext) engineWait(i int) float64 {
	e := c.estimate(i)
	if e.Leaving || !c.engineAllowed(i) {
		c.unusableSeen = true
		return math.Inf(1)
	}
	if !c.hasFreeSlot(i, e, e.InFlight) {
		return math.Inf(1)
	}
	wait := (e.InFlight + 1) / c.plan.weightedRate(i, c.view.Weight(c.id(i)))
	if wait > c.maxWait && e.InFlight >= 1 {
		return math.Inf(1)
	}
	return wait
}

// headDelay returns the network delay from this node to a head, in seconds: 0
// within the same availability zone.
func (c *flowContext) headDelay(i int) float64 {
	if c.request.Zone == "" || c.graph.Engines()[i].Zone == c.request.Zone {
		return 0
	}
	return topology.DefaultCrossZoneLatency.Seconds()
}

// linkTime returns the time of a token step over a link in seconds, +Inf when
// the link must not be used.
func (c *flowContext) linkTime(from int, e topology.Edge) float64 {
	weight := c.linkWeight(from, e.To)
	if weight <= 0 {
		c.unusableSeen = true
		return math.Inf(1)
	}
	return e.StepSeconds() / weight
}

// preferredSuccessor returns the successor of an engine that the request's
// prefix hash prefers, with the edge to it. The index is sourceNode when the flow
// reaches no successor; the edge is zero when at is sourceNode.
func (c *flowContext) preferredSuccessor(at int) (int, topology.Edge) {
	best, least := sourceNode, math.Inf(1)
	var edge topology.Edge
	if at == sourceNode {
		for k, i := range c.graph.Heads() {
			if score := prefix.Score(c.request.PrefixHash, c.plan.idHash[i], summand(c.plan.headSums, k)); score < least {
				best, least = i, score
			}
		}
		return best, edge
	}
	for k, e := range c.graph.Next(at) {
		if score := prefix.Score(c.request.PrefixHash, c.plan.idHash[e.To], summand(c.plan.edgeSums[at], k)); score < least {
			best, least, edge = e.To, score, e
		}
	}
	return best, edge
}
