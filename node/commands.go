package node

import (
	"context"
	"time"

	"mimosaarch.example/adapter/upstream"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/decide/router"
)

// execute carries out one command of the router. It must not block, because it
// runs in the decision loop: slow work goes to the worker pool or to the queue
// of another task.
func (n *Node) execute(command router.Command) {
	switch c := command.(type) {
	case router.Send:
		n.send(c)
	case router.Cancel:
		n.attempts.cancel(attemptKey{c.ID, c.Attempt})
	case router.CancelStream:
		n.cancelStream(c)
	case router.Claim, router.Release, router.Settle:
		n.submitClaim(c)
	case router.PollLoad:
		n.polls.pollAlso(c.Upstream)
	case router.SendDigest:
		n.deliverDigest(c)
	case router.ReportStatus:
		n.deliverStatus(c)
	case router.Finish:
		n.finish(c)
	case router.RecordDecision:
		n.recordDecision(c.Decision)
	}
}

// send runs an attempt on the worker pool.
func (n *Node) send(c router.Send) {
	key := attemptKey{c.ID, c.Attempt}
	cl := n.calls.get(c.ID)
	ctx := n.attempts.start(n.ctx, key)
	err := n.pool.Go(func() {
		defer n.attempts.end(key)
		n.runner.Run(ctx, c, cl, n)
	})
	if err != nil {
		n.attempts.end(key)
		n.failUnsent(c)
	}
}

// AttemptStarted implements upstream.Sink. It is safe for concurrent use.
func (n *Node) AttemptStarted(ev router.AttemptStarted) { n.postEvent(ev) }

// AttemptEnded implements upstream.Sink. It is safe for concurrent use.
func (n *Node) AttemptEnded(ev router.AttemptEnded) { n.postEvent(ev) }

// ClaimEnded implements claims.Sink. It is safe for concurrent use.
func (n *Node) ClaimEnded(ev router.ClaimEnded) { n.postEvent(ev) }

// ClaimReleased implements claims.Sink. It is safe for concurrent use.
func (n *Node) ClaimReleased(ev router.ClaimReleased) { n.postEvent(ev) }

// cancelTimeout limits a call that cancels a request at an engine.
const cancelTimeout = time.Second

// cancelStream asks an engine not to start a request of another node, and reports the
// reply to the decision loop.
func (n *Node) cancelStream(c router.CancelStream) {
	ask := func() {
		ctx, cancel := context.WithTimeout(n.ctx, cancelTimeout)
		defer cancel()
		reply, err := upstream.CancelUnstarted(ctx, c.Address, c.Stream)
		n.postEvent(router.StreamCancelled{ID: c.ID, Answered: err == nil, Reply: reply})
	}
	if err := n.pool.Go(ask); err != nil {
		n.queueSelfEvent(router.StreamCancelled{ID: c.ID, Reply: engineapi.CancelReply{}})
	}
}

// finish completes the call of a request with its final outcome.
func (n *Node) finish(c router.Finish) {
	cl := n.calls.get(c.ID)
	if cl == nil {
		return
	}
	n.calls.remove(c.ID)
	cl.Finish(c.Err)
}

// recordDecision stores, counts and logs a routing decision.
func (n *Node) recordDecision(d router.Decision) {
	n.records.Add(d)
	n.telemetry.CountDecision(d)
	n.log.Debug().
		Str("request", string(d.ID)).
		Str("account", string(d.Account)).
		Str("step", string(d.Step)).
		Int("attempt", int(d.Attempt)).
		Str("outcome", string(d.Outcome)).
		Str("reason", string(d.Reason)).
		Str("detail", d.Detail).
		Dur("wait", d.Wait).
		Msg("decision")
}
