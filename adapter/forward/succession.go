package forward

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/retry"
)

// SetRetryTerms sets which part of its limits on retries the node grants and lends, all of them
// before the first call. See retry.Succession.
func (s *Server) SetRetryTerms(t retry.Terms) {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.picker.setRetryTerms(t)
}

// HandOverRetries returns the windows of all retry budgets for the process that takes over. The
// node grants and lends no retries afterwards.
func (s *Server) HandOverRetries() map[ids.Service]retry.HandedBudget {
	return s.picker.handOverRetries()
}

// AdoptRetries continues the retry budgets that the process before has handed over, in a record that
// has passed its Check.
func (s *Server) AdoptRetries(services map[ids.Service]retry.HandedBudget) {
	s.picker.adoptRetries(services)
}

// setRetryTerms is SetRetryTerms for a caller that holds mu.
func (p *picker) setRetryTerms(t retry.Terms) {
	p.retryTerms = &t
	for _, b := range p.budgets {
		p.applyBudget(b)
	}
}

// noticeRetries calls Options.OnRetryNotice if the budget of a service wants notice to be given. The
// caller holds mu.
func (p *picker) noticeRetries(service ids.Service) {
	if p.opts.OnRetryNotice != nil && p.budget(service).WantsNotice(p.opts.Now()) {
		p.opts.OnRetryNotice()
	}
}

// handOverRetries returns the windows of all retry budgets, and ends their grants.
func (p *picker) handOverRetries() map[ids.Service]retry.HandedBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRetryTerms(retry.Terms{HeldUntil: retry.Never})
	services := make(map[ids.Service]retry.HandedBudget)
	for service, b := range p.budgets {
		if handed, used := b.HandOver(p.opts.Now()); used {
			services[service] = handed
		}
	}
	return services
}

// adoptRetries adds the windows of the process before to the retry budgets.
func (p *picker) adoptRetries(services map[ids.Service]retry.HandedBudget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, windows := range services {
		p.budget(service).Adopt(p.opts.Now(), windows)
	}
}
