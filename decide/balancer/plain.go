package balancer

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// PlainPicker chooses the upstream of plain requests, those that a single
// upstream answers. It samples two usable upstreams at random and picks the one
// with fewer requests in flight relative to its weight. It is not safe for
// concurrent use.
type PlainPicker struct {
	rng    *rand.Rand
	usable []int
}

// NewPlainPicker returns a PlainPicker whose random choices are seeded with
// seed.
func NewPlainPicker(seed uint64) *PlainPicker {
	return &PlainPicker{rng: rand.New(rand.NewPCG(seed, pickerSeedStream))}
}

// Pick returns the upstream for a request at time now, and false when none of
// upstreams has capacity. Upstreams in other zones than r.Zone are used only
// when none in r.Zone has capacity. Slots in an upstream's load report override
// those in upstreams; 0 in both means that the number is not limited.
func (p *PlainPicker) Pick(now time.Time, r Request, upstreams []topology.Engine, v View) (topology.Engine, bool) {
	for _, sameZone := range [...]bool{true, false} {
		p.usable = p.usable[:0]
		for i := range upstreams {
			if (upstreams[i].Zone == r.Zone) == sameZone && hasCapacity(now, &r, &upstreams[i], v) {
				p.usable = append(p.usable, i)
			}
		}
		if len(p.usable) > 0 {
			return upstreams[p.pickUsable(now, upstreams, v)], true
		}
	}
	return topology.Engine{}, false
}

// hasCapacity reports whether a request may use an upstream and finds a free
// slot there.
func hasCapacity(now time.Time, r *Request, u *topology.Engine, v View) bool {
	if r.Exclude != nil && r.Exclude(u.ID) {
		return false
	}
	if v.Weight(u.ID) <= 0 {
		return false
	}
	e := v.Estimate(now, u.ID)
	slots := u.Slots
	if e.Slots > 0 {
		slots = e.Slots
	}
	return !e.Leaving && (slots == 0 || e.InFlight < float64(slots))
}

// pickUsable samples two of the usable upstreams and returns the index of the
// less loaded one.
func (p *PlainPicker) pickUsable(now time.Time, upstreams []topology.Engine, v View) int {
	a := p.rng.IntN(len(p.usable))
	b := a
	if len(p.usable) > 1 {
		b = p.rng.IntN(len(p.usable) - 1)
		if b >= a {
			b++
		}
	}
	first, second := p.usable[a], p.usable[b]
	if weightedLoad(now, upstreams[second].ID, v) < weightedLoad(now, upstreams[first].ID, v) {
		return second
	}
	return first
}

// weightedLoad returns the number of requests in flight at an upstream, with
// the new one added, divided by the upstream's weight.
func weightedLoad(now time.Time, id ids.Upstream, v View) float64 {
	return (v.Estimate(now, id).InFlight + 1) / v.Weight(id)
}
