package chain

import (
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/directory"
)

// Repair describes a running stream whose chain has to change. A stage with the same
// engine and the same layers as before keeps the stream's KV cache. Every other stage
// prefills the prompt and all tokens produced so far.
type Repair struct {
	// Present is the chain that the stream runs on. Its first stage stays.
	Present Chain
	// ProducedTokens is the number of output tokens produced so far.
	ProducedTokens float64
	// WithinZones excludes chains for whose new stages the prefill has to cross a link
	// between zones.
	WithinZones bool
}

const (
	// repairPrefillWeight multiplies the prefill time of new stages, and the time that it
	// waits for the prefill of other repairs. Prefill delays a single event, while slower
	// decoding is spread over all events that remain, some 30 on average.
	repairPrefillWeight = 5.0
	// minRemainingPasses is the least number of decoding passes that are assumed to
	// remain, for streams that are longer than expected.
	minRemainingPasses = 1.0
	// msPerS is the number of milliseconds in a second.
	msPerS = 1000.0
)

// PrefillTokens returns the number of tokens that a new stage has to prefill.
func (rep Repair) PrefillTokens(r Request) float64 { return r.PromptTokens + rep.ProducedTokens }

// remaining returns the request with the output that is still to be decoded. Its prompt
// is what has been read and produced so far, so that the KV cache has the same size.
func (rep Repair) remaining(m *layered.Model, r Request) Request {
	passTokens := float64(max(m.StepsPerPass, 1))
	r.OutputTokens = max(r.OutputTokens-rep.ProducedTokens, minRemainingPasses*passTokens)
	r.PromptTokens = rep.PrefillTokens(r)
	return r
}

// keeps reports whether a stage keeps the stream's KV cache.
func (rep Repair) keeps(s Stage) bool {
	return slices.ContainsFunc(rep.Present, func(old Stage) bool { return old.sameAs(s) })
}

// sameAs reports whether two stages are the same layers on the same engine.
func (s Stage) sameAs(o Stage) bool { return s.Engine.ID == o.Engine.ID && s.Layers == o.Layers }

// NewStages returns the stages of a chain that do not keep the stream's KV cache.
func (rep Repair) NewStages(c Chain) Chain {
	return slices.DeleteFunc(slices.Clone(c), rep.keeps)
}

// ChangedLayers returns the number of layers of a chain that prefill again.
func (rep Repair) ChangedLayers(c Chain) int {
	layers := 0
	for _, s := range rep.NewStages(c) {
		layers += s.Layers.Len()
	}
	return layers
}

// prefillBacklog is the prefill work of an engine that is not done yet, for all nodes.
type prefillBacklog struct {
	// ms is the work in ms as of updatedAt.
	ms        float64
	updatedAt time.Time
}

// at returns the work in ms that is left at now: an engine completes 1 ms of it per ms.
func (b prefillBacklog) at(now time.Time) float64 {
	passed := max(now.Sub(b.updatedAt), 0)
	return max(b.ms-float64(passed)/float64(time.Millisecond), 0)
}

// add adds ms of work, or removes it if ms is negative.
func (b *prefillBacklog) add(now time.Time, ms float64) {
	b.ms, b.updatedAt = max(b.at(now)+ms, 0), now
}

// PickRepair returns the chain to which a running stream moves, with the first stage
// that it has. It is the cheapest one over the usable engines of all zones, where
//   - a stage that keeps its KV cache costs the rest of the decoding only;
//   - a new stage also costs the prefill of all tokens, the prefill that repairs have
//     recently put on the engine, and the engine's capacity.
//
// r is the request as RequestStarted was called with it, except for Avoid and
// JitterSeed. The error is a *NoChainError.
func (p *Picker) PickRepair(now time.Time, m *layered.Model, view *directory.View, r Request, rep Repair) (Chain, error) {
	all := view.ByService(r.Service)
	s := &repairSearch{p: p, now: now, m: m, r: rep.remaining(m, r), rep: rep}
	s.findKept(all)
	usable := make([]*directory.Upstream, 0, len(all))
	for _, e := range all {
		if !e.Leaving && !e.Layers.Empty() && !r.Avoid[e.ID] && !s.isFirst(e) && (!p.isUnhealthy(now, e) || s.kept[e.ID] != nil) {
			usable = append(usable, e)
		}
	}
	s.estimateBurst(usable)
	for _, e := range usable {
		s.candidates = append(s.candidates, s.candidate(e))
	}
	s.setBoundaries()
	best, bestCost := s.shortest(true)
	// An engine of the present chain may take over further layers. In a second search it
	// may be a new stage, which makes it lose the layers that it keeps.
	if c, cost := s.shortest(false); cost < bestCost {
		best = c
	}
	if best == nil {
		return nil, &NoChainError{Service: r.Service, Engines: len(all), Usable: len(s.candidates)}
	}
	return best, nil
}

// repairSearch is one search for the chain of a repair.
type repairSearch struct {
	p   *Picker
	now time.Time
	m   *layered.Model
	// r has the tokens that remain to be decoded as its output.
	r   Request
	rep Repair
	// kept holds the stages after the first that can keep their KV cache.
	kept       map[ids.Instance]*Stage
	candidates []repairCandidate
	boundaries []int
	// holders are the candidates that hold the layer after each boundary.
	holders [][]*repairCandidate
	// burst is the estimated number of streams of all nodes that have to leave the same
	// engine, arrivals that of those among them that move to one engine.
	burst, arrivals float64
}

// repairCandidate is an engine with its costs for one repair, in ms.
type repairCandidate struct {
	*directory.Upstream
	// kept is the stage that the engine can keep, nil if there is none, and keptMs its
	// cost.
	kept   *Stage
	keptMs float64
	// perLayerMs and stageMs are the costs of a new stage, for each layer and for the
	// stage.
	perLayerMs, stageMs float64
}

// isFirst reports whether an engine runs the first stage, which stays.
func (s *repairSearch) isFirst(e *directory.Upstream) bool {
	return s.rep.Present[0].Engine.ID == e.ID
}

// findKept sets the stages that can keep their KV cache: those whose engines are not to
// be avoided, are not suspected of a failure, and still hold the layers. An engine that
// refuses new requests keeps its streams.
func (s *repairSearch) findKept(engines []*directory.Upstream) {
	s.kept = make(map[ids.Instance]*Stage)
	for _, e := range engines {
		i := slices.IndexFunc(s.rep.Present, func(old Stage) bool { return old.Engine.ID == e.ID })
		if i < 1 || e.Leaving || s.r.Avoid[e.ID] || !e.Layers.Covers(s.rep.Present[i].Layers) {
			continue
		}
		if !s.p.conditions.SuspectedOfFailure(s.now, e.ID, e.Zone) && !s.p.conditions.Silent(e.ID, e.Zone) {
			s.kept[e.ID] = &Stage{Engine: e, Layers: s.rep.Present[i].Layers}
		}
	}
}

// estimateBurst estimates the number of streams of all nodes that leave an engine of the
// present chain together with this one, and how many of them move to each of the usable
// engines that hold layers of that engine's stage.
func (s *repairSearch) estimateBurst(usable []*directory.Upstream) {
	for _, old := range s.rep.Present[1:] {
		streams := s.p.fleetLoad(s.now, old.Engine.ID).streams
		if s.kept[old.Engine.ID] != nil || streams <= s.burst {
			continue
		}
		replacements := 0
		for _, e := range usable {
			if !e.Layers.Intersect(old.Layers).Empty() {
				replacements++
			}
		}
		s.burst, s.arrivals = streams, streams/float64(max(replacements, 1))
	}
}

// candidate returns an engine with its costs.
func (s *repairSearch) candidate(e *directory.Upstream) repairCandidate {
	streams := s.p.expectedLoad(s.now, e.ID).streams
	c := repairCandidate{Upstream: e, kept: s.kept[e.ID]}
	if c.kept != nil {
		c.keptMs = s.decodeMs(e, c.kept.Layers.Len(), max(streams, 1))
		streams = max(streams-1, 0)
	}
	fixed, perLayer := s.decodeMs(e, 0, streams+1), s.decodeMs(e, 1, streams+1)
	c.stageMs = fixed + s.occupancyMs(e)
	c.perLayerMs = perLayer - fixed + s.prefillMs(e, 1)*repairPrefillWeight*s.expectedRivals(e.ID)
	return c
}

// decodeMs returns the time in ms of the rest of the decoding at a stage, with the
// factor for a slow engine. streams is the number of streams that the engine runs.
func (s *repairSearch) decodeMs(e *directory.Upstream, layers int, streams float64) float64 {
	card := cardOf(s.m, e)
	pass := s.m.WaitMs(card, e.Layers.Len(), streams, s.r.kvTokens()) + s.m.PassMs(card, layers, streams, s.r.kvTokens())
	return s.r.decodePasses(s.m) * (stageTransferCostMs + pass*s.p.slowdownFactor(s.now, e.ID))
}

// prefillMs returns the time in ms that an engine takes to prefill all tokens in a number
// of layers, with the factor for a slow engine.
func (s *repairSearch) prefillMs(e *directory.Upstream, layers int) float64 {
	return s.m.PrefillMs(cardOf(s.m, e), layers, s.r.PromptTokens) * s.p.slowdownFactor(s.now, e.ID)
}

// occupancyMs returns the cost in ms of a new stage for the work that the engine has: the
// prefill of other repairs, and little free capacity. The KV cache of the streams that are
// expected to move to the engine counts too. If the engine is full, all of them are
// rejected or evict others, so the cost of capacity grows with their number as the time for
// prefill does.
func (s *repairSearch) occupancyMs(e *directory.Upstream) float64 {
	used := s.p.kvUtilization(s.now, s.m, e)
	if capacity := s.m.KVCapacityTokens(s.m.Cards[e.Card], e.Layers.Len()); capacity > 0 {
		used += (1 + s.arrivals) * s.r.kvTokens() / capacity
	}
	return repairPrefillWeight*s.p.RepairBacklog(s.now, e.ID) + (1+s.arrivals)*s.p.capacityCostAt(s.now, e.ID, used, highUtilization)
}

// expectedRivals returns the factor on the time that an engine or a link takes, for other
// streams that leave the same engine at the same moment and of which this node knows
// nothing yet. It is drawn evenly from 1 to 1 + burst for each stream and each engine or
// link. Each engine is then chosen about in proportion to its prefill speed, which levels
// the backlogs.
func (s *repairSearch) expectedRivals(id ids.Instance) float64 {
	if s.r.JitterSeed == 0 {
		return 1
	}
	return 1 + s.burst*s.r.jitter(id)
}

// setBoundaries sets the layers at which a stage may begin or end, those of the engines
// and of the present stages, and the candidates that hold the layer after each.
func (s *repairSearch) setBoundaries() {
	bounds := make([]int, 0, 2*(len(s.candidates)+len(s.rep.Present)))
	for _, old := range s.rep.Present {
		bounds = append(bounds, old.Layers.From, old.Layers.To)
	}
	for i := range s.candidates {
		layers := s.candidates[i].Layers
		bounds = append(bounds, min(layers.From, s.m.Layers), min(layers.To, s.m.Layers))
	}
	slices.Sort(bounds)
	s.boundaries = slices.Compact(bounds)
	s.holders = make([][]*repairCandidate, len(s.boundaries))
	for j := range s.candidates {
		e := &s.candidates[j]
		from, _ := slices.BinarySearch(s.boundaries, e.Layers.From)
		for i := from; i < len(s.boundaries) && s.boundaries[i] < e.Layers.To; i++ {
			s.holders[i] = append(s.holders[i], e)
		}
	}
}

// shortest returns the cheapest chain and its cost in ms, nil and +Inf if there is none.
// If keepOnly is set, engines that can keep a stage are used for that stage only.
func (s *repairSearch) shortest(keepOnly bool) (Chain, float64) {
	first := &s.rep.Present[0]
	c, _ := shortestPath(s.boundaries, s.m.Layers, first, func(paths []partialPath, i int) {
		for _, e := range s.holders[i] {
			s.extend(paths, i, e, keepOnly)
		}
	})
	if c == nil {
		return nil, math.Inf(1)
	}
	// Two stages on one engine were merged, which may have replaced a kept stage, so the
	// cost of the path does not hold for the chain.
	return c, s.chainMs(c)
}

// extend extends the path to boundary i by a stage on engine e, which holds the layer
// after it, and stores the result for each later boundary that it reaches at lower cost
// than before.
func (s *repairSearch) extend(paths []partialPath, i int, e *repairCandidate, keepOnly bool) {
	from, prev := s.boundaries[i], paths[i].last
	fixed := s.newStageMs(prev, e)
	for j := i + 1; j < len(s.boundaries) && s.boundaries[j] <= e.Layers.To; j++ {
		layers := layered.Range{From: from, To: s.boundaries[j]}
		cost := fixed + e.perLayerMs*float64(layers.Len())
		switch {
		case e.keeps(layers):
			cost = s.keptStageMs(prev, e)
		case keepOnly && e.kept != nil:
			continue
		}
		if cost += paths[i].cost; cost < paths[j].cost {
			paths[j] = partialPath{cost: cost, last: Stage{e.Upstream, layers}, prev: i}
		}
	}
}

// keeps reports whether a stage of some layers on the engine keeps the KV cache.
func (e *repairCandidate) keeps(layers layered.Range) bool {
	return e.kept != nil && e.kept.Layers == layers
}

// newStageMs returns the cost in ms of a new stage on engine e after another stage,
// without that of its layers.
func (s *repairSearch) newStageMs(prev Stage, e *repairCandidate) float64 {
	return e.stageMs + s.crossingMs(prev.Engine.Zone, e.Zone, s.r.PromptTokens)
}

// keptStageMs returns the cost in ms of the stage that engine e keeps after another stage.
// A link that the present chain uses between the same two stages costs nothing: it carries
// the stream already.
func (s *repairSearch) keptStageMs(prev Stage, e *repairCandidate) float64 {
	if prev.Engine.Zone == e.Zone || s.rep.keeps(prev) {
		return e.keptMs
	}
	return e.keptMs + s.crossingMs(prev.Engine.Zone, e.Zone, 0)
}

// crossingMs returns the cost in ms of the link between two stages, 0 in one zone. The
// activations of a number of prefilled tokens pass over it, and those of the tokens that
// remain. The link carries the tokens of one stream at a time, so they wait for those of
// other repairs.
func (s *repairSearch) crossingMs(from, to ids.Zone, prefilled float64) float64 {
	if from == to {
		return 0
	}
	if s.rep.WithinZones && prefilled > 0 {
		return math.Inf(1)
	}
	fraction := (prefilled + s.r.OutputTokens) / s.r.kvTokens()
	transferMs := s.m.ZoneLinkUtilization(prefilled) * msPerS
	return fraction*s.p.zoneCrossingCost(s.now, s.m, from, to, prefilled) + repairPrefillWeight*transferMs*s.expectedRivals(newZonePair(from, to).key())
}

// LinkBacklogMs estimates the time in ms for which a link between two zones is busy if all
// streams that leave the lost engines of the present chain are moved over it. Everything
// else that crosses the link waits as long, also the tokens of streams that are not moved.
func (p *Picker) LinkBacklogMs(now time.Time, m *layered.Model, view *directory.View, r Request, rep Repair) float64 {
	s := &repairSearch{p: p, now: now, m: m, r: rep.remaining(m, r), rep: rep}
	s.findKept(view.ByService(r.Service))
	s.estimateBurst(nil)
	return s.burst * m.ZoneLinkUtilization(s.r.PromptTokens) * msPerS
}

// key returns the pair in the form of an ID, for what is drawn at random for it.
func (z zonePair) key() ids.Instance { return ids.Instance{Upstream: ids.Upstream(z[0] + "/" + z[1])} }

// chainMs returns the cost in ms of a chain.
func (s *repairSearch) chainMs(c Chain) float64 {
	cost := 0.0
	for i := 1; i < len(c); i++ {
		j := slices.IndexFunc(s.candidates, func(e repairCandidate) bool { return e.ID == c[i].Engine.ID })
		if e := &s.candidates[j]; e.keeps(c[i].Layers) {
			cost += s.keptStageMs(c[i-1], e)
		} else {
			cost += s.newStageMs(c[i-1], e) + e.perLayerMs*float64(c[i].Layers.Len())
		}
	}
	return cost
}

// RepairCost returns the cost in ms of the stages after the first for a running stream
// that moves to a chain, or that stays on it if it is rep.Present. As Cost, it leaves out
// the links between zones and what is drawn at random.
func (p *Picker) RepairCost(now time.Time, m *layered.Model, r Request, rep Repair, c Chain) float64 {
	s := &repairSearch{p: p, now: now, m: m, r: rep.remaining(m, r), rep: rep}
	cost := 0.0
	for _, stage := range c[1:] {
		e, streams := stage.Engine, p.fleetLoad(now, stage.Engine.ID).streams
		if rep.keeps(stage) {
			cost += s.decodeMs(e, stage.Layers.Len(), max(streams, 1))
			continue
		}
		cost += s.decodeMs(e, stage.Layers.Len(), streams+1) + s.occupancyMs(e) + repairPrefillWeight*s.prefillMs(e, stage.Layers.Len())
	}
	return cost
}

// RepairBacklog returns the prefill work in ms that repairs have put on an engine and that
// is not completed at now. It is that of this node's repairs times the number of nodes.
func (p *Picker) RepairBacklog(now time.Time, id ids.Instance) float64 {
	if s := p.engines[id]; s != nil {
		return s.repairs.at(now)
	}
	return 0
}

// RepairStarted moves a request from the load of the engines of rep.Present to that of
// the engines of chain c, before the order to move it is sent. It adds the prefill of new
// stages to their engines, and its activations to the links between zones. The order must
// be followed by RepairFailed if it fails.
func (p *Picker) RepairStarted(now time.Time, m *layered.Model, c Chain, r Request, rep Repair) {
	p.moveLoad(now, rep.Present, c, r, rep)
	p.addBacklog(now, m, c, r, rep, 1)
	for i := 1; i < len(c); i++ {
		if from, to := c[i-1].Engine.Zone, c[i].Engine.Zone; from != to && !rep.keeps(c[i]) {
			p.zoneLink(from, to).addPrompt(now, rep.PrefillTokens(r))
		}
	}
}

// RepairFailed undoes RepairStarted after a failed order: the request is still on
// rep.Present. What RepairStarted added to the links between zones fades by itself.
func (p *Picker) RepairFailed(now time.Time, m *layered.Model, c Chain, r Request, rep Repair) {
	p.addBacklog(now, m, c, r, rep, -1)
	for _, stage := range rep.Present {
		// A missing state was dropped after RepairStarted, since the engine is gone.
		if p.engines[stage.Engine.ID] == nil {
			p.engineState(stage.Engine.ID).forgotten = true
		}
	}
	p.moveLoad(now, c, rep.Present, r, rep)
}

// moveLoad moves a request from the load of the engines of one chain to that of another.
// Engines of rep.Present run the stream already, so it is not counted as recently added to
// them: that is multiplied by the number of the other nodes.
func (p *Picker) moveLoad(now time.Time, from, to Chain, r Request, rep Repair) {
	added := make([]engineLoad, len(rep.Present))
	for i, stage := range rep.Present {
		s := p.engineState(stage.Engine.ID)
		s.decayAdded(now)
		added[i] = s.added
	}
	p.addLoad(now, from, r, -1)
	p.addLoad(now, to, r, 1)
	for i, stage := range rep.Present {
		p.engineState(stage.Engine.ID).added = added[i]
	}
	for _, stage := range from {
		p.dropIfUnused(stage.Engine.ID)
	}
}

// addBacklog adds the prefill work of the new stages of a chain to their engines (sign 1),
// or removes it (sign -1).
func (p *Picker) addBacklog(now time.Time, m *layered.Model, c Chain, r Request, rep Repair, sign float64) {
	for _, stage := range rep.NewStages(c) {
		ms := m.PrefillMs(cardOf(m, stage.Engine), stage.Layers.Len(), rep.PrefillTokens(r))
		p.engineState(stage.Engine.ID).repairs.add(now, sign*ms*p.nodeCount)
	}
}
