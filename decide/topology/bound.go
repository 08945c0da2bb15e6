package topology

import (
	"gonum.org/v1/gonum/graph/network"
	"gonum.org/v1/gonum/graph/simple"
)

// relativeFlowPrecision is the fraction of the engines' total rate below which flow counts
// as zero.
const relativeFlowPrecision = 1e-9

// Bound returns the maximum flow through the graph's engines and links, in token
// steps per second; 0 for a nil or empty graph. It is an independent check of Flows
// and much slower on graphs with many limited links. Decisions should use
// Flow.Total.
func Bound(g *Graph) float64 {
	if g == nil || len(g.engines) == 0 {
		return 0
	}
	n := boundNetwork{
		g:          g,
		net:        simple.NewWeightedDirectedGraph(0, 0),
		boundaries: make(map[int]simple.Node),
	}
	for i := range g.engines {
		n.addEngine(i)
	}
	source, sink := n.boundary(0), n.boundary(g.layers)
	return network.MaxFlowDinic(n.net, source, sink, relativeFlowPrecision*n.totalRate)
}

// boundNetwork builds the flow network of a graph. An engine is an arc between two
// nodes. Engines that meet at a layer boundary over unlimited links share a node
// for that boundary, which keeps the network small.
type boundNetwork struct {
	g         *Graph
	net       *simple.WeightedDirectedGraph
	totalRate float64
	// boundaries maps the layer after a boundary to its node. The library requires
	// nodes to be numbered without gaps.
	boundaries map[int]simple.Node
	// startCounts counts the engines by their first layer; nil until it is needed.
	startCounts map[int]int
}

// entry, exit and boundary return the nodes of an engine and of the boundary before
// a layer.
func (n *boundNetwork) entry(i int) simple.Node { return simple.Node(2 * i) }

func (n *boundNetwork) exit(i int) simple.Node { return simple.Node(2*i + 1) }

func (n *boundNetwork) boundary(layer int) simple.Node {
	node, ok := n.boundaries[layer]
	if !ok {
		node = simple.Node(2*len(n.g.engines) + len(n.boundaries))
		n.boundaries[layer] = node
	}
	return node
}

// addEngine adds an engine's arc and the arcs that leave it.
func (n *boundNetwork) addEngine(i int) {
	e := n.g.engines[i]
	rate := max(e.Rate, 0)
	n.totalRate += rate
	n.addArc(n.boundary(e.First), n.entry(i), rate)
	n.addArc(n.entry(i), n.exit(i), rate)
	if !n.needsOwnArcs(i) {
		n.addArc(n.exit(i), n.boundary(e.Last+1), rate)
		return
	}
	for _, edge := range n.g.next[i] {
		n.addArc(n.exit(i), n.entry(edge.To), edgeCapacity(edge, rate))
	}
}

// needsOwnArcs reports whether an engine's links need arcs of their own, because
// one of them is limited or because they do not lead to every engine that starts at
// the next layer.
func (n *boundNetwork) needsOwnArcs(i int) bool {
	if len(n.g.next[i]) < n.startingAt(n.g.engines[i].Last+1) {
		return true
	}
	for _, edge := range n.g.next[i] {
		if edge.Rate > 0 {
			return true
		}
	}
	return false
}

// startingAt counts the engines whose range starts at a layer.
func (n *boundNetwork) startingAt(layer int) int {
	if n.startCounts == nil {
		n.startCounts = make(map[int]int)
		for _, e := range n.g.engines {
			n.startCounts[e.First]++
		}
	}
	return n.startCounts[layer]
}

// addArc adds an arc to the network.
func (n *boundNetwork) addArc(from, to simple.Node, capacity float64) {
	n.net.SetWeightedEdge(simple.WeightedEdge{F: from, T: to, W: capacity})
}

// edgeCapacity returns the token steps per second that an edge can carry from an
// engine with the given rate.
func edgeCapacity(e Edge, rate float64) float64 {
	if e.Rate > 0 {
		return min(e.Rate, rate)
	}
	return rate
}
