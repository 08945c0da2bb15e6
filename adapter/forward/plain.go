package forward

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/segment"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// Limits of retries and hedging.
const (
	// maxRefusals is how many upstreams may refuse a request before the caller receives
	// an error.
	maxRefusals = 3
	// maxSends bounds the sends of a request. The route's limit counts upstreams, and
	// resuming on the same upstream adds none, so that limit alone would allow a stream
	// that breaks off at once to be sent without end.
	maxSends = 5
	// hedgeDelayObjectives is how long the first attempt of an idempotent request waits
	// for its response before another upstream is tried, in multiples of the route's
	// objective.
	hedgeDelayObjectives = 1.0
	// minHedgeDelay prevents a second send for usual delays on routes with a short
	// objective.
	minHedgeDelay = 60 * time.Millisecond
)

// servePlain serves a request whose response is passed on in one piece.
func (x *exchange) servePlain(ctx context.Context) {
	avoid := make(map[ids.Instance]bool)
	for refusals := 0; ; {
		if failed := x.awaitDecision(ctx); failed != nil {
			if x.contextDone(ctx) {
				return
			}
			x.giveUp(failed.reason, quarantineDetail, quarantineRetryAfter)
			return
		}
		u := x.server.picker.chooseReplica(ctx, x.server.opts.View().ByService(x.service), avoid, x.draw())
		if u == nil {
			x.giveUp(outcome.NoUpstream, "no usable upstream", x.plainRetryAfter(noUpstreamRetryAfter))
			return
		}
		resp, body, failed := x.sendPlain(ctx, u, len(avoid) == 0)
		if failed == nil {
			x.writePlainResponse(u, resp, body)
			return
		}
		avoid[u.ID] = true
		x.recordPossibleRun(u, failed)
		if x.contextDone(ctx) {
			return
		}
		x.recordPlainLoss(u, failed)
		if failed.phase.ProvesNotRun() {
			if refusals++; refusals >= maxRefusals {
				x.giveUp(failed.reason, failed.Error(), x.plainRetryAfter(busyRetryAfter))
				return
			}
		}
		if !x.retryOrGiveUp(ctx, failed) || x.contextDone(ctx) {
			return
		}
	}
}

// plainRetryAfter returns the Retry-After for a caller whose plain request was not served:
// the time until an upstream takes requests again, or else usual.
func (x *exchange) plainRetryAfter(usual time.Duration) time.Duration {
	return cmp.Or(x.server.picker.replicaRestLeft(x.server.opts.View().ByService(x.service)), usual)
}

// recordPossibleRun records the upstream of a failed attempt unless the failure proves
// that the request did not run. It has to be called before the caller receives a
// response.
func (x *exchange) recordPossibleRun(u *directory.Upstream, failed *failure) {
	if failed.phase.ProvesNotRun() {
		return
	}
	x.recordRun(u.ID)
}

// recordPlainLoss records what a failed plain attempt says about its upstream: it may
// have crashed, or another process has taken over its address.
func (x *exchange) recordPlainLoss(u *directory.Upstream, failed *failure) {
	if failed.reason == outcome.UpstreamRefused {
		x.server.crashes.upstreamDied(u)
	}
	if !failed.lostWhileRunning() {
		return
	}
	x.recordLostRun(x.sentAt, false, false, u.ID)
	x.server.connectionLost(u)
}

// retryOrGiveUp decides whether a failed attempt is followed by another, as long as the
// response has not started. If not, it responds to the caller and returns false. Only
// requests that have reached an upstream use the retry budget. It returns true if ctx has
// ended while the request waited for a loan.
func (x *exchange) retryOrGiveUp(ctx context.Context, failed *failure) bool {
	if x.giveUpIfFinal(failed, x.sends) {
		return false
	}
	claim, grant := x.retryClaim(), retry.Own
	if x.sends > 0 {
		x.held = x.server.picker.takeRetry(ctx, x.service, failed.reason, claim)
		grant = x.held.Grant
	}
	if grant != retry.Denied {
		x.recordRetry(failed, claim, grant)
		return true
	}
	x.recordRetryDenied(failed, claim)
	if ctx.Err() != nil {
		return true
	}
	x.giveUp(outcome.RetryBudget, failed.Error(), busyRetryAfter)
	return false
}

// giveUpIfFinal ends a request that must not be sent again whatever the retry budget
// holds, and reports whether it did. sends is the number of sends that count towards
// maxSends.
func (x *exchange) giveUpIfFinal(failed *failure, sends int) bool {
	switch {
	case x.quarantined():
		x.giveUp(outcome.Quarantined, quarantineDetail, quarantineRetryAfter)
		return true
	case failed.reason == outcome.Draining && !x.responseStarted:
		x.giveUp(failed.reason, failed.Error(), stoppingRetryAfter)
		return true
	case sends >= maxSends || !x.mayRunAgain(), failed.reason == outcome.NodeFull && !x.responseStarted:
		x.giveUp(failed.reason, failed.Error(), busyRetryAfter)
		return true
	}
	return false
}

// recordRetry counts and logs that another attempt follows a failed one, and how its retry
// was granted.
func (x *exchange) recordRetry(failed *failure, claim retry.Claim, grant retry.Grant) {
	x.count("retry." + string(failed.reason))
	line := x.log("retry").Str("reason", string(failed.reason)).Str("service", string(x.service)).Str("phase", failed.phase.String()).
		Str("detail", failed.Error()).Int("sends", x.sends).
		Stringer("kind", claim.Kind).Int("class", claim.Class).Bool("borrowed", grant == retry.Borrowed)
	x.addBudgetUsage(line).Send()
}

// recordRetryDenied logs that there was no retry for a failed attempt.
func (x *exchange) recordRetryDenied(failed *failure, claim retry.Claim) {
	x.logRetryDenied(failed.reason, claim)
}

// logRetryDenied logs that there was no retry for a claim.
func (x *exchange) logRetryDenied(reason outcome.Reason, claim retry.Claim) {
	line := x.log("retry_denied").Str("reason", string(reason)).Str("service", string(x.service)).
		Stringer("kind", claim.Kind).Int("class", claim.Class).Int("sends", x.sends)
	x.addBudgetUsage(line).Send()
}

// addBudgetUsage adds the state of the retry budget that decides on the request to a log line.
func (x *exchange) addBudgetUsage(line *zerolog.Event) *zerolog.Event {
	usage := x.server.picker.retryUsage(x.service)
	return line.Int("budget_used", usage.Used).Float64("budget_limit", usage.Limit)
}

// sendPlain sends the request to one upstream and reads the complete response.
func (x *exchange) sendPlain(ctx context.Context, u *directory.Upstream, first bool) (*upconn.Response, *segment.Buffer, *failure) {
	start := x.server.opts.Now()
	x.log("sent").Str("upstream", u.ID.String()).Str("address", u.Address).Str("route", x.route.Name).
		Stringer("directory", x.server.opts.View().Revision).Send()
	priority := func(out []byte) []byte {
		return appendHeader(out, x.server.opts.Headers.Priority, strconv.Itoa(priorityLevel(x.route.PriorityOf(x.account))))
	}
	resp, body, failed := x.roundTripPlain(ctx, u, x.composeHead(u, priority), x.plainWatch(first))
	took := x.server.opts.Now().Sub(start)
	switch {
	case ctx.Err() != nil, failed != nil && (failed.reason == outcome.NodeFull || failed.reason == outcome.Draining):
		x.server.picker.replicaEnded(u.ID, 0, false)
	case failed != nil:
		x.server.picker.replicaEnded(u.ID, took, true)
	default:
		x.server.picker.replicaEnded(u.ID, took, resp.Head.StatusCode() >= statusServerError)
		x.server.picker.recordAnswer(u)
		x.server.opts.Metrics.ObserveDuration("upstream.plain", took)
	}
	return resp, body, failed
}

// statusServerError is the lowest status that reports a failure of the upstream itself.
const statusServerError = 500

// plainWatch returns the timeout of one plain attempt. The first attempt of an
// idempotent request that has another one left is hedged: it ends early.
func (x *exchange) plainWatch(first bool) upconn.WaitFunc {
	// The request's own deadline has to end first, as it determines the response.
	wait := x.deadline.Sub(x.server.opts.Now()) + time.Second
	if first && x.route.Kind == routing.Idempotent && x.route.Attempts() > 1 {
		hedge := max(time.Duration(float64(x.route.LatencyObjective)*hedgeDelayObjectives), minHedgeDelay)
		wait = min(wait, hedge)
	}
	return func(waited time.Duration) (time.Duration, error) {
		if waited >= wait {
			return 0, &upconn.ReadTimeoutError{Waited: waited}
		}
		return wait - waited, nil
	}
}

// roundTripPlain makes one attempt and reads the complete response. A server error
// counts as a failure if the request may be sent again.
func (x *exchange) roundTripPlain(ctx context.Context, u *directory.Upstream, head []byte, watch upconn.WaitFunc) (*upconn.Response, *segment.Buffer, *failure) {
	a, failed := x.begin(ctx, chain.Chain{{Engine: u}}, head, watch)
	if failed != nil {
		return nil, nil, failed
	}
	x.phase = phaseResponse
	if failed := a.readHead(); failed != nil {
		return nil, nil, failed
	}
	body, failed := a.readBody()
	if failed != nil {
		return nil, nil, failed
	}
	if a.resp.Head.StatusCode() >= statusServerError && x.route.Kind == routing.Idempotent && x.sends < x.route.Attempts() {
		a.release()
		x.dropResponse(body)
		return nil, nil, &failure{phase: outcome.Started, reason: outcome.UpstreamInvalid, cause: &StatusError{a.resp.Head.StatusCode()}}
	}
	a.release()
	return a.resp, body, nil
}

// writePlainResponse writes an upstream's response to the caller.
func (x *exchange) writePlainResponse(u *directory.Upstream, resp *upconn.Response, body *segment.Buffer) {
	c := x.caller
	c.copyHead(&resp.Head)
	c.addHeader("Content-Length", strconv.Itoa(body.Len()))
	c.endHead()
	if err := c.writeBody(body); err != nil {
		x.writeFailed(err)
		return
	}
	x.recordAnswered(resp.Head.StatusCode(), u)
}
