package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/decide/topology"
)

// quickPart is the part of the whole flow that quick links must carry for the
// slow ones to be left out.
const quickPart = 0.98

// leastPart is the least part of an engine's rate that counts as its target,
// for engines that the maximum flow leaves almost unused.
const leastPart = 0.05

// leastRate is the least target, in steps a second.
const leastRate = 1

// plan is what the flow strategy works out once for a graph.
type plan struct {
	graph *topology.Graph
	// checked is when the parts in use were last compared with the view.
	checked time.Time
	// engine and link are the parts in use that the plan was made for, link
	// in the shape of Graph.Next.
	engine []float64
	link   [][]float64
	// total is the whole flow; 0 means that the plan says nothing.
	total float64
	// target is the steps a second each engine should run at full load.
	target []float64
	// heads and edges are running sums of flow, for draws in proportion:
	// heads in the order of Graph.Heads, edges[i] in that of Graph.Next(i).
	heads []float64
	edges [][]float64
	// hash names each engine in rendezvous hashes.
	hash []uint64
	// idle is the least time of a token through an empty chain, in seconds.
	idle float64
}

// newPlan works out the plan of a graph and the parts of it in use. Links
// whose steps take longer than slowest, in seconds, are left out when little
// is lost by it.
func newPlan(l *look, slowest float64) *plan {
	n := len(l.graph.Engines())
	p := &plan{
		graph:   l.graph,
		checked: l.now,
		engine:  make([]float64, n),
		link:    make([][]float64, n),
		target:  make([]float64, n),
		edges:   make([][]float64, n),
		hash:    make([]uint64, n),
		idle:    idleTime(l.graph),
	}
	p.read(l)
	p.fill(p.flow(slowest))
	return p
}

// read notes the parts of engines and links in use.
func (p *plan) read(l *look) {
	for i := range p.engine {
		p.engine[i] = l.part(i)
		next := p.graph.Next(i)
		p.link[i] = make([]float64, len(next))
		for k, e := range next {
			p.link[i][k] = l.linkWeight(i, e.To)
		}
	}
}

// changed reports whether the parts in use are no longer those of the plan.
func (p *plan) changed(l *look) bool {
	for i := range p.engine {
		if p.engine[i] != l.part(i) {
			return true
		}
		for k, e := range p.graph.Next(i) {
			if p.link[i][k] != l.linkWeight(i, e.To) {
				return true
			}
		}
	}
	return false
}

// flow gives the flow to aim at.
func (p *plan) flow(slowest float64) *topology.Flow {
	engine := func(i int) float64 { return p.engine[i] }
	all := topology.ScaledFlows(p.graph, topology.Scale{
		Engine: engine,
		Link:   func(i, k int) float64 { return p.link[i][k] },
	})
	if math.IsInf(slowest, 1) {
		return all
	}
	quick := topology.ScaledFlows(p.graph, topology.Scale{Engine: engine, Link: func(i, k int) float64 {
		if p.graph.Next(i)[k].StepSeconds() > slowest {
			return 0
		}
		return p.link[i][k]
	}})
	if quick.Total >= quickPart*all.Total {
		return quick
	}
	return all
}

// fill takes a flow into the plan.
func (p *plan) fill(f *topology.Flow) {
	p.total = f.Total
	for i, e := range p.graph.Engines() {
		p.target[i] = max(f.Engine[i], leastPart*e.Rate*p.engine[i], leastRate)
		p.edges[i] = sums(f.Edge[i])
		p.hash[i] = xxhash.Sum64String(string(e.ID))
	}
	heads := make([]float64, len(p.graph.Heads()))
	for k, i := range p.graph.Heads() {
		heads[k] = f.Engine[i]
	}
	p.heads = sums(heads)
}

// rate gives an engine's target when the given part of it is in use now.
func (p *plan) rate(i int, part float64) float64 {
	if p.engine[i] > 0 {
		part /= p.engine[i]
	}
	return p.target[i] * part
}

// sums gives the running sums of parts.
func sums(parts []float64) []float64 {
	out := make([]float64, len(parts))
	sum := 0.0
	for k, part := range parts {
		sum += max(part, 0)
		out[k] = sum
	}
	return out
}

// idleTime gives the least time of a token through an empty chain, in seconds.
func idleTime(g *topology.Graph) float64 {
	c := cheapest{
		engine: func(i int) float64 { return 1 / g.Engines()[i].Rate },
		edge:   func(_ int, e topology.Edge) float64 { return e.StepSeconds() },
	}
	path := c.find(g)
	if path == nil {
		return math.Inf(1)
	}
	return c.cost[path[0]]
}

// drawn gives the index of a draw u in [0, 1) in proportion to the parts that
// sums were made of, or -1 when all are zero.
func drawn(sums []float64, u float64) int {
	if len(sums) == 0 || sums[len(sums)-1] <= 0 {
		return -1
	}
	k, _ := slices.BinarySearch(sums, math.Nextafter(u*sums[len(sums)-1], math.Inf(1)))
	return min(k, len(sums)-1)
}

// affinity scores an engine for a prefix, given the flow that leads to it: of
// several, the one with the least score is the prefix's own (weighted
// rendezvous hash). +Inf when no flow leads there.
func (p *plan) affinity(prefix uint64, i int, flow float64) float64 {
	if flow <= 0 {
		return math.Inf(1)
	}
	h := mix(prefix ^ p.hash[i])
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / flow
}

// mix is the finishing step of the splitmix64 generator.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// carries reports whether the flow uses the k-th edge of an engine.
func (p *plan) carries(i, k int) bool { return step(p.edges[i], k) > 0 }

// step gives the k-th of the parts that running sums were made of.
func step(sums []float64, k int) float64 {
	if k == 0 {
		return sums[0]
	}
	return sums[k] - sums[k-1]
}
