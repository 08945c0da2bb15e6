package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/decide/topology"
)

// minFastFlowFraction is the fraction of the maximum flow that the fast links
// must carry on their own for the slow ones to be left out of the plan.
const minFastFlowFraction = 0.98

// minTargetRateFraction is the least target rate of an engine as a fraction of its
// own rate, for engines that the maximum flow leaves almost unused.
const minTargetRateFraction = 0.05

// minTargetStepsPerSecond is the least target rate, in token steps per second.
const minTargetStepsPerSecond = 1

// plan holds what the flow strategy computes once for a graph and the weights
// of its engines and links.
type plan struct {
	graph *topology.Graph
	// checkedAt is when the weights were last compared with those of the view.
	checkedAt time.Time
	// engineWeight and linkWeight are the weights that the plan was computed
	// for. linkWeight has the shape of Graph.Next.
	engineWeight []float64
	linkWeight   [][]float64
	// totalFlow is the value of the flow, in token steps per second; 0 means
	// that the plan prefers no chain.
	totalFlow float64
	// targetRate is the number of token steps per second that each engine
	// should run at full load.
	targetRate []float64
	// headSums and edgeSums are cumulative sums of flow, for sampling in
	// proportion to it: headSums in the order of Graph.Heads, edgeSums[i] in
	// that of Graph.Next(i).
	headSums []float64
	edgeSums [][]float64
	// idHash is the hash of each engine's ID, for rendezvous hashing.
	idHash []uint64
	// idleTokenTime is the least time of a token through an idle chain, in
	// seconds.
	idleTokenTime float64
}

// newPlan computes the plan for a graph and the current weights. Links whose
// token step takes longer than maxLinkTime, in seconds, are left out if that
// costs little flow.
func newPlan(c *pickContext, maxLinkTime float64) *plan {
	n := len(c.graph.Engines())
	p := &plan{
		graph:         c.graph,
		checkedAt:     c.now,
		engineWeight:  make([]float64, n),
		linkWeight:    make([][]float64, n),
		targetRate:    make([]float64, n),
		edgeSums:      make([][]float64, n),
		idHash:        make([]uint64, n),
		idleTokenTime: idleTokenTime(c.graph),
	}
	p.readWeights(c)
	p.setFlow(p.targetFlow(maxLinkTime))
	return p
}

// readWeights copies the weights of engines and links from the view.
func (p *plan) readWeights(c *pickContext) {
	for i := range p.engineWeight {
		p.engineWeight[i] = c.engineWeight(i)
		next := p.graph.Next(i)
		p.linkWeight[i] = make([]float64, len(next))
		for k, e := range next {
			p.linkWeight[i][k] = c.linkWeight(i, e.To)
		}
	}
}

// weightsChanged reports whether the weights in the view differ from those of
// the plan.
func (p *plan) weightsChanged(c *pickContext) bool {
	for i := range p.engineWeight {
		if p.engineWeight[i] != c.engineWeight(i) {
			return true
		}
		for k, e := range p.graph.Next(i) {
			if p.linkWeight[i][k] != c.linkWeight(i, e.To) {
				return true
			}
		}
	}
	return false
}

// targetFlow returns the maximum flow over the links whose token step takes at
// most maxLinkTime, in seconds, or over all links if the slower ones are needed.
func (p *plan) targetFlow(maxLinkTime float64) *topology.Flow {
	engine := func(i int) float64 { return p.engineWeight[i] }
	all := topology.ScaledFlows(p.graph, topology.Scale{
		Engine: engine,
		Link:   func(i, k int) float64 { return p.linkWeight[i][k] },
	})
	if math.IsInf(maxLinkTime, 1) {
		return all
	}
	fast := topology.ScaledFlows(p.graph, topology.Scale{Engine: engine, Link: func(i, k int) float64 {
		if p.graph.Next(i)[k].StepSeconds() > maxLinkTime {
			return 0
		}
		return p.linkWeight[i][k]
	}})
	if fast.Total >= minFastFlowFraction*all.Total {
		return fast
	}
	return all
}

// setFlow sets the fields of the plan that derive from a flow.
func (p *plan) setFlow(f *topology.Flow) {
	p.totalFlow = f.Total
	for i, e := range p.graph.Engines() {
		p.targetRate[i] = max(f.Engine[i], minTargetRateFraction*e.Rate*p.engineWeight[i], minTargetStepsPerSecond)
		p.edgeSums[i] = cumulativeSums(f.Edge[i])
		p.idHash[i] = xxhash.Sum64String(string(e.ID))
	}
	heads := make([]float64, len(p.graph.Heads()))
	for k, i := range p.graph.Heads() {
		heads[k] = f.Engine[i]
	}
	p.headSums = cumulativeSums(heads)
}

// weightedRate returns the target rate of an engine in token steps per second,
// scaled from the weight in the plan to the current weight.
func (p *plan) weightedRate(i int, weight float64) float64 {
	if p.engineWeight[i] > 0 {
		weight /= p.engineWeight[i]
	}
	return p.targetRate[i] * weight
}

// cumulativeSums returns the cumulative sums of values. Negative values count
// as 0.
func cumulativeSums(values []float64) []float64 {
	out := make([]float64, len(values))
	sum := 0.0
	for k, value := range values {
		sum += max(value, 0)
		out[k] = sum
	}
	return out
}

// idleTokenTime returns the least time of a token through an idle chain, in
// seconds, +Inf when the graph has no chain.
func idleTokenTime(g *topology.Graph) float64 {
	c := shortestPath{
		engineCost: func(i int) float64 { return 1 / g.Engines()[i].Rate },
		linkCost:   func(_ int, e topology.Edge) float64 { return e.StepSeconds() },
	}
	path := c.find(g)
	if path == nil {
		return math.Inf(1)
	}
	return c.cost[path[0]]
}

// sampleIndex maps u, uniform in [0, 1), to an index with a probability in
// proportion to the value that the index adds to the cumulative sums. It
// returns -1 when the sums are all zero.
func sampleIndex(sums []float64, u float64) int {
	if len(sums) == 0 || sums[len(sums)-1] <= 0 {
		return -1
	}
	k, _ := slices.BinarySearch(sums, math.Nextafter(u*sums[len(sums)-1], math.Inf(1)))
	return min(k, len(sums)-1)
}

// hasFlow reports whether the flow uses the k-th edge of an engine.
func (p *plan) hasFlow(i, k int) bool { return summand(p.edgeSums[i], k) > 0 }

// summand returns the k-th of the values that the cumulative sums were made of.
func summand(sums []float64, k int) float64 {
	if k == 0 {
		return sums[0]
	}
	return sums[k] - sums[k-1]
}
