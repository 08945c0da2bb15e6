package router

import (
	"slices"
	"time"

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
	req.svc.blamer.Succeeded(r.now, req.fingerprint())
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

// busy queues a request again that an upstream had no room for. That is no
// failure: it costs neither one of the request's attempts nor the budget of
// retries, and ends with the deadline.
func (r *Router) busy(req *request, ev AttemptEnded) {
	req.busy++
	req.full = ev.Upstream
	r.note(req, StepRetried, ev.Reason, string(ev.Upstream))
	r.later(req, retry.Backoff(ids.Attempt(req.busy), r.rand))
}

// later queues a request again after a wait.
func (r *Router) later(req *request, wait time.Duration) {
	req.state = waiting
	req.svc.retries = append(req.svc.retries, delayedRetry{id: req.arrive.ID, at: r.now.Add(wait)})
}

// retryInput describes the failed attempt to the retry rules.
func (r *Router) retryInput(req *request, joining bool, ev AttemptEnded) retry.Input {
	held, _ := req.svc.blamer.Quarantined(r.now, req.fingerprint())
	return retry.Input{
		Phase:             ev.Phase,
		Reason:            ev.Reason,
		EarlierMayHaveRun: req.mayHaveRun && (joining || ev.Phase.ProvesNotRun()),
		Rejoining:         joining,
		Idempotent:        req.idempotent,
		Keyed:             req.claim != nil,
		Attempts:          int(req.attempt) - req.busy,
		MaxAttempts:       req.svc.profile.Retry.Attempts,
		Remaining:         req.remaining(r.now),
		BudgetAllows:      req.svc.budget.Available(r.now),
		Delivered:         ev.Tokens,
		Continuable:       req.svc.model(),
		Resumable:         req.svc.model(),
		StreamLost:        r.streamLost(ev),
		CallerGone:        req.answered,
		Quarantined:       held,
	}
}

// streamLost reports whether the engine is known not to hold the stream.
func (r *Router) streamLost(ev AttemptEnded) bool {
	switch ev.Reason {
	case outcome.ConnectFailed, outcome.StageFailed, outcome.Cancelled, outcome.LedgerViolation, outcome.UpstreamRefused:
		return true
	}
	return false
}

// failure makes the caller's error from a decision to give up.
func (r *Router) failure(req *request, decision retry.Decision, ev AttemptEnded) *outcome.Error {
	retryAfter := max(ev.RetryAfter, req.svc.queue.RetryAfter(r.now))
	return &outcome.Error{
		Outcome:    decision.Outcome,
		Reason:     decision.Reason,
		Detail:     ev.Detail,
		RetryAfter: retryAfter,
	}
}

// retry queues the request again after its backoff, to go elsewhere.
func (r *Router) retry(req *request, ev AttemptEnded) {
	if !req.svc.budget.Allow(r.now, ev.Reason) {
		r.giveUp(req, outcome.Refuse(outcome.RetryBudget, "", r.spread(retrySoon)))
		return
	}
	if ev.Upstream != "" {
		req.failed = append(req.failed, ev.Upstream)
	}
	r.note(req, StepRetried, ev.Reason, string(ev.Upstream))
	r.later(req, retry.Backoff(req.attempt, r.rand))
}

// requeue puts the retries whose backoff is over back into the queue.
func (r *Router) requeue(svc *service) {
	due := func(d delayedRetry) bool { return !d.at.After(r.now) }
	var ready []delayedRetry
	for _, d := range svc.retries {
		if due(d) {
			ready = append(ready, d)
		}
	}
	svc.retries = slices.DeleteFunc(svc.retries, due)
	for _, d := range ready {
		r.resumeWork(r.requests[d.id], d.rejoin)
	}
}

// resumeWork goes on with a request that has waited out its delay.
func (r *Router) resumeWork(req *request, rejoin topology.Chain) {
	if rejoin != nil {
		r.startRejoin(req, rejoin)
		return
	}
	r.release(req)
}

// release queues a request that has waited out its delay, unless it has been
// judged meanwhile to crash upstreams, or its judgement is still due.
func (r *Router) release(req *request) {
	if err := r.checkQuarantine(req); err != nil {
		r.giveUp(req, err)
		return
	}
	if !r.hold(req) {
		r.requeueOne(req)
	}
}

// requeueOne queues a request again; a full queue ends it.
func (r *Router) requeueOne(req *request) {
	if err := req.svc.queue.Push(r.now, r.item(req)); err != nil {
		r.giveUp(req, r.pushRefusal(req, err))
		return
	}
	req.queued = r.now
}

// rejoin asks the engine for the rest of the request's own running stream, on
// a new connection: at once the first time, later after a wait.
func (r *Router) rejoin(req *request, chain topology.Chain, ev AttemptEnded) {
	r.note(req, StepJoined, ev.Reason, string(chain[0].ID))
	req.rejoins++
	if req.rejoins == 1 {
		r.startRejoin(req, chain)
		return
	}
	req.state = waiting
	wait := retry.Backoff(ids.Attempt(req.rejoins), r.rand)
	req.svc.retries = append(req.svc.retries, delayedRetry{id: req.arrive.ID, at: r.now.Add(wait), rejoin: chain})
}

// startRejoin sends the attempt that rejoins.
func (r *Router) startRejoin(req *request, chain topology.Chain) {
	req.resume = &Resume{Request: req.arrive.ID, Attempt: req.stream, Epoch: req.epoch}
	req.attempt++
	req.chain = chain
	r.reserve(req)
	r.send(req)
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
