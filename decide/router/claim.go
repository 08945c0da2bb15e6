package router

import (
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/topology"
)

// claim asks for the request's key before the attempt is sent. The record
// names the upstream, so that a repeat through another VM can find the run.
func (r *Router) claim(req *request) {
	req.state = claiming
	record := ClaimRecord{
		Account:     req.account.ID,
		Key:         req.arrive.IdempotencyKey,
		Fingerprint: req.arrive.Fingerprint,
		Request:     req.arrive.ID,
		VM:          r.opts.VM,
		Upstream:    req.head(),
		Attempt:     req.attempt,
		Epoch:       r.book.Estimate(r.now, req.head()).Epoch,
		State:       ClaimHeld,
	}
	req.pending = &record
	r.emit(Claim{
		ID:        req.arrive.ID,
		Record:    record,
		Over:      req.prior,
		Retention: req.svc.profile.ClaimRetention.D(),
	})
}

// claimEnded sends the attempt whose claim was won, and answers one that was
// not.
func (r *Router) claimEnded(ev ClaimEnded) {
	req := r.requests[ev.ID]
	if req == nil || req.state != claiming {
		return
	}
	if ev.Result == ClaimWon {
		r.claimWon(req)
		return
	}
	r.free(req)
	r.settleQueue(req, false)
	r.claimLost(req, ev)
	r.dispatch(req.svc)
}

// claimWon sends the attempt, or gives the claim back when its request has
// been answered meanwhile.
func (r *Router) claimWon(req *request) {
	req.claim = req.pending
	req.pending = nil
	req.prior = nil
	r.note(req, StepClaimed, "", "")
	if !req.answered {
		r.send(req)
		return
	}
	r.free(req)
	r.settleQueue(req, false)
	r.giveUp(req, outcome.Refuse(outcome.CallerGone, "", 0))
}

// claimLost answers a request whose key was not won.
func (r *Router) claimLost(req *request, ev ClaimEnded) {
	if ev.Result == ClaimTaken {
		r.duplicate(req, ev.Prior)
		return
	}
	detail := "the platform did not confirm the idempotency key"
	r.giveUp(req, outcome.Refuse(outcome.ClaimUnavailable, detail, r.spread(retrySoon)))
}

// duplicate answers a request whose key belongs to an earlier one: by that
// one's stream where it can be joined.
func (r *Router) duplicate(req *request, prior ClaimRecord) {
	if prior.Fingerprint != req.arrive.Fingerprint {
		r.giveUp(req, outcome.Refuse(outcome.KeyReused, "the key came with another request before", 0))
		return
	}
	u := r.upstreams[prior.Upstream]
	if !req.svc.model() || u == nil || req.answered {
		r.giveUp(req, r.earlier(prior))
		return
	}
	req.prior = &prior
	req.resume = &Resume{Request: prior.Request, Attempt: prior.Attempt, Epoch: prior.Epoch}
	req.chain = topology.Chain{u.engine}
	r.reserve(req)
	r.note(req, StepJoined, outcome.DuplicateRunning, string(prior.Request))
	r.send(req)
}

// earlier answers a repeat with what is known of the earlier request.
func (r *Router) earlier(prior ClaimRecord) *outcome.Error {
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
		RetryAfter: r.spread(retrySoon),
	}
}

// joinFailed follows an attempt to rejoin an earlier request's stream. Where
// the engine does not hold it and its VM is gone, the engine is asked to
// forbid its start, which proves that it was not run.
func (r *Router) joinFailed(req *request, chain topology.Chain, ev AttemptEnded) {
	prior := req.prior
	r.note(req, StepFailed, ev.Reason, ev.Detail)
	mayTakeOver := ev.Reason == outcome.UpstreamRefused && prior.State == ClaimHeld && !r.alive(prior.VM)
	if !mayTakeOver || req.answered {
		r.giveUp(req, r.earlier(*prior))
		return
	}
	req.state = forbidding
	r.emit(CancelStream{ID: req.arrive.ID, Address: chain[0].Address, Stream: prior.Request})
}

// streamCancelled takes over the claim of a request that is proved not to
// have started, and never will.
func (r *Router) streamCancelled(ev StreamCancelled) {
	req := r.requests[ev.ID]
	if req == nil || req.state != forbidding {
		return
	}
	if req.answered || !provesNotStarted(ev, *req.prior) {
		r.giveUp(req, r.earlier(*req.prior))
		return
	}
	r.requeueOne(req)
	req.state = waiting
	r.dispatch(req.svc)
}

// provesNotStarted reports whether the engine forbade the start in the same
// process life that the claim names.
func provesNotStarted(ev StreamCancelled, prior ClaimRecord) bool {
	return ev.Answered &&
		ev.Reply.State == engineapi.CancelNotStarted &&
		prior.Epoch != "" &&
		ev.Reply.Epoch == prior.Epoch
}

// claimReleased gives the answer that waited for the release. An unconfirmed
// release goes on by itself; the answer is true all the same.
func (r *Router) claimReleased(ev ClaimReleased) {
	req := r.requests[ev.ID]
	if req == nil || req.state != releasing {
		return
	}
	r.finish(req, req.cause)
	r.forget(req)
}
