package balancer

import "mimosaarch.example/decide/topology"

// search finds a chain through usable engines by depth-first search. It
// visits each engine once at most and reuses its memory.
type search struct {
	g    *topology.Graph
	seen []bool
	path []int
	// usable tells whether an engine may be used now.
	usable func(i int) bool
	// link tells whether the k-th edge of an engine may be used now.
	link func(from, k int) bool
	// start gives where among n followers of an engine the search starts;
	// the engine is source for the choice of the first.
	start func(engine, n int) int
}

// source stands for the place before the first engine of a chain.
const source = -1

// find gives a chain's path, valid until the next call; nil when there is none.
func (s *search) find(g *topology.Graph) []int {
	s.g = g
	s.path = s.path[:0]
	s.seen = grown(s.seen, len(g.Engines()))
	clear(s.seen)
	heads := g.Heads()
	if len(heads) == 0 {
		return nil
	}
	at := s.start(source, len(heads))
	for k := range heads {
		if s.visit(heads[(at+k)%len(heads)]) {
			return s.path
		}
	}
	return nil
}

// visit extends the path by an engine and on to the end of the model.
func (s *search) visit(i int) bool {
	if s.seen[i] {
		return false
	}
	s.seen[i] = true
	if !s.usable(i) {
		return false
	}
	s.path = append(s.path, i)
	if s.g.IsTail(i) || s.follow(i) {
		return true
	}
	s.path = s.path[:len(s.path)-1]
	return false
}

// follow tries the engines after one.
func (s *search) follow(i int) bool {
	next := s.g.Next(i)
	if len(next) == 0 {
		return false
	}
	at := s.start(i, len(next))
	for k := range next {
		edge := (at + k) % len(next)
		to := next[edge].To
		if !s.seen[to] && s.link(i, edge) && s.visit(to) {
			return true
		}
	}
	return false
}

// grown gives a slice of n elements, in the old one's memory where it fits.
func grown[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	return s[:n]
}
