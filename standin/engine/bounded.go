package engine

// boundedSet is a set of names that evicts the oldest one beyond its bound. It is
// not safe for concurrent use.
type boundedSet struct {
	bound int
	names map[string]struct{}
	order []string
}

// newBoundedSet returns an empty set for at most bound names.
func newBoundedSet(bound int) *boundedSet {
	return &boundedSet{bound: bound, names: make(map[string]struct{})}
}

// has reports whether a name is in the set.
func (s *boundedSet) has(name string) bool {
	_, ok := s.names[name]
	return ok
}

// add puts a name in the set and returns the name evicted for it, or the empty
// string if none was.
func (s *boundedSet) add(name string) (evicted string) {
	if s.has(name) {
		return ""
	}
	s.names[name] = struct{}{}
	s.order = append(s.order, name)
	if len(s.order) <= s.bound {
		return ""
	}
	evicted = s.order[0]
	s.order = s.order[1:]
	delete(s.names, evicted)
	return evicted
}
