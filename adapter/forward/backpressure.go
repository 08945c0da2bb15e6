package forward

import (
	"maps"
	"math"
	"strconv"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
)

// withRefusing returns the upstreams to avoid, and in addition those that must get no
// request now because of what they ask for. It leaves out those that already run the
// request. The caller holds mu.
func (p *picker) withRefusing(avoid map[ids.Instance]bool, running chain.Chain) map[ids.Instance]bool {
	refusing := p.backpressure.Refusing(p.opts.Now())
	if len(refusing) == 0 {
		return avoid
	}
	all := make(map[ids.Instance]bool, len(avoid)+len(refusing))
	maps.Copy(all, avoid)
	for _, id := range refusing {
		if !running.Has(id) {
			all[id] = true
		}
	}
	return all
}

// recordSends counts a request on each engine of a chain that does not run it yet. The
// caller holds mu.
func (p *picker) recordSends(c, running chain.Chain) {
	now := p.opts.Now()
	for _, stage := range c {
		if !running.Has(stage.Engine.ID) {
			p.backpressure.Sent(now, stage.Engine.ID)
		}
	}
}

// admitProbe reports whether an upstream may be probed now. A probe counts as a request.
func (p *picker) admitProbe(id ids.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	if !p.backpressure.Admits(now, id) {
		return false
	}
	p.backpressure.Sent(now, id)
	return true
}

// limitAnswered records the limit that a response of an upstream names, or that it names
// none. sentAt is when its request was sent.
func (p *picker) limitAnswered(u *directory.Upstream, sentAt time.Time, limit float64, named bool) {
	p.mu.Lock()
	change := p.backpressure.LimitAnswered(p.opts.Now(), sentAt, u.ID, limit, named)
	notice := p.backpressure.LimitNotice(u.ID)
	p.mu.Unlock()
	if change != backpressure.LimitSame {
		p.logLimit(u.ID, change, "upstream")
		p.opts.OnLimit(notice)
	}
}

// limitNotified applies a peer's notice about a limit.
func (p *picker) limitNotified(n backpressure.LimitNotice) {
	p.mu.Lock()
	change := p.backpressure.LimitNotified(p.opts.Now(), n)
	p.mu.Unlock()
	p.logLimit(n.Upstream, change, "peer")
}

// logLimit logs and counts a change of the limit that an upstream names. from is who has
// told this node.
func (p *picker) logLimit(id ids.Instance, change backpressure.LimitChange, from string) {
	p.mu.Lock()
	limit, share := p.backpressure.Limit(id)
	nodes := p.nodes
	p.mu.Unlock()
	switch change {
	case backpressure.LimitNamed:
		p.opts.Metrics.Add("upstream.limits_named", 1)
		p.opts.Log.Info().Str("event", "upstream_limited").Str("upstream", id.String()).Str("from", from).
			Float64("per_second", limit).Float64("share", share).Int("nodes", nodes).Send()
	case backpressure.LimitEnded:
		p.opts.Metrics.Add("upstream.limits_ended", 1)
		p.opts.Log.Info().Str("event", "upstream_limit_ended").Str("upstream", id.String()).Str("from", from).Float64("per_second", limit).Send()
	}
}

// recordLimit records what a response says about the rate limit of its upstream. A
// response of another process at the upstream's address says nothing about it. A
// malformed limit is counted and otherwise ignored.
func (a *attempt) recordLimit() {
	if a.resp.Head.StatusCode() == statusMisdirected {
		return
	}
	value := string(a.resp.Head.Peek(a.x.server.opts.Headers.RateLimit))
	if value == "" {
		a.x.server.picker.limitAnswered(a.u, a.sentAt, 0, false)
		return
	}
	limit, ok := parseLimit(value)
	if !ok {
		a.x.count("upstream.limit_malformed")
		return
	}
	a.x.server.picker.limitAnswered(a.u, a.sentAt, limit, true)
}

// parseLimit parses a rate limit in requests per second.
func parseLimit(value string) (limit float64, ok bool) {
	limit, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, false
	}
	return limit, true
}
