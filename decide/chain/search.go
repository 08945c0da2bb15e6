package chain

import (
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

// Request is what a chain is chosen for.
type Request struct {
	Service ids.Service
	// Zone is preferred among equals.
	Zone ids.Zone
	// PromptTokens and OutputTokens are the expected sizes, in tokens.
	PromptTokens, OutputTokens float64
	// Avoid are engines that the request already failed on.
	Avoid map[ids.Life]bool
	// PinnedFirst, where set, stays the first stage: the request runs there already,
	// and only the stages after it are chosen.
	PinnedFirst *Stage
	// AllowedFirst, where set, are the engines one of which must be the first stage.
	AllowedFirst map[ids.Life]bool
	// OutputStarted tells that part of the answer is with the caller.
	OutputStarted bool
	// JitterSeed is random, other than 0, so that choices made at the same moment differ
	// among engines that are nearly equal. With 0 the cheapest chain is taken.
	JitterSeed uint64
}

// spread is the part by which an engine may count as dearer than another of equal
// cost, by each request's own draw. Nodes that know little of the load, as after a start
// of all, else send their first requests to the same engines.
const spread = 0.2

// Parameters of a 64-bit FNV-1a hash, and of the multiplication that mixes its bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixFactor = 0x9e3779b97f4a7c15
)

// taste gives the factor of an engine's cost for one request, from 1 to 1 + spread.
func (r Request) taste(id ids.Life) float64 {
	if r.JitterSeed == 0 {
		return 1
	}
	return 1 + spread*r.draw(id)
}

// draw gives a request's own number for an engine, 0 to 1.
func (r Request) draw(id ids.Life) float64 {
	h := r.JitterSeed ^ fnvOffset
	for i := range len(id.Upstream) {
		h = (h ^ uint64(id.Upstream[i])) * fnvPrime
	}
	h = (h ^ h>>32) * mixFactor
	return float64(h>>11) / (1 << 53)
}

// fixed reports whether an engine is the given first stage.
func (r Request) fixed(e *directory.Upstream) bool {
	return r.PinnedFirst != nil && r.PinnedFirst.Engine.ID == e.ID
}

// mayBegin reports whether an engine may be the first stage.
func (r Request) mayBegin(e *directory.Upstream) bool {
	return r.AllowedFirst == nil || r.AllowedFirst[e.ID]
}

// tokens is the KV cache that a request needs on each stage.
func (r Request) tokens() float64 { return r.PromptTokens + r.OutputTokens }

// Costs that the model of the engines does not give.
const (
	// hopMs is charged for each stage of a pass, in ms, for the transfer of
	// activations.
	hopMs = 0.3
	// zoneHopMs is charged for a stage in another zone than the one before, in
	// ms: all such chains share one pipe, for the activations of every token.
	// They are chosen where no zone has a whole chain, or those are full.
	zoneHopMs = 1000.0
	// awayFactor multiplies the cost of a chain in another zone than the
	// request's. A cut between zones breaks every stream across it, while a
	// chain that is somewhat slower costs its caller nothing.
	awayFactor = 1.5
	// fullAt is the part of an engine's KV room from which on it costs more; at
	// full that is fullMs, in ms. An engine without room throws out a running
	// request, which is read again.
	fullAt = 0.85
	fullMs = 600.0
	// refusedMs is charged for an engine that refused for want of room just now, in
	// ms: it will refuse again, and the caller comes back after 400 ms at best. It
	// is worth the way over another zone and back while the pipe is mostly free.
	refusedMs = 3000.0
)

// Pick gives the chain for a request; the error is a *NoChainError.
func (b *Picker) Pick(now time.Time, m *layered.Model, view *directory.View, r Request) (Chain, error) {
	all := view.Of(r.Service)
	usable := make([]*directory.Upstream, 0, len(all))
	for _, e := range all {
		if !e.Leaving && !e.Layers.Empty() && !r.Avoid[e.ID] && !b.doubtful(now, e) {
			usable = append(usable, e)
		}
	}
	priced := b.price(now, m, r, usable)
	best, bestCost := Chain(nil), math.Inf(1)
	for _, zone := range zonesOf(usable) {
		c, cost := b.shortest(now, m, priced, r, zone)
		if zone != r.Zone && r.PinnedFirst == nil {
			cost *= awayFactor
		}
		if c != nil && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil || b.crowded(now, m, best) {
		if c, cost := b.shortest(now, m, priced, r, ""); c != nil && cost < bestCost {
			best = c
		}
	}
	if best == nil {
		return nil, &NoChainError{Service: r.Service, Engines: len(all), Usable: len(usable)}
	}
	return best, nil
}

// doubtful reports whether an engine gets no work for what it did last.
func (b *Picker) doubtful(now time.Time, e *directory.Upstream) bool {
	return b.conditions.Suspected(now, e.ID, e.Zone) || b.conditions.Silent(e.ID, e.Zone)
}

// Cost is the time that a request is expected to take on a chain, in ms, beside
// what already runs there.
func (b *Picker) Cost(now time.Time, m *layered.Model, r Request, c Chain) float64 {
	cost := 0.0
	for _, h := range c {
		cost += b.stageCost(now, m, r, h.Engine) + b.layerCost(now, m, r, h.Engine)*float64(h.Layers.Len())
	}
	return cost
}

// FullEngine gives the engine of a chain that refused for want of room just now, nil for
// none. A chain has one only where no other can be had.
func (b *Picker) FullEngine(now time.Time, c Chain) *directory.Upstream {
	for _, h := range c {
		if b.conditions.IsFull(now, h.Engine.ID) {
			return h.Engine
		}
	}
	return nil
}

// crowded reports whether an engine of a chain is short of room.
func (b *Picker) crowded(now time.Time, m *layered.Model, c Chain) bool {
	return slices.ContainsFunc(c, func(h Stage) bool {
		return b.occupied(now, m, h.Engine) > fullAt || b.conditions.IsFull(now, h.Engine.ID)
	})
}

// occupied gives the part of an engine's KV room that is taken, by a guess from
// this node's own streams.
func (b *Picker) occupied(now time.Time, m *layered.Model, e *directory.Upstream) float64 {
	s := b.engines[e.ID]
	if s == nil {
		return 0
	}
	room := m.KVCapacityTokens(m.Cards[e.Card], e.Layers.Len()) * float64(e.Layers.Len())
	if room <= 0 {
		return 0
	}
	return s.guess(now).tokenLayers * b.fleet / room
}

// zonesOf gives the zones of engines in order.
func zonesOf(engines []*directory.Upstream) []ids.Zone {
	var zones []ids.Zone
	for _, e := range engines {
		if !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// step is the cheapest known way to a layer.
type step struct {
	cost float64
	hop  Stage
	// before is the index of the boundary where the hop begins.
	before int
}

// candidate is an engine with its costs for one request, in ms.
type candidate struct {
	*directory.Upstream
	// perLayer is for each layer that it runs, stage for taking part at all, first for
	// doing so as the first stage.
	perLayer, stage, first float64
}

// price gives engines their costs, once for all the ways that lead through them.
func (b *Picker) price(now time.Time, m *layered.Model, r Request, engines []*directory.Upstream) []candidate {
	priced := make([]candidate, 0, len(engines))
	for _, e := range engines {
		if r.fixed(e) {
			continue
		}
		taste := r.taste(e.ID)
		c := candidate{Upstream: e, perLayer: b.layerCost(now, m, r, e) * taste, stage: b.stageCost(now, m, r, e) * taste}
		if e.Layers.From == 0 {
			c.first = b.slotCost(now, r, e)
		}
		priced = append(priced, c)
	}
	return priced
}

// shortest finds the cheapest chain among the engines of a zone, or of all
// zones where it is empty; nil if there is none.
func (b *Picker) shortest(now time.Time, m *layered.Model, engines []candidate, r Request, zone ids.Zone) (Chain, float64) {
	var inside []candidate
	for _, e := range engines {
		if zone == "" || e.Zone == zone {
			inside = append(inside, e)
		}
	}
	cuts := boundaries(inside, m.Layers, r.PinnedFirst)
	if len(cuts) < 2 || cuts[0] != 0 || cuts[len(cuts)-1] != m.Layers {
		return nil, math.Inf(1)
	}
	ways := make([]step, len(cuts))
	for i := range ways {
		ways[i].cost = math.Inf(1)
	}
	start := 0
	if r.PinnedFirst != nil {
		start = slices.Index(cuts, r.PinnedFirst.Layers.To)
		ways[start].hop = *r.PinnedFirst
	}
	ways[start].cost = 0
	for i := start; i < len(cuts)-1; i++ {
		if math.IsInf(ways[i].cost, 1) {
			continue
		}
		for j := range inside {
			b.extend(now, m, r, cuts, ways, i, &inside[j])
		}
	}
	last := len(cuts) - 1
	if math.IsInf(ways[last].cost, 1) {
		return nil, math.Inf(1)
	}
	return trace(ways, last), ways[last].cost
}

// boundaries gives the layers at which some engine begins or ends, ascending,
// with those of a first stage that is given.
func boundaries(engines []candidate, layers int, first *Stage) []int {
	var cuts []int
	if first != nil {
		cuts = append(cuts, first.Layers.From, first.Layers.To)
	}
	for _, e := range engines {
		cuts = append(cuts, min(e.Layers.From, layers), min(e.Layers.To, layers))
	}
	slices.Sort(cuts)
	return slices.Compact(cuts)
}

// extend improves the ways that lead on from boundary i through engine e.
func (b *Picker) extend(now time.Time, m *layered.Model, r Request, cuts []int, ways []step, i int, e *candidate) {
	from := cuts[i]
	if e.Layers.From > from || e.Layers.To <= from || from == 0 && !r.mayBegin(e.Upstream) {
		return
	}
	fixed := e.stage
	if from == 0 {
		fixed += e.first
	}
	if prev := ways[i].hop.Engine; prev != nil && prev.Zone != e.Zone {
		fixed += b.hopCost(now, m, prev.Zone, e.Zone)
	}
	for j := i + 1; j < len(cuts) && cuts[j] <= e.Layers.To; j++ {
		cost := ways[i].cost + fixed + e.perLayer*float64(cuts[j]-from)
		if cost < ways[j].cost {
			ways[j] = step{cost: cost, hop: Stage{e.Upstream, layered.Range{From: from, To: cuts[j]}}, before: i}
		}
	}
}

// passes is how many decoding passes a request takes.
func (r Request) passes(m *layered.Model) float64 {
	return r.OutputTokens / float64(max(m.StepsPerPass, 1))
}

// stageCost is the time that a request takes at an engine beside its passes, in
// ms.
func (b *Picker) stageCost(now time.Time, m *layered.Model, r Request, e *directory.Upstream) float64 {
	writers := 1.0
	if s := b.engines[e.ID]; s != nil {
		writers += s.guess(now).streams * b.fleet
	}
	wait := m.WaitMs(m.Cards[e.Card], e.Layers.Len(), writers, r.tokens())
	crowd := max(b.occupied(now, m, e)-fullAt, 0) / (1 - fullAt) * fullMs
	if b.conditions.IsFull(now, e.ID) {
		crowd += refusedMs
	}
	return r.passes(m)*(hopMs+wait*b.pace(now, e.ID)) + crowd
}

// slowFactor is by how much an engine that makes answers late is dearer than its
// time alone: callers lose more by a late answer than the time it takes.
const slowFactor = 4.0

// pace gives by how much an engine is slower than usual, and more for one that
// makes answers late.
func (b *Picker) pace(now time.Time, id ids.Life) float64 {
	pace := b.conditions.Pace(now, id)
	if pace < condition.SlowPace {
		return pace
	}
	return pace * slowFactor
}

// layerCost is the time that a request takes in one layer of an engine, in ms.
func (b *Picker) layerCost(now time.Time, m *layered.Model, r Request, e *directory.Upstream) float64 {
	card, known := m.Cards[e.Card]
	if !known {
		card = layered.Card{StepFactor: 1, PrefillFactor: 1}
	}
	writers := 1.0
	if s := b.engines[e.ID]; s != nil {
		writers += s.guess(now).streams * b.fleet
	}
	cost := m.PrefillMs(card, 1, r.PromptTokens) + r.passes(m)*m.PassMs(card, 1, writers, r.tokens())
	return cost * b.pace(now, e.ID)
}

// trace follows the ways back from the last boundary. Where an engine comes
// twice, it runs all layers between as well, which it holds in one piece.
func trace(ways []step, last int) Chain {
	var c Chain
	for i := last; i > 0; i = ways[i].before {
		c = append(c, ways[i].hop)
	}
	slices.Reverse(c)
	return merge(c)
}

// merge joins the hops of one engine into one.
func merge(c Chain) Chain {
	for i := range c {
		for j := len(c) - 1; j > i; j-- {
			if c[j].Engine.ID == c[i].Engine.ID {
				c[i].Layers.To = c[j].Layers.To
				return merge(append(c[:i+1:i+1], c[j+1:]...))
			}
		}
	}
	return c
}
