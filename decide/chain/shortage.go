package chain

import (
	"maps"
	"math"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
)

// Pick returns the chain for a request among the usable engines in view: that of
// PickCheapest. If the request is new and that chain has an engine that counts as full,
// it returns a chain without full engines instead, provided that there is one within the
// bounds of pickWithoutFull. m is the performance model of the engines. The error is a
// *NoChainError.
func (p *Picker) Pick(now time.Time, m *layered.Model, view *directory.View, r Request) (Chain, error) {
	c, err := p.PickCheapest(now, m, view, r)
	if err != nil || r.OutputStarted || r.PinnedFirst != nil || p.FullEngine(now.Add(r.FullHeadStart), c) == nil {
		return c, err
	}
	if other := p.pickWithoutFull(now, m, view, r, c); other != nil {
		return other, nil
	}
	return c, nil
}

// pickWithoutFull returns the cheapest chain without full engines for a request whose
// cheapest chain has one, nil if there is none within these bounds:
//   - Apart from crossings between zones, it costs no more than the cheapest chain, whose
//     cost includes that of a refusal.
//   - Each of its crossings costs less than a refusal, so the links are free as far as this
//     node knows.
//   - The links have room for the crossings of all nodes (mayCross).
func (p *Picker) pickWithoutFull(now time.Time, m *layered.Model, view *directory.View, r Request, cheapest Chain) Chain {
	avoid := make(map[ids.Instance]bool, len(r.Avoid)+1)
	maps.Copy(avoid, r.Avoid)
	for _, e := range view.ByService(r.Service) {
		if p.conditions.IsFull(now.Add(r.FullHeadStart), e.ID) {
			avoid[e.ID] = true
		}
	}
	bounded := r
	bounded.Avoid, bounded.freeLinksOnly = avoid, true
	c, err := p.PickCheapest(now, m, view, bounded)
	if err != nil || p.costOnEngines(now, m, r, c) > p.costOnEngines(now, m, r, cheapest) || !p.mayCross(now, m, r, c) {
		return nil
	}
	return c
}

// costOnEngines returns the cost of a chain without its crossings between zones, in ms.
func (p *Picker) costOnEngines(now time.Time, m *layered.Model, r Request, c Chain) float64 {
	return p.Cost(now, m, r, c) + p.slotCost(now, r, c[0].Engine)
}

const (
	// maxCrossingUtilization is the largest part of a link between zones that requests of
	// all nodes may use to avoid full engines. The rest is for requests and repairs that
	// have no chain within a zone.
	maxCrossingUtilization = 0.25
	// maxUnusedCrossingTime bounds the time without a crossing that counts for the next
	// one. Without it all nodes would cross at once when an engine is full for the first
	// time in minutes.
	maxUnusedCrossingTime = time.Second
)

// mayCross reports whether a request may use the links between zones on a chain that
// avoids full engines. All nodes avoid the same full engine at the same moment, and with
// tens of nodes one prompt of each takes a slow link for seconds. So a request crosses at
// random, with the probability for which the prompts of all nodes together take
// maxCrossingUtilization of the link. A request with JitterSeed 0 crosses unless that
// probability is 0.
func (p *Picker) mayCross(now time.Time, m *layered.Model, r Request, c Chain) bool {
	crossings := make(map[zonePair]float64)
	for i := 1; i < len(c); i++ {
		if from, to := c[i-1].Engine.Zone, c[i].Engine.Zone; from != to {
			crossings[newZonePair(from, to)]++
		}
	}
	probability := 1.0
	for link, n := range crossings {
		unused := min(now.Sub(p.zoneLink(link[0], link[1]).decidedAt), maxUnusedCrossingTime)
		if transfers := n * m.ZoneLinkUtilization(r.PromptTokens) * p.nodeCount; transfers > 0 {
			probability = min(probability, maxCrossingUtilization*unused.Seconds()/transfers)
		}
	}
	if r.crossingDraw() < probability {
		return true
	}
	for link := range crossings {
		p.zoneLink(link[0], link[1]).decidedAt = now
	}
	return false
}

// crossingDraw returns a number in [0, 1) that depends on the request, 0 without jitter.
func (r Request) crossingDraw() float64 {
	h := (r.JitterSeed ^ r.JitterSeed>>32) * mixingFactor
	return float64(h>>11) / math.Exp2(53)
}
