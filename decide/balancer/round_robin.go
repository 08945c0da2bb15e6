package balancer

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// roundRobin uses the engines of each stage in turn. It ignores load and
// slots, but skips engines and links that must not be used.
type roundRobin struct {
	services map[ids.Service]*rotation
	search   pathSearch
}

// rotation holds the round-robin positions of one service.
type rotation struct {
	graph *topology.Graph
	// head is the position among the heads, next that among the successors of
	// each engine.
	head int
	next []int
}

// newRoundRobin returns a roundRobin that knows no service yet.
func newRoundRobin() *roundRobin {
	return &roundRobin{services: make(map[ids.Service]*rotation)}
}

// Pick implements Picker.
func (p *roundRobin) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil {
		delete(p.services, r.Service)
		return nil, false
	}
	t := p.rotation(r.Service, g)
	c := pickContext{now: now, request: &r, view: v, graph: g}
	p.search.engineUsable = func(i int) bool { return c.engineAllowed(i) && !c.estimate(i).Leaving }
	p.search.linkUsable = c.linkAllowed
	p.search.startIndex = t.advance
	path := p.search.find(g)
	if path == nil {
		return nil, false
	}
	return g.Chain(path), true
}

// rotation returns the positions of a service, reset when its graph has
// changed.
func (p *roundRobin) rotation(service ids.Service, g *topology.Graph) *rotation {
	t := p.services[service]
	if t != nil && t.graph == g {
		return t
	}
	t = &rotation{graph: g, next: make([]int, len(g.Engines()))}
	for i := range t.next {
		// Different start positions keep the heads from all choosing the same
		// successor at once.
		t.next[i] = i
	}
	p.services[service] = t
	return t
}

// advance returns the position among the n successors of an engine, or among
// the heads for sourceNode, and moves it on by one.
func (t *rotation) advance(engine, n int) int {
	at := &t.head
	if engine != sourceNode {
		at = &t.next[engine]
	}
	position := *at % n
	*at = position + 1
	return position
}
