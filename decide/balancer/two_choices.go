package balancer

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/decide/topology"
)

// twoChoices draws two chains at random and takes the one whose fullest
// engine is less full.
type twoChoices struct {
	rng    *rand.Rand
	search search
	first  []int
}

// newTwoChoices makes a twoChoices that draws from rng.
func newTwoChoices(rng *rand.Rand) *twoChoices { return &twoChoices{rng: rng} }

// Pick implements Picker.
func (p *twoChoices) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil {
		return nil, false
	}
	l := look{now: now, request: &r, view: v, graph: g}
	p.search.usable = func(i int) bool {
		e := l.estimate(i)
		return l.allowed(i) && l.room(i, e, e.InFlight)
	}
	p.search.link = l.linked
	p.search.start = func(_, n int) int { return p.rng.IntN(n) }
	p.first = append(p.first[:0], p.search.find(g)...)
	if len(p.first) == 0 {
		return nil, false
	}
	second := p.search.find(g)
	if l.fullest(second) < l.fullest(p.first) {
		return g.Chain(second), true
	}
	return g.Chain(p.first), true
}

// fullest gives the largest part of slots taken at any engine of a path.
func (l *look) fullest(path []int) float64 {
	most := 0.0
	for _, i := range path {
		e := l.estimate(i)
		most = max(most, e.InFlight/float64(l.slots(i, e)))
	}
	return most
}
