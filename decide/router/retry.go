package router

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/topology"
)

// retryBusy queues a request again after an upstream refused it for lack of
// capacity. This doesn't count as a failure: it uses neither the request's
// attempts nor the retry budget, and is limited only by the deadline.
func (r *Router) retryBusy(req *request, ev AttemptEnded) {
	req.busyCount++
	req.lastBusy = ev.Upstream
	r.note(req, StepRetried, ev.Reason, string(ev.Upstream))
	r.requeueAfter(req, retry.Backoff(ids.Attempt(req.busyCount), r.rand))
}

// requeueAfter queues a request again after a delay.
func (r *Router) requeueAfter(req *request, wait time.Duration) {
	req.state = waiting
	req.svc.retries = append(req.svc.retries, delayedRetry{id: req.arrival.ID, at: r.now.Add(wait)})
}

// retryInput returns the input of retry.Decide for a failed attempt.
func (r *Router) retryInput(req *request, rejoining bool, ev AttemptEnded) retry.Input {
	held, _ := req.svc.quarantine.Quarantined(r.now, req.fingerprint())
	return retry.Input{
		Phase:             ev.Phase,
		Reason:            ev.Reason,
		EarlierMayHaveRun: req.mayHaveRun && (rejoining || ev.Phase.ProvesNotRun()),
		Rejoining:         rejoining,
		Idempotent:        req.idempotent,
		Keyed:             req.claim != nil,
		Attempts:          req.starts(),
		MaxAttempts:       req.svc.profile.Retry.Attempts,
		Remaining:         req.remaining(r.now),
		BudgetAllows:      req.svc.budget.Available(r.now, req.retryKind()),
		Delivered:         ev.Tokens,
		Continuable:       req.svc.isModel(),
		Resumable:         req.svc.isModel(),
		StreamLost:        r.streamLost(ev) || req.rejoins >= req.svc.profile.Retry.Attempts,
		CallerGone:        req.answered,
		Quarantined:       held,
	}
}

// streamLost reports whether the end of the attempt shows that the engine no
// longer has the stream.
func (r *Router) streamLost(ev AttemptEnded) bool {
	switch ev.Reason {
	case outcome.ConnectFailed, outcome.StageFailed, outcome.Cancelled, outcome.LedgerViolation, outcome.UpstreamRefused:
		return true
	}
	return false
}

// failure returns the error for the caller after a decision not to retry.
func (r *Router) failure(req *request, decision retry.Decision, ev AttemptEnded) *outcome.Error {
	retryAfter := max(ev.RetryAfter, req.svc.queue.RetryAfter(r.now))
	return &outcome.Error{
		Outcome:    decision.Outcome,
		Reason:     decision.Reason,
		Detail:     ev.Detail,
		RetryAfter: retryAfter,
	}
}

// retry queues the request again after its backoff, to be sent to another
// upstream. It fails the request if the retry budget is used up.
func (r *Router) retry(req *request, ev AttemptEnded) {
	if !req.svc.budget.Allow(r.now, ev.Reason, req.retryKind()) {
		r.giveUp(req, outcome.Refuse(outcome.RetryBudget, "", r.withJitter(defaultRetryAfter)))
		return
	}
	if ev.Upstream != "" {
		req.failedAt = append(req.failedAt, ev.Upstream)
	}
	r.note(req, StepRetried, ev.Reason, string(ev.Upstream))
	r.requeueAfter(req, retry.Backoff(req.attempt, r.rand))
}

// resumeDue continues the requests of a service whose delay is over.
func (r *Router) resumeDue(svc *service) {
	due := func(d delayedRetry) bool { return !d.at.After(r.now) }
	var ready []delayedRetry
	for _, d := range svc.retries {
		if due(d) {
			ready = append(ready, d)
		}
	}
	svc.retries = slices.DeleteFunc(svc.retries, due)
	for _, d := range ready {
		r.resumeDelayed(r.requests[d.id], d.rejoin)
	}
}

// resumeDelayed continues a request after its delay: it rejoins the stream if a
// chain is given, and queues the request otherwise.
func (r *Router) resumeDelayed(req *request, rejoin topology.Chain) {
	if rejoin != nil {
		r.startRejoin(req, rejoin)
		return
	}
	r.requeueDelayed(req)
}

// requeueDelayed queues a request after its delay, unless it has been quarantined
// in the meantime or has to wait for the confirmation of a crash.
func (r *Router) requeueDelayed(req *request) {
	if err := r.checkQuarantine(req); err != nil {
		r.giveUp(req, err)
		return
	}
	if !r.deferSuspected(req) {
		r.enqueueAgain(req)
	}
}

// enqueueAgain queues a request again. The request fails if the queue is full.
func (r *Router) enqueueAgain(req *request) {
	if err := req.svc.queue.Push(r.now, r.item(req)); err != nil {
		r.giveUp(req, r.pushRefusal(req, err))
		return
	}
	req.queued = r.now
}

// rejoin asks the engine for the rest of the request's own running stream on a
// new connection: at once the first time, after a backoff later.
func (r *Router) rejoin(req *request, chain topology.Chain, ev AttemptEnded) {
	r.note(req, StepJoined, ev.Reason, string(chain[0].ID))
	req.rejoins++
	if req.rejoins == 1 {
		r.startRejoin(req, chain)
		return
	}
	req.state = waiting
	wait := retry.Backoff(ids.Attempt(req.rejoins), r.rand)
	req.svc.retries = append(req.svc.retries, delayedRetry{id: req.arrival.ID, at: r.now.Add(wait), rejoin: chain})
}

// startRejoin sends an attempt that rejoins the stream on the given chain.
func (r *Router) startRejoin(req *request, chain topology.Chain) {
	req.resume = &Resume{Request: req.arrival.ID, Attempt: req.stream, Epoch: req.epoch}
	req.attempt++
	req.chain = chain
	r.reserve(req)
	r.send(req)
}
