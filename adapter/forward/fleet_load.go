package forward

import "mimosaarch.example/decide/load"

// SetLoadIndex sets the engines whose load the nodes exchange, an empty Index for none.
func (s *Server) SetLoadIndex(ix *load.Index) {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.chains.SetLoadIndex(ix)
}

// ApplyLoad applies sums over the load of the other nodes. They are not kept.
func (s *Server) ApplyLoad(sums *load.Sums) {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.chains.ApplyLoad(sums)
}

// AppendEngineCounts appends this node's own counts of engines.
func (s *Server) AppendEngineCounts(out []load.EngineCounts) []load.EngineCounts {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	return s.picker.chains.AppendCounts(s.opts.Now(), out)
}

// LoadStatus returns how much this node knows of the load of the other nodes.
func (s *Server) LoadStatus() load.Status {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	return s.picker.chains.LoadStatus(s.opts.Now())
}
