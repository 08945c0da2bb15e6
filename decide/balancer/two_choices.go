package balancer

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/decide/topology"
)

// twoChoices samples two random chains and picks the one whose most utilized
// engine is less utilized (power of two choices).
type twoChoices struct {
	rng    *rand.Rand
	search pathSearch
	first  []int
}

// newTwoChoices returns a twoChoices that takes random numbers from rng.
func newTwoChoices(rng *rand.Rand) *twoChoices { return &twoChoices{rng: rng} }

// Pick implements Picker.
func (p *twoChoices) Pick(now time.Time, r Request, v View) (topology.Chain, bool) {
	g := v.Graph(r.Service)
	if g == nil {
		return nil, false
	}
	c := pickContext{now: now, request: &r, view: v, graph: g}
	p.search.engineUsable = func(i int) bool {
		e := c.estimate(i)
		return c.engineAllowed(i) && c.hasFreeSlot(i, e, e.InFlight)
	}
	p.search.linkUsable = c.linkAllowed
	p.search.startIndex = func(_, n int) int { return p.rng.IntN(n) }
	p.first = append(p.first[:0], p.search.find(g)...)
	if len(p.first) == 0 {
		return nil, false
	}
	second := p.search.find(g)
	if c.maxUtilization(second) < c.maxUtilization(p.first) {
		return g.Chain(second), true
	}
	return g.Chain(p.first), true
}

// maxUtilization returns the largest fraction of slots taken at any engine of
// a path.
func (c *pickContext) maxUtilization(path []int) float64 {
	most := 0.0
	for _, i := range path {
		e := c.estimate(i)
		most = max(most, e.InFlight/float64(c.slots(i, e)))
	}
	return most
}
