package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// Tuning of the flow strategy.
const (
	// chainSamples is the number of chains that are sampled and compared. More
	// samples favor the least loaded engines, but depart from the flow's
	// proportions on the links, whose load is not reported.
	chainSamples = 2
	// affinityCostFactor and affinityIdleTimeFactor bound the cost of cache
	// affinity: a request takes the chain that its prefix hash prefers while
	// that costs at most affinityCostFactor times the best sampled chain, plus
	// affinityIdleTimeFactor times the token time of an idle chain.
	affinityCostFactor     = 1.25
	affinityIdleTimeFactor = 1.0
	// meanIntervalFraction is the fraction of Options.TokenInterval that the
	// mean time between tokens may reach. The 95th percentile is then close to
	// the whole interval.
	meanIntervalFraction = 0.65
	// slowLinkIntervalFraction is the fraction of Options.TokenInterval from which on
	// the time of a token step over a link makes the link a slow one.
	slowLinkIntervalFraction = 0.25
	// minWaitFactor bounds the maximum wait at engines from below, as a
	// multiple of the token time of an idle chain. A lower maximum could not
	// keep engines busy.
	minWaitFactor = 1.2
	// weightCheckInterval is the time between two checks whether the weights
	// of engines and links still are those of the plan.
	weightCheckInterval = time.Second
)

// flow is the default strategy. It samples chains in proportion to a maximum
// flow through engines and links, so that the requests in flight at each are in
// proportion to its capacity, and picks the one with the least expected time
// per token.
//
// The expected wait at an engine is its number of requests in flight divided by
// its target rate. An engine has capacity while that wait is within the token
// interval. Beyond it, more requests in flight only increase the time between
// tokens and add no throughput, so a request waits for the next chain with
// capacity instead.
//
// Sampling costs the same for any number of engines. When all samples lack
// capacity, the request waits although some chain may have capacity: that chain
// would mostly use links with little flow. When a sample met an engine or link
// that must not be used, all chains are searched.
type flow struct {
	// tokenInterval is in seconds; 0 means no target.
	tokenInterval float64
	rng           *rand.Rand
	plans         map[ids.Service]*plan
	finder        pathSearch
	// path and best are the engine indices of the last sampled chain and of
	// the cheapest one.
	path []int
	best []int
}

// newFlow returns a flow that takes random numbers from rng.
func newFlow(opts Options, rng *rand.Rand) *flow {
	return &flow{
		tokenInterval: opts.TokenInterval.Seconds(),
		rng:           rng,
		plans:         make(map[ids.Service]*plan),
	}
}

// Pick implements Picker.
func (p *flow) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil || len(g.Heads()) == 0 {
		delete(p.plans, r.Service)
		return nil, false
	}
	c := flowContext{
		pickContext: pickContext{now: now, request: &r, view: v, graph: g},
	}
	c.plan = p.plan(&c.pickContext)
	c.maxWait = p.maxWait(c.plan)
	cost := p.sampleChains(&c)
	if math.IsInf(cost, 1) {
		return p.searchAll(&c)
	}
	if r.PrefixHash != 0 && p.affinityChain(&c) <= affinityCostFactor*cost+affinityIdleTimeFactor*c.plan.idleTokenTime {
		return g.Chain(p.path), true
	}
	return g.Chain(p.best), true
}

// plan returns the plan of the request's service, computed again when the graph
// or the weights of its engines and links have changed.
func (p *flow) plan(c *pickContext) *plan {
	maxLinkTime := math.Inf(1)
	if p.tokenInterval > 0 {
		maxLinkTime = slowLinkIntervalFraction * p.tokenInterval
	}
	service := c.request.Service
	old := p.plans[service]
	if old != nil && old.graph == c.graph {
		if c.now.Sub(old.checkedAt) < weightCheckInterval {
			return old
		}
		old.checkedAt = c.now
		if !old.weightsChanged(c) {
			return old
		}
	}
	computed := newPlan(c, maxLinkTime)
	p.plans[service] = computed
	return computed
}

// maxWait returns the longest expected wait up to which engines take further
// requests, in seconds.
func (p *flow) maxWait(plan *plan) float64 {
	if p.tokenInterval <= 0 {
		return math.Inf(1)
	}
	return max(meanIntervalFraction*p.tokenInterval, minWaitFactor*plan.idleTokenTime)
}

// sampleChains samples chains and stores the cheapest in p.best. It returns the
// cost of that chain in seconds, +Inf when none had capacity.
func (p *flow) sampleChains(c *flowContext) float64 {
	least := math.Inf(1)
	for range chainSamples {
		if cost := p.sampleChain(c); cost < least {
			least = cost
			p.best, p.path = p.path, p.best
		}
	}
	return least
}

// sampleChain samples one chain into p.path and returns its cost in seconds,
// +Inf when it lacks capacity. At each stage it samples two engines and takes
// the cheaper one.
func (p *flow) sampleChain(c *flowContext) float64 {
	p.path = p.path[:0]
	at, total := sourceNode, 0.0
	for at == sourceNode || !c.graph.IsTail(at) {
		first, cost := p.sampleEngine(c, at)
		second, other := p.sampleEngine(c, at)
		if other < cost {
			first, cost = second, other
		}
		if math.IsInf(cost, 1) {
			return cost
		}
		p.path = append(p.path, first)
		total += cost
		at = first
	}
	return total
}

// sampleEngine samples a successor of an engine and returns it with the cost of
// the successor and of the link to it, in seconds.
func (p *flow) sampleEngine(c *flowContext, at int) (int, float64) {
	k := p.sampleSuccessor(c.plan, at)
	if k < 0 {
		return sourceNode, math.Inf(1)
	}
	if at == sourceNode {
		i := c.graph.Heads()[k]
		return i, c.engineWait(i) + c.headDelay(i)
	}
	e := c.graph.Next(at)[k]
	return e.To, c.engineWait(e.To) + c.linkTime(at, e)
}

// searchAll searches all chains if the samples met an engine or link that must
// not be used, or if the plan has no flow. Chains along the plan's flow are
// searched first.
func (p *flow) searchAll(c *flowContext) (topology.Chain, bool) {
	if !c.unusableSeen && c.plan.totalFlow > 0 {
		return nil, false
	}
	p.finder.engineUsable = func(i int) bool { return !math.IsInf(c.engineWait(i), 1) }
	p.finder.startIndex = func(engine, _ int) int { return max(p.sampleSuccessor(c.plan, engine), 0) }
	p.finder.linkUsable = func(from, k int) bool { return c.plan.hasFlow(from, k) && c.linkAllowed(from, k) }
	if path := p.finder.find(c.graph); path != nil {
		return c.graph.Chain(path), true
	}
	p.finder.linkUsable = c.linkAllowed
	if path := p.finder.find(c.graph); path != nil {
		return c.graph.Chain(path), true
	}
	return nil, false
}

// sampleSuccessor samples among the successors of an engine, or among the heads
// for sourceNode, in proportion to the flow. It returns the position in Graph.Next
// or Graph.Heads, -1 when there is no flow.
func (p *flow) sampleSuccessor(plan *plan, engine int) int {
	if engine == sourceNode {
		return sampleIndex(plan.headSums, p.rng.Float64())
	}
	return sampleIndex(plan.edgeSums[engine], p.rng.Float64())
}

// affinityChain stores the chain that the request's prefix hash prefers in
// p.path and returns its cost in seconds, +Inf when it lacks capacity.
func (p *flow) affinityChain(c *flowContext) float64 {
	p.path = p.path[:0]
	at, total := sourceNode, 0.0
	for at == sourceNode || !c.graph.IsTail(at) {
		i, edge := c.preferredSuccessor(at)
		if i == sourceNode {
			return math.Inf(1)
		}
		total += c.engineWait(i)
		if at != sourceNode {
			total += c.linkTime(at, edge)
		}
		p.path = append(p.path, i)
		at = i
	}
	return total
}
