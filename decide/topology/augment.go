package topology

import "math"

// Kinds of steps on an augmenting path.
const (
	stepNone = iota
	// stepEnter enters an engine that holds layer 0 from the source.
	stepEnter
	// stepEngine uses an engine's free rate; stepEngineBack returns used rate.
	stepEngine
	stepEngineBack
	// stepArc uses an arc's free capacity; stepArcBack returns used capacity.
	stepArc
	stepArcBack
)

// step is the step by which a search reached a node.
type step struct {
	kind int
	// arc is the arc's index, for stepArc and stepArcBack.
	arc int
	// residual is the flow that the path up to this node can still carry.
	residual float64
}

// augmenter completes a maximum flow by shortest augmenting paths. Each engine i
// has two nodes: its entry 2i and its exit 2i+1.
type augmenter struct {
	s *flowBuilder
	// incoming lists the indices of the arcs to each engine.
	incoming [][]int
	steps    []step
	queue    []int
	// minFlow is the residual flow up to which a path is ignored.
	minFlow float64
}

// newAugmenter returns an augmenter for the flow built so far.
func newAugmenter(s *flowBuilder) *augmenter {
	x := &augmenter{
		s:        s,
		incoming: make([][]int, len(s.rate)),
		steps:    make([]step, 2*len(s.rate)),
	}
	for k := range s.arcs {
		to := s.arcs[k].to
		x.incoming[to] = append(x.incoming[to], k)
	}
	for _, r := range s.rate {
		x.minFlow += relativeFlowPrecision * r
	}
	return x
}

// run augments until no path with residual flow is left.
func (x *augmenter) run() {
	for end := x.search(); end >= 0; end = x.search() {
		x.augment(end)
	}
}

// search finds a shortest path with residual flow by breadth-first search. It
// returns the exit node of the path's last engine, or -1 if there is no path.
func (x *augmenter) search() int {
	clear(x.steps)
	x.queue = x.queue[:0]
	for _, i := range x.s.g.heads {
		x.visit(2*i, step{kind: stepEnter, residual: math.Inf(1)})
	}
	for k := 0; k < len(x.queue); k++ {
		node := x.queue[k]
		if node%2 == 0 {
			x.expandEntry(node / 2)
			continue
		}
		if x.s.g.IsTail(node / 2) {
			return node
		}
		x.expandExit(node / 2)
	}
	return -1
}

// visit queues a node if it was not visited before and the path to it has residual
// flow.
func (x *augmenter) visit(node int, by step) {
	if x.steps[node].kind != stepNone || by.residual <= x.minFlow {
		return
	}
	x.steps[node] = by
	x.queue = append(x.queue, node)
}

// expandEntry visits the neighbours of an engine's entry node.
func (x *augmenter) expandEntry(i int) {
	residual := x.steps[2*i].residual
	x.visit(2*i+1, step{kind: stepEngine, residual: min(residual, x.s.freeRate(i))})
	for _, k := range x.incoming[i] {
		a := &x.s.arcs[k]
		x.visit(2*a.from+1, step{kind: stepArcBack, arc: k, residual: min(residual, a.flow)})
	}
}

// expandExit visits the neighbours of an engine's exit node.
func (x *augmenter) expandExit(i int) {
	residual := x.steps[2*i+1].residual
	for k := x.s.out[i]; k < x.s.out[i+1]; k++ {
		a := &x.s.arcs[k]
		x.visit(2*a.to, step{kind: stepArc, arc: k, residual: min(residual, a.capacity-a.flow)})
	}
	x.visit(2*i, step{kind: stepEngineBack, residual: min(residual, x.s.flow[i])})
}

// augment adds the path's residual flow to every step of the path, from its last
// node back to its first.
func (x *augmenter) augment(node int) {
	amount := x.steps[node].residual
	x.s.total += amount
	for {
		switch by := x.steps[node]; by.kind {
		case stepEngine:
			x.s.flow[node/2] += amount
			node--
		case stepEngineBack:
			x.s.flow[node/2] -= amount
			node++
		case stepArc:
			x.s.arcs[by.arc].flow += amount
			node = 2*x.s.arcs[by.arc].from + 1
		case stepArcBack:
			x.s.arcs[by.arc].flow -= amount
			node = 2 * x.s.arcs[by.arc].to
		default:
			return
		}
	}
}
