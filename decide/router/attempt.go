package router

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/topology"
)

// attemptStarted records that the upstream confirmed the start of an attempt.
func (r *Router) attemptStarted(ev AttemptStarted) {
	req := r.inFlight(ev.ID, ev.Attempt)
	if req == nil {
		return
	}
	req.startedAt = r.now
	req.epoch = ev.Epoch
	r.health.Progress(r.now, req.head())
	r.note(req, StepStarted, "", "")
}

// inFlight returns the request whose given attempt is in flight; nil if that
// attempt has been superseded or has ended.
func (r *Router) inFlight(id ids.Request, attempt ids.Attempt) *request {
	req := r.requests[id]
	if req == nil || req.state != sending || req.attempt != attempt {
		return nil
	}
	return req
}

// attemptEnded updates load, health and quarantine for the end of an attempt, and
// completes, retries or fails the request.
func (r *Router) attemptEnded(ev AttemptEnded) {
	req := r.inFlight(ev.ID, ev.Attempt)
	if req == nil {
		return
	}
	r.recordAttemptHealth(req, ev)
	chain := req.chain
	rejoining := req.resume != nil
	r.unreserve(req)
	r.releaseQueueSlot(req, ev.Phase == outcome.Finished)
	req.resume = nil
	if ev.Tokens > 0 {
		req.responseBegun = true
	}
	if !rejoining && !ev.Phase.ProvesNotRun() {
		req.mayHaveRun = true
	}
	switch {
	case ev.Phase == outcome.Finished:
		r.attemptFinished(req, rejoining)
	case req.prior != nil:
		r.joinFailed(req, chain, ev)
	default:
		r.attemptFailed(req, chain, rejoining, ev)
	}
	r.dispatch(req.svc)
}

// releaseQueueSlot tells the queue that a popped request is no longer in flight.
// Only a complete answer counts as work done.
func (r *Router) releaseQueueSlot(req *request, complete bool) {
	if req.inFlightCost == 0 {
		return
	}
	cost := 0.0
	if complete {
		cost = req.inFlightCost
	}
	req.svc.queue.Finished(r.now, cost)
	req.inFlightCost = 0
}

// attemptFinished completes a request whose complete answer was delivered.
func (r *Router) attemptFinished(req *request, rejoining bool) {
	if !rejoining {
		req.svc.observeServiceTime(r.now.Sub(req.sentAt))
	}
	req.svc.quarantine.RecordSuccess(r.now, req.fingerprint())
	if req.claim != nil {
		done := *req.claim
		done.State = ClaimDone
		retention := req.svc.profile.ClaimRetention.D()
		r.emit(Settle{ID: req.arrival.ID, Record: done, Retention: retention})
	}
	r.finish(req, nil)
	r.forget(req)
}

// attemptFailed retries, rejoins or fails a request whose attempt ended without a
// complete answer.
func (r *Router) attemptFailed(req *request, chain topology.Chain, rejoining bool, ev AttemptEnded) {
	r.note(req, StepFailed, ev.Reason, ev.Detail)
	if ev.Reason == outcome.UpstreamBusy && ev.Phase == outcome.Refused && !req.answered {
		r.retryBusy(req, ev)
		return
	}
	decision := retry.Decide(r.retryInput(req, rejoining, ev))
	switch decision.Action {
	case retry.Retry:
		r.retry(req, ev)
	case retry.Rejoin:
		r.rejoin(req, chain, ev)
	default:
		r.giveUp(req, r.failure(req, decision, ev))
	}
}

// giveUp fails a request. If the request was not run and its claim is held, the
// answer waits until the claim is released.
func (r *Router) giveUp(req *request, err *outcome.Error) {
	if req.mayHaveRun && err.Outcome == outcome.NotRun {
		err.Outcome = outcome.Unknown
	}
	if req.claim == nil || err.Outcome != outcome.NotRun {
		r.finish(req, err)
		r.forget(req)
		return
	}
	req.state = releasing
	req.pendingErr = err
	r.emit(Release{ID: req.arrival.ID, Record: *req.claim})
}

// callerGone stops the work for a caller that disconnected. A request with a
// claimed idempotency key continues, because its caller can return with the key.
func (r *Router) callerGone(ev CallerGone) {
	req := r.requests[ev.ID]
	if req == nil || req.answered {
		return
	}
	gone := &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.CallerGone}
	switch req.state {
	case waiting:
		req.svc.queue.Remove(ev.ID)
		r.giveUp(req, gone)
	case sending:
		if req.needsClaim() {
			return
		}
		gone.Outcome = outcome.Unknown
		r.finish(req, gone)
		r.emit(Cancel{ID: ev.ID, Attempt: req.attempt})
	case claiming, releasing:
		r.finish(req, gone)
	}
}
