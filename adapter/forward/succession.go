package forward

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/retry"
)

// never is later than all times of the node's clock.
var never = time.Unix(1<<40, 0)

// HoldRetries makes the node grant and lend no retries before a time, except borrowed ones. See
// retry.Succession.
func (s *Server) HoldRetries(until time.Time) { s.picker.holdRetries(until) }

// HoldAllRetries is HoldRetries until it is decided for how long.
func (s *Server) HoldAllRetries() { s.picker.holdRetries(never) }

// HandOverRetries returns the windows of all retry budgets for the process that takes over. The
// node grants and lends no retries afterwards.
func (s *Server) HandOverRetries() *retry.Handover { return s.picker.handOverRetries() }

// AdoptRetries continues the retry budgets of the process before. The error is a
// *retry.HandoverError, and nothing is adopted then.
func (s *Server) AdoptRetries(h *retry.Handover) error { return s.picker.adoptRetries(h) }

// holdRetries sets the time before which the node grants and lends no retries.
func (p *picker) holdRetries(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHold(until)
}

// setHold is holdRetries for a caller that holds mu.
func (p *picker) setHold(until time.Time) {
	p.retriesHeldUntil = until
	for _, b := range p.budgets {
		p.applyBudget(b)
	}
}

// handOverRetries returns the windows of all retry budgets, and ends their grants.
func (p *picker) handOverRetries() *retry.Handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &retry.Handover{HeldUntilMs: p.retriesHeldUntil.Add(time.Millisecond).UnixMilli(), Services: make(map[ids.Service]retry.HandedBudget)}
	p.setHold(never)
	for service, b := range p.budgets {
		if handed, used := b.HandOver(p.opts.Now()); used {
			h.Services[service] = handed
		}
	}
	return h
}

// adoptRetries adds the windows of the process before to the retry budgets.
func (p *picker) adoptRetries(h *retry.Handover) error {
	if err := h.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, windows := range h.Services {
		p.budget(service).Adopt(p.opts.Now(), windows)
	}
	return nil
}
