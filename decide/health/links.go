package health

import (
	"math"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

const (
	// minLinkWeight is the least weight of a link: it always gets some work
	// if nothing else is left.
	minLinkWeight = 0.02
	// trialLinkWeight is the weight of a link that failed some time ago.
	trialLinkWeight = 0.1
	// latencyFade is the weight of the newest latency in the average.
	latencyFade = 0.3
	// normalRise is the time in which a lasting latency becomes normal.
	normalRise = 10 * time.Minute
	// slowForget is the time in which the latency of an unused link fades to
	// normal, so that it is tried again.
	slowForget = 10 * time.Second
	// slowFactor over normal makes a link slow.
	slowFactor = 1.5
	// linkFailures in a row take a link out.
	linkFailures = 3
)

// linkPolicy sets how long links stay out.
var linkPolicy = fleet.HealthPolicy{EjectFor: fleet.Duration(DefaultEjectFor)}

// linkKey names a link by its ends.
type linkKey struct{ from, to ids.Upstream }

// link is the connection from one engine to the next.
type link struct {
	circuit circuit
	latency float64
	normal  float64
	at      time.Time
}

// LinkFailure counts a step that failed between two engines.
func (t *Tracker) LinkFailure(now time.Time, from, to ids.Upstream) {
	if l := t.link(from, to); l != nil && l.circuit.fail(now, 1, linkFailures) {
		l.circuit.eject(now, linkPolicy)
	}
}

// LinkSuccess counts a step that went through, and settles a trial.
func (t *Tracker) LinkSuccess(now time.Time, from, to ids.Upstream) {
	if l := t.link(from, to); l != nil {
		l.circuit.succeed(now, linkPolicy)
	}
}

// LinkLatency takes in an observed one-way latency; give it every observation.
// What is slow is judged against the link's own past, since links differ a
// hundredfold. A latency that is not above zero is ignored.
func (t *Tracker) LinkLatency(now time.Time, from, to ids.Upstream, latency time.Duration) {
	if latency <= 0 {
		return
	}
	if l := t.link(from, to); l != nil {
		l.observe(now, latency.Seconds())
	}
}

// LinkWeight gives the share of work for chains over the link, above 0 to 1.
// A link never seen has full weight.
func (t *Tracker) LinkWeight(now time.Time, from, to ids.Upstream) float64 {
	l, ok := t.links[linkKey{from, to}]
	if !ok {
		return 1
	}
	w := l.slowness(now)
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

// link gives a link between two members, made if needed; nil when it is not
// tracked.
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

// observe averages a latency, and moves what is normal: down at once, up over
// normalRise.
func (l *link) observe(now time.Time, latency float64) {
	if l.normal == 0 {
		l.latency, l.normal, l.at = latency, latency, now
		return
	}
	l.latency += latencyFade * (latency - l.latency)
	elapsed := max(now.Sub(l.at), 0)
	if l.latency <= l.normal {
		l.normal = l.latency
	} else {
		rise := 1 - math.Exp(-elapsed.Seconds()/normalRise.Seconds())
		l.normal += rise * (l.latency - l.normal)
	}
	l.at = now
}

// slowness gives normal over present latency: 1 for a link as fast as ever.
func (l *link) slowness(now time.Time) float64 {
	if l.normal == 0 {
		return 1
	}
	idle := max(now.Sub(l.at), 0)
	fade := math.Exp(-idle.Seconds() / slowForget.Seconds())
	latency := l.normal + fade*(l.latency-l.normal)
	if latency <= slowFactor*l.normal {
		return 1
	}
	return l.normal / latency
}
