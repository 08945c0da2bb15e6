package topology

import "math"

// Kinds of steps on an augmenting path.
const (
	stepNone = iota
	// stepHead enters an engine that holds layer 0 from outside.
	stepHead
	// stepThrough uses free rate of an engine, stepBack gives used rate back.
	stepThrough
	stepBack
	// stepArc uses free capacity of an arc, stepUndo gives used one back.
	stepArc
	stepUndo
)

// step is how a search reached a node.
type step struct {
	kind int
	// arc is the index of the arc, for stepArc and stepUndo.
	arc int
	// room is the flow the path to here can still carry.
	room float64
}

// augmenter completes a flow by shortest augmenting paths. Each engine i has
// two nodes: its entry 2i and its exit 2i+1.
type augmenter struct {
	s *spread
	// into lists the arcs to each engine.
	into  [][]int
	steps []step
	queue []int
	// least is the flow below which a path isn't worth taking.
	least float64
}

// newAugmenter makes an augmenter of a flow.
func newAugmenter(s *spread) *augmenter {
	x := &augmenter{
		s:     s,
		into:  make([][]int, len(s.rate)),
		steps: make([]step, 2*len(s.rate)),
	}
	for k := range s.arcs {
		to := s.arcs[k].to
		x.into[to] = append(x.into[to], k)
	}
	for _, r := range s.rate {
		x.least += boundPrecision * r
	}
	return x
}

// run augments until no path is left.
func (x *augmenter) run() {
	for end := x.search(); end >= 0; end = x.search() {
		x.push(end)
	}
}

// search looks for a shortest path with room; it gives the exit of the last
// engine on it, or -1.
func (x *augmenter) search() int {
	clear(x.steps)
	x.queue = x.queue[:0]
	for _, i := range x.s.g.heads {
		x.reach(2*i, step{kind: stepHead, room: math.Inf(1)})
	}
	for k := 0; k < len(x.queue); k++ {
		node := x.queue[k]
		if node%2 == 0 {
			x.fromEntry(node / 2)
			continue
		}
		if x.s.g.IsTail(node / 2) {
			return node
		}
		x.fromExit(node / 2)
	}
	return -1
}

// reach queues a node that wasn't reached before, when there is room.
func (x *augmenter) reach(node int, by step) {
	if x.steps[node].kind != stepNone || by.room <= x.least {
		return
	}
	x.steps[node] = by
	x.queue = append(x.queue, node)
}

// fromEntry goes on from an engine's entry.
func (x *augmenter) fromEntry(i int) {
	room := x.steps[2*i].room
	x.reach(2*i+1, step{kind: stepThrough, room: min(room, x.s.free(i))})
	for _, k := range x.into[i] {
		a := &x.s.arcs[k]
		x.reach(2*a.from+1, step{kind: stepUndo, arc: k, room: min(room, a.flow)})
	}
}

// fromExit goes on from an engine's exit.
func (x *augmenter) fromExit(i int) {
	room := x.steps[2*i+1].room
	for k := x.s.out[i]; k < x.s.out[i+1]; k++ {
		a := &x.s.arcs[k]
		x.reach(2*a.to, step{kind: stepArc, arc: k, room: min(room, a.capacity-a.flow)})
	}
	x.reach(2*i, step{kind: stepBack, room: min(room, x.s.flow[i])})
}

// push adds the path's room to all its parts, from its end to its head.
func (x *augmenter) push(node int) {
	amount := x.steps[node].room
	x.s.total += amount
	for {
		switch by := x.steps[node]; by.kind {
		case stepThrough:
			x.s.flow[node/2] += amount
			node--
		case stepBack:
			x.s.flow[node/2] -= amount
			node++
		case stepArc:
			x.s.arcs[by.arc].flow += amount
			node = 2*x.s.arcs[by.arc].from + 1
		case stepUndo:
			x.s.arcs[by.arc].flow -= amount
			node = 2 * x.s.arcs[by.arc].to
		default:
			return
		}
	}
}
