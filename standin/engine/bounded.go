package engine

// boundedSet is a set of names that forgets the oldest beyond its bound. It is
// not safe for concurrent use.
type boundedSet struct {
	bound int
	names map[string]struct{}
	order []string
}

// newBoundedSet makes an empty set.
func newBoundedSet(bound int) *boundedSet {
	return &boundedSet{bound: bound, names: make(map[string]struct{})}
}

// has reports whether a name is in the set.
func (s *boundedSet) has(name string) bool {
	_, ok := s.names[name]
	return ok
}

// add puts a name in the set and gives the name forgotten for it, empty when
// none was.
func (s *boundedSet) add(name string) (forgotten string) {
	if s.has(name) {
		return ""
	}
	s.names[name] = struct{}{}
	s.order = append(s.order, name)
	if len(s.order) <= s.bound {
		return ""
	}
	forgotten = s.order[0]
	s.order = s.order[1:]
	delete(s.names, forgotten)
	return forgotten
}
