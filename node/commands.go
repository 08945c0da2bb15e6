package node

import (
	"context"
	"time"

	"mimosaarch.example/adapter/upstream"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/decide/router"
)

// execute carries out one command of the decision loop. It must not wait: what
// takes time goes to a pool or to a ring of another duty.
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

// send starts an attempt on the pool of attempts.
func (n *Node) send(c router.Send) {
	key := attemptKey{c.ID, c.Attempt}
	work := n.calls.get(c.ID)
	ctx := n.attempts.start(n.ctx, key)
	err := n.pool.Go(func() {
		defer n.attempts.end(key)
		n.runner.Run(ctx, c, work, n)
	})
	if err != nil {
		n.attempts.end(key)
		n.failUnsent(c)
	}
}

// AttemptStarted implements upstream.Sink; any goroutine calls it.
func (n *Node) AttemptStarted(ev router.AttemptStarted) { n.postEvent(ev) }

// AttemptEnded implements upstream.Sink; any goroutine calls it.
func (n *Node) AttemptEnded(ev router.AttemptEnded) { n.postEvent(ev) }

// ClaimEnded implements claims.Sink; any goroutine calls it.
func (n *Node) ClaimEnded(ev router.ClaimEnded) { n.postEvent(ev) }

// ClaimReleased implements claims.Sink; any goroutine calls it.
func (n *Node) ClaimReleased(ev router.ClaimReleased) { n.postEvent(ev) }

// cancelTimeout bounds the call that forbids the start of a request.
const cancelTimeout = time.Second

// cancelStream asks an engine to forbid the start of a request.
func (n *Node) cancelStream(c router.CancelStream) {
	ask := func() {
		ctx, done := context.WithTimeout(n.ctx, cancelTimeout)
		defer done()
		reply, err := upstream.Cancel(ctx, c.Address, c.Stream)
		n.postEvent(router.StreamCancelled{ID: c.ID, Answered: err == nil, Reply: reply})
	}
	if err := n.pool.Go(ask); err != nil {
		n.queueSelfEvent(router.StreamCancelled{ID: c.ID, Reply: engineapi.CancelReply{}})
	}
}

// finish gives the caller the final answer.
func (n *Node) finish(c router.Finish) {
	work := n.calls.get(c.ID)
	if work == nil {
		return
	}
	n.calls.remove(c.ID)
	work.Finish(c.Err)
}

// recordDecision keeps, counts and logs a decision.
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
