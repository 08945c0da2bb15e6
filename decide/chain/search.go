package chain

import (
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/prefix"
)

// Request describes a request to choose a chain for.
type Request struct {
	Service ids.Service
	// Zone is the availability zone whose chains are preferred, normally that
	// of this node.
	Zone ids.Zone
	// PromptTokens and OutputTokens are the expected sizes of the request.
	PromptTokens, OutputTokens float64
	// Avoid holds the engines that must not be used, for instance because the
	// request has failed there.
	Avoid map[ids.Instance]bool
	// PinnedFirst, if set, is the first stage of the chain: the request already
	// runs there, and only the stages after it are chosen.
	PinnedFirst *Stage
	// AllowedFirst, if set, holds the engines that may be the first stage.
	AllowedFirst map[ids.Instance]bool
	// OutputStarted is set when the caller has received part of the output.
	OutputStarted bool
	// Prefix holds the beginnings of the prompt that other requests may share, as
	// prefix.Segments returns them. It is nil if the route does not ask for affinity.
	Prefix []prefix.Segment
	// ClassSteps is how many classes of the service are more urgent than the
	// request's, 0 for the most urgent class. New requests of less urgent classes
	// avoid engines with little free KV cache earlier.
	ClassSteps int
	// FullHeadStart is how much earlier than other requests this one may try an engine
	// that counts as full.
	FullHeadStart time.Duration
	// JitterSeed seeds a random part of the engines' costs, so that requests at
	// the same moment spread over engines of nearly equal cost. With 0 the
	// costs have no random part.
	JitterSeed uint64
	// freeLinksOnly excludes crossings between zones that cost as much as a refusal.
	freeLinksOnly bool
}

// maxJitterFraction is the largest random part of an engine's cost, as a fraction of it.
// Without it, nodes that know little of the load, for instance after all of them
// have restarted, send their first requests to the same engines.
const maxJitterFraction = 0.2

// Parameters of the 64-bit FNV-1a hash, and the factor that mixes its bits.
const (
	fnvOffset    = 14695981039346656037
	fnvPrime     = 1099511628211
	mixingFactor = 0x9e3779b97f4a7c15
)

// jitterFactor returns the random factor of an engine's cost, at least 1 and at most
// 1 + maxJitterFraction.
func (r Request) jitterFactor(id ids.Instance) float64 {
	if r.JitterSeed == 0 {
		return 1
	}
	return 1 + maxJitterFraction*r.jitter(id)
}

// jitter returns a number in [0, 1) that depends on the request and the engine.
func (r Request) jitter(id ids.Instance) float64 {
	h := r.JitterSeed ^ fnvOffset
	for i := range len(id.Upstream) {
		h = (h ^ uint64(id.Upstream[i])) * fnvPrime
	}
	h = (h ^ h>>32) * mixingFactor
	return float64(h>>11) / (1 << 53)
}

// isPinned reports whether an engine is the pinned first stage.
func (r Request) isPinned(e *directory.Upstream) bool {
	return r.PinnedFirst != nil && r.PinnedFirst.Engine.ID == e.ID
}

// mayBeFirst reports whether an engine may be the first stage.
func (r Request) mayBeFirst(e *directory.Upstream) bool {
	return r.AllowedFirst == nil || r.AllowedFirst[e.ID]
}

// kvTokens returns the number of tokens of KV cache that the request needs at
// each stage.
func (r Request) kvTokens() float64 { return r.PromptTokens + r.OutputTokens }

// Costs of a chain in addition to the time that its engines take.
const (
	// stageTransferCostMs is the cost of each stage of a decoding pass, in ms, for
	// the transfer of activations.
	stageTransferCostMs = 0.3
	// zoneCrossingCostMs is the cost of a stage in another zone than the stage
	// before, in ms. All chains that cross zones share the link between them
	// for the activations of every token, so they are chosen only if no zone
	// has a complete chain, or those in a zone are near capacity.
	zoneCrossingCostMs = 1000.0
	// streamsPerZoneLink is the assumed number of streams whose next tokens wait while a
	// link between zones carries the prompt of another one. The real number is not known
	// to a node.
	streamsPerZoneLink = 70.0
	// maxIdleCrossingCostMs is the highest cost of crossing a link that is free, in ms. It
	// is lower than recentRefusalCostMs: a request rather crosses a free link than it is
	// refused.
	maxIdleCrossingCostMs = 2900.0
	// remoteZoneFactor multiplies the cost of a chain in another zone than the
	// request's. A network partition between zones breaks every stream that
	// crosses it, while a caller hardly notices a somewhat slower chain.
	remoteZoneFactor = 1.5
	// highUtilization is the utilization of an engine's KV cache or slots, 0 to
	// 1, from which on its cost rises.
	highUtilization = 0.85
	// fullKVCacheCostMs is the cost of an engine with a full KV cache, in ms. Such an
	// engine evicts a running request, whose prompt must be read again.
	fullKVCacheCostMs = 600.0
	// recentRefusalCostMs is the cost of an engine that has recently refused a
	// request for lack of capacity, in ms. It would refuse again, and the caller
	// retries after 400 ms at best. The cost exceeds that of crossing to
	// another zone while most of the link is free.
	recentRefusalCostMs = 3000.0
)

// cheapest returns the cheapest chain for a request among the usable engines in view,
// with what the engines save of its prompt. m is the performance model of the engines.
// The error is a *NoChainError.
func (p *Picker) cheapest(now time.Time, m *layered.Model, view *directory.View, r Request) (Chain, error) {
	all := view.ByService(r.Service)
	usable := make([]*directory.Upstream, 0, len(all))
	for _, e := range all {
		if !e.Leaving && !e.Layers.Empty() && !r.Avoid[e.ID] && !p.isUnhealthy(now, e) {
			usable = append(usable, e)
		}
	}
	candidates := p.candidates(now, m, r, usable)
	best, bestCost := Chain(nil), math.Inf(1)
	for _, zone := range zonesOf(usable) {
		c, cost := p.shortest(now, m, candidates, r, zone)
		if zone != r.Zone && r.PinnedFirst == nil {
			cost *= remoteZoneFactor
		}
		if c != nil && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best == nil || p.nearCapacity(now, m, r, best) {
		if c, cost := p.shortest(now, m, candidates, r, ""); c != nil && cost < bestCost {
			best = c
		}
	}
	if best == nil {
		return nil, &NoChainError{Service: r.Service, Engines: len(all), Usable: len(usable)}
	}
	return best, nil
}

// isUnhealthy reports whether an engine must get no requests because of recent
// failures there or in its zone.
func (p *Picker) isUnhealthy(now time.Time, e *directory.Upstream) bool {
	return p.conditions.Suspected(now, e.ID, e.Zone) || p.conditions.Silent(e.ID, e.Zone)
}

// Cost returns the time in ms that a request is expected to take on a chain under
// the present load, with the costs of engines that are slow or near capacity. It
// leaves out what else Pick adds: the costs of other zones and of taken slots at
// the first stage, and jitter.
func (p *Picker) Cost(now time.Time, m *layered.Model, r Request, c Chain) float64 {
	cost := 0.0
	for _, stage := range c {
		cost += p.stageCost(now, m, r, stage.Engine) + p.layerCost(now, m, r, stage.Engine)*float64(stage.Layers.Len())
	}
	return cost
}

// FullEngine returns the first engine of a chain that has recently refused a
// request for lack of capacity, nil if there is none. Pick returns a chain with
// such an engine for a new request only if every chain without one is missing or exceeds
// the bounds of pickWithoutFull.
func (p *Picker) FullEngine(now time.Time, c Chain) *directory.Upstream {
	for _, stage := range c {
		if p.conditions.IsFull(now, stage.Engine.ID) {
			return stage.Engine
		}
	}
	return nil
}

// nearCapacity reports whether an engine of a chain has little free KV cache for
// a request or has recently refused one for lack of capacity.
func (p *Picker) nearCapacity(now time.Time, m *layered.Model, r Request, c Chain) bool {
	return slices.ContainsFunc(c, func(s Stage) bool {
		return p.kvUtilization(now, m, s.Engine) > r.highKVUtilization() || p.conditions.IsFull(now, s.Engine.ID)
	})
}

// kvUtilization returns the estimated fraction of an engine's KV cache in use.
func (p *Picker) kvUtilization(now time.Time, m *layered.Model, e *directory.Upstream) float64 {
	capacity := m.KVCapacityTokens(m.Cards[e.Card], e.Layers.Len()) * float64(e.Layers.Len())
	if capacity <= 0 {
		return 0
	}
	return p.expectedLoad(now, e.ID).tokenLayers / capacity
}

// zonesOf returns the zones of engines in ascending order, without duplicates.
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

// partialPath is the cheapest known path of stages from layer 0 to a layer
// boundary.
type partialPath struct {
	// cost is in ms, +Inf when no path is known.
	cost float64
	// last is the last stage of the path.
	last Stage
	// prev is the index of the boundary where the last stage begins.
	prev int
}

// candidate is an engine with its costs for one request, in ms.
type candidate struct {
	*directory.Upstream
	// perLayerMs is the cost of each layer that the engine runs, stageMs that
	// of being a stage of the chain, firstStageMs the additional cost of being
	// the first stage.
	perLayerMs, stageMs, firstStageMs float64
	// shared is what the engine saves of the prompt.
	shared sharedPrefix
}

// candidates returns the engines with their costs, except for the pinned first
// stage.
func (p *Picker) candidates(now time.Time, m *layered.Model, r Request, engines []*directory.Upstream) []candidate {
	candidates := make([]candidate, 0, len(engines))
	for _, e := range engines {
		if r.isPinned(e) {
			continue
		}
		factor := r.jitterFactor(e.ID)
		c := candidate{Upstream: e, perLayerMs: p.layerCost(now, m, r, e) * factor, stageMs: p.stageCost(now, m, r, e) * factor, shared: p.sharedPrefix(now, m, r, e)}
		if e.Layers.From == 0 {
			c.firstStageMs = p.slotCost(now, r, e)
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// shortest returns the cheapest chain among the engines of a zone, or of all zones
// if zone is empty, and its cost in ms. The chain is nil and the cost +Inf if
// there is none.
func (p *Picker) shortest(now time.Time, m *layered.Model, engines []candidate, r Request, zone ids.Zone) (Chain, float64) {
	var inZone []candidate
	for _, e := range engines {
		if zone == "" || e.Zone == zone {
			inZone = append(inZone, e)
		}
	}
	boundaries := layerBoundaries(inZone, m.Layers, r.PinnedFirst)
	return shortestPath(boundaries, m.Layers, r.PinnedFirst, func(paths []partialPath, i int) {
		for j := range inZone {
			p.extendPaths(now, m, r, boundaries, paths, i, &inZone[j])
		}
	})
}

// shortestPath returns the cheapest chain from layer 0 to the last layer over
// ascending layer boundaries, and its cost in ms. The chain is nil and the cost +Inf
// if there is none. The chain begins with pinnedFirst if that is set, at no cost.
// extend extends the path to boundary i by one stage of each engine.
func shortestPath(boundaries []int, layers int, pinnedFirst *Stage, extend func(paths []partialPath, i int)) (Chain, float64) {
	if len(boundaries) < 2 || boundaries[0] != 0 || boundaries[len(boundaries)-1] != layers {
		return nil, math.Inf(1)
	}
	paths := make([]partialPath, len(boundaries))
	for i := range paths {
		paths[i].cost = math.Inf(1)
	}
	start := 0
	if pinnedFirst != nil {
		start = slices.Index(boundaries, pinnedFirst.Layers.To)
		paths[start].last = *pinnedFirst
	}
	paths[start].cost = 0
	for i := start; i < len(boundaries)-1; i++ {
		if !math.IsInf(paths[i].cost, 1) {
			extend(paths, i)
		}
	}
	last := len(boundaries) - 1
	if math.IsInf(paths[last].cost, 1) {
		return nil, math.Inf(1)
	}
	return chainOf(paths, last), paths[last].cost
}

// layerBoundaries returns the layers at which an engine's range or the pinned
// first stage begins or ends, ascending and without duplicates.
func layerBoundaries(engines []candidate, layers int, pinnedFirst *Stage) []int {
	var boundaries []int
	if pinnedFirst != nil {
		boundaries = append(boundaries, pinnedFirst.Layers.From, pinnedFirst.Layers.To)
	}
	for _, e := range engines {
		boundaries = append(boundaries, min(e.Layers.From, layers), min(e.Layers.To, layers))
	}
	slices.Sort(boundaries)
	return slices.Compact(boundaries)
}

// extendPaths extends the path to boundary i by a stage on engine e, and stores
// the result for each later boundary that it reaches at lower cost than before.
func (p *Picker) extendPaths(now time.Time, m *layered.Model, r Request, boundaries []int, paths []partialPath, i int, e *candidate) {
	from := boundaries[i]
	if e.Layers.From > from || e.Layers.To <= from || from == 0 && !r.mayBeFirst(e.Upstream) {
		return
	}
	fixed := e.stageMs
	if from == 0 {
		fixed += e.firstStageMs
	}
	if prev := paths[i].last.Engine; prev != nil && prev.Zone != e.Zone {
		crossing := p.zoneCrossingCost(now, m, prev.Zone, e.Zone, r.PromptTokens)
		if r.freeLinksOnly && crossing >= recentRefusalCostMs {
			return
		}
		fixed += crossing
	}
	for j := i + 1; j < len(boundaries) && boundaries[j] <= e.Layers.To; j++ {
		stage := Stage{e.Upstream, layered.Range{From: from, To: boundaries[j]}}
		cost := paths[i].cost + fixed + e.perLayerMs*float64(boundaries[j]-from) - e.shared.savedMs(stage.Layers)
		if cost < paths[j].cost {
			paths[j] = partialPath{cost: cost, last: stage, prev: i}
		}
	}
}

// decodePasses returns the number of decoding passes that a request takes.
func (r Request) decodePasses(m *layered.Model) float64 {
	return r.OutputTokens / float64(max(m.StepsPerPass, 1))
}

// stageCost returns the cost in ms of an engine as a stage of a chain, whatever
// the number of layers that it runs: transfer and waiting time of each decoding
// pass, and the costs of an engine with little free capacity or that refuses.
func (p *Picker) stageCost(now time.Time, m *layered.Model, r Request, e *directory.Upstream) float64 {
	streams := 1 + p.expectedLoad(now, e.ID).streams
	wait := m.WaitMs(m.Cards[e.Card], e.Layers.Len(), streams, r.kvTokens())
	return r.decodePasses(m)*(stageTransferCostMs+wait*p.slowdownFactor(now, e.ID)) + p.capacityCostAt(now, e.ID, p.kvUtilization(now, m, e), r.highKVUtilization()) + p.refusalCost(now, e.ID)
}

// capacityCostAt returns the cost in ms of an engine for the utilization of its KV cache
// that a request finds, 0 up to the utilization high.
func (p *Picker) capacityCostAt(now time.Time, id ids.Instance, utilization, high float64) float64 {
	cost := max(utilization-high, 0) / (1 - high) * fullKVCacheCostMs
	if p.conditions.IsFull(now, id) {
		cost += recentRefusalCostMs
	}
	return cost
}

// slowEngineFactor multiplies the cost of an engine that is slow enough to delay
// answers: callers lose more by a late answer than the time that it takes.
const slowEngineFactor = 4.0

// slowdownFactor returns the factor on the costs of an engine for its slowdown: the
// slowdown itself, which is 1 at normal speed and higher for a slower engine, and
// slowEngineFactor times that from condition.StalledSlowdown on.
func (p *Picker) slowdownFactor(now time.Time, id ids.Instance) float64 {
	slowdown := p.conditions.Slowdown(now, id)
	if slowdown < condition.StalledSlowdown {
		return slowdown
	}
	return slowdown * slowEngineFactor
}

// layerCost returns the expected time in ms that a request takes in one layer of
// an engine, for its prompt and all decoding passes.
func (p *Picker) layerCost(now time.Time, m *layered.Model, r Request, e *directory.Upstream) float64 {
	card := cardOf(m, e)
	streams := 1 + p.expectedLoad(now, e.ID).streams
	cost := m.PrefillMs(card, 1, r.PromptTokens) + r.decodePasses(m)*m.PassMs(card, 1, streams, r.kvTokens())
	return cost * p.slowdownFactor(now, e.ID)
}

// cardOf returns the accelerator card of an engine, one of factor 1 if its type is not
// known.
func cardOf(m *layered.Model, e *directory.Upstream) layered.Card {
	if card, known := m.Cards[e.Card]; known {
		return card
	}
	return layered.Card{StepFactor: 1, PrefillFactor: 1}
}

// chainOf returns the chain of the path that ends at boundary last.
func chainOf(paths []partialPath, last int) Chain {
	var c Chain
	for i := last; i > 0; i = paths[i].prev {
		c = append(c, paths[i].last)
	}
	slices.Reverse(c)
	return mergeStages(c)
}

// mergeStages returns a chain in which no engine occurs twice. The first of two
// stages on the same engine takes over all layers up to the end of the second,
// and the stages between are dropped: the engine holds their layers as well,
// because its layers are contiguous.
func mergeStages(c Chain) Chain {
	for i := range c {
		for j := len(c) - 1; j > i; j-- {
			if c[j].Engine.ID == c[i].Engine.ID {
				c[i].Layers.To = c[j].Layers.To
				return mergeStages(append(c[:i+1:i+1], c[j+1:]...))
			}
		}
	}
	return c
}
