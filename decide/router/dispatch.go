package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/balancer"
	"mimosaarch.example/decide/topology"
)

// dispatch launches waiting requests of a service while chains have room.
func (r *Router) dispatch(svc *service) {
	for {
		item, ok := svc.queue.Next(r.now)
		if !ok {
			return
		}
		req := r.requests[item.ID]
		if req == nil {
			svc.queue.Remove(item.ID)
			continue
		}
		chain, ok := r.pick(req)
		if !ok {
			return
		}
		svc.queue.Pop(r.now)
		req.popped = item.Cost
		r.launch(req, chain)
	}
}

// pick chooses a chain for the request; false when none has room. One that
// leads to the upstream that was full just now is drawn anew, once: to exclude
// that one would set off the search of all chains, over slow links too.
func (r *Router) pick(req *request) (topology.Chain, bool) {
	chain, ok := r.pickUsable(req)
	if ok && chain[0].ID == req.full {
		return r.pickUsable(req)
	}
	return chain, ok
}

// pickUsable chooses among the upstreams that the request has not failed at,
// or, where nothing else is left, among all.
func (r *Router) pickUsable(req *request) (topology.Chain, bool) {
	if len(req.failed) == 0 {
		return r.pickExcluding(req, nil)
	}
	chain, ok := r.pickExcluding(req, req.exclude)
	if !ok {
		return r.pickExcluding(req, nil)
	}
	return chain, ok
}

// pickExcluding chooses among the upstreams that exclude does not name.
func (r *Router) pickExcluding(req *request, exclude func(ids.Upstream) bool) (topology.Chain, bool) {
	want := balancer.Request{
		Service:    req.arrive.Service,
		PrefixHash: req.arrive.PrefixHash,
		Tokens:     int(req.cost()),
		Zone:       r.opts.Zone,
		Exclude:    exclude,
	}
	if req.svc.model() {
		return req.svc.picker.Pick(r.now, want, r)
	}
	one, ok := req.svc.plain.Pick(r.now, want, req.svc.upstreams, r)
	if !ok {
		return nil, false
	}
	return topology.Chain{one}, true
}

// launch starts the next attempt on the chain: at once, or after the claim of
// the request's idempotency key.
func (r *Router) launch(req *request, chain topology.Chain) {
	req.chain = chain
	req.full = ""
	req.attempt++
	req.stream = req.attempt
	r.reserve(req)
	if req.keyed() {
		r.claim(req)
		return
	}
	r.send(req)
}

// reserve counts the attempt in the load of each engine of its chain.
func (r *Router) reserve(req *request) {
	for _, e := range req.chain {
		r.track(e.ID, req)
	}
}

// free takes the attempt out of the load of its chain.
func (r *Router) free(req *request) {
	for _, e := range req.chain {
		r.untrack(e.ID, req)
	}
	req.chain = nil
}

// send emits the attempt.
func (r *Router) send(req *request) {
	req.state = sending
	req.sentAt = r.now
	req.startedAt = time.Time{}
	if req.attempt == 1 {
		req.svc.budget.RecordFirst(r.now)
	}
	r.trial(req)
	r.note(req, StepSent, "", "")
	r.emit(Send{
		ID:             req.arrive.ID,
		Attempt:        req.attempt,
		Chain:          req.chain,
		Model:          req.svc.model(),
		Layers:         req.svc.def.Layers,
		Resume:         req.resume,
		Remaining:      req.remaining(r.now),
		ConnectTimeout: req.svc.profile.ConnectTimeout.D(),
		StallAfter:     req.svc.profile.StallAfter.D(),
	})
}

// trial tells the health tracker that a half-open upstream gets its trial.
func (r *Router) trial(req *request) {
	for _, e := range req.chain {
		r.health.TryTrial(r.now, e.ID)
	}
}

// finish gives the final answer, once. The request is forgotten when nothing
// of it is in flight any more.
func (r *Router) finish(req *request, err *outcome.Error) {
	if req.answered {
		return
	}
	req.answered = true
	reason := outcome.Reason("")
	if err != nil {
		reason = err.Reason
	}
	r.noteFinish(req, err, reason)
	r.emit(Finish{ID: req.arrive.ID, Err: err, Attempts: int(req.attempt)})
}

// noteFinish records the final answer.
func (r *Router) noteFinish(req *request, err *outcome.Error, reason outcome.Reason) {
	decision := r.decision(req, StepFinished, reason, "")
	decision.Outcome = outcome.Complete
	if err != nil {
		decision.Outcome = err.Outcome
		decision.Detail = err.Detail
	}
	r.emit(RecordDecision{Decision: decision})
}
