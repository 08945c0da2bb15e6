package balancer

import (
	"math"

	"mimosaarch.example/decide/topology"
)

// flowLook is a look with the plan's targets.
type flowLook struct {
	look
	plan *plan
	// most is the longest wait that engines may be filled to, in seconds.
	most float64
	// barred tells that an engine or link met must not be used, whatever its
	// load.
	barred bool
}

// engine gives the wait expected at an engine once the request has joined,
// +Inf when it has no room.
func (s *flowLook) engine(i int) float64 {
	e := s.estimate(i)
	if e.Leaving || !s.allowed(i) {
		s.barred = true
		return math.Inf(1)
	}
	if !s.room(i, e, e.InFlight) {
		return math.Inf(1)
	}
	wait := (e.InFlight + 1) / s.plan.rate(i, s.view.Weight(s.id(i)))
	if wait > s.most && e.InFlight >= 1 {
		return math.Inf(1)
	}
	return wait
}

// reach gives the time to a head in another zone than the request's.
func (s *flowLook) reach(i int) float64 {
	if s.request.Zone == "" || s.graph.Engines()[i].Zone == s.request.Zone {
		return 0
	}
	return topology.DefaultCrossZoneLatency.Seconds()
}

// edge gives the time of a step over a link, +Inf when it may not be used.
func (s *flowLook) edge(from int, e topology.Edge) float64 {
	weight := s.linkWeight(from, e.To)
	if weight <= 0 {
		s.barred = true
		return math.Inf(1)
	}
	return e.StepSeconds() / weight
}

// favourite gives the engine to follow another for the request's prefix, and
// the edge to it; source when there is none.
func (s *flowLook) favourite(at int) (int, topology.Edge) {
	best, least := source, math.Inf(1)
	var by topology.Edge
	if at == source {
		for k, i := range s.graph.Heads() {
			if score := s.plan.affinity(s.request.Prefix, i, step(s.plan.heads, k)); score < least {
				best, least = i, score
			}
		}
		return best, by
	}
	for k, e := range s.graph.Next(at) {
		if score := s.plan.affinity(s.request.Prefix, e.To, step(s.plan.edges[at], k)); score < least {
			best, least, by = e.To, score, e
		}
	}
	return best, by
}
