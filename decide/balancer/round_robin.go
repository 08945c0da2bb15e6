package balancer

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// roundRobin takes the engines of each stage in turn. It is blind to load and
// to slots, but leaves out engines and links that must not be used.
type roundRobin struct {
	services map[ids.Service]*turns
	search   search
}

// turns is where one service's engines stand in their turns.
type turns struct {
	graph *topology.Graph
	// first is the turn of the heads, next that of each engine's followers.
	first int
	next  []int
}

// newRoundRobin makes a roundRobin.
func newRoundRobin() *roundRobin {
	return &roundRobin{services: make(map[ids.Service]*turns)}
}

// Pick implements Picker.
func (p *roundRobin) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil {
		delete(p.services, r.Service)
		return nil, false
	}
	t := p.turns(r.Service, g)
	l := look{now: now, request: &r, view: v, graph: g}
	p.search.usable = func(i int) bool { return l.allowed(i) && !l.estimate(i).Leaving }
	p.search.link = l.linked
	p.search.start = t.take
	path := p.search.find(g)
	if path == nil {
		return nil, false
	}
	return g.Chain(path), true
}

// turns gives the state of a service, started anew when its graph changed.
func (p *roundRobin) turns(service ids.Service, g *topology.Graph) *turns {
	t := p.services[service]
	if t != nil && t.graph == g {
		return t
	}
	t = &turns{graph: g, next: make([]int, len(g.Engines()))}
	for i := range t.next {
		// Unequal starts keep the heads from all taking one follower at once.
		t.next[i] = i
	}
	p.services[service] = t
	return t
}

// take gives the turn at an engine and moves it on.
func (t *turns) take(engine, n int) int {
	at := &t.first
	if engine != source {
		at = &t.next[engine]
	}
	turn := *at % n
	*at = turn + 1
	return turn
}
