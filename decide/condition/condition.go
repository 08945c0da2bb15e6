// Package condition tracks the health of upstreams as one node observes it from
// its own calls: which upstreams did not answer, which refused work, and how
// slow the others are. Most observations expire, because an upstream that gets
// no work produces no new ones. Silence is the exception: it lasts until the
// upstream answers a call or a probe.
//
// A Table is not safe for concurrent use and reads no clock.
package condition

import (
	"time"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/ids"
)

// Table holds the observed state of each upstream and zone. Create it with New.
type Table struct {
	upstreams map[ids.Instance]*upstreamState
	zones     map[ids.Zone]*zoneState
	// slow holds the upstreams whose reports are refreshed by ProbesDue.
	slow map[ids.Instance]*upstreamState
	// silent holds the upstreams that have not answered since they last failed.
	silent map[ids.Instance]*upstreamState
}

// zoneState tracks whether an availability zone can be reached from this node.
type zoneState struct {
	// unreachable holds the upstreams of the zone that could not be reached since
	// any upstream of the zone last answered.
	unreachable  map[ids.Instance]bool
	suspectUntil time.Time
	// suspicions counts the suspicions of the zone since it last answered.
	suspicions int
}

// upstreamState is what the node has observed of one upstream.
type upstreamState struct {
	// suspectUntil is the end of the current suspicion.
	suspectUntil time.Time
	// silentSince is the time of the first failure since the last answer.
	silentSince time.Time
	// suspicions counts the suspicions since the last answer.
	suspicions int
	// slowdown was reported at reportedAt. polledAt is when a report last arrived
	// or was last due.
	slowdown             float64
	reportedAt, polledAt time.Time
	// fullUntil is the time until which the upstream counts as full.
	fullUntil time.Time
	// refusedUntil is the time until which the upstream gets no work after it
	// refused for a reason other than capacity. refusals counts such refusals
	// within refusalWindow of each other; refusedAt is the last one.
	refusedUntil, refusedAt time.Time
	refusals                int
}

// New returns a Table in which every upstream counts as healthy.
func New() *Table {
	return &Table{
		upstreams: make(map[ids.Instance]*upstreamState),
		slow:      make(map[ids.Instance]*upstreamState),
		silent:    make(map[ids.Instance]*upstreamState),
		zones:     make(map[ids.Zone]*zoneState),
	}
}

// Durations and thresholds.
const (
	// minSuspicion is how long an upstream that did not answer gets no work. It
	// doubles with each further failure, up to maxSuspicion. Crashed upstreams
	// leave the directory within a few seconds; until then, suspicion keeps the
	// node from losing a request to them every second.
	minSuspicion = 400 * time.Millisecond
	maxSuspicion = 3200 * time.Millisecond
	// zoneCutOffThreshold is the number of unreachable upstreams of a zone, with
	// no answer from the zone in between, from which the zone counts as cut off.
	zoneCutOffThreshold = 2
	// fullPeriod is how long an upstream that refused for lack of capacity counts
	// as full. Many requests finish there within this time and free capacity.
	fullPeriod = 300 * time.Millisecond
	// slowdownTTL is how long a reported slowdown is used without a newer report.
	// Each node whose entry has expired sends streams to the slow upstream again.
	slowdownTTL = 10 * time.Second
	// slowdownRefreshAge is the age at which the report of a slow upstream is polled
	// again, so that an upstream that has recovered gets work again.
	slowdownRefreshAge = 1500 * time.Millisecond
	// trackedSlowdown is the slowdown from which reports are refreshed. It lies
	// between the normal value of 1 and StalledSlowdown.
	trackedSlowdown = 1.5
	// StalledSlowdown is the slowdown from which an engine counts as stalled: a
	// batch that processes a prompt takes longer there than the pauses between
	// tokens that routes allow.
	StalledSlowdown = 3.0
)

// stateOf returns the state of an upstream and creates it if needed.
func (t *Table) stateOf(id ids.Instance) *upstreamState {
	u := t.upstreams[id]
	if u == nil {
		u = &upstreamState{slowdown: 1}
		t.upstreams[id] = u
	}
	return u
}

// Failed records that an upstream did not answer a call at now. It returns true
// if this starts a new suspicion, and false while one is already running.
func (t *Table) Failed(now time.Time, id ids.Instance) bool {
	u := t.stateOf(id)
	if t.silent[id] == nil {
		t.silent[id] = u
		u.silentSince = now
	}
	if now.Before(u.suspectUntil) {
		return false
	}
	u.suspectUntil = now.Add(suspicionPeriod(u.suspicions))
	u.suspicions++
	return true
}

// suspicionPeriod returns the length of a suspicion that follows the given
// number of earlier ones.
func suspicionPeriod(suspicions int) time.Duration {
	return backoff.Exponential(minSuspicion, maxSuspicion, suspicions)
}

// Unreachable records that an upstream's VM did not answer a connection attempt,
// as in a network partition. It returns true if this starts a suspicion of the
// upstream's zone.
func (t *Table) Unreachable(now time.Time, id ids.Instance, zone ids.Zone) bool {
	z := t.zones[zone]
	if z == nil {
		z = &zoneState{unreachable: make(map[ids.Instance]bool)}
		t.zones[zone] = z
	}
	z.unreachable[id] = true
	if len(z.unreachable) < zoneCutOffThreshold || now.Before(z.suspectUntil) {
		return false
	}
	z.suspectUntil = now.Add(suspicionPeriod(z.suspicions))
	z.suspicions++
	return true
}

// ZoneSuspected reports whether a suspicion of the zone is running at now.
func (t *Table) ZoneSuspected(now time.Time, zone ids.Zone) bool {
	z := t.zones[zone]
	return z != nil && now.Before(z.suspectUntil)
}

// ConnectivityRestored records that this node was itself cut off and now reaches
// others again. It clears the suspicion and silence of all unreachable upstreams
// and zones.
func (t *Table) ConnectivityRestored() {
	for _, z := range t.zones {
		for id := range z.unreachable {
			if u := t.upstreams[id]; u != nil {
				u.suspicions, u.suspectUntil = 0, time.Time{}
			}
			delete(t.silent, id)
		}
	}
	clear(t.zones)
}

// RefusedFull records that an upstream refused a request for lack of capacity.
func (t *Table) RefusedFull(now time.Time, id ids.Instance) {
	t.stateOf(id).fullUntil = now.Add(fullPeriod)
}

// IsFull reports whether an upstream counts as full at now, because it recently
// refused a request for lack of capacity.
func (t *Table) IsFull(now time.Time, id ids.Instance) bool {
	return now.Before(t.FullUntil(id))
}

// FullUntil returns the time until which an upstream counts as full, zero if it has
// not refused a request for lack of capacity.
func (t *Table) FullUntil(id ids.Instance) time.Time {
	u := t.upstreams[id]
	if u == nil {
		return time.Time{}
	}
	return u.fullUntil
}

// refusalWindow is the longest gap between refusals that are counted together.
const refusalWindow = 10 * time.Second

// Refused records that an upstream refused a request although it has capacity,
// for instance because it drains and the directory doesn't show it yet. The
// upstream gets no work for a period that doubles with each refusal.
func (t *Table) Refused(now time.Time, id ids.Instance) {
	u := t.stateOf(id)
	if now.Sub(u.refusedAt) > refusalWindow {
		u.refusals = 0
	}
	u.refusedUntil = now.Add(suspicionPeriod(u.refusals))
	u.refusedAt = now
	u.refusals++
}

// Answered records that an upstream of a zone answered. It clears the state of
// the zone, and returns true if the upstream had been suspected since its last
// answer.
func (t *Table) Answered(id ids.Instance, zone ids.Zone) bool {
	delete(t.zones, zone)
	delete(t.silent, id)
	u := t.upstreams[id]
	if u == nil || u.suspicions == 0 {
		return false
	}
	u.suspicions = 0
	u.suspectUntil = time.Time{}
	return true
}

// SetSlowdown stores the slowdown that an upstream reports: the factor by which
// it takes longer than normal. Values below 1 count as 1.
func (t *Table) SetSlowdown(now time.Time, id ids.Instance, slowdown float64) {
	u := t.stateOf(id)
	u.slowdown = max(slowdown, 1)
	u.reportedAt, u.polledAt = now, now
	if u.slowdown >= trackedSlowdown {
		t.slow[id] = u
	} else {
		delete(t.slow, id)
	}
}

// Silent reports whether an upstream has not answered since it last failed, or
// its zone is cut off. Callers that can poll its load report should do so before
// they send it work: otherwise each end of a suspicion loses streams on stages
// that are still down.
func (t *Table) Silent(id ids.Instance, zone ids.Zone) bool {
	if t.silent[id] != nil {
		return true
	}
	return t.zoneCutOff(zone)
}

// SilentSince returns the time of an upstream's first failure after its last answer. ok is
// false if it has answered since it last failed.
func (t *Table) SilentSince(id ids.Instance) (since time.Time, ok bool) {
	u := t.silent[id]
	if u == nil {
		return time.Time{}, false
	}
	return u.silentSince, true
}

// zoneCutOff reports whether at least zoneCutOffThreshold upstreams of a zone are
// unreachable, with no answer from the zone in between.
func (t *Table) zoneCutOff(zone ids.Zone) bool {
	z := t.zones[zone]
	return z != nil && len(z.unreachable) >= zoneCutOffThreshold
}

// SilentFor returns the time since an upstream's first failure after its last
// answer. It returns 0 for an upstream that is not silent or whose zone is cut off.
func (t *Table) SilentFor(now time.Time, id ids.Instance, zone ids.Zone) time.Duration {
	u := t.silent[id]
	if u == nil || t.zoneCutOff(zone) {
		return 0
	}
	return now.Sub(u.silentSince)
}

// ProbesDue returns the upstreams whose load report should be polled now: slow ones
// whose report is slowdownRefreshAge old, and silent ones whose suspicion has ended. It
// counts them as polled, so that the next call doesn't return them again at once.
func (t *Table) ProbesDue(now time.Time) []ids.Instance {
	var due []ids.Instance
	for id, u := range t.silent {
		if !now.Before(u.suspectUntil) && now.Sub(u.polledAt) >= minSuspicion {
			u.polledAt = now
			due = append(due, id)
		}
	}
	for id, u := range t.slow {
		switch {
		case now.Sub(u.reportedAt) >= slowdownTTL:
			delete(t.slow, id)
		case now.Sub(u.polledAt) >= slowdownRefreshAge:
			u.polledAt = now
			due = append(due, id)
		}
	}
	return due
}

// Suspected reports whether an upstream should get no work at now, because a
// suspicion of it or of its zone is running or it recently refused work.
func (t *Table) Suspected(now time.Time, id ids.Instance, zone ids.Zone) bool {
	u := t.upstreams[id]
	return u != nil && now.Before(u.refusedUntil) || t.SuspectedOfFailure(now, id, zone)
}

// SuspectedOfFailure reports whether a suspicion of an upstream or of its zone is
// running at now. Refusals do not count: an upstream that refuses new work goes on
// with the work that it has.
func (t *Table) SuspectedOfFailure(now time.Time, id ids.Instance, zone ids.Zone) bool {
	u := t.upstreams[id]
	return u != nil && now.Before(u.suspectUntil) || t.ZoneSuspected(now, zone)
}

// Slowdown returns the factor by which an upstream takes longer than normal. It
// is at least 1, and 1 if the last report is older than slowdownTTL or there is
// none.
func (t *Table) Slowdown(now time.Time, id ids.Instance) float64 {
	u := t.upstreams[id]
	if u == nil || now.Sub(u.reportedAt) >= slowdownTTL {
		return 1
	}
	return u.slowdown
}

// Forget drops the state of an upstream that has been removed.
func (t *Table) Forget(id ids.Instance) {
	delete(t.upstreams, id)
	delete(t.slow, id)
	delete(t.silent, id)
	for zone, z := range t.zones {
		if delete(z.unreachable, id); len(z.unreachable) == 0 {
			delete(t.zones, zone)
		}
	}
}
