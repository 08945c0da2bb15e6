package topology

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// Default one-way latencies of links between engines that report no links.
const (
	DefaultSameZoneLatency  = 200 * time.Microsecond
	DefaultCrossZoneLatency = time.Millisecond
)

// Edge is a link of a Graph from one engine to a possible next one.
type Edge struct {
	// To is the index of the next engine.
	To int
	// Latency is the one-way latency of a step.
	Latency time.Duration
	// Rate is the number of token steps per second that the link can carry; 0 if no
	// limit is known.
	Rate float64
}

// StepSeconds returns the time in seconds that a step takes over the idle link.
func (e Edge) StepSeconds() float64 {
	t := max(e.Latency, 0).Seconds()
	if e.Rate > 0 {
		t += 1 / e.Rate
	}
	return t
}

// Graph holds the engines of one model service that lie on at least one complete
// tiling of the model's layers, and the links between them. Engines are identified
// by their index in Engines. A Graph does not change after NewGraph, so it can be
// read concurrently.
type Graph struct {
	layers  int
	engines []Engine
	index   map[ids.Upstream]int
	heads   []int
	next    [][]Edge
	edges   int
}

// linkKey identifies a link by its two engines.
type linkKey struct{ from, to ids.Upstream }

// NewGraph builds the graph of a model with the given number of layers. It leaves
// out engines that are part of no complete tiling, and all but the first of engines
// with the same ID. It ignores links between engines whose ranges are not adjacent.
// An engine that reports any link uses only its reported links; an engine that
// reports none is linked to every possible next engine, with a default latency and
// no rate limit. The arguments are not retained and may be nil.
func NewGraph(layers int, engines []Engine, links []Link) *Graph {
	g := &Graph{layers: layers}
	kept := onTilings(layers, engines)
	reported := newLinkSet(links)
	g.build(kept, reported)
	if kept = g.onCompleteChains(); len(kept) < len(g.engines) {
		g.build(kept, reported)
	}
	return g
}

// linkSet holds the links that engines reported.
type linkSet struct {
	links map[linkKey]Link
	// from contains the engines that reported at least one link.
	from map[ids.Upstream]bool
}

// newLinkSet indexes the reported links.
func newLinkSet(links []Link) linkSet {
	s := linkSet{links: make(map[linkKey]Link, len(links)), from: make(map[ids.Upstream]bool)}
	for _, l := range links {
		s.links[linkKey{l.From, l.To}] = l
		s.from[l.From] = true
	}
	return s
}

// connects reports whether a request can go from one engine to the other.
func (s linkSet) connects(from, to ids.Upstream) bool {
	if !s.from[from] {
		return true
	}
	_, ok := s.links[linkKey{from, to}]
	return ok
}

// build sets the graph's engines, which are sorted, and the edges between them.
func (g *Graph) build(engines []Engine, reported linkSet) {
	g.engines = engines
	g.index = make(map[ids.Upstream]int, len(engines))
	for i, e := range engines {
		g.index[e.ID] = i
	}
	g.connect(reported)
}

// connect sets the edges between engines with adjacent ranges.
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
			if reported.connects(e.ID, g.engines[j].ID) {
				g.next[i] = append(g.next[i], newEdge(j, e, g.engines[j], reported.links))
			}
		}
		g.edges += len(g.next[i])
	}
}

// onCompleteChains returns the engines that lie on a complete chain of edges. Edges
// lead from lower to higher indices.
func (g *Graph) onCompleteChains() []Engine {
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

// newEdge returns the edge between two engines, from its reported link or with the
// defaults.
func newEdge(to int, from, follower Engine, reported map[linkKey]Link) Edge {
	if l, ok := reported[linkKey{from.ID, follower.ID}]; ok {
		return Edge{To: to, Latency: l.Latency, Rate: l.Rate}
	}
	if from.Zone == follower.Zone {
		return Edge{To: to, Latency: DefaultSameZoneLatency}
	}
	return Edge{To: to, Latency: DefaultCrossZoneLatency}
}

// onTilings returns the engines that lie on a complete tiling, sorted by First,
// Last and ID, without duplicate IDs.
func onTilings(layers int, engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, compareByRange)
	fromStart := map[int]bool{0: true}
	for _, e := range sorted {
		if withinModel(e, layers) && fromStart[e.First] {
			fromStart[e.Last+1] = true
		}
	}
	toEnd := map[int]bool{layers: true}
	slices.SortStableFunc(sorted, compareByLast)
	for _, e := range slices.Backward(sorted) {
		if withinModel(e, layers) && toEnd[e.Last+1] {
			toEnd[e.First] = true
		}
	}
	slices.SortStableFunc(sorted, compareByRange)
	seen := make(map[ids.Upstream]bool, len(sorted))
	kept := sorted[:0]
	for _, e := range sorted {
		if !withinModel(e, layers) || !fromStart[e.First] || !toEnd[e.Last+1] || seen[e.ID] {
			continue
		}
		seen[e.ID] = true
		kept = append(kept, e)
	}
	return kept
}

// withinModel reports whether the engine's range is valid and within the model.
func withinModel(e Engine, layers int) bool {
	return e.First >= 0 && e.First <= e.Last && e.Last < layers
}

// compareByRange compares engines by First, Last and ID.
func compareByRange(a, b Engine) int {
	return cmp.Or(
		cmp.Compare(a.First, b.First),
		cmp.Compare(a.Last, b.Last),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareByLast compares engines by Last.
func compareByLast(a, b Engine) int { return cmp.Compare(a.Last, b.Last) }

// Layers returns the number of layers of the model.
func (g *Graph) Layers() int { return g.layers }

// Engines returns the engines, sorted by First, Last and ID. The caller must not
// modify the slice.
func (g *Graph) Engines() []Engine { return g.engines }

// Heads returns the indices of the engines that hold layer 0. The caller must not
// modify the slice.
func (g *Graph) Heads() []int { return g.heads }

// Next returns the edges from engine i; none if i holds the last layer. The caller
// must not modify the slice.
func (g *Graph) Next(i int) []Edge { return g.next[i] }

// IsTail reports whether engine i holds the model's last layer.
func (g *Graph) IsTail(i int) bool { return g.engines[i].Last == g.layers-1 }

// Index returns the index of an engine, and false if the graph does not contain it.
func (g *Graph) Index(id ids.Upstream) (int, bool) {
	i, ok := g.index[id]
	return i, ok
}

// Chain returns the chain of the engines with the given indices.
func (g *Graph) Chain(path []int) Chain {
	c := make(Chain, len(path))
	for k, i := range path {
		c[k] = g.engines[i]
	}
	return c
}
