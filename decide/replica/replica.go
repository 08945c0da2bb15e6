// Package replica decides which of the equal upstreams of a plain service
// serves a request: the one expected to answer first, by the work that this
// node has there and the time its latest answers took.
//
// A Book is used by one goroutine at a time and reads no clock.
package replica

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

// Constants of the choice.
const (
	// usualMs is the time an answer is taken to need before one was seen, ms.
	usualMs = 40.0
	// weight of a new answer in the mean of an upstream's times: with 0.2 the
	// last five answers count for two thirds.
	weight = 0.2
	// failedMs is what a failed answer counts as, ms: an upstream that fails
	// fast must not look like a quick one.
	failedMs = 400.0
	// awayMs is charged for another zone, ms: the way there and back twice.
	awayMs = 3.0
	// forgetAfter is the age at which an upstream's times count no longer, so
	// that one which was slow is tried again.
	forgetAfter = 4 * time.Second
)

// Picker is what a node knows of the upstreams of plain services. Make it with
// New.
type Picker struct {
	conditions *condition.Table
	upstreams  map[ids.Instance]*state
	fleet      float64
}

// state is what is known of one upstream.
type state struct {
	active int
	meanMs float64
	at     time.Time
}

// New makes a Book that shares beliefs with others.
func New(conditions *condition.Table) *Picker {
	return &Picker{conditions: conditions, upstreams: make(map[ids.Instance]*state), fleet: 1}
}

// SetNodeCount tells how many nodes share the upstreams.
func (b *Picker) SetNodeCount(nodes int) { b.fleet = float64(max(nodes, 1)) }

// of gives the state of an upstream.
func (b *Picker) of(id ids.Instance) *state {
	s := b.upstreams[id]
	if s == nil {
		s = &state{meanMs: usualMs}
		b.upstreams[id] = s
	}
	return s
}

// RequestStarted counts a request at an upstream.
func (b *Picker) RequestStarted(id ids.Instance) { b.of(id).active++ }

// RequestEnded takes a request off an upstream and notes how long its answer took.
// Those that say nothing of the upstream have no time.
func (b *Picker) RequestEnded(now time.Time, id ids.Instance, took time.Duration, failed bool) {
	s := b.of(id)
	s.active--
	if took <= 0 && !failed {
		return
	}
	ms := float64(took) / float64(time.Millisecond)
	if failed {
		ms = max(ms, failedMs)
	}
	if now.Sub(s.at) > forgetAfter {
		s.meanMs = usualMs
	}
	s.meanMs += weight * (ms - s.meanMs)
	s.at = now
}

// Forget drops what is known of an upstream that is gone.
func (b *Picker) Forget(id ids.Instance) {
	if s := b.upstreams[id]; s != nil && s.active <= 0 {
		delete(b.upstreams, id)
	}
}

// Pick gives the upstream for a request, nil if none may take it. Upstreams
// in avoid are left out; suspected ones are taken only if no other is left.
// draw is uniform over 0 to 1 and decides among equals.
func (b *Picker) Pick(now time.Time, list []*directory.Upstream, zone ids.Zone, avoid map[ids.Instance]bool, draw float64) *directory.Upstream {
	var best *directory.Upstream
	bestCost := math.Inf(1)
	for i, u := range list {
		if u.Leaving || avoid[u.ID] {
			continue
		}
		cost := b.cost(now, u, zone)
		// Equal costs are told apart by less than a hundredth of a ms.
		cost += math.Mod(draw+float64(i)*math.Phi, 1) / 100
		if cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// suspectMs puts a suspected upstream behind every other, ms.
const suspectMs = 1e6

// cost is the time to an answer that is expected of an upstream, ms.
func (b *Picker) cost(now time.Time, u *directory.Upstream, zone ids.Zone) float64 {
	mean, active := usualMs, 0.0
	if s := b.upstreams[u.ID]; s != nil {
		active = float64(s.active)
		if now.Sub(s.at) <= forgetAfter {
			mean = s.meanMs
		}
	}
	occupied := active * b.fleet / float64(max(u.Slots, 1))
	cost := mean * b.conditions.Slowdown(now, u.ID) * (1 + occupied)
	if u.Zone != zone {
		cost += awayMs
	}
	if b.conditions.Suspected(now, u.ID, u.Zone) {
		cost += suspectMs
	}
	return cost
}
