package backpressure

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// usedFraction is the fraction of a limit that the nodes use. The rest allows for
	// nodes that disagree for a while on the keeper: two keepers together issue 1.4 times
	// the limit.
	usedFraction = 0.7
	// minLimit replaces lower limits, in requests per second. Without any request no node
	// would learn that an upstream takes more.
	minLimit = 0.1
	// doublingPeriod is the time in which the rate doubles after the end of a limit.
	doublingPeriod = time.Second
	// minReturnGrowth is the least factor by which the rate rises from a node's share before
	// the restriction ends, also if the node had few requests before the limit.
	minReturnGrowth = 8.0
	// similarRatio is the ratio of two limits from which on they count as different.
	similarRatio = 1.25
	// keeperRetryInterval is how long a node uses its own share after the keeper did not
	// answer, before it asks again.
	keeperRetryInterval = time.Second
)

// limitState is the rate limit of one upstream.
type limitState struct {
	// perSecond is the named limit in requests per second from all nodes, 0 for none. It
	// was last named at namedAt.
	perSecond float64
	namedAt   time.Time
	// endedAt is when the limit ended, zero while it lasts. The rate then rises gradually.
	endedAt time.Time
	// pausedUntil is the time before which this node does not ask the keeper again.
	// keeperSilentUntil is the time until which it uses its own share, because the keeper
	// has not answered.
	pausedUntil, keeperSilentUntil time.Time
	// pacer spaces the requests that need no permit, probes those.
	pacer, probes pacer
}

// LimitChange is a change of the limit that an upstream names.
type LimitChange int

// Changes of a limit.
const (
	// LimitSame means that there is no limit, or that it is about the same as before.
	LimitSame LimitChange = iota
	// LimitNamed means that there is a new limit.
	LimitNamed
	// LimitEnded means that there is no limit anymore.
	LimitEnded
)

// LimitNotice tells other nodes what limit an upstream names, in requests per second from
// all nodes together, 0 for none.
type LimitNotice struct {
	Upstream  ids.Instance `json:"upstream"`
	PerSecond float64      `json:"per_second"`
}

// LimitNotice returns the notice for other nodes about an upstream.
func (t *Table) LimitNotice(id ids.Instance) LimitNotice {
	return LimitNotice{Upstream: id, PerSecond: t.Limit(id)}
}

// Limit returns the limit that an upstream names, in requests per second from all nodes
// together, 0 if there is none.
func (t *Table) Limit(id ids.Instance) float64 {
	u := t.restricted[id]
	if u == nil || !u.limit.endedAt.IsZero() {
		return 0
	}
	return u.limit.perSecond
}

// LimitAge returns the time since an upstream last named its limit.
func (t *Table) LimitAge(now time.Time, id ids.Instance) time.Duration {
	if u := t.restricted[id]; u != nil {
		return now.Sub(u.limit.namedAt)
	}
	return 0
}

// LimitNotified applies the notice of another node.
func (t *Table) LimitNotified(now time.Time, n LimitNotice) LimitChange {
	if n.PerSecond <= 0 {
		return t.limitEnded(now, n.Upstream)
	}
	return t.limitNamed(now, n.Upstream, n.PerSecond)
}

// LimitAnswered records the limit that a response of an upstream names, in requests per
// second from all nodes together. named is false if the response names none. sentAt is
// when its request was sent: only a response to a request that was sent after the limit
// was named can show its end, because responses on different connections overtake each
// other.
func (t *Table) LimitAnswered(now, sentAt time.Time, id ids.Instance, limit float64, named bool) LimitChange {
	u := t.stateOf(id)
	u.goneAt = time.Time{}
	switch {
	case named:
		return t.limitNamed(now, id, limit)
	case u.limit.perSecond == 0 || !sentAt.After(u.limit.namedAt):
		return LimitSame
	}
	return t.limitEnded(now, id)
}

// limitNamed records a limit that an upstream names to this node or another one.
func (t *Table) limitNamed(now time.Time, id ids.Instance, perSecond float64) LimitChange {
	u := t.stateOf(id)
	previous := t.Limit(id)
	if u.limit.perSecond == 0 {
		u.limit = limitState{pacer: newPacer(now, t.seed, id), probes: newPacer(now, ^t.seed, id)}
	}
	t.restrict(now, id, u)
	u.limit.perSecond, u.limit.namedAt, u.limit.endedAt = max(perSecond, minLimit), now, time.Time{}
	if previous > 0 && max(previous/u.limit.perSecond, u.limit.perSecond/previous) < similarRatio {
		return LimitSame
	}
	return LimitNamed
}

// limitEnded records that an upstream no longer names a limit to this node or another
// one. The rate of this node's requests then rises gradually from its share.
func (t *Table) limitEnded(now time.Time, id ids.Instance) LimitChange {
	if t.Limit(id) == 0 {
		return LimitSame
	}
	l := &t.upstreams[id].limit
	l.pacer.advance(now, t.share(l))
	l.endedAt = now
	return LimitEnded
}

// share returns this node's equal share of a limit in requests per second. It is 0 while
// the number of nodes is unknown.
func (t *Table) share(l *limitState) float64 {
	if t.nodes <= 0 {
		return 0
	}
	return l.perSecond * usedFraction / float64(t.nodes)
}

// limitAdmits is Admits for the limit of an upstream.
func (t *Table) limitAdmits(now time.Time, id ids.Instance, u *upstreamState, urgent bool) Admission {
	l := &u.limit
	if l.perSecond == 0 {
		return Admitted
	}
	if !l.endedAt.IsZero() {
		return t.returnAdmits(now, id, u)
	}
	if now.Before(l.keeperSilentUntil) || t.nodes <= 0 {
		return l.pacer.admits(now, t.share(l))
	}
	l.pacer.skip(now)
	if now.Before(l.pausedUntil) && !urgent {
		return Held
	}
	return PermitNeeded
}

// returnAdmits is limitAdmits after the end of a limit. The rate rises from this node's
// share to its usual rate, which ends the restriction.
func (t *Table) returnAdmits(now time.Time, id ids.Instance, u *upstreamState) Admission {
	growth := math.Exp2(now.Sub(u.limit.endedAt).Seconds() / doublingPeriod.Seconds())
	rate := t.share(&u.limit) * growth
	if growth < minReturnGrowth || rate < u.usualRate {
		return u.limit.pacer.admits(now, rate)
	}
	u.limit = limitState{}
	t.release(id, u)
	return Admitted
}

// AdmitProbe reports whether this node may probe an upstream at now, and counts the
// probe. An upstream is not probed during its rest, and a limited one at this node's share
// of the limit at most.
func (t *Table) AdmitProbe(now time.Time, id ids.Instance) bool {
	u := t.restricted[id]
	if u == nil {
		return true
	}
	if now.Before(u.rest.until) {
		return false
	}
	if u.limit.perSecond == 0 || !u.limit.endedAt.IsZero() {
		return true
	}
	if u.limit.probes.admits(now, t.share(&u.limit)) == Held {
		return false
	}
	u.limit.probes.use()
	return true
}

// PermitAnswered applies the keeper's answer to a request for a permit.
func (t *Table) PermitAnswered(now time.Time, reply PermitReply) {
	if u := t.restricted[reply.Upstream]; u != nil && !reply.Granted {
		u.limit.pausedUntil = now.Add(reply.pause())
	}
}

// PermitFailed records that the keeper of an upstream did not answer.
func (t *Table) PermitFailed(now time.Time, id ids.Instance) {
	if u := t.restricted[id]; u != nil {
		u.limit.keeperSilentUntil = now.Add(keeperRetryInterval)
	}
}
