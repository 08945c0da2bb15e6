package topology

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// Default one-way latencies of links that no report names.
const (
	DefaultSameZoneLatency  = 200 * time.Microsecond
	DefaultCrossZoneLatency = time.Millisecond
)

// Edge is one link of a Graph, from an engine to one that may follow it.
type Edge struct {
	// To is the index of the following engine.
	To int
	// Latency is the one-way time of a step.
	Latency time.Duration
	// Rate is the token steps the link carries a second; 0 means no limit known.
	Rate float64
}

// StepTime gives the time of a step over the link when it is free, in seconds.
func (e Edge) StepTime() float64 {
	t := max(e.Latency, 0).Seconds()
	if e.Rate > 0 {
		t += 1 / e.Rate
	}
	return t
}

// Graph holds the engines of one model service that lie on at least one
// complete tiling of the model's layers, with the links between them. Engines
// are named by their index in Engines. A Graph is never changed after
// NewGraph and may be read from any goroutine.
type Graph struct {
	layers  int
	engines []Engine
	index   map[ids.Upstream]int
	heads   []int
	next    [][]Edge
	edges   int
}

// linkKey names a link by its ends.
type linkKey struct{ from, to ids.Upstream }

// NewGraph builds the graph of a model with the given count of layers.
// Engines that no complete tiling can use are left out, as are all but the
// first of engines with the same ID. A link between engines that don't follow
// each other is ignored. An engine that reports any link goes on over these
// only; the links of one that reports none get a default latency and no
// rate limit. The arguments are not kept and may be nil.
func NewGraph(layers int, engines []Engine, links []Link) *Graph {
	g := &Graph{layers: layers}
	kept := usable(layers, engines)
	reported := newLinkSet(links)
	g.build(kept, reported)
	if kept = g.onChains(); len(kept) < len(g.engines) {
		g.build(kept, reported)
	}
	return g
}

// linkSet is what engines report of their links.
type linkSet struct {
	links map[linkKey]Link
	// from marks the engines that report any link.
	from map[ids.Upstream]bool
}

// newLinkSet gathers reported links.
func newLinkSet(links []Link) linkSet {
	s := linkSet{links: make(map[linkKey]Link, len(links)), from: make(map[ids.Upstream]bool)}
	for _, l := range links {
		s.links[linkKey{l.From, l.To}] = l
		s.from[l.From] = true
	}
	return s
}

// joins reports whether an engine can go on to the other.
func (s linkSet) joins(from, to ids.Upstream) bool {
	if !s.from[from] {
		return true
	}
	_, ok := s.links[linkKey{from, to}]
	return ok
}

// build makes the graph of the engines, which are in order.
func (g *Graph) build(engines []Engine, reported linkSet) {
	g.engines = engines
	g.index = make(map[ids.Upstream]int, len(engines))
	for i, e := range engines {
		g.index[e.ID] = i
	}
	g.connect(reported)
}

// connect makes the edges between following engines.
func (g *Graph) connect(reported linkSet) {
	byFirst := make(map[int][]int)
	for i, e := range g.engines {
		byFirst[e.First] = append(byFirst[e.First], i)
	}
	g.heads = byFirst[0]
	g.next = make([][]Edge, len(g.engines))
	g.edges = 0
	for i, e := range g.engines {
		followers := byFirst[e.Last+1]
		g.next[i] = make([]Edge, 0, len(followers))
		for _, j := range followers {
			if reported.joins(e.ID, g.engines[j].ID) {
				g.next[i] = append(g.next[i], newEdge(j, e, g.engines[j], reported.links))
			}
		}
		g.edges += len(g.next[i])
	}
}

// onChains lists the engines that lie on some complete chain of the graph's
// edges. Edges lead from lower to higher indices.
func (g *Graph) onChains() []Engine {
	fromHead := make([]bool, len(g.engines))
	for _, i := range g.heads {
		fromHead[i] = true
	}
	for i := range g.engines {
		for _, e := range g.next[i] {
			fromHead[e.To] = fromHead[e.To] || fromHead[i]
		}
	}
	toEnd := make([]bool, len(g.engines))
	var kept []Engine
	for i := range slices.Backward(g.engines) {
		toEnd[i] = g.IsTail(i)
		for _, e := range g.next[i] {
			toEnd[i] = toEnd[i] || toEnd[e.To]
		}
		if fromHead[i] && toEnd[i] {
			kept = append(kept, g.engines[i])
		}
	}
	slices.Reverse(kept)
	return kept
}

// newEdge makes the edge between two engines from its report or the defaults.
func newEdge(to int, from, follower Engine, reported map[linkKey]Link) Edge {
	if l, ok := reported[linkKey{from.ID, follower.ID}]; ok {
		return Edge{To: to, Latency: l.Latency, Rate: l.Rate}
	}
	if from.Zone == follower.Zone {
		return Edge{To: to, Latency: DefaultSameZoneLatency}
	}
	return Edge{To: to, Latency: DefaultCrossZoneLatency}
}

// usable gives the engines that lie on some complete tiling, in order of
// First, Last and ID, each ID once.
func usable(layers int, engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, compareEngines)
	fromStart := map[int]bool{0: true}
	for _, e := range sorted {
		if fits(e, layers) && fromStart[e.First] {
			fromStart[e.Last+1] = true
		}
	}
	toEnd := map[int]bool{layers: true}
	slices.SortStableFunc(sorted, compareEnds)
	for _, e := range slices.Backward(sorted) {
		if fits(e, layers) && toEnd[e.Last+1] {
			toEnd[e.First] = true
		}
	}
	slices.SortStableFunc(sorted, compareEngines)
	seen := make(map[ids.Upstream]bool, len(sorted))
	kept := sorted[:0]
	for _, e := range sorted {
		if !fits(e, layers) || !fromStart[e.First] || !toEnd[e.Last+1] || seen[e.ID] {
			continue
		}
		seen[e.ID] = true
		kept = append(kept, e)
	}
	return kept
}

// fits reports whether the engine's range lies within the model.
func fits(e Engine, layers int) bool {
	return e.First >= 0 && e.First <= e.Last && e.Last < layers
}

// compareEngines orders by First, Last and ID.
func compareEngines(a, b Engine) int {
	return cmp.Or(
		cmp.Compare(a.First, b.First),
		cmp.Compare(a.Last, b.Last),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareEnds orders by Last.
func compareEnds(a, b Engine) int { return cmp.Compare(a.Last, b.Last) }

// Layers gives the model's count of layers.
func (g *Graph) Layers() int { return g.layers }

// Engines lists the engines by First, Last and ID. The caller must not change it.
func (g *Graph) Engines() []Engine { return g.engines }

// Heads lists the engines that hold layer 0. The caller must not change it.
func (g *Graph) Heads() []int { return g.heads }

// Next lists the edges from engine i; empty when i holds the last layers. The
// caller must not change it.
func (g *Graph) Next(i int) []Edge { return g.next[i] }

// IsTail reports whether engine i holds the model's last layer.
func (g *Graph) IsTail(i int) bool { return g.engines[i].Last == g.layers-1 }

// Index gives the index of an engine, false when the graph leaves it out.
func (g *Graph) Index(id ids.Upstream) (int, bool) {
	i, ok := g.index[id]
	return i, ok
}

// Chain makes the chain of the engines with the given indices.
func (g *Graph) Chain(path []int) Chain {
	c := make(Chain, len(path))
	for k, i := range path {
		c[k] = g.engines[i]
	}
	return c
}
