package topology

import "time"

// Flow is a maximum flow through a Graph, in token steps per second.
type Flow struct {
	// Total is the flow through the whole graph; it equals Bound.
	Total float64
	// Engine is the flow through each engine, by index.
	Engine []float64
	// Edge is the flow over each edge, indexed as Graph.Next.
	Edge [][]float64
}

// Limits and weights used by Flows.
const (
	// maxFillRounds limits the rounds that fill free rates in proportion.
	// Augmenting paths find the rest.
	maxFillRounds = 12
	// minRoundGainFraction is the fraction of the flow so far that a round must add for
	// another one to follow.
	minRoundGainFraction = 0.002
	// quarterPreferenceTime is the step time of a link at which its preference is a
	// quarter of that of a link without delay.
	quarterPreferenceTime = 2 * time.Millisecond
	// firstPassLinkFraction is the fraction of a link's limit that the first pass
	// may fill: steps queue at a link that runs close to its limit.
	firstPassLinkFraction = 0.6
)

// Scale sets the fraction of each engine and link of a Graph that may be used, from
// 0 for none to 1 for all. A nil function means 1.
type Scale struct {
	// Engine returns the fraction of engine i.
	Engine func(i int) float64
	// Link returns the fraction of the k-th edge of engine i. It scales the edge's
	// limit; an edge without a limit counts as limited by its engine's rate.
	Link func(i, k int) float64
}

// Flows returns a maximum flow that loads the engines of a stage nearly in
// proportion to their rates, with some preference for links with short step times.
// It first fills the engines in proportional rounds and then adds augmenting paths
// until none is left. The available libraries compute only the value of a maximum
// flow, not the flow itself.
func Flows(g *Graph) *Flow { return ScaledFlows(g, Scale{}) }

// ScaledFlows is Flows for a graph of which only fractions may be used.
func ScaledFlows(g *Graph, sc Scale) *Flow {
	s := newFlowBuilder(g, sc)
	for _, s.linkFraction = range [...]float64{firstPassLinkFraction, 1} {
		s.fillProportionally()
	}
	newAugmenter(s).run()
	return s.result()
}

// fillProportionally runs rounds until one adds little.
func (s *flowBuilder) fillProportionally() {
	for range maxFillRounds {
		added := s.fillRound()
		if added <= minRoundGainFraction*s.total {
			return
		}
	}
}

// arc is an edge of the graph in a flat list.
type arc struct {
	from, to int
	// capacity and flow are in token steps per second.
	capacity, flow float64
	// limited is set if the link itself has a rate limit.
	limited bool
	// preference is between 0 and 1, larger for links with shorter step times.
	preference float64
	// added is the flow that the current round adds.
	added float64
}

// flowBuilder builds a flow by proportional rounds.
type flowBuilder struct {
	g     *Graph
	total float64
	// linkFraction is the fraction of the links' limits that may be filled now.
	linkFraction float64
	// rate and flow hold each engine's rate limit and flow.
	rate, flow []float64
	// inflow is what the current round offers each engine. accept replaces it by
	// what the engine took.
	inflow []float64
	// arcs are sorted by from; those of engine i are out[i] to out[i+1].
	arcs []arc
	out  []int
}

// newFlowBuilder returns an empty flow through the scaled graph.
func newFlowBuilder(g *Graph, sc Scale) *flowBuilder {
	n := len(g.engines)
	s := &flowBuilder{
		g:      g,
		rate:   make([]float64, n),
		flow:   make([]float64, n),
		inflow: make([]float64, n),
		arcs:   make([]arc, 0, g.edges),
		out:    make([]int, n+1),
	}
	for i, e := range g.engines {
		s.rate[i] = max(e.Rate, 0) * sc.engine(i)
		for k, edge := range g.next[i] {
			a := newArc(i, edge, s.rate[i])
			a.capacity *= sc.link(i, k)
			s.arcs = append(s.arcs, a)
		}
		s.out[i+1] = len(s.arcs)
	}
	return s
}

// engine returns the fraction of engine i that may be used, limited to 0 through 1.
func (sc Scale) engine(i int) float64 {
	if sc.Engine == nil {
		return 1
	}
	return min(max(sc.Engine(i), 0), 1)
}

// link returns the fraction of the k-th edge of engine i that may be used, limited to
// 0 through 1.
func (sc Scale) link(i, k int) float64 {
	if sc.Link == nil {
		return 1
	}
	return min(max(sc.Link(i, k), 0), 1)
}

// newArc returns the arc of an edge from an engine with the given rate.
func newArc(from int, e Edge, rate float64) arc {
	base := quarterPreferenceTime.Seconds()
	ratio := base / (base + e.StepSeconds())
	return arc{
		from:       from,
		to:         e.To,
		capacity:   edgeCapacity(e, rate),
		limited:    e.Rate > 0,
		preference: ratio * ratio,
	}
}

// arcsFrom returns the arcs that leave an engine.
func (s *flowBuilder) arcsFrom(i int) []arc { return s.arcs[s.out[i]:s.out[i+1]] }

// freeRate returns the part of an engine's rate that carries no flow.
func (s *flowBuilder) freeRate(i int) float64 { return max(s.rate[i]-s.flow[i], 0) }

// fillRound offers the free rate of the head engines, passes it on in proportion to
// the free rates of the following engines, and keeps what reaches the last layer.
// It returns the flow added.
func (s *flowBuilder) fillRound() float64 {
	clear(s.inflow)
	for _, i := range s.g.heads {
		s.inflow[i] = s.freeRate(i)
	}
	// Engines are sorted by their first layer, so arcs lead to later ones.
	for i := range s.rate {
		s.offer(i)
	}
	for i := len(s.rate) - 1; i >= 0; i-- {
		s.accept(i)
	}
	added := 0.0
	for _, i := range s.g.heads {
		added += s.inflow[i]
	}
	s.total += added
	return added
}

// offer passes what an engine was offered on to its followers.
func (s *flowBuilder) offer(i int) {
	arcs := s.arcsFrom(i)
	weights := 0.0
	for k := range arcs {
		weights += s.weight(&arcs[k])
	}
	share := min(s.inflow[i], s.freeRate(i))
	for k := range arcs {
		a := &arcs[k]
		a.added = 0
		if weights > 0 {
			a.added = min(share*s.weight(a)/weights, s.usable(a)-a.flow)
		}
		s.inflow[a.to] += a.added
	}
}

// weight returns the arc's weight in its engine's offer.
func (s *flowBuilder) weight(a *arc) float64 {
	if a.flow >= s.usable(a) {
		return 0
	}
	return a.preference * s.freeRate(a.to)
}

// usable returns the flow that an arc may carry in the current pass.
func (s *flowBuilder) usable(a *arc) float64 {
	if a.limited {
		return s.linkFraction * a.capacity
	}
	return a.capacity
}

// accept decides how much of its offer an engine takes: no more than its free rate
// and no more than its followers took. It then replaces the engine's inflow.
func (s *flowBuilder) accept(i int) {
	arcs := s.arcsFrom(i)
	taken := 0.0
	for k := range arcs {
		a := &arcs[k]
		a.added *= s.inflow[a.to]
		a.flow += a.added
		taken += a.added
	}
	offered := s.inflow[i]
	if s.g.IsTail(i) {
		taken = min(offered, s.freeRate(i))
	}
	s.flow[i] += taken
	s.setTaken(i, offered, taken)
}

// setTaken replaces an engine's inflow by what it took: for a head engine the flow,
// for another one the fraction of the offer.
func (s *flowBuilder) setTaken(i int, offered, taken float64) {
	switch {
	case s.g.engines[i].First == 0:
		s.inflow[i] = taken
	case offered > 0:
		s.inflow[i] = taken / offered
	default:
		s.inflow[i] = 0
	}
}

// result returns the completed flow.
func (s *flowBuilder) result() *Flow {
	f := &Flow{Total: s.total, Engine: s.flow, Edge: make([][]float64, len(s.rate))}
	for i := range s.rate {
		arcs := s.arcsFrom(i)
		f.Edge[i] = make([]float64, len(arcs))
		for k := range arcs {
			f.Edge[i][k] = arcs[k].flow
		}
	}
	return f
}
