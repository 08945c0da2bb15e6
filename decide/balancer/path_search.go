package balancer

import "mimosaarch.example/decide/topology"

// pathSearch finds a chain through usable engines by depth-first search. It
// visits each engine at most once and reuses its memory between calls.
type pathSearch struct {
	g    *topology.Graph
	seen []bool
	path []int
	// engineUsable reports whether an engine may be used now.
	engineUsable func(i int) bool
	// linkUsable reports whether the k-th edge of an engine may be used now.
	linkUsable func(from, k int) bool
	// startIndex returns which of an engine's n successors is tried first. The
	// engine is sourceNode when the n heads of the graph are meant.
	startIndex func(engine, n int) int
}

// sourceNode stands for the virtual node before the first engine of a chain, whose
// successors are the heads of the graph.
const sourceNode = -1

// find returns the engine indices of a chain, nil when there is none. The
// slice is valid until the next call.
func (s *pathSearch) find(g *topology.Graph) []int {
	s.g = g
	s.path = s.path[:0]
	s.seen = resized(s.seen, len(g.Engines()))
	clear(s.seen)
	heads := g.Heads()
	if len(heads) == 0 {
		return nil
	}
	at := s.startIndex(sourceNode, len(heads))
	for k := range heads {
		if s.visit(heads[(at+k)%len(heads)]) {
			return s.path
		}
	}
	return nil
}

// visit appends an engine to the path and continues to the end of the model.
// It restores the path and reports false when no chain leads there.
func (s *pathSearch) visit(i int) bool {
	if s.seen[i] {
		return false
	}
	s.seen[i] = true
	if !s.engineUsable(i) {
		return false
	}
	s.path = append(s.path, i)
	if s.g.IsTail(i) || s.visitSuccessors(i) {
		return true
	}
	s.path = s.path[:len(s.path)-1]
	return false
}

// visitSuccessors tries the successors of an engine until one completes the
// path.
func (s *pathSearch) visitSuccessors(i int) bool {
	next := s.g.Next(i)
	if len(next) == 0 {
		return false
	}
	at := s.startIndex(i, len(next))
	for k := range next {
		edge := (at + k) % len(next)
		to := next[edge].To
		if !s.seen[to] && s.linkUsable(i, edge) && s.visit(to) {
			return true
		}
	}
	return false
}

// resized returns a slice of n elements that reuses the memory of s if it is
// large enough. The elements are not cleared.
func resized[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	return s[:n]
}
