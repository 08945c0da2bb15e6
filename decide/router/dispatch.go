package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/balancer"
	"mimosaarch.example/decide/topology"
)

// dispatch starts waiting requests of a service while chains have capacity.
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
		req.inFlightCost = item.Cost
		r.launch(req, chain)
	}
}

// pick chooses a chain for the request; false if none has capacity. If the chain
// begins at the upstream that was just full, pick draws once more. It doesn't
// exclude that upstream, because an exclusion triggers a search of all chains,
// including those over slow links.
func (r *Router) pick(req *request) (topology.Chain, bool) {
	chain, ok := r.pickAvoidingFailed(req)
	if ok && chain[0].ID == req.lastBusy {
		return r.pickAvoidingFailed(req)
	}
	return chain, ok
}

// pickAvoidingFailed chooses a chain without the upstreams at which the request
// has failed or, if there is none, any chain.
func (r *Router) pickAvoidingFailed(req *request) (topology.Chain, bool) {
	if len(req.failedAt) == 0 {
		return r.pickExcluding(req, nil)
	}
	chain, ok := r.pickExcluding(req, req.hasFailedAt)
	if !ok {
		return r.pickExcluding(req, nil)
	}
	return chain, ok
}

// pickExcluding chooses a chain without the upstreams for which exclude returns
// true. A nil exclude excludes none.
func (r *Router) pickExcluding(req *request, exclude func(ids.Upstream) bool) (topology.Chain, bool) {
	want := balancer.Request{
		Service:    req.arrival.Service,
		PrefixHash: req.arrival.PrefixHash,
		TokenSteps: int(req.cost()),
		Zone:       r.opts.Zone,
		Exclude:    exclude,
	}
	if req.svc.isModel() {
		return req.svc.chainPicker.Pick(r.now, want, r)
	}
	one, ok := req.svc.plainPicker.Pick(r.now, want, req.svc.upstreams, r)
	if !ok {
		return nil, false
	}
	return topology.Chain{one}, true
}

// launch starts the next attempt on the chain. A request that needs a claim is
// sent once its idempotency key is claimed.
func (r *Router) launch(req *request, chain topology.Chain) {
	req.chain = chain
	req.lastBusy = ""
	req.attempt++
	req.stream = req.attempt
	r.reserve(req)
	if req.needsClaim() {
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

// unreserve removes the attempt from the load of each engine of its chain.
func (r *Router) unreserve(req *request) {
	for _, e := range req.chain {
		r.untrack(e.ID, req)
	}
	req.chain = nil
}

// send emits the Send command for the current attempt.
func (r *Router) send(req *request) {
	req.state = sending
	req.sentAt = r.now
	req.startedAt = time.Time{}
	if req.attempt == 1 {
		req.svc.budget.RecordFirst(r.now)
	}
	r.startTrials(req)
	r.note(req, StepSent, "", "")
	r.emit(Send{
		ID:             req.arrival.ID,
		Attempt:        req.attempt,
		Chain:          req.chain,
		Model:          req.svc.isModel(),
		Layers:         req.svc.def.Layers,
		Resume:         req.resume,
		Remaining:      req.remaining(r.now),
		ConnectTimeout: req.svc.profile.ConnectTimeout.D(),
		StallAfter:     req.svc.profile.StallAfter.D(),
	})
}

// startTrials tells the health tracker that half-open upstreams of the chain get
// their trial request.
func (r *Router) startTrials(req *request) {
	for _, e := range req.chain {
		r.health.TryTrial(r.now, e.ID)
	}
}

// finish returns the final answer to the request's caller, unless it was returned
// before. The function that calls finish forgets the request once nothing of it is in
// flight.
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
	r.emit(Finish{ID: req.arrival.ID, Err: err, Attempts: int(req.attempt)})
}

// noteFinish records the final answer as a decision.
func (r *Router) noteFinish(req *request, err *outcome.Error, reason outcome.Reason) {
	decision := r.decision(req, StepFinished, reason, "")
	decision.Outcome = outcome.Complete
	if err != nil {
		decision.Outcome = err.Outcome
		decision.Detail = err.Detail
	}
	r.emit(RecordDecision{Decision: decision})
}
