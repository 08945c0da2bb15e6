package forward

import (
	"context"
	"maps"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/chain"
)

// Permits asks for the permits to send requests to upstreams that name a rate limit.
type Permits interface {
	// Acquire asks the keeper of an upstream for a permit. An error means that no keeper
	// has answered. It must be safe for concurrent use.
	Acquire(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error)
}

// choice is the state of one choice of upstreams with regard to what they ask for.
type choice struct {
	// urgent is true if the caller has part of the response.
	urgent bool
	// running holds the engines that already run the request.
	running chain.Chain
	// granted and denied hold the upstreams for which the request got a permit, or none.
	granted, denied map[ids.Instance]bool
}

// newChoice returns the state of a choice that has asked for no permit yet.
func newChoice(urgent bool, running chain.Chain) *choice {
	return &choice{urgent: urgent, running: running, granted: make(map[ids.Instance]bool), denied: make(map[ids.Instance]bool)}
}

// mayUse reports whether the request may be sent to an upstream without a permit.
func (ch *choice) mayUse(id ids.Instance) bool { return ch.granted[id] || ch.running.Has(id) }

// withHeld returns the upstreams to avoid, and in addition those that must not get the
// request now because of what they ask for. The caller holds mu.
func (p *picker) withHeld(avoid map[ids.Instance]bool, ch *choice) map[ids.Instance]bool {
	held := p.backpressure.HeldUpstreams(p.opts.Now(), ch.urgent)
	if len(held)+len(ch.denied) == 0 {
		return avoid
	}
	p.opts.Metrics.Add("upstream.held_back", int64(len(held)))
	all := make(map[ids.Instance]bool, len(avoid)+len(held)+len(ch.denied))
	maps.Copy(all, avoid)
	maps.Copy(all, ch.denied)
	for _, id := range held {
		if !ch.mayUse(id) {
			all[id] = true
		}
	}
	return all
}

// needPermits returns those of a chain's engines to which the request may be sent only
// with a permit that it has not got yet. The caller holds mu.
func (p *picker) needPermits(c chain.Chain, ch *choice) []ids.Instance {
	var need []ids.Instance
	for _, id := range c.Engines() {
		if !ch.mayUse(id) && p.backpressure.Admits(p.opts.Now(), id, ch.urgent) == backpressure.PermitNeeded {
			need = append(need, id)
		}
	}
	return need
}

// recordSends counts a request on each engine of a chain that does not run it yet. The
// caller holds mu.
func (p *picker) recordSends(c, running chain.Chain) {
	now := p.opts.Now()
	for _, id := range c.Engines() {
		if !running.Has(id) {
			p.backpressure.Sent(now, id)
			p.chains.RequestSent(now, id)
		}
	}
}

// acquirePermits asks for permits to send a request to upstreams, and records in ch which
// were granted.
func (p *picker) acquirePermits(ctx context.Context, need []ids.Instance, ch *choice) {
	for _, id := range need {
		reply, err := p.acquirePermit(ctx, id, ch.urgent)
		switch {
		case err != nil && ctx.Err() == nil:
			// The next choice uses this node's own share of the limit, if any is left.
		case err == nil && reply.Granted:
			ch.granted[id] = true
		default:
			ch.denied[id] = true
		}
	}
}

// permitTimeout bounds the wait for a permit.
const permitTimeout = 60 * time.Millisecond

// acquirePermit asks for a permit to send a request to an upstream. An error means that no
// keeper has answered, or that ctx is done, which says nothing about the keeper.
func (p *picker) acquirePermit(ctx context.Context, id ids.Instance, urgent bool) (backpressure.PermitReply, error) {
	p.mu.Lock()
	limit, age := p.backpressure.Limit(id), p.backpressure.LimitAge(p.opts.Now(), id)
	p.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := p.opts.Permits.Acquire(callCtx, backpressure.PermitRequest{Upstream: id, PerSecond: limit, Urgent: urgent})
	if ctx.Err() != nil {
		return reply, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.backpressure.PermitFailed(p.opts.Now(), id)
		p.opts.Metrics.Add("upstream.permits_failed", 1)
		p.opts.Log.Info().Str("event", "permit_failed").Str("upstream", id.String()).Float64("per_second", limit).
			Dur("age_ms", age).Err(err).Send()
		return reply, err
	}
	p.backpressure.PermitAnswered(p.opts.Now(), reply)
	if !reply.Granted {
		p.opts.Metrics.Add("upstream.permits_denied", 1)
		p.opts.Log.Info().Str("event", "permit_denied").Str("upstream", id.String()).Float64("per_second", limit).
			Dur("age_ms", age).Int64("pause_ms", reply.PauseMs).Send()
	}
	return reply, nil
}

// admitProbe reports whether an upstream may be probed now.
func (p *picker) admitProbe(id ids.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backpressure.AdmitProbe(p.opts.Now(), id)
}

// recordRequests records what a response asks of this node, and returns the rest that it
// asks for, 0 for none. A response of another process at the upstream's address asks for
// nothing.
func (a *attempt) recordRequests() (rest time.Duration) {
	if a.resp.Head.StatusCode() == statusMisdirected {
		return 0
	}
	a.recordLeaving()
	a.recordLimit()
	return a.recordRest()
}

// recordLeaving records whether the upstream says that it is leaving. A malformed value is
// counted, logged and otherwise ignored.
func (a *attempt) recordLeaving() {
	switch value := string(a.resp.Head.Peek(a.x.server.opts.Headers.Leaving)); value {
	case "", "0":
	case "1":
		a.x.server.opts.OnLeaving(a.u.ID)
	default:
		a.x.count("upstream.leaving_malformed")
		a.x.log("leaving_malformed").Str("upstream", a.u.ID.String()).Str("value", value).Send()
	}
}
