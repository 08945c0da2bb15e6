package topology

import (
	"gonum.org/v1/gonum/graph/network"
	"gonum.org/v1/gonum/graph/simple"
)

// boundPrecision is the part of a graph's whole rate below which flow counts
// as none.
const boundPrecision = 1e-9

// Bound gives the token steps a second that the graph can carry at most: the
// maximum flow through its engines and links. 0 for a nil or empty graph. It
// is the independent check of Flows and much slower on graphs with many
// limited links: where decisions are made, use the total of Flows.
func Bound(g *Graph) float64 {
	if g == nil || len(g.engines) == 0 {
		return 0
	}
	n := boundNet{
		g:    g,
		net:  simple.NewWeightedDirectedGraph(0, 0),
		cuts: make(map[int]simple.Node),
	}
	for i := range g.engines {
		n.addEngine(i)
	}
	source, sink := n.cut(0), n.cut(g.layers)
	return network.MaxFlowDinic(n.net, source, sink, boundPrecision*n.whole)
}

// boundNet builds the flow network of a graph. An engine is an arc between
// two nodes. Engines that meet at one cut of the layers over links without
// limit share a node for that cut, which keeps the network small.
type boundNet struct {
	g     *Graph
	net   *simple.WeightedDirectedGraph
	whole float64
	// cuts holds the nodes of cuts by the layer after them. The library
	// wants nodes numbered without gaps.
	cuts map[int]simple.Node
	// starts counts engines by their first layer; nil until it is needed.
	starts map[int]int
}

// entry, exit and cut give the nodes of an engine and of a cut before a layer.
func (n *boundNet) entry(i int) simple.Node { return simple.Node(2 * i) }

func (n *boundNet) exit(i int) simple.Node { return simple.Node(2*i + 1) }

func (n *boundNet) cut(layer int) simple.Node {
	node, ok := n.cuts[layer]
	if !ok {
		node = simple.Node(2*len(n.g.engines) + len(n.cuts))
		n.cuts[layer] = node
	}
	return node
}

// addEngine adds an engine's arc and those that leave it.
func (n *boundNet) addEngine(i int) {
	e := n.g.engines[i]
	rate := max(e.Rate, 0)
	n.whole += rate
	n.arc(n.cut(e.First), n.entry(i), rate)
	n.arc(n.entry(i), n.exit(i), rate)
	if !n.limited(i) {
		n.arc(n.exit(i), n.cut(e.Last+1), rate)
		return
	}
	for _, edge := range n.g.next[i] {
		n.arc(n.exit(i), n.entry(edge.To), edgeCapacity(edge, rate))
	}
}

// limited reports whether an engine's links need arcs of their own: one has a
// limit, or they do not lead to every engine that starts at the next layer.
func (n *boundNet) limited(i int) bool {
	if len(n.g.next[i]) < n.starting(n.g.engines[i].Last+1) {
		return true
	}
	for _, edge := range n.g.next[i] {
		if edge.Rate > 0 {
			return true
		}
	}
	return false
}

// starting counts the engines whose range starts at a layer.
func (n *boundNet) starting(layer int) int {
	if n.starts == nil {
		n.starts = make(map[int]int)
		for _, e := range n.g.engines {
			n.starts[e.First]++
		}
	}
	return n.starts[layer]
}

// arc adds one arc.
func (n *boundNet) arc(from, to simple.Node, capacity float64) {
	n.net.SetWeightedEdge(simple.WeightedEdge{F: from, T: to, W: capacity})
}

// edgeCapacity gives the steps a second an edge may carry from an engine of
// the given rate.
func edgeCapacity(e Edge, rate float64) float64 {
	if e.Rate > 0 {
		return min(e.Rate, rate)
	}
	return rate
}
