package backpressure

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// shareFraction is the fraction of a limit that the nodes share. The rest allows for
	// nodes whose requests happen to coincide.
	shareFraction = 0.75
	// minLimit replaces lower limits, in requests per second. Without any request no node
	// would learn that an upstream takes more.
	minLimit = 0.5
	// doublingPeriod is the time in which the rate doubles after the end of a limit.
	doublingPeriod = time.Second
	// similarRatio is the ratio of two limits from which on they count as different.
	similarRatio = 1.25
)

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
	n := LimitNotice{Upstream: id}
	if u := t.restricted[id]; u != nil && u.endedAt.IsZero() {
		n.PerSecond = u.limit
	}
	return n
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
	case u.limit == 0 || !sentAt.After(u.namedAt):
		return LimitSame
	}
	return t.limitEnded(now, id)
}

// limitNamed records a limit that an upstream names to this node or another one.
func (t *Table) limitNamed(now time.Time, id ids.Instance, limit float64) LimitChange {
	u := t.stateOf(id)
	if u.limit > 0 {
		t.advance(now, id, u)
	}
	previous := u.limit
	u.limit, u.namedAt, u.endedAt = max(limit, minLimit), now, time.Time{}
	if t.restricted[id] == nil {
		t.restricted[id] = u
		u.usualRate = u.sends.perSecond(now)
		u.pacer = newPacer(now, t.seed, id)
	}
	if previous > 0 && max(previous/u.limit, u.limit/previous) < similarRatio {
		return LimitSame
	}
	return LimitNamed
}

// limitEnded records that an upstream no longer names a limit to this node or another
// one. The rate of this node's requests then rises gradually from its share.
func (t *Table) limitEnded(now time.Time, id ids.Instance) LimitChange {
	u := t.upstreams[id]
	if u == nil || u.limit == 0 || !u.endedAt.IsZero() {
		return LimitSame
	}
	t.advance(now, id, u)
	u.endedAt = now
	return LimitEnded
}

// Limit returns the limit that an upstream names, and this node's share of it, in
// requests per second. Both are 0 if there is none.
func (t *Table) Limit(id ids.Instance) (limit, share float64) {
	u := t.restricted[id]
	if u == nil {
		return 0, 0
	}
	return u.limit, t.share(u)
}

// share returns this node's share of a limit in requests per second. It is 0 while the
// number of nodes is unknown.
func (t *Table) share(u *upstreamState) float64 {
	if t.nodes <= 0 {
		return 0
	}
	return u.limit * shareFraction / float64(t.nodes)
}

// advance updates the permits of a restricted upstream to time now. It ends the
// restriction once the rate has risen to the usual one after the end of the limit.
func (t *Table) advance(now time.Time, id ids.Instance, u *upstreamState) {
	rate := t.share(u)
	if !u.endedAt.IsZero() {
		rate *= math.Exp2(now.Sub(u.endedAt).Seconds() / doublingPeriod.Seconds())
		if rate >= u.usualRate {
			u.limit, u.endedAt = 0, time.Time{}
			delete(t.restricted, id)
			return
		}
	}
	u.pacer.advance(now, rate)
}
