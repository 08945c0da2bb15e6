package router

import (
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/topology"
)

// claim claims the request's idempotency key before the attempt is sent. The
// record names the upstream, so that a repeat through another VM can find the
// running stream.
func (r *Router) claim(req *request) {
	req.state = claiming
	record := ClaimRecord{
		Account:     req.account.ID,
		Key:         req.arrival.IdempotencyKey,
		Fingerprint: req.arrival.Fingerprint,
		Request:     req.arrival.ID,
		VM:          r.opts.VM,
		Upstream:    req.head(),
		Attempt:     req.attempt,
		Epoch:       r.loads.Estimate(r.now, req.head()).Epoch,
		State:       ClaimHeld,
	}
	req.pendingClaim = &record
	r.emit(Claim{
		ID:        req.arrival.ID,
		Record:    record,
		Over:      req.prior,
		Retention: req.svc.profile.ClaimRetention.D(),
	})
}

// claimEnded sends the attempt if its claim was won. Otherwise it answers the
// request or joins the earlier one.
func (r *Router) claimEnded(ev ClaimEnded) {
	req := r.requests[ev.ID]
	if req == nil || req.state != claiming {
		return
	}
	if ev.Result == ClaimWon {
		r.claimWon(req)
		return
	}
	r.unreserve(req)
	r.releaseQueueSlot(req, false)
	r.claimLost(req, ev)
	r.dispatch(req.svc)
}

// claimWon sends the attempt, or releases the claim if the request has been
// answered in the meantime.
func (r *Router) claimWon(req *request) {
	req.claim = req.pendingClaim
	req.pendingClaim = nil
	req.prior = nil
	r.note(req, StepClaimed, "", "")
	if !req.answered {
		r.send(req)
		return
	}
	r.unreserve(req)
	r.releaseQueueSlot(req, false)
	r.giveUp(req, outcome.Refuse(outcome.CallerGone, "", 0))
}

// claimLost handles a request whose key was not won.
func (r *Router) claimLost(req *request, ev ClaimEnded) {
	if ev.Result == ClaimTaken {
		r.duplicate(req, ev.Prior)
		return
	}
	detail := "the platform did not confirm the idempotency key"
	r.giveUp(req, outcome.Refuse(outcome.ClaimUnavailable, detail, r.withJitter(defaultRetryAfter)))
}

// duplicate handles a request whose key belongs to an earlier one. It joins the
// stream of the earlier request where possible.
func (r *Router) duplicate(req *request, prior ClaimRecord) {
	if prior.Fingerprint != req.arrival.Fingerprint {
		r.giveUp(req, outcome.Refuse(outcome.KeyReused, "the key came with another request before", 0))
		return
	}
	u := r.upstreams[prior.Upstream]
	if !req.svc.isModel() || u == nil || req.answered {
		r.giveUp(req, r.earlierOutcome(prior))
		return
	}
	req.prior = &prior
	r.join(req, u.engine)
}

// join sends an attempt that joins the stream of the request's prior claim.
func (r *Router) join(req *request, head topology.Engine) {
	prior := req.prior
	req.resume = &Resume{Request: prior.Request, Attempt: prior.Attempt, Epoch: prior.Epoch}
	req.chain = topology.Chain{head}
	r.reserve(req)
	r.note(req, StepJoined, outcome.DuplicateRunning, string(prior.Request))
	r.send(req)
}

// earlierOutcome returns the answer to a repeat whose earlier request cannot be
// joined: already run, still running or unknown.
func (r *Router) earlierOutcome(prior ClaimRecord) *outcome.Error {
	detail := "first sent as " + string(prior.Request)
	if prior.State == ClaimDone {
		return &outcome.Error{Outcome: outcome.AlreadyRun, Reason: outcome.DuplicateDone, Detail: detail}
	}
	if !r.alive(prior.VM) {
		return &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.UpstreamLost, Detail: detail}
	}
	return &outcome.Error{
		Outcome:    outcome.Running,
		Reason:     outcome.DuplicateRunning,
		Detail:     detail,
		RetryAfter: r.withJitter(defaultRetryAfter),
	}
}

// joinFailed handles a failed attempt to join an earlier request's stream. If the
// engine doesn't have the stream and the VM of the earlier request is gone,
// joinFailed asks the engine to refuse any later start of it. A confirmation
// proves that the earlier request was not run. It asks once: if the engine then says that
// the request has started, and cannot give its stream, asking again gains nothing.
func (r *Router) joinFailed(req *request, chain topology.Chain, ev AttemptEnded) {
	prior := req.prior
	r.note(req, StepFailed, ev.Reason, ev.Detail)
	mayTakeOver := ev.Reason == outcome.UpstreamRefused && prior.State == ClaimHeld && !r.alive(prior.VM)
	mayTakeOver = mayTakeOver && !req.priorStarted
	if !mayTakeOver || req.answered {
		r.giveUp(req, r.earlierOutcome(*prior))
		return
	}
	req.state = cancellingEarlier
	r.emit(CancelStream{ID: req.arrival.ID, Address: chain[0].Address, Stream: prior.Request})
}

// streamCancelled queues the request again, to take over the claim, if the
// earlier request has provably not started and never will. If the earlier request has
// started since the join failed, streamCancelled joins its stream.
func (r *Router) streamCancelled(ev StreamCancelled) {
	req := r.requests[ev.ID]
	if req == nil || req.state != cancellingEarlier {
		return
	}
	u := r.upstreams[req.prior.Upstream]
	if !req.answered && u != nil && ev.Answered && ev.Reply.State == engineapi.CancelStarted {
		req.priorStarted = true
		req.attempt++
		req.rejoins++
		r.join(req, u.engine)
		return
	}
	if req.answered || !provesNotStarted(ev, *req.prior) {
		r.giveUp(req, r.earlierOutcome(*req.prior))
		return
	}
	r.enqueueAgain(req)
	req.state = waiting
	r.dispatch(req.svc)
}

// provesNotStarted reports whether the engine cancelled the stream before its
// start, in the epoch that the claim names.
func provesNotStarted(ev StreamCancelled, prior ClaimRecord) bool {
	return ev.Answered &&
		ev.Reply.State == engineapi.CancelNotStarted &&
		prior.Epoch != "" &&
		ev.Reply.Epoch == prior.Epoch
}

// claimReleased returns the answer that waited for the release of the claim to the
// caller. The adapter continues an unconfirmed release; the answer is correct either
// way.
func (r *Router) claimReleased(ev ClaimReleased) {
	req := r.requests[ev.ID]
	if req == nil || req.state != releasing {
		return
	}
	r.finish(req, req.pendingErr)
	r.forget(req)
}
