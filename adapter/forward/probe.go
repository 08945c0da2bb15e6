package forward

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

// Bounds of probes.
const (
	// probeTimeout is the longest wait for an engine's report. Engines give it
	// without a slot, within some ms; the rest is for a busy node.
	probeTimeout = 30 * time.Millisecond
	// probeSlack is by how much a probe may end late and still count.
	probeSlack = 25 * time.Millisecond
	// probeFresh is how long a probe's outcome answers for the next: a stage
	// that dies stalls many streams at once, and one probe tells all of them.
	probeFresh = 250 * time.Millisecond
	// wideFresh is the same for stages that no first stage names. They are asked
	// for their pace, which lasts seconds, and a chain has a dozen stages and more.
	wideFresh = time.Second
)

// prober asks the engines of chains that stalled.
type prober struct {
	opts  Options
	picks *picker

	mu     sync.Mutex
	latest map[ids.Life]*probe
}

// probe is one question to an engine.
type probe struct {
	at   time.Time
	done chan struct{}
	// dead, pace and full are set once done is closed.
	dead    bool
	pace    float64
	full    bool
	stalled map[ids.Request]string
}

// newProber makes a prober.
func newProber(o Options, picks *picker) *prober {
	return &prober{opts: o, picks: picks, latest: make(map[ids.Life]*probe)}
}

// refresh asks slow and silent engines again, so that requests need not be sent
// there to find out that they are still so.
func (p *prober) refresh(ctx context.Context, view *directory.View) {
	for _, id := range p.picks.due() {
		if u := view.Get(id); u != nil {
			p.one(ctx, u, probeFresh)
		}
	}
}

// ask finds out why a request makes no progress on a chain: by the first stage,
// which names the stage that does not answer it, or else by all. dead are those
// that did not answer, slow those whose reported pace counts as stalled.
func (p *prober) ask(ctx context.Context, request string, c chain.Chain) (dead, slow []*directory.Upstream) {
	first := p.one(ctx, c[0].Engine, probeFresh)
	<-first.done
	if first.dead {
		return []*directory.Upstream{c[0].Engine}, nil
	}
	if address := first.stalled[ids.Request(request)]; address != "" {
		for _, h := range c {
			if h.Engine.Address == address {
				// Whether it answers here or not, it does not answer there.
				p.one(ctx, h.Engine, probeFresh)
				return []*directory.Upstream{h.Engine}, nil
			}
		}
	}
	return p.wide(ctx, c)
}

// wide probes all engines of a chain that were not probed lately.
func (p *prober) wide(ctx context.Context, c chain.Chain) (dead, slow []*directory.Upstream) {
	probes := make([]*probe, len(c))
	for i, h := range c {
		probes[i] = p.one(ctx, h.Engine, wideFresh)
	}
	for i, h := range c {
		<-probes[i].done
		switch {
		case probes[i].dead:
			dead = append(dead, h.Engine)
		case probes[i].pace >= condition.StalledSlowdown:
			slow = append(slow, h.Engine)
		}
	}
	return dead, slow
}

// judge finds out why an engine is at fault for a refusal. One that answers is
// full, or no longer holds what the directory says; one that is another than
// expected may have started again, which its report tells.
func (p *prober) judge(ctx context.Context, u *directory.Upstream, reason outcome.Reason) {
	if reason != outcome.UpstreamBusy {
		p.picks.refused(u)
		p.one(ctx, u, probeFresh)
		return
	}
	probe := p.one(ctx, u, probeFresh)
	<-probe.done
	switch {
	case probe.dead:
	case probe.full:
		p.picks.full(u)
	default:
		p.picks.refused(u)
	}
}

// fullPart is the part of its KV cache from which on an engine counts as full.
// Reports are some hundred ms old, and a request needs room on top.
const fullPart = 0.8

// isFull reports whether an engine has no room for a request.
func isFull(r layered.Report) bool {
	return r.Queued > 0 || r.KVTotal <= 0 || r.KVUsed >= fullPart*r.KVTotal
}

// one gives the latest probe of an engine, begun now if there is none so fresh.
func (p *prober) one(ctx context.Context, u *directory.Upstream, within time.Duration) *probe {
	now := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if latest := p.latest[u.ID]; latest != nil && now.Sub(latest.at) < within {
		return latest
	}
	fresh := &probe{at: now, done: make(chan struct{})}
	p.latest[u.ID] = fresh
	// The probe is for all that wait for it, whoever asked first.
	go p.run(context.WithoutCancel(ctx), u, fresh)
	return fresh
}

// run asks one engine and notes what it says.
func (p *prober) run(ctx context.Context, u *directory.Upstream, out *probe) {
	defer close(out.done)
	limit, done := context.WithTimeout(ctx, probeTimeout)
	defer done()
	p.opts.Metrics.Add("upstream.probes", 1)
	report, err := p.opts.Engines.Probe(limit, u)
	if now := report.Life(u.ID); err == nil && now != u.ID {
		err = &directory.RestartedError{Known: u.ID, Now: now}
		p.opts.OnRestart(now)
	}
	if err != nil && p.opts.Now().Sub(out.at) > probeTimeout+probeSlack {
		// The node itself stood still; that says nothing about the engine.
		return
	}
	if err != nil {
		out.dead = true
		p.picks.notReached(u, err)
		return
	}
	out.pace = report.Pace
	out.full = isFull(report)
	out.stalled = report.Stalled
	p.picks.answered(u)
	p.picks.paced(u, report.Pace)
	if report.Pace >= condition.StalledSlowdown {
		p.opts.Log.Info().Str("event", "upstream_slow").Str("upstream", u.ID.String()).Float64("pace", report.Pace).Send()
	}
}
