package balancer

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// PlainPicker chooses the upstream of plain requests: two at random, and of these
// the one with less in flight; upstreams of the chooser's own zone first.
type PlainPicker struct {
	rng    *rand.Rand
	usable []int
}

// NewPlainPicker makes a Plain.
func NewPlainPicker(seed uint64) *PlainPicker {
	return &PlainPicker{rng: rand.New(rand.NewPCG(seed, seedStream))}
}

// Pick gives the upstream to call now. Slots 0, by report and by the
// engine's own record, means no limit known. False means that none has room.
// Upstreams of another zone are used when the own zone has none with room.
func (p *PlainPicker) Pick(now time.Time, r Request, upstreams []topology.Engine, v View) (topology.Engine, bool) {
	for _, own := range [...]bool{true, false} {
		p.usable = p.usable[:0]
		for i := range upstreams {
			if (upstreams[i].Zone == r.Zone) == own && plainRoom(now, &r, &upstreams[i], v) {
				p.usable = append(p.usable, i)
			}
		}
		if len(p.usable) > 0 {
			return upstreams[p.choose(now, upstreams, v)], true
		}
	}
	return topology.Engine{}, false
}

// plainRoom reports whether an upstream may be called and has room.
func plainRoom(now time.Time, r *Request, u *topology.Engine, v View) bool {
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

// choose draws two of the usable upstreams and gives the better one.
func (p *PlainPicker) choose(now time.Time, upstreams []topology.Engine, v View) int {
	a := p.rng.IntN(len(p.usable))
	b := a
	if len(p.usable) > 1 {
		b = p.rng.IntN(len(p.usable) - 1)
		if b >= a {
			b++
		}
	}
	first, second := p.usable[a], p.usable[b]
	if relative(now, upstreams[second].ID, v) < relative(now, upstreams[first].ID, v) {
		return second
	}
	return first
}

// relative gives the work in flight by the part of the upstream to be used.
func relative(now time.Time, id ids.Upstream, v View) float64 {
	return (v.Estimate(now, id).InFlight + 1) / v.Weight(id)
}
