package backpressure

import (
	"math"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// MaxRest bounds the rest that an upstream can ask for.
	MaxRest = time.Minute
	// returnFraction is the fraction of its usual rate at which a node sends to an upstream
	// again after a rest. It then doubles each doublingPeriod.
	returnFraction = 1.0 / 8
)

// restState is the rest that one upstream asks this node for.
type restState struct {
	// until is the end of the rest, zero if there is none. The rate then rises gradually.
	until time.Time
	// pacer spaces the requests after the rest.
	pacer pacer
}

// RestAsked records that an upstream has refused a request and asks this node for no
// requests for a while. It does not shorten a rest that it has asked for before. The
// result is the end of the rest.
func (t *Table) RestAsked(now time.Time, id ids.Instance, rest time.Duration) (until time.Time) {
	u := t.stateOf(id)
	u.goneAt = time.Time{}
	t.restrict(now, id, u)
	end := now.Add(min(max(rest, 0), MaxRest))
	if end.After(u.rest.until) {
		u.rest = restState{until: end, pacer: newReturnPacer(end)}
	}
	return u.rest.until
}

// RestLeft returns the time until the end of the rest that an upstream asks this node for,
// 0 if there is none.
func (t *Table) RestLeft(now time.Time, id ids.Instance) time.Duration {
	u := t.restricted[id]
	if u == nil {
		return 0
	}
	return max(u.rest.until.Sub(now), 0)
}

// restAdmits is Admits for the rest of an upstream. After the rest, one request is admitted
// at once, as it shows whether the upstream takes requests again.
func (t *Table) restAdmits(now time.Time, id ids.Instance, u *upstreamState) Admission {
	switch {
	case u.rest.until.IsZero():
		return Admitted
	case now.Before(u.rest.until):
		return Held
	}
	rate := u.usualRate * returnFraction * math.Exp2(now.Sub(u.rest.until).Seconds()/doublingPeriod.Seconds())
	if rate < u.usualRate {
		return u.rest.pacer.admits(now, rate)
	}
	u.rest = restState{}
	t.release(id, u)
	return Admitted
}
