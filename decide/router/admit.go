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

// Advice on when to come back where nothing is measured.
const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// arrive admits a request to its service's queue or refuses it at once.
func (r *Router) arrive(ev RequestArrived) {
	req := &request{arrive: ev, arrived: r.now}
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

// admit makes each check of a new request in turn, cheapest first, and queues
// it. Its error is the refusal.
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
	if r.hold(req) {
		return nil
	}
	return r.enqueue(req)
}

// checkNode refuses when the node cannot take requests.
func (r *Router) checkNode(*request) *outcome.Error {
	switch {
	case r.draining:
		return outcome.Refuse(outcome.Draining, "this node is stopping", r.spread(retrySoon))
	case r.config == nil:
		return outcome.Refuse(outcome.NotReady, "no configuration yet", r.spread(retrySoon))
	case len(r.requests) >= r.opts.MaxRequests:
		return outcome.Refuse(outcome.QueueFull, "the node holds its most requests", r.spread(retrySoon))
	}
	return nil
}

// checkAccount finds the client account by the hash of its key.
func (r *Router) checkAccount(req *request) *outcome.Error {
	account, ok := r.config.AccountsByKey[req.arrive.KeySHA256]
	if !ok || req.arrive.KeySHA256 == "" {
		return outcome.Refuse(outcome.Unauthorized, "missing or unknown key", 0)
	}
	req.account = account
	return nil
}

// checkService finds the service and, for a plain call, its route.
func (r *Router) checkService(req *request) *outcome.Error {
	svc, ok := r.services[req.arrive.Service]
	if !ok || svc.model() != (req.arrive.Method == "") {
		return outcome.Refuse(outcome.UnknownService, string(req.arrive.Service), 0)
	}
	if !allows(req.account, req.arrive.Service) {
		return outcome.Refuse(outcome.Forbidden, "the account may not call this service", 0)
	}
	req.svc = svc
	if svc.model() {
		req.idempotent = req.arrive.IdempotencyKey == ""
		return nil
	}
	route, ok := findRoute(svc.def.Routes, req.arrive.Method, req.arrive.Path)
	if !ok {
		return outcome.Refuse(outcome.UnknownService, "no such route", 0)
	}
	req.idempotent = route.IsIdempotent()
	return nil
}

// findRoute gives the route with the longest prefix that fits.
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

// checkDeadline sets the deadline and refuses one that has passed.
func (r *Router) checkDeadline(req *request) *outcome.Error {
	req.deadline = req.arrive.Deadline
	if req.deadline.IsZero() {
		req.deadline = r.now.Add(req.svc.profile.Deadline.D())
	}
	if !req.deadline.After(r.now) {
		return outcome.Refuse(outcome.DeadlineExpired, "the deadline has passed", 0)
	}
	return nil
}

// checkQuarantine refuses a request that is known to crash upstreams.
func (r *Router) checkQuarantine(req *request) *outcome.Error {
	held, until := req.svc.blamer.Quarantined(r.now, req.fingerprint())
	if !held {
		return nil
	}
	return outcome.Refuse(outcome.Quarantined, "this request has crashed upstreams", until.Sub(r.now))
}

// checkUpstreams refuses when nothing could serve the request.
func (r *Router) checkUpstreams(req *request) *outcome.Error {
	if req.svc.servable() || r.joining(req.svc) {
		return nil
	}
	return outcome.Refuse(outcome.NoUpstream, "no upstream serves this", r.spread(retryLater))
}

// joining reports whether an engine was listed so lately that its load has not
// been asked for: a request may wait for it.
func (r *Router) joining(svc *service) bool {
	for _, id := range svc.members {
		u := r.upstreams[id]
		if u != nil && u.model && !u.reported && !u.leaving() && r.now.Sub(u.firstListed) < warmUp {
			return true
		}
	}
	return false
}

// servable reports whether some chain or upstream is known.
func (s *service) servable() bool {
	if s.model() {
		return s.graph != nil && len(s.graph.Heads()) > 0
	}
	return len(s.upstreams) > 0
}

// checkLimit takes the request from its account's rate.
func (r *Router) checkLimit(req *request) *outcome.Error {
	ok, retryAfter := r.limiter.Take(r.now, req.account, 1)
	if ok {
		return nil
	}
	return outcome.Refuse(outcome.AccountLimit, "the account's rate is used up", r.spread(retryAfter))
}

// enqueue puts the request in its queue, unless it could not be served in time.
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

// hold makes a request that is suspected to crash upstreams wait out of the
// queue; it reports whether the request has to.
func (r *Router) hold(req *request) bool {
	_, until := req.svc.blamer.Suspected(r.now, req.fingerprint())
	if r.unjudged(req) {
		until = r.now.Add(judgePace)
	}
	if !until.After(r.now) {
		return false
	}
	r.note(req, StepQueued, outcome.Quarantined, "waits for the judgement of a crash")
	r.later(req, until.Sub(r.now))
	return true
}

// pushRefusal turns a queue's error into the caller's.
func (r *Router) pushRefusal(req *request, err error) *outcome.Error {
	retryAfter := req.svc.queue.RetryAfter(r.now)
	var full *queue.FullError
	if errors.As(err, &full) && full.Scope == queue.ScopeAccount {
		return outcome.Refuse(outcome.AccountLimit, err.Error(), retryAfter)
	}
	return outcome.Refuse(outcome.QueueFull, err.Error(), retryAfter)
}

// item describes the request to its queue.
func (r *Router) item(req *request) queue.Item {
	return queue.Item{
		ID:       req.arrive.ID,
		Account:  req.account.ID,
		Weight:   req.account.Weight,
		Priority: req.arrive.Priority,
		Deadline: req.deadline,
		Cost:     req.cost(),
		Enqueued: r.now,
	}
}

// spread adds up to half of d, so that callers do not come back together.
func (r *Router) spread(d time.Duration) time.Duration {
	return d + time.Duration(r.rand.Float64()*float64(d)/2)
}

// refuse answers a request that was never held.
func (r *Router) refuse(req *request, err *outcome.Error) {
	r.note(req, StepRefused, err.Reason, err.Detail)
	r.emit(Finish{ID: req.arrive.ID, Err: err})
}

// forget drops a request that is answered and has nothing in flight.
func (r *Router) forget(req *request) {
	delete(r.requests, req.arrive.ID)
	req.svc.retries = slices.DeleteFunc(req.svc.retries, func(d delayedRetry) bool {
		return d.id == req.arrive.ID
	})
}
