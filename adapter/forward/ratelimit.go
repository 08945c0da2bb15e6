package forward

import (
	"math"
	"strconv"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/directory"
)

// limitAnswered records the limit that a response of an upstream names, or that it names
// none. sentAt is when its request was sent.
func (p *picker) limitAnswered(u *directory.Upstream, sentAt time.Time, limit float64, named bool) {
	p.mu.Lock()
	change := p.backpressure.LimitAnswered(p.opts.Now(), sentAt, u.ID, limit, named)
	notice := p.backpressure.LimitNotice(u.ID)
	p.mu.Unlock()
	if change != backpressure.LimitSame {
		p.logLimit(notice, "upstream")
		p.opts.OnLimit(notice)
	}
}

// limitNotified applies a peer's notice about a limit.
func (p *picker) limitNotified(n backpressure.LimitNotice) {
	p.mu.Lock()
	change := p.backpressure.LimitNotified(p.opts.Now(), n)
	p.mu.Unlock()
	if change != backpressure.LimitSame {
		p.logLimit(n, "peer")
	}
}

// logLimit logs and counts a change of the limit that an upstream names. from is who has
// told this node.
func (p *picker) logLimit(n backpressure.LimitNotice, from string) {
	if n.PerSecond == 0 {
		p.opts.Metrics.Add("upstream.limits_ended", 1)
		p.opts.Log.Info().Str("event", "upstream_limit_ended").Str("upstream", n.Upstream.String()).Str("from", from).Send()
		return
	}
	p.opts.Metrics.Add("upstream.limits_named", 1)
	p.opts.Log.Info().Str("event", "upstream_limited").Str("upstream", n.Upstream.String()).Str("from", from).
		Float64("per_second", n.PerSecond).Send()
}

// limit returns the rate limit of an upstream in requests per second, 0 if it names none.
func (p *picker) limit(id ids.Instance) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backpressure.Limit(id)
}

// recordLimit records what a response says about the rate limit of its upstream. A
// malformed limit is counted, logged and otherwise ignored.
func (a *attempt) recordLimit() {
	value := string(a.resp.Head.Peek(a.x.server.opts.Headers.RateLimit))
	if value == "" {
		a.x.server.picker.limitAnswered(a.u, a.sentAt, 0, false)
		return
	}
	limit, ok := parseLimit(value)
	if !ok {
		a.x.count("upstream.limit_malformed")
		a.x.log("limit_malformed").Str("upstream", a.u.ID.String()).Str("value", value).Send()
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
