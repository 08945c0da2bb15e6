package chain

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/prefix"
)

// Picker chooses chains. It tracks the requests that this node runs on each
// engine and between zones. Create it with New.
type Picker struct {
	conditions *condition.Table
	engines    map[ids.Instance]*engineState
	// zoneLinks are the links between zones that requests of this node used.
	zoneLinks map[zonePair]*zoneLink
	// nodeCount is the number of nodes. This node's own load, multiplied by it,
	// is the estimate of the load from all nodes where others does not know it.
	nodeCount float64
	// prefixes holds the prompt prefixes of this node's requests on each engine.
	prefixes *prefix.Running
	// others is the load of the other nodes, as they have told.
	others *load.View
}

// engineState is the load of one engine as this node knows it.
type engineState struct {
	// current is the load from requests of this node.
	current engineLoad
	// mean is the exponential moving average of current, as of meanAt.
	mean   engineLoad
	meanAt time.Time
	// report is the latest load that the engine reported with an answer.
	report loadReport
	// added is the load that requests of this node have recently added, as of addedAt.
	added   engineLoad
	addedAt time.Time
	// repairs is the prefill work that repairs have put on the engine.
	repairs prefillBacklog
	// sent counts the sends of this node, and the refusals by an engine with capacity.
	sent load.SendHistory
	// forgotten is set if Forget was called while requests of this node ran on the engine.
	forgotten bool
}

// engineLoad is the load that requests put on an engine.
type engineLoad struct {
	// streams is the number of requests whose chain the engine is part of.
	streams float64
	// tokenLayers is the KV cache of these requests: tokens times layers.
	tokenLayers float64
	// firstStages is the number of requests whose first stage the engine is.
	firstStages float64
}

// interpolate returns the load between l (fraction 0) and o (fraction 1).
func (l engineLoad) interpolate(o engineLoad, fraction float64) engineLoad {
	return engineLoad{
		streams:     l.streams + fraction*(o.streams-l.streams),
		tokenLayers: l.tokenLayers + fraction*(o.tokenLayers-l.tokenLayers),
		firstStages: l.firstStages + fraction*(o.firstStages-l.firstStages),
	}
}

const (
	// loadAveragePeriod is the time constant of the moving average of load.
	loadAveragePeriod = 3 * time.Second
	// currentLoadWeight is the weight of the current load in the estimated load
	// per node; the moving average has the rest. A node has a handful of
	// requests on an engine, so its current number times the number of nodes
	// is mostly noise.
	currentLoadWeight = 0.3
)

// updateMean updates the moving average to time now.
func (s *engineState) updateMean(now time.Time) {
	passed := now.Sub(s.meanAt)
	s.meanAt = now
	s.mean = s.mean.interpolate(s.current, 1-math.Exp(-passed.Seconds()/loadAveragePeriod.Seconds()))
}

// loadPerNode returns the estimated load that an average node puts on the
// engine.
func (s *engineState) loadPerNode(now time.Time) engineLoad {
	s.updateMean(now)
	return s.mean.interpolate(s.current, currentLoadWeight)
}

// scale returns the load multiplied by a factor.
func (l engineLoad) scale(factor float64) engineLoad {
	return engineLoad{streams: l.streams * factor, tokenLayers: l.tokenLayers * factor, firstStages: l.firstStages * factor}
}

// New returns a Picker that takes the health of engines from conditions, which
// may be shared with other pickers.
func New(conditions *condition.Table) *Picker {
	return &Picker{conditions: conditions, engines: make(map[ids.Instance]*engineState), zoneLinks: make(map[zonePair]*zoneLink), nodeCount: 1, prefixes: prefix.NewRunning(), others: load.NewView()}
}

// SetNodeCount sets the number of nodes that share the engines, at least 1.
func (p *Picker) SetNodeCount(nodes int) {
	p.nodeCount = float64(max(nodes, 1))
	p.others.SetNodes(nodes)
}

// Forget drops the state of an engine that is gone: at once, or when the last request of
// this node there has ended.
func (p *Picker) Forget(id ids.Instance) {
	if s := p.engines[id]; s != nil {
		s.forgotten = true
		p.dropIfUnused(id)
	}
}

// dropIfUnused drops the state of an engine that is forgotten and has no requests.
func (p *Picker) dropIfUnused(id ids.Instance) {
	if s := p.engines[id]; s != nil && s.forgotten && s.current.streams <= 0 {
		delete(p.engines, id)
	}
}

// engineState returns the state of an engine, created if missing.
func (p *Picker) engineState(id ids.Instance) *engineState {
	s := p.engines[id]
	if s == nil {
		s = &engineState{}
		p.engines[id] = s
	}
	return s
}

// RequestStarted adds a request to the load of the engines of its chain and of
// the links between zones that the chain uses.
func (p *Picker) RequestStarted(now time.Time, c Chain, r Request) {
	p.addLoad(now, c, r, 1)
	for i := 1; i < len(c); i++ {
		if from, to := c[i-1].Engine.Zone, c[i].Engine.Zone; from != to {
			p.zoneLink(from, to).addPrompt(now, r.PromptTokens)
		}
	}
}

// RequestEnded removes a request from the load of the engines of its chain. The
// chain and r must be those that RequestStarted was called with.
func (p *Picker) RequestEnded(now time.Time, c Chain, r Request) {
	p.addLoad(now, c, r, -1)
	for _, stage := range c {
		p.dropIfUnused(stage.Engine.ID)
	}
}

// addLoad adds a request to the load of each engine of a chain (sign 1), or
// removes it (sign -1).
func (p *Picker) addLoad(now time.Time, c Chain, r Request, sign float64) {
	for i, stage := range c {
		s := p.engineState(stage.Engine.ID)
		s.updateMean(now)
		l := engineLoad{streams: 1, tokenLayers: r.kvTokens() * float64(stage.Layers.Len())}
		if i == 0 {
			l.firstStages = 1
		}
		s.current = s.current.plus(l.scale(sign))
		if sign > 0 {
			s.decayAdded(now)
			s.added = s.added.plus(l)
		}
		p.addPrefix(stage, r, sign)
	}
}

// zonePair is a pair of zones, the lesser name first.
type zonePair [2]ids.Zone

// newZonePair returns the pair of two zones in either order.
func newZonePair(one, other ids.Zone) zonePair { return zonePair{min(one, other), max(one, other)} }

// zoneLink is the load on the network link between two zones.
type zoneLink struct {
	// tokensPerS is the moving average of the prompt tokens per second that
	// this node's requests send over the link, as of updatedAt.
	tokensPerS float64
	updatedAt  time.Time
	// decidedAt is when a prompt was last sent over the link, or mayCross last refused that.
	decidedAt time.Time
}

// zoneLinkAveragePeriod is the time constant of the moving average of a zone
// link. A burst of 100 prompts per second needs 11 times the capacity of a link
// of 3,280 Mbit/s and lasts some seconds, so the average must react faster.
const zoneLinkAveragePeriod = time.Second

// zoneLink returns the link between two zones, created if missing.
func (p *Picker) zoneLink(one, other ids.Zone) *zoneLink {
	key := newZonePair(one, other)
	l := p.zoneLinks[key]
	if l == nil {
		l = &zoneLink{}
		p.zoneLinks[key] = l
	}
	return l
}

// decay updates the moving average to time now.
func (l *zoneLink) decay(now time.Time) {
	l.tokensPerS *= math.Exp(-now.Sub(l.updatedAt).Seconds() / zoneLinkAveragePeriod.Seconds())
	l.updatedAt = now
}

// addPrompt adds the prompt tokens of a request to the moving average.
func (l *zoneLink) addPrompt(now time.Time, tokens float64) {
	l.decay(now)
	l.tokensPerS += tokens / zoneLinkAveragePeriod.Seconds()
	l.decidedAt = now
}

// minFreeLinkFraction is the least fraction of a zone link's capacity that is
// assumed free; it bounds the cost of crossing.
const minFreeLinkFraction = 0.05

// zoneCrossingCost returns the cost in ms of a stage in another zone than the
// stage before, for a number of prompt tokens. It includes the delay that the transfer
// of the prompt's activations causes to other streams, and rises with the utilization
// of the link between the zones, as estimated from this node's own requests.
func (p *Picker) zoneCrossingCost(now time.Time, m *layered.Model, from, to ids.Zone, promptTokens float64) float64 {
	cost := min(zoneCrossingCostMs+streamsPerZoneLink*m.ZoneLinkUtilization(promptTokens)*msPerS, maxIdleCrossingCostMs)
	l := p.zoneLinks[newZonePair(from, to)]
	if l == nil {
		return cost
	}
	l.decay(now)
	return cost / max(1-m.ZoneLinkUtilization(l.tokensPerS*p.nodeCount), minFreeLinkFraction)
}
