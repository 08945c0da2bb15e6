package router

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/topology"
)

// attemptStarted notes that the upstream confirmed the start.
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

// inFlight gives the request whose attempt is in flight; nil for an event of
// an attempt that is no longer.
func (r *Router) inFlight(id ids.Request, attempt ids.Attempt) *request {
	req := r.requests[id]
	if req == nil || req.state != sending || req.attempt != attempt {
		return nil
	}
	return req
}

// attemptEnded draws the consequences of an attempt's end: for the load, for
// the health of its upstreams, and for the request.
func (r *Router) attemptEnded(ev AttemptEnded) {
	req := r.inFlight(ev.ID, ev.Attempt)
	if req == nil {
		return
	}
	r.blame(req, ev)
	chain := req.chain
	joining := req.resume != nil
	r.free(req)
	r.settleQueue(req, ev.Phase == outcome.Finished)
	req.resume = nil
	if !joining && !ev.Phase.ProvesNotRun() {
		req.mayHaveRun = true
	}
	switch {
	case ev.Phase == outcome.Finished:
		r.attemptFinished(req, joining)
	case req.prior != nil:
		r.joinFailed(req, chain, ev)
	default:
		r.attemptFailed(req, chain, joining, ev)
	}
	r.dispatch(req.svc)
}

// settleQueue tells the queue that a request it gave out is in flight no more;
// only a whole answer counts as work done.
func (r *Router) settleQueue(req *request, whole bool) {
	if req.popped == 0 {
		return
	}
	cost := 0.0
	if whole {
		cost = req.popped
	}
	req.svc.queue.Finished(r.now, cost)
	req.popped = 0
}

// attemptFinished ends a request whose whole answer was delivered.
func (r *Router) attemptFinished(req *request, joining bool) {
	if !joining {
		req.svc.finished(r.now.Sub(req.sentAt))
	}
	req.svc.blamer.RecordSuccess(r.now, req.fingerprint())
	if req.claim != nil {
		done := *req.claim
		done.State = ClaimDone
		keep := req.svc.profile.ClaimRetention.D()
		r.emit(Settle{ID: req.arrive.ID, Record: done, Retention: keep})
	}
	r.finish(req, nil)
	r.forget(req)
}

// attemptFailed decides what follows an attempt that gave no whole answer.
func (r *Router) attemptFailed(req *request, chain topology.Chain, joining bool, ev AttemptEnded) {
	r.note(req, StepFailed, ev.Reason, ev.Detail)
	if ev.Reason == outcome.UpstreamBusy && ev.Phase == outcome.Refused && !req.answered {
		r.busy(req, ev)
		return
	}
	decision := retry.Decide(r.retryInput(req, joining, ev))
	switch decision.Action {
	case retry.Retry:
		r.retry(req, ev)
	case retry.Rejoin:
		r.rejoin(req, chain, ev)
	default:
		r.giveUp(req, r.failure(req, decision, ev))
	}
}

// giveUp ends a request with a failure: at once where no claim of its own
// stands, or once the claim of a request that was not run is released.
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
	req.cause = err
	r.emit(Release{ID: req.arrive.ID, Record: *req.claim})
}

// callerGone stops the work of a caller that went away. A request with a
// claimed key runs on: its caller can come back with the key.
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
		if req.keyed() {
			return
		}
		gone.Outcome = outcome.Unknown
		r.finish(req, gone)
		r.emit(Cancel{ID: ev.ID, Attempt: req.attempt})
	case claiming, releasing:
		r.finish(req, gone)
	}
}
