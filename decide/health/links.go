package health

import (
	"math"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

const (
	// minLinkWeight is the lowest weight of a link, so that it gets work if no other is
	// left.
	minLinkWeight = 0.02
	// trialLinkWeight is the weight of a half-open link.
	trialLinkWeight = 0.1
	// latencySmoothing is the weight of a new latency in the moving average.
	latencySmoothing = 0.3
	// baselineRiseTime is the time constant with which the baseline rises to a higher
	// latency.
	baselineRiseTime = 10 * time.Minute
	// latencyDecayTime is the time constant with which the latency of an unused link
	// decays to its baseline, so that the link is tried again.
	latencyDecayTime = 10 * time.Second
	// slowLatencyFactor times the baseline is the latency above which a link is slow.
	slowLatencyFactor = 1.5
	// linkFailuresToEject is how many consecutive failures eject a link.
	linkFailuresToEject = 3
)

// linkPolicy sets how long links are ejected.
var linkPolicy = fleet.HealthPolicy{EjectFor: fleet.Duration(DefaultEjectFor)}

// linkKey identifies a link by its two ends.
type linkKey struct{ from, to ids.Upstream }

// link is the health of the connection from one engine to the next. Latencies are in
// seconds.
type link struct {
	circuit    circuit
	latency    float64
	baseline   float64
	observedAt time.Time
}

// LinkFailure counts a step that failed between two engines.
func (t *Tracker) LinkFailure(now time.Time, from, to ids.Upstream) {
	if l := t.link(from, to); l != nil && l.circuit.fail(now, 1, linkFailuresToEject) {
		l.circuit.eject(now, linkPolicy)
	}
}

// LinkSuccess counts a step that passed between two engines. It ends a trial of the
// link.
func (t *Tracker) LinkSuccess(now time.Time, from, to ids.Upstream) {
	if l := t.link(from, to); l != nil {
		l.circuit.succeed(now, linkPolicy)
	}
}

// LinkLatency records an observed one-way latency. It has to be called for every
// observation, because a link is slow in comparison with its own past: latencies of
// links differ by a factor of a hundred. A latency that is not positive is ignored.
func (t *Tracker) LinkLatency(now time.Time, from, to ids.Upstream, latency time.Duration) {
	if latency <= 0 {
		return
	}
	if l := t.link(from, to); l != nil {
		l.observe(now, latency.Seconds())
	}
}

// LinkWeight returns the share of work for chains that use the link, above 0 and at
// most 1. An unknown link has full weight.
func (t *Tracker) LinkWeight(now time.Time, from, to ids.Upstream) float64 {
	l, ok := t.links[linkKey{from, to}]
	if !ok {
		return 1
	}
	w := l.relativeSpeed(now)
	switch l.circuit.refresh(now) {
	case Ejected:
		w = 0
	case HalfOpen:
		w *= trialLinkWeight
	default:
		w *= l.circuit.weight(now, t.opts.RampFor)
	}
	return max(w, minLinkWeight)
}

// link returns the link between two members, and creates it if needed. It returns nil
// if an end is no member or MaxLinks is reached.
func (t *Tracker) link(from, to ids.Upstream) *link {
	key := linkKey{from, to}
	if l, ok := t.links[key]; ok {
		return l
	}
	if t.members[from] == nil || t.members[to] == nil || len(t.links) >= t.opts.MaxLinks {
		return nil
	}
	l := &link{circuit: newCircuit()}
	t.links[key] = l
	return l
}

// observe adds a latency to the moving average and adjusts the baseline, which falls at
// once and rises over baselineRiseTime.
func (l *link) observe(now time.Time, latency float64) {
	if l.baseline == 0 {
		l.latency, l.baseline, l.observedAt = latency, latency, now
		return
	}
	l.latency += latencySmoothing * (latency - l.latency)
	elapsed := max(now.Sub(l.observedAt), 0)
	if l.latency <= l.baseline {
		l.baseline = l.latency
	} else {
		rise := 1 - math.Exp(-elapsed.Seconds()/baselineRiseTime.Seconds())
		l.baseline += rise * (l.latency - l.baseline)
	}
	l.observedAt = now
}

// relativeSpeed returns the baseline over the present latency, 1 for a link that is not
// slow.
func (l *link) relativeSpeed(now time.Time) float64 {
	if l.baseline == 0 {
		return 1
	}
	idle := max(now.Sub(l.observedAt), 0)
	decay := math.Exp(-idle.Seconds() / latencyDecayTime.Seconds())
	latency := l.baseline + decay*(l.latency-l.baseline)
	if latency <= slowLatencyFactor*l.baseline {
		return 1
	}
	return l.baseline / latency
}
