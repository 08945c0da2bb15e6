package forward

import (
	"context"
	"strconv"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/routing"
)

// Bounds of plain requests.
const (
	// maxRefusals is the most upstreams that may refuse one request before its
	// caller is told to come back.
	maxRefusals = 3
	// maxSends bounds the sends of one request altogether. Going on at the same
	// upstream is no further run by the route's count, so that count alone would
	// let a stream that breaks off there at once be sent without end.
	maxSends = 5
	// hedgeObjectives is the wait for an idempotent answer, in objectives of
	// its route, after which another upstream is asked instead.
	hedgeObjectives = 1.0
	// leastHedge keeps short objectives from asking twice for usual delays.
	leastHedge = 60 * time.Millisecond
)

// plain serves a request whose answer is passed on in one piece.
func (x *exchange) plain(ctx context.Context) {
	avoid := make(map[ids.Life]bool)
	for refusals := 0; ; {
		u := x.server.picks.replica(x.server.opts.View().Of(x.service), avoid, x.draw())
		if u == nil {
			x.giveUp(outcome.NoUpstream, "no upstream may take it", noUpstreamAfter)
			return
		}
		answer, body, failed := x.sendPlain(ctx, u, len(avoid) == 0)
		if failed == nil {
			x.answerPlain(u, answer, body)
			return
		}
		avoid[u.ID] = true
		x.settle(u, failed)
		if x.ended(ctx) {
			return
		}
		x.noteLost(u, failed)
		if failed.phase.ProvesNotRun() {
			if refusals++; refusals >= maxRefusals {
				x.giveUp(failed.reason, failed.Error(), busyAfter)
				return
			}
		}
		if !x.again(failed) {
			return
		}
	}
}

// settle notes what a failed attempt leaves open. It comes before anything is
// said to the caller.
func (x *exchange) settle(u *directory.Upstream, failed *failure) {
	if failed.phase.ProvesNotRun() {
		return
	}
	x.noteRun(u.ID)
}

// noteLost notes what a plain attempt says that ended in mid-run, or met another
// process at the upstream's address.
func (x *exchange) noteLost(u *directory.Upstream, failed *failure) {
	if failed.reason == outcome.UpstreamRefused {
		x.server.culprits.died(u)
	}
	if !failed.midRun() {
		return
	}
	x.lost(u.ID)
	go x.server.confirm(u)
}

// again decides whether a failed attempt, before any of the answer was with the caller, is
// followed by another; if not, it answers the caller. The retry budget is drawn on only by
// requests that reached an upstream before.
func (x *exchange) again(failed *failure) bool {
	if x.over(failed, x.sends) {
		return false
	}
	if x.sends > 0 && !x.server.picks.again(x.service, failed.reason, false) {
		x.giveUp(outcome.RetryBudget, failed.Error(), busyAfter)
		return false
	}
	x.retried(failed)
	return true
}

// over ends a request that no further attempt may follow, whatever the retry budget holds;
// sends are those that count towards the most. It reports whether it did.
func (x *exchange) over(failed *failure, sends int) bool {
	switch {
	case x.quarantined():
		x.giveUp(outcome.Quarantined, quarantineDetail, quarantineAfter)
		return true
	case sends >= maxSends || !x.mayRunAgain():
		x.giveUp(failed.reason, failed.Error(), busyAfter)
		return true
	}
	return false
}

// retried notes that another attempt follows a failed one.
func (x *exchange) retried(failed *failure) {
	x.count("retry." + string(failed.reason))
	x.log("retry").Str("reason", string(failed.reason)).Str("phase", failed.phase.String()).
		Str("detail", failed.Error()).Int("sends", x.sends).Send()
}

// sendPlain sends the request to one upstream and reads the whole answer.
func (x *exchange) sendPlain(ctx context.Context, u *directory.Upstream, first bool) (*upconn.Answer, []byte, *failure) {
	start := x.server.opts.Now()
	x.log("sent").Str("upstream", u.ID.String()).Str("address", u.Address).Str("route", x.route.Name).
		Int64("directory", x.server.opts.View().Revision).Send()
	priority := func(out []byte) []byte {
		return appendHeader(out, x.server.opts.Headers.Priority, strconv.Itoa(level(x.route.PriorityOf(x.account))))
	}
	answer, body, failed := x.exchangePlain(ctx, u, x.compose(u, priority), x.patience(first))
	took := x.server.opts.Now().Sub(start)
	switch {
	case ctx.Err() != nil:
		x.server.picks.replicaEnded(u.ID, 0, false)
	case failed != nil:
		x.server.picks.replicaEnded(u.ID, took, true)
	default:
		x.server.picks.replicaEnded(u.ID, took, answer.Head.StatusCode() >= serverError)
		x.server.picks.answered(u)
		x.server.opts.Metrics.ObserveDuration("upstream.plain", took)
	}
	return answer, body, failed
}

// serverError is the least status of an upstream's own failure.
const serverError = 500

// patience gives the wait for an answer. An idempotent request does not wait
// long for its first upstream.
func (x *exchange) patience(first bool) upconn.Watch {
	// The request's own end comes first, with the answer for it.
	wait := x.limit.Sub(x.server.opts.Now()) + time.Second
	if first && x.route.Kind == routing.Idempotent && x.route.Attempts() > 1 {
		hedge := max(time.Duration(float64(x.route.LatencyObjective)*hedgeObjectives), leastHedge)
		wait = min(wait, hedge)
	}
	return func(waited time.Duration) (time.Duration, error) {
		if waited >= wait {
			return 0, &upconn.SilentError{For: waited}
		}
		return wait - waited, nil
	}
}

// exchangePlain does one send and reads the whole answer.
func (x *exchange) exchangePlain(ctx context.Context, u *directory.Upstream, head []byte, watch upconn.Watch) (*upconn.Answer, []byte, *failure) {
	a, failed := x.begin(ctx, u, head, watch)
	if failed != nil {
		return nil, nil, failed
	}
	if failed := a.head(); failed != nil {
		return nil, nil, failed
	}
	body, err := a.answer.Body()
	if err != nil {
		return nil, nil, a.lost(err)
	}
	if a.answer.Head.StatusCode() >= serverError && x.route.Kind == routing.Idempotent && x.sends < x.route.Attempts() {
		a.keep()
		return nil, nil, &failure{phase: outcome.Started, reason: outcome.UpstreamInvalid, cause: &StatusError{a.answer.Head.StatusCode()}}
	}
	a.keep()
	return a.answer, body, nil
}

// answerPlain passes an upstream's answer on.
func (x *exchange) answerPlain(u *directory.Upstream, answer *upconn.Answer, body []byte) {
	c := x.client
	c.copyHead(&answer.Head)
	c.addHeader("Content-Length", strconv.Itoa(len(body)))
	c.endHead()
	c.out = append(c.out, body...)
	if err := c.write(c.out); err != nil {
		x.gone()
		return
	}
	x.done(answer.Head.StatusCode(), u)
}
