package topology

import "time"

// Flow is one maximum flow through a Graph, in token steps a second.
type Flow struct {
	// Total is the flow of the whole graph; it equals Bound.
	Total float64
	// Engine is the flow through each engine.
	Engine []float64
	// Edge is the flow over each edge, in the shape of Graph.Next.
	Edge [][]float64
}

// Tuning of Flows.
const (
	// spreadRounds is how often rates still free are filled in proportion
	// before the rest is found path by path.
	spreadRounds = 12
	// spreadLeast is the part of the flow so far that another round must add.
	spreadLeast = 0.002
	// nearTime is the time of a step over a link at which preference is a quarter.
	nearTime = 2 * time.Millisecond
	// easyPart is the part of a link's limit filled in the first rounds:
	// steps queue at a link run close to its limit.
	easyPart = 0.6
)

// Scale tells which part of each engine and link of a Graph may be used, from
// 0 for none to 1 for all. A nil func means all.
type Scale struct {
	// Engine gives the part of engine i.
	Engine func(i int) float64
	// Link gives the part of the k-th edge of engine i. The edge's limit is
	// scaled by it; an edge without limit counts as limited by its engine.
	Link func(i, k int) float64
}

// Flows gives a maximum flow that loads the engines of a stage nearly in
// proportion to their rates, with some preference for quick links.
// The libraries at hand give the value of a maximum flow but no flow, so it
// is built here: first by rounds that fill all engines in proportion, then by
// augmenting paths until none is left.
func Flows(g *Graph) *Flow { return ScaledFlows(g, Scale{}) }

// ScaledFlows is Flows for a graph of which only parts may be used.
func ScaledFlows(g *Graph, p Scale) *Flow {
	s := newSpread(g, p)
	for _, s.part = range [...]float64{easyPart, 1} {
		s.rounds()
	}
	newAugmenter(s).run()
	return s.result()
}

// rounds fills engines in proportion until little is added.
func (s *spread) rounds() {
	for range spreadRounds {
		added := s.round()
		if added <= spreadLeast*s.total {
			return
		}
	}
}

// arc is one edge of a graph in a flat list.
type arc struct {
	from, to int
	// capacity and flow are in token steps a second.
	capacity, flow float64
	// limited tells that the link itself has a limit.
	limited bool
	// preference is larger for links with less time a step.
	preference float64
	// push is the flow added by the current round.
	push float64
}

// spread builds a flow by proportional rounds.
type spread struct {
	g     *Graph
	total float64
	// part is the part of the links' limits to fill now.
	part float64
	// rate and flow are each engine's.
	rate, flow []float64
	// in is what the current round offers each engine.
	in []float64
	// arcs are ordered by from; those of engine i are out[i] to out[i+1].
	arcs []arc
	out  []int
}

// newSpread makes the empty flow of parts of a graph.
func newSpread(g *Graph, p Scale) *spread {
	n := len(g.engines)
	s := &spread{
		g:    g,
		rate: make([]float64, n),
		flow: make([]float64, n),
		in:   make([]float64, n),
		arcs: make([]arc, 0, g.edges),
		out:  make([]int, n+1),
	}
	for i, e := range g.engines {
		s.rate[i] = max(e.Rate, 0) * p.engine(i)
		for k, edge := range g.next[i] {
			a := newArc(i, edge, s.rate[i])
			a.capacity *= p.link(i, k)
			s.arcs = append(s.arcs, a)
		}
		s.out[i+1] = len(s.arcs)
	}
	return s
}

// engine gives the part of an engine.
func (p Scale) engine(i int) float64 {
	if p.Engine == nil {
		return 1
	}
	return min(max(p.Engine(i), 0), 1)
}

// link gives the part of an edge.
func (p Scale) link(i, k int) float64 {
	if p.Link == nil {
		return 1
	}
	return min(max(p.Link(i, k), 0), 1)
}

// newArc makes the arc of an edge from an engine of the given rate.
func newArc(from int, e Edge, rate float64) arc {
	near := nearTime.Seconds()
	part := near / (near + e.StepTime())
	return arc{
		from:       from,
		to:         e.To,
		capacity:   edgeCapacity(e, rate),
		limited:    e.Rate > 0,
		preference: part * part,
	}
}

// leaving lists the arcs from an engine.
func (s *spread) leaving(i int) []arc { return s.arcs[s.out[i]:s.out[i+1]] }

// free gives an engine's rate that no flow uses.
func (s *spread) free(i int) float64 { return max(s.rate[i]-s.flow[i], 0) }

// round offers all free rate of the heads, passes it on in proportion to the
// free rates ahead, and keeps what arrives at the end. It gives what it added.
func (s *spread) round() float64 {
	clear(s.in)
	for _, i := range s.g.heads {
		s.in[i] = s.free(i)
	}
	// Engines are in order of their first layers: arcs lead to later ones.
	for i := range s.rate {
		s.offer(i)
	}
	for i := len(s.rate) - 1; i >= 0; i-- {
		s.accept(i)
	}
	added := 0.0
	for _, i := range s.g.heads {
		added += s.in[i]
	}
	s.total += added
	return added
}

// offer passes an engine's share of the round on to its followers.
func (s *spread) offer(i int) {
	arcs := s.leaving(i)
	weights := 0.0
	for k := range arcs {
		weights += s.weight(&arcs[k])
	}
	share := min(s.in[i], s.free(i))
	for k := range arcs {
		a := &arcs[k]
		a.push = 0
		if weights > 0 {
			a.push = min(share*s.weight(a)/weights, s.open(a)-a.flow)
		}
		s.in[a.to] += a.push
	}
}

// weight gives an arc's part in its engine's offer.
func (s *spread) weight(a *arc) float64 {
	if a.flow >= s.open(a) {
		return 0
	}
	return a.preference * s.free(a.to)
}

// open gives the flow that an arc may carry now.
func (s *spread) open(a *arc) float64 {
	if a.limited {
		return s.part * a.capacity
	}
	return a.capacity
}

// accept settles how much of its offer an engine takes: no more than its free
// rate and no more than its followers took. Afterwards in is what it took.
func (s *spread) accept(i int) {
	arcs := s.leaving(i)
	taken := 0.0
	for k := range arcs {
		a := &arcs[k]
		a.push *= s.in[a.to]
		a.flow += a.push
		taken += a.push
	}
	offered := s.in[i]
	if s.g.IsTail(i) {
		taken = min(offered, s.free(i))
	}
	s.flow[i] += taken
	s.settle(i, offered, taken)
}

// settle replaces an engine's offer by what it took: for a head the flow, for
// another the part of the offer.
func (s *spread) settle(i int, offered, taken float64) {
	switch {
	case s.g.engines[i].First == 0:
		s.in[i] = taken
	case offered > 0:
		s.in[i] = taken / offered
	default:
		s.in[i] = 0
	}
}

// result copies the flow out.
func (s *spread) result() *Flow {
	f := &Flow{Total: s.total, Engine: s.flow, Edge: make([][]float64, len(s.rate))}
	for i := range s.rate {
		arcs := s.leaving(i)
		f.Edge[i] = make([]float64, len(arcs))
		for k := range arcs {
			f.Edge[i][k] = arcs[k].flow
		}
	}
	return f
}
