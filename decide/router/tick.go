package router

import (
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// tick does what depends on the passing of time alone.
func (r *Router) tick() {
	for _, name := range r.serviceNames {
		svc := r.services[name]
		r.expire(svc)
		r.requeue(svc)
	}
	r.expireInFlight()
	r.rebuildGraphs()
	for _, name := range r.serviceNames {
		r.dispatch(r.services[name])
	}
}

// expire refuses the waiting requests that can't be served in time any more.
func (r *Router) expire(svc *service) {
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

// expireInFlight answers the requests whose deadline passes while something
// of them is in flight, and stops that.
func (r *Router) expireInFlight() {
	for _, id := range r.expiredIDs() {
		req := r.requests[id]
		switch req.state {
		case sending:
			r.finish(req, &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired})
			r.emit(Cancel{ID: id, Attempt: req.attempt})
		case claiming, releasing:
			r.finish(req, r.expiredError())
		case forbidding:
			r.finish(req, r.earlier(*req.prior))
		case waiting:
			req.svc.queue.Remove(id)
			r.giveUp(req, r.expiredError())
		}
	}
}

// expiredError is the answer to a request with nothing in flight upstream.
func (r *Router) expiredError() *outcome.Error {
	return outcome.Refuse(outcome.DeadlineExpired, "", r.spread(retrySoon))
}

// expiredIDs lists the unanswered requests whose deadline has passed, in the
// order of their names.
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
