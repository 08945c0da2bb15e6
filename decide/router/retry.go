package router

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/topology"
)

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
		Attempts:          req.starts(),
		MaxAttempts:       req.svc.profile.Retry.Attempts,
		Remaining:         req.remaining(r.now),
		BudgetAllows:      req.svc.budget.Available(r.now),
		Delivered:         ev.Tokens,
		Continuable:       req.svc.model(),
		Resumable:         req.svc.model(),
		StreamLost:        r.streamLost(ev) || req.rejoins >= req.svc.profile.Retry.Attempts,
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
