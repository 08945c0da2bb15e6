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
	// flowDraws is how many chains are drawn and compared. More draws come
	// closer to the emptiest engines but pass over the proportions of the
	// links, whose load no report tells.
	flowDraws = 2
	// affinityCost and affinityIdle bound how much dearer the prefix's own
	// chain may be than the best drawn one: by a factor, and by a part of the
	// time of a token through an empty chain.
	affinityCost = 1.25
	affinityIdle = 1.0
	// intervalPart is the part of Options.TokenInterval that the mean time
	// between tokens may reach: 95 in 100 are then near the whole of it.
	intervalPart = 0.65
	// slowLink is the part of Options.TokenInterval from which the time of a
	// step over a link makes it a slow one.
	slowLink = 0.25
	// idleTimes bounds the fill from below, in token times of an empty
	// chain: less could not keep engines busy.
	idleTimes = 1.2
	// replanEvery is how often the parts in use are looked at for changes.
	replanEvery = time.Second
)

// flow is the product's strategy. It draws chains in proportion to a maximum
// flow through engines and links, so that the work in flight at each keeps to
// its share of what the hardware can carry, and takes the one with the least
// expected time of a token.
//
// The wait expected at an engine is its work in flight over its target rate.
// An engine has room while that stays within the token interval: beyond it
// more work in flight adds no throughput, only time between tokens, and the
// request does better to wait for the next chain with room.
//
// Draws cost the same at any size of fleet. When all fail for lack of room the
// request waits, though some chain may have room: it would mostly lie over
// links that the flow uses little. When some fail since an engine or link must
// not be used, all chains are searched.
type flow struct {
	interval float64
	rng      *rand.Rand
	plans    map[ids.Service]*plan
	finder   search
	path     []int
	best     []int
}

// newFlow makes a flow that draws from rng.
func newFlow(opts Options, rng *rand.Rand) *flow {
	return &flow{
		interval: opts.TokenInterval.Seconds(),
		rng:      rng,
		plans:    make(map[ids.Service]*plan),
	}
}

// Pick implements Picker.
func (p *flow) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil || len(g.Heads()) == 0 {
		delete(p.plans, r.Service)
		return nil, false
	}
	s := flowLook{
		look: look{now: now, request: &r, view: v, graph: g},
	}
	s.plan = p.plan(&s.look)
	s.most = p.most(s.plan)
	cost := p.draw(&s)
	if math.IsInf(cost, 1) {
		return p.search(&s)
	}
	if r.Prefix != 0 && p.own(&s) <= affinityCost*cost+affinityIdle*s.plan.idle {
		return g.Chain(p.path), true
	}
	return g.Chain(p.best), true
}

// plan gives the plan of a service, made anew when its graph or the parts in
// use have changed.
func (p *flow) plan(l *look) *plan {
	slowest := math.Inf(1)
	if p.interval > 0 {
		slowest = slowLink * p.interval
	}
	service := l.request.Service
	old := p.plans[service]
	if old != nil && old.graph == l.graph {
		if l.now.Sub(old.checked) < replanEvery {
			return old
		}
		old.checked = l.now
		if !old.changed(l) {
			return old
		}
	}
	made := newPlan(l, slowest)
	p.plans[service] = made
	return made
}

// most gives the longest wait that engines may be filled to, in seconds.
func (p *flow) most(plan *plan) float64 {
	if p.interval <= 0 {
		return math.Inf(1)
	}
	return max(intervalPart*p.interval, idleTimes*plan.idle)
}

// draw draws chains and leaves the cheapest in p.best. It gives its cost,
// +Inf when none had room.
func (p *flow) draw(s *flowLook) float64 {
	least := math.Inf(1)
	for range flowDraws {
		if cost := p.walk(s); cost < least {
			least = cost
			p.best, p.path = p.path, p.best
		}
	}
	return least
}

// walk draws one chain into p.path. At each stage it draws two engines and
// takes the cheaper one.
func (p *flow) walk(s *flowLook) float64 {
	p.path = p.path[:0]
	at, total := source, 0.0
	for at == source || !s.graph.IsTail(at) {
		first, cost := p.hop(s, at)
		second, other := p.hop(s, at)
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

// hop draws an engine to follow another and gives its cost with its link's.
func (p *flow) hop(s *flowLook, at int) (int, float64) {
	k := p.start(s.plan, at)
	if k < 0 {
		return source, math.Inf(1)
	}
	if at == source {
		i := s.graph.Heads()[k]
		return i, s.engine(i) + s.reach(i)
	}
	e := s.graph.Next(at)[k]
	return e.To, s.engine(e.To) + s.edge(at, e)
}

// search looks at all chains, those along the plan's flow first, when a draw
// met an engine or link that must not be used.
func (p *flow) search(s *flowLook) (topology.Chain, bool) {
	if !s.barred && s.plan.total > 0 {
		return nil, false
	}
	p.finder.usable = func(i int) bool { return !math.IsInf(s.engine(i), 1) }
	p.finder.start = func(engine, _ int) int { return max(p.start(s.plan, engine), 0) }
	p.finder.link = func(from, k int) bool { return s.plan.carries(from, k) && s.linked(from, k) }
	if path := p.finder.find(s.graph); path != nil {
		return s.graph.Chain(path), true
	}
	p.finder.link = s.linked
	if path := p.finder.find(s.graph); path != nil {
		return s.graph.Chain(path), true
	}
	return nil, false
}

// start draws among the followers of an engine, or among the heads.
func (p *flow) start(plan *plan, engine int) int {
	if engine == source {
		return drawn(plan.heads, p.rng.Float64())
	}
	return drawn(plan.edges[engine], p.rng.Float64())
}

// own leaves the chain of the request's prefix in p.path and gives its cost.
func (p *flow) own(s *flowLook) float64 {
	p.path = p.path[:0]
	at, total := source, 0.0
	for at == source || !s.graph.IsTail(at) {
		i, edge := s.favourite(at)
		if i == source {
			return math.Inf(1)
		}
		total += s.engine(i)
		if at != source {
			total += s.edge(at, edge)
		}
		p.path = append(p.path, i)
		at = i
	}
	return total
}
