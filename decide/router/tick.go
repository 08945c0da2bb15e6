package router

import (
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// tick does the work that depends only on time: it expires requests, resumes
// delayed ones and dispatches waiting ones.
func (r *Router) tick() {
	for _, name := range r.serviceNames {
		svc := r.services[name]
		r.expireQueued(svc)
		r.resumeDue(svc)
	}
	r.expireRequests()
	r.rebuildGraphs()
	for _, name := range r.serviceNames {
		r.dispatch(r.services[name])
	}
}

// expireQueued refuses the queued requests that can no longer meet their
// deadline.
func (r *Router) expireQueued(svc *service) {
	for _, item := range svc.queue.Expired(r.now) {
		req := r.requests[item.ID]
		if req == nil {
			continue
		}
		reason := outcome.DeadlineUnreachable
		if !req.deadline.After(r.now) {
			reason = outcome.DeadlineExpired
		}
		r.giveUp(req, outcome.Refuse(reason, "", svc.queue.RetryAfter(r.now)))
	}
}

// expireRequests answers all requests whose deadline has passed, and cancels
// their attempts in flight.
func (r *Router) expireRequests() {
	for _, id := range r.expiredIDs() {
		req := r.requests[id]
		switch req.state {
		case sending:
			r.finish(req, &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired})
			r.emit(Cancel{ID: id, Attempt: req.attempt})
		case claiming, releasing:
			r.finish(req, r.expiredError())
		case cancellingEarlier:
			r.finish(req, r.earlierOutcome(*req.prior))
		case waiting:
			req.svc.queue.Remove(id)
			r.giveUp(req, r.expiredError())
		}
	}
}

// expiredError returns the answer to an expired request that has nothing in
// flight upstream.
func (r *Router) expiredError() *outcome.Error {
	return outcome.Refuse(outcome.DeadlineExpired, "", r.withJitter(defaultRetryAfter))
}

// expiredIDs returns the unanswered requests whose deadline has passed, sorted by
// ID.
func (r *Router) expiredIDs() []ids.Request {
	var expired []ids.Request
	for id, req := range r.requests {
		if !req.answered && !req.deadline.After(r.now) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}
