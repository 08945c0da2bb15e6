package forward

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
)

// HeldError is the cause of an attempt that is not sent, because the upstream asks for no
// request since it was chosen.
type HeldError struct{ Upstream ids.Instance }

// Error implements error.
func (e *HeldError) Error() string { return e.Upstream.String() + " asks for no request" }

// recordRest records the rest that a refusal asks this node for, and returns it. It is 0 if
// the response asks for none. A value that is no time is counted, logged and otherwise
// ignored.
func (a *attempt) recordRest() time.Duration {
	head := &a.resp.Head
	value := string(head.Peek(fasthttp.HeaderRetryAfter))
	if head.StatusCode() != fasthttp.StatusServiceUnavailable || value == "" {
		return 0
	}
	rest, ok := parseRest(value, string(head.Peek(fasthttp.HeaderDate)))
	if !ok {
		a.x.count("upstream.rest_malformed")
		a.x.log("rest_malformed").Str("upstream", a.u.ID.String()).Str("value", value).Send()
		return 0
	}
	a.x.server.picker.restAsked(a.u, rest)
	return rest
}

// parseRest parses the Retry-After of an upstream: seconds, which may have a fraction, or a
// date, which is compared with the date of the same response. A rest of over
// backpressure.MaxRest is shortened to it.
func parseRest(value, date string) (rest time.Duration, ok bool) {
	value = strings.TrimSpace(value)
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if !(seconds >= 0) {
			return 0, false
		}
		return time.Duration(min(seconds, backpressure.MaxRest.Seconds()) * float64(time.Second)), true
	}
	until, err := fasthttp.ParseHTTPDate([]byte(value))
	if err != nil {
		return 0, false
	}
	now, err := fasthttp.ParseHTTPDate([]byte(date))
	if err != nil {
		return 0, false
	}
	return min(max(until.Sub(now), 0), backpressure.MaxRest), true
}

// restAsked records the rest that an upstream asks this node for.
func (p *picker) restAsked(u *directory.Upstream, rest time.Duration) {
	p.mu.Lock()
	now := p.opts.Now()
	left := p.backpressure.RestAsked(now, u.ID, rest).Sub(now)
	p.mu.Unlock()
	p.opts.Metrics.Add("upstream.rests", 1)
	p.opts.Log.Info().Str("event", "upstream_rests").Str("upstream", u.ID.String()).Str("address", u.Address).
		Dur("asked_ms", rest).Dur("left_ms", left).Send()
}

// checkHeld returns a *HeldError for the first engine of a chain that has asked for a rest,
// or is leaving, since the chain was chosen.
func (s *Server) checkHeld(c chain.Chain) error {
	view := s.opts.View()
	for _, id := range c.Engines() {
		u := view.Get(id)
		if s.picker.restLeft(id) > 0 || u != nil && u.Leaving {
			s.opts.Metrics.Add("upstream.held_back", 1)
			return &HeldError{id}
		}
	}
	return nil
}

// restLeft returns the time until the end of the rest that an upstream asks this node for,
// 0 if there is none.
func (p *picker) restLeft(id ids.Instance) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backpressure.RestLeft(p.opts.Now(), id)
}

// maxRestsTried bounds the search for the rest whose end makes a chain possible.
const maxRestsTried = 8

// chainRestLeft returns the time until a request finds a chain because rests of engines
// have ended, 0 if it would find none then or does not wait for rests.
func (p *picker) chainRestLeft(m *layered.Model, view *directory.View, r chain.Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	resting := p.resting(view.ByService(r.Service))
	r.Avoid = make(map[ids.Instance]bool, len(resting))
	for _, u := range resting {
		r.Avoid[u.ID] = true
	}
	for _, u := range resting[:min(len(resting), maxRestsTried)] {
		delete(r.Avoid, u.ID)
		if _, err := p.chains.PickCheapest(now, m, view, r); err == nil {
			return p.backpressure.RestLeft(now, u.ID)
		}
	}
	return 0
}

// replicaRestLeft returns the time until the first rest of upstreams of a plain service
// ends, 0 if one of them does not rest or there are none.
func (p *picker) replicaRestLeft(list []*directory.Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	list = slices.DeleteFunc(slices.Clone(list), func(u *directory.Upstream) bool { return u.Leaving })
	resting := p.resting(list)
	if len(resting) == 0 || len(resting) < len(list) {
		return 0
	}
	return p.backpressure.RestLeft(p.opts.Now(), resting[0].ID)
}

// resting returns the upstreams that have asked this node for a rest, the one whose rest
// ends first at the beginning. The caller holds mu.
func (p *picker) resting(list []*directory.Upstream) []*directory.Upstream {
	now := p.opts.Now()
	var resting []*directory.Upstream
	for _, u := range list {
		if p.backpressure.RestLeft(now, u.ID) > 0 {
			resting = append(resting, u)
		}
	}
	slices.SortFunc(resting, func(a, b *directory.Upstream) int {
		return int(p.backpressure.RestLeft(now, a.ID) - p.backpressure.RestLeft(now, b.ID))
	})
	return resting
}
