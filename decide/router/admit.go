package router

import (
	"errors"
	"slices"
	"strings"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/queue"
)

const (
	// defaultRetryAfter is the advised retry delay where no measurement is
	// available.
	defaultRetryAfter = time.Second
	// noUpstreamRetryAfter is the advised retry delay when no upstream serves a
	// service.
	noUpstreamRetryAfter = 5 * time.Second
)

// requestArrived admits a request to its service's queue or refuses it. An ID
// that is already held is ignored.
func (r *Router) requestArrived(ev RequestArrived) {
	req := &request{arrival: ev, arrived: r.now}
	if _, known := r.requests[ev.ID]; known {
		return
	}
	if err := r.admit(req); err != nil {
		r.refuse(req, err)
		return
	}
	r.requests[ev.ID] = req
	r.note(req, StepAdmitted, "", "")
	r.dispatch(req.svc)
}

// admit runs the checks for a new request, cheapest first, and queues it. It
// returns the refusal, or nil.
func (r *Router) admit(req *request) *outcome.Error {
	checks := []func(*request) *outcome.Error{
		r.checkNode,
		r.checkAccount,
		r.checkService,
		r.checkDeadline,
		r.checkQuarantine,
		r.checkUpstreams,
		r.checkLimit,
	}
	for _, check := range checks {
		if err := check(req); err != nil {
			return err
		}
	}
	if r.deferSuspected(req) {
		return nil
	}
	return r.enqueue(req)
}

// checkNode refuses the request if the node is draining, has no configuration or
// holds MaxRequests requests.
func (r *Router) checkNode(*request) *outcome.Error {
	switch {
	case r.draining:
		return outcome.Refuse(outcome.Draining, "this node is stopping", r.withJitter(defaultRetryAfter))
	case r.config == nil:
		return outcome.Refuse(outcome.NotReady, "no configuration yet", r.withJitter(defaultRetryAfter))
	case len(r.requests) >= r.opts.MaxRequests:
		return outcome.Refuse(outcome.QueueFull, "the node holds its most requests", r.withJitter(defaultRetryAfter))
	}
	return nil
}

// checkAccount looks up the client account by the hash of the bearer key.
func (r *Router) checkAccount(req *request) *outcome.Error {
	account, ok := r.config.AccountsByKey[req.arrival.KeySHA256]
	if !ok || req.arrival.KeySHA256 == "" {
		return outcome.Refuse(outcome.Unauthorized, "missing or unknown key", 0)
	}
	req.account = account
	return nil
}

// checkService looks up the service and, for a plain call, its route. It refuses
// a service that is unknown, of the other type, or not allowed for the account.
func (r *Router) checkService(req *request) *outcome.Error {
	svc, ok := r.services[req.arrival.Service]
	if !ok || svc.isModel() != (req.arrival.Method == "") {
		return outcome.Refuse(outcome.UnknownService, string(req.arrival.Service), 0)
	}
	if !mayCall(req.account, req.arrival.Service) {
		return outcome.Refuse(outcome.Forbidden, "the account may not call this service", 0)
	}
	req.svc = svc
	if svc.isModel() {
		req.idempotent = req.arrival.IdempotencyKey == ""
		return nil
	}
	route, ok := findRoute(svc.def.Routes, req.arrival.Method, req.arrival.Path)
	if !ok {
		return outcome.Refuse(outcome.UnknownService, "no such route", 0)
	}
	req.idempotent = route.IsIdempotent()
	return nil
}

// findRoute returns the route with the longest matching prefix; false if none
// matches.
func findRoute(routes []fleet.Route, method, path string) (fleet.Route, bool) {
	best := -1
	for i, route := range routes {
		if route.Method != method || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best < 0 || len(route.Prefix) > len(routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return fleet.Route{}, false
	}
	return routes[best], true
}

// checkDeadline sets the request's deadline, by default from the profile, and
// refuses the request if it has passed.
func (r *Router) checkDeadline(req *request) *outcome.Error {
	req.deadline = req.arrival.Deadline
	if req.deadline.IsZero() {
		req.deadline = r.now.Add(req.svc.profile.Deadline.D())
	}
	if !req.deadline.After(r.now) {
		return outcome.Refuse(outcome.DeadlineExpired, "the deadline has passed", 0)
	}
	return nil
}

// checkQuarantine refuses a quarantined request, which has crashed upstreams.
func (r *Router) checkQuarantine(req *request) *outcome.Error {
	held, until := req.svc.quarantine.Quarantined(r.now, req.fingerprint())
	if !held {
		return nil
	}
	return outcome.Refuse(outcome.Quarantined, "this request has crashed upstreams", until.Sub(r.now))
}

// checkUpstreams refuses the request if no upstream can serve it.
func (r *Router) checkUpstreams(req *request) *outcome.Error {
	if req.svc.servable() || r.awaitsFirstReport(req.svc) {
		return nil
	}
	return outcome.Refuse(outcome.NoUpstream, "no upstream serves this", r.withJitter(noUpstreamRetryAfter))
}

// awaitsFirstReport reports whether an engine of the service was listed so
// recently that its first load report may still arrive. Requests may wait for it.
func (r *Router) awaitsFirstReport(svc *service) bool {
	for _, id := range svc.members {
		u := r.upstreams[id]
		if u != nil && u.isModel && !u.reported && !u.leaving() && r.now.Sub(u.firstListed) < warmUpTimeout {
			return true
		}
	}
	return false
}

// servable reports whether the service has a chain of engines or an upstream that
// may get work.
func (s *service) servable() bool {
	if s.isModel() {
		return s.graph != nil && len(s.graph.Heads()) > 0
	}
	return len(s.upstreams) > 0
}

// checkLimit charges the request to its account's rate limit.
func (r *Router) checkLimit(req *request) *outcome.Error {
	ok, retryAfter := r.limiter.Take(r.now, req.account, 1)
	if ok {
		return nil
	}
	return outcome.Refuse(outcome.AccountLimit, "the account's rate is used up", r.withJitter(retryAfter))
}

// enqueue queues the request, unless it is expected to miss its deadline.
func (r *Router) enqueue(req *request) *outcome.Error {
	q := req.svc.queue
	item := r.item(req)
	if miss, retryAfter := q.WouldMiss(r.now, item); miss {
		return outcome.Refuse(outcome.DeadlineUnreachable, "the work ahead takes longer than the deadline", retryAfter)
	}
	if err := q.Push(r.now, item); err != nil {
		return r.pushRefusal(req, err)
	}
	req.state = waiting
	req.queued = r.now
	return nil
}

// deferSuspected delays a request that is suspected of crashing upstreams,
// without queueing it. It reports whether the request was delayed.
func (r *Router) deferSuspected(req *request) bool {
	_, until := req.svc.quarantine.Suspected(r.now, req.fingerprint())
	if r.awaitsCrashConfirmation(req) {
		until = r.now.Add(crashCheckInterval)
	}
	if !until.After(r.now) {
		return false
	}
	r.note(req, StepQueued, outcome.Quarantined, "waits for the judgement of a crash")
	r.requeueAfter(req, until.Sub(r.now))
	return true
}

// pushRefusal converts an error of Queue.Push to a refusal.
func (r *Router) pushRefusal(req *request, err error) *outcome.Error {
	retryAfter := req.svc.queue.RetryAfter(r.now)
	var full *queue.FullError
	if errors.As(err, &full) && full.Scope == queue.ScopeAccount {
		return outcome.Refuse(outcome.AccountLimit, err.Error(), retryAfter)
	}
	return outcome.Refuse(outcome.QueueFull, err.Error(), retryAfter)
}

// item returns the queue item of the request.
func (r *Router) item(req *request) queue.Item {
	return queue.Item{
		ID:       req.arrival.ID,
		Account:  req.account.ID,
		Weight:   req.account.Weight,
		Priority: req.arrival.Priority,
		Deadline: req.deadline,
		Cost:     req.cost(),
		Enqueued: r.now,
	}
}

// withJitter returns d plus up to half of d, so that callers don't retry all at
// once.
func (r *Router) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(r.rand.Float64()*float64(d)/2)
}

// refuse answers a request that was not admitted.
func (r *Router) refuse(req *request, err *outcome.Error) {
	r.note(req, StepRefused, err.Reason, err.Detail)
	r.emit(Finish{ID: req.arrival.ID, Err: err})
}

// forget drops a request that is answered and has nothing in flight.
func (r *Router) forget(req *request) {
	delete(r.requests, req.arrival.ID)
	req.svc.retries = slices.DeleteFunc(req.svc.retries, func(d delayedRetry) bool {
		return d.id == req.arrival.ID
	})
}
