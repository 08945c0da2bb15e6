package forward

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

// Timeouts and cache times of probes.
const (
	// probeTimeout bounds the wait for an engine's report. An engine reports within a few
	// milliseconds, without using a slot. The rest is for delays on a busy node.
	probeTimeout = 30 * time.Millisecond
	// probeOverrunTolerance is how far beyond its timeout a failed probe may end and
	// still count against the engine.
	probeOverrunTolerance = 25 * time.Millisecond
	// probeTTL is how long the result of a probe is reused. A dead stage stalls many
	// streams at once, and one probe is enough for all of them.
	probeTTL = 250 * time.Millisecond
	// chainProbeTTL is how long a result is reused when all stages of a chain are probed,
	// for streams whose wait had begun before the probe. A chain can have a dozen stages or
	// more, so a stream that goes on waiting must not cause a probe of each at every
	// timeout.
	chainProbeTTL = 500 * time.Millisecond
)

// prober probes the engines of stalled chains.
type prober struct {
	opts   Options
	picker *picker

	mu     sync.Mutex
	latest map[ids.Instance]*probe
}

// probe is one request for an engine's report.
type probe struct {
	at   time.Time
	done chan struct{}
	// skipped is set if the engine was not probed, because it asks for fewer requests. Then
	// nothing is known about it.
	skipped bool
	// late is set if the probe failed after its timeout had long passed, because the node
	// itself was delayed. Then nothing is known about the engine. It is valid once done is
	// closed, as are dead, answered, slowdown, full and stalled.
	late     bool
	dead     bool
	answered bool
	slowdown float64
	full     bool
	stalled  map[ids.Request]string
}

// newProber returns a prober without results.
func newProber(o Options, picker *picker) *prober {
	return &prober{opts: o, picker: picker, latest: make(map[ids.Instance]*probe)}
}

// refresh probes slow and silent engines that are due, so that no request has to be
// sent there to find out whether they have recovered.
func (p *prober) refresh(ctx context.Context, view *directory.View) {
	for _, id := range p.picker.probesDue() {
		if u := view.Get(id); u != nil {
			p.latestProbe(ctx, u, probeTTL)
		}
	}
}

// diagnosis is what probes tell about the engines of a chain.
type diagnosis struct {
	// dead are the engines that did not answer, slow those that report a slowdown of at
	// least condition.StalledSlowdown.
	dead, slow []*directory.Upstream
	// unknown is set if the probes of an engine were late.
	unknown bool
	// allAnswered is set if all engines have answered their probes.
	allAnswered bool
}

// faulty returns the engines that did not answer or are slow.
func (d diagnosis) faulty() []*directory.Upstream { return slices.Concat(d.dead, d.slow) }

// cause returns the cause of a delay.
func (d diagnosis) cause() lateCause {
	switch {
	case len(d.dead) > 0:
		return lateDead
	case len(d.slow) > 0:
		return lateSlow
	case d.unknown:
		return lateUnprobed
	}
	return lateBusy
}

// diagnoseStall finds out why a request has made no progress on a chain since a time. It
// probes the first stage, whose report names the stage that does not answer it. If the
// report names none, it probes all stages. Probes that began before since say nothing
// about the stall and do not count.
func (p *prober) diagnoseStall(ctx context.Context, request string, c chain.Chain, since time.Time) diagnosis {
	first := p.result(ctx, c[0].Engine, p.probeSince(ctx, c[0].Engine, probeTTL, since))
	if first.dead {
		return diagnosis{dead: []*directory.Upstream{c[0].Engine}}
	}
	if address := first.stalled[ids.Request(request)]; address != "" {
		for _, stage := range c {
			if stage.Engine.Address == address {
				// The engine does not answer the first stage, even if it answers this node.
				p.probeSince(ctx, stage.Engine, probeTTL, since)
				return diagnosis{dead: []*directory.Upstream{stage.Engine}}
			}
		}
	}
	return p.probeChain(ctx, c, since)
}

// probeChain probes all engines of a chain that were not probed within chainProbeTTL and
// after since.
func (p *prober) probeChain(ctx context.Context, c chain.Chain, since time.Time) diagnosis {
	probes := make([]*probe, len(c))
	for i, stage := range c {
		probes[i] = p.probeSince(ctx, stage.Engine, chainProbeTTL, since)
	}
	d := diagnosis{allAnswered: true}
	for i, stage := range c {
		result := p.result(ctx, stage.Engine, probes[i])
		d.allAnswered = d.allAnswered && result.answered
		switch {
		case result.dead:
			d.dead = append(d.dead, stage.Engine)
		case result.slowdown >= condition.StalledSlowdown:
			d.slow = append(d.slow, stage.Engine)
		case result.late:
			d.unknown = true
		}
	}
	return d
}

// result waits for the end of a probe of an engine and returns it. If the probe was late,
// it returns another one instead, which may be late too.
func (p *prober) result(ctx context.Context, u *directory.Upstream, first *probe) *probe {
	<-first.done
	if !first.late {
		return first
	}
	second := p.probeSince(ctx, u, chainProbeTTL, first.at)
	<-second.done
	return second
}

// diagnoseRefusal finds out why an engine refused a request. If it was busy and answers
// a probe, it is full or no longer holds the layers that the directory lists. If it is
// not the expected process, it may have restarted, which its report shows.
func (p *prober) diagnoseRefusal(ctx context.Context, u *directory.Upstream, reason outcome.Reason) {
	if reason != outcome.UpstreamBusy {
		p.picker.refusedNotFull(u)
		p.latestProbe(ctx, u, probeTTL)
		return
	}
	probe := p.latestProbe(ctx, u, probeTTL)
	<-probe.done
	switch {
	case probe.dead:
	case probe.full, probe.skipped:
		p.picker.refusedFull(u)
	default:
		p.picker.refusedNotFull(u)
	}
}

// fullKVFraction is the fraction of used KV cache from which on an engine counts as
// full. Reports are some hundred milliseconds old, and a new request needs room as
// well.
const fullKVFraction = 0.8

// isFull reports whether an engine has no room for another request.
func isFull(r layered.Report) bool {
	return r.Queued > 0 || r.KVTotal <= 0 || r.KVUsed >= fullKVFraction*r.KVTotal
}

// latestProbe returns the latest probe of an engine. It starts a new one if the latest
// is older than maxAge.
func (p *prober) latestProbe(ctx context.Context, u *directory.Upstream, maxAge time.Duration) *probe {
	return p.probeSince(ctx, u, maxAge, time.Time{})
}

// probeSince returns the latest probe of an engine. It starts a new one if the latest is
// older than maxAge or did not begin after since. All streams that wait since before a
// probe began share it.
func (p *prober) probeSince(ctx context.Context, u *directory.Upstream, maxAge time.Duration, since time.Time) *probe {
	now := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if latest := p.latest[u.ID]; latest != nil && now.Sub(latest.at) < maxAge && latest.at.After(since) {
		return latest
	}
	fresh := &probe{at: now, done: make(chan struct{})}
	if !p.picker.admitProbe(u.ID) {
		fresh.skipped = true
		close(fresh.done)
		return fresh
	}
	p.latest[u.ID] = fresh
	// The probe serves all that wait for it, so it outlives the request that started it.
	go p.run(context.WithoutCancel(ctx), u, fresh)
	return fresh
}

// discard marks a probe as late, so that it is not reused.
func (p *prober) discard(id ids.Instance, late *probe) {
	p.opts.Metrics.Add("upstream.probes_late", 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	late.late = true
	if p.latest[id] == late {
		delete(p.latest, id)
	}
}

// isUnanswered reports whether an error is that of a call without an answer in time.
func isUnanswered(err error) bool {
	var failed net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &failed) && failed.Timeout()
}

// run probes one engine and records the result.
func (p *prober) run(ctx context.Context, u *directory.Upstream, out *probe) {
	defer close(out.done)
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.opts.Metrics.Add("upstream.probes", 1)
	report, err := p.opts.Engines.Probe(probeCtx, u)
	if current := report.Instance(u.ID); err == nil && current != u.ID {
		err = &directory.RestartedError{Known: u.ID, Current: current}
		p.opts.OnRestart(current)
	}
	if err != nil && p.opts.Now().Sub(out.at) > probeTimeout+probeOverrunTolerance {
		// The node itself was suspended or delayed, so the failure says nothing about the
		// engine.
		p.discard(u.ID, out)
		return
	}
	var dialed *upconn.DialError
	if errors.As(err, &dialed) && dialed.NoPath {
		// The loss of the node's own links says nothing about the engine.
		return
	}
	if err != nil {
		out.dead = true
		p.picker.connectFailed(u, err)
		if isUnanswered(err) {
			p.picker.onSilent(u)
		}
		return
	}
	if report.Leaving {
		p.opts.OnLeaving(u.ID)
	}
	out.answered = true
	out.slowdown = report.Slowdown
	out.full = isFull(report)
	out.stalled = report.Stalled
	p.picker.recordAnswer(u)
	p.picker.setSlowdown(u, report.Slowdown)
	if report.Slowdown >= condition.StalledSlowdown {
		p.opts.Log.Info().Str("event", "upstream_slow").Str("upstream", u.ID.String()).Float64("pace", report.Slowdown).Send()
	}
}
