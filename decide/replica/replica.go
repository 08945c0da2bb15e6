// Package replica picks the upstream of a plain service, all of whose upstreams
// are equivalent, for a request: the one with the least expected response time, as
// estimated from the requests that this node has there and the latest response
// times.
//
// It is used once for each attempt of a plain request. A Picker must be used by one
// goroutine at a time and reads no clock.
package replica

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

// Parameters of the cost of an upstream.
const (
	// defaultResponseMs is the response time that is assumed for an upstream
	// without recent requests, in ms.
	defaultResponseMs = 40.0
	// newResponseWeight is the weight of a new response time in the moving
	// average of an upstream. With 0.2, the last five responses make up two
	// thirds of it.
	newResponseWeight = 0.2
	// minFailedResponseMs is the least response time that a failed response
	// counts with, in ms. An upstream that fails quickly must not look fast.
	minFailedResponseMs = 400.0
	// remoteZoneCostMs is the cost of an upstream in another zone, in ms: two network
	// round trips.
	remoteZoneCostMs = 3.0
	// averageMaxAge is the age from which on an upstream's moving average is
	// ignored, so that one that was slow is tried again.
	averageMaxAge = 4 * time.Second
)

// Picker picks upstreams of plain services. It tracks the requests and response
// times of this node. Create it with New.
type Picker struct {
	conditions *condition.Table
	upstreams  map[ids.Instance]*upstreamState
	// nodeCount is the number of nodes. This node's own load, multiplied by it,
	// is the estimate of the load from all nodes.
	nodeCount float64
}

// upstreamState is the load of one upstream as this node knows it.
type upstreamState struct {
	// inFlight is the number of requests of this node.
	inFlight int
	// meanMs is the moving average of the response time in ms, as of updatedAt.
	meanMs    float64
	updatedAt time.Time
}

// New returns a Picker that takes the health of upstreams from conditions, which
// may be shared with other pickers.
func New(conditions *condition.Table) *Picker {
	return &Picker{conditions: conditions, upstreams: make(map[ids.Instance]*upstreamState), nodeCount: 1}
}

// SetNodeCount sets the number of nodes that share the upstreams, at least 1.
func (p *Picker) SetNodeCount(nodes int) { p.nodeCount = float64(max(nodes, 1)) }

// upstreamState returns the state of an upstream, created if missing.
func (p *Picker) upstreamState(id ids.Instance) *upstreamState {
	s := p.upstreams[id]
	if s == nil {
		s = &upstreamState{meanMs: defaultResponseMs}
		p.upstreams[id] = s
	}
	return s
}

// RequestStarted counts a request of this node at an upstream.
func (p *Picker) RequestStarted(id ids.Instance) { p.upstreamState(id).inFlight++ }

// RequestEnded removes a request from the count of an upstream and adds its
// response time to the moving average. responseTime is 0 for a request that ended
// without a failure but says nothing about the upstream, for instance because the
// caller has gone; it then leaves the average as it is.
func (p *Picker) RequestEnded(now time.Time, id ids.Instance, responseTime time.Duration, failed bool) {
	s := p.upstreamState(id)
	s.inFlight--
	if responseTime <= 0 && !failed {
		return
	}
	ms := float64(responseTime) / float64(time.Millisecond)
	if failed {
		ms = max(ms, minFailedResponseMs)
	}
	if now.Sub(s.updatedAt) > averageMaxAge {
		s.meanMs = defaultResponseMs
	}
	s.meanMs += newResponseWeight * (ms - s.meanMs)
	s.updatedAt = now
}

// Forget drops the state of an upstream that is gone, unless requests of this node
// still run there.
func (p *Picker) Forget(id ids.Instance) {
	if s := p.upstreams[id]; s != nil && s.inFlight <= 0 {
		delete(p.upstreams, id)
	}
}

// Pick returns the upstream of list with the lowest cost for a request from a
// zone, nil if none may be used. Upstreams that are leaving or in avoid are left
// out. Suspected ones are picked only if no other is left. random, uniform over
// [0, 1), decides between upstreams of equal cost.
func (p *Picker) Pick(now time.Time, list []*directory.Upstream, zone ids.Zone, avoid map[ids.Instance]bool, random float64) *directory.Upstream {
	var best *directory.Upstream
	bestCost := math.Inf(1)
	for i, u := range list {
		if u.Leaving || avoid[u.ID] {
			continue
		}
		cost := p.cost(now, u, zone)
		// The random part is less than 0.01 ms, so it only breaks ties.
		cost += math.Mod(random+float64(i)*math.Phi, 1) / 100
		if cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// suspectedCostMs is the cost of a suspected upstream, in ms. It exceeds the cost of
// any other.
const suspectedCostMs = 1e6

// cost returns the expected response time of an upstream in ms, with the costs of
// another zone and of a suspected upstream.
func (p *Picker) cost(now time.Time, u *directory.Upstream, zone ids.Zone) float64 {
	mean, inFlight := defaultResponseMs, 0.0
	if s := p.upstreams[u.ID]; s != nil {
		inFlight = float64(s.inFlight)
		if now.Sub(s.updatedAt) <= averageMaxAge {
			mean = s.meanMs
		}
	}
	utilization := inFlight * p.nodeCount / float64(max(u.Slots, 1))
	cost := mean * p.conditions.Slowdown(now, u.ID) * (1 + utilization)
	if u.Zone != zone {
		cost += remoteZoneCostMs
	}
	if p.conditions.Suspected(now, u.ID, u.Zone) {
		cost += suspectedCostMs
	}
	return cost
}
