// Package condition keeps what a node believes of the health of upstreams from
// its own calls: which did not answer, and how slow the others are. Beliefs
// end by themselves, since an upstream that gets no work shows nothing new; but
// for silence, which ends with an answer to a question.
//
// A Table is used by one goroutine at a time and reads no clock.
package condition

import (
	"time"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/ids"
)

// Table holds the beliefs. Make it with New.
type Table struct {
	upstreams map[ids.Life]*belief
	zones     map[ids.Zone]*zoneBelief
	// slow are those whose reports are kept up to date.
	slow map[ids.Life]*belief
	// silent are those that did not answer, until they do.
	silent map[ids.Life]*belief
}

// zoneBelief is about the way to an availability zone.
type zoneBelief struct {
	// silent are the upstreams there that could not be reached since one
	// answered.
	silent       map[ids.Life]bool
	suspectUntil time.Time
	strikes      int
}

// belief is about one upstream.
type belief struct {
	suspectUntil time.Time
	// silentSince is when it first failed since it last answered.
	silentSince time.Time
	// strikes counts suspicions without an answer between them.
	strikes int
	// pace is what was reported at pacedAt; askedAt is when it was last due.
	pace             float64
	pacedAt, askedAt time.Time
	// fullUntil: it refused for want of room.
	fullUntil time.Time
	// refusedUntil: it refused though it has room; refusals counts that, the
	// last time being refusedAt.
	refusedUntil, refusedAt time.Time
	refusals                int
}

// New makes a Table that believes every upstream well.
func New() *Table {
	return &Table{
		upstreams: make(map[ids.Life]*belief),
		slow:      make(map[ids.Life]*belief),
		silent:    make(map[ids.Life]*belief),
		zones:     make(map[ids.Zone]*zoneBelief),
	}
}

// Durations of beliefs.
const (
	// suspectFor is how long an upstream that did not answer gets nothing; it
	// doubles with each further time, up to suspectMost. Crashed upstreams
	// leave the directory within a few seconds, so this only has to bridge
	// that time without a request each second being lost on them.
	suspectFor  = 400 * time.Millisecond
	suspectMost = 3200 * time.Millisecond
	// zoneSilent is how many upstreams of a zone must be out of reach, with none
	// answering between them, for the zone to count as cut off.
	zoneSilent = 2
	// fullFor is how long an upstream that refused for want of room counts as
	// full: requests end many times in that time.
	fullFor = 300 * time.Millisecond
	// paceFor is how long a reported pace is believed, unless a newer report
	// comes: each node that forgets it sends streams to find out anew.
	paceFor = 10 * time.Second
	// paceCheck is the age from which the report of a slow upstream is due to be
	// asked for again, so that one which has recovered is used again.
	paceCheck = 1500 * time.Millisecond
	// watchPace is the pace from which on reports are kept up to date: above the
	// usual 1, below SlowPace.
	watchPace = 1.5
	// SlowPace is the pace from which on an engine counts as stalled and makes
	// answers late: a batch in which a prompt is read takes longer there than
	// the pauses that routes allow.
	SlowPace = 3.0
)

// of gives the belief about an upstream.
func (t *Table) of(id ids.Life) *belief {
	b := t.upstreams[id]
	if b == nil {
		b = &belief{pace: 1}
		t.upstreams[id] = b
	}
	return b
}

// Failed tells that an upstream did not answer at now. It reports whether that
// is news.
func (t *Table) Failed(now time.Time, id ids.Life) bool {
	b := t.of(id)
	if t.silent[id] == nil {
		t.silent[id] = b
		b.silentSince = now
	}
	if now.Before(b.suspectUntil) {
		return false
	}
	b.suspectUntil = now.Add(suspicion(b.strikes))
	b.strikes++
	return true
}

// suspicion gives how long a suspicion lasts after so many before it.
func suspicion(strikes int) time.Duration { return backoff.Doubled(suspectFor, suspectMost, strikes) }

// Unreachable tells that an upstream's VM did not answer a connection at all,
// as behind a cut. It reports whether its zone counts as cut off from now on.
func (t *Table) Unreachable(now time.Time, id ids.Life, zone ids.Zone) bool {
	z := t.zones[zone]
	if z == nil {
		z = &zoneBelief{silent: make(map[ids.Life]bool)}
		t.zones[zone] = z
	}
	z.silent[id] = true
	if len(z.silent) < zoneSilent || now.Before(z.suspectUntil) {
		return false
	}
	z.suspectUntil = now.Add(suspicion(z.strikes))
	z.strikes++
	return true
}

// ZoneSuspected reports whether a zone counts as cut off at now.
func (t *Table) ZoneSuspected(now time.Time, zone ids.Zone) bool {
	z := t.zones[zone]
	return z != nil && now.Before(z.suspectUntil)
}

// ConnectivityRestored tells that this node reaches others again after it was cut off: what
// was out of reach behind the cut is believed well.
func (t *Table) ConnectivityRestored() {
	for _, z := range t.zones {
		for id := range z.silent {
			if b := t.upstreams[id]; b != nil {
				b.strikes, b.suspectUntil = 0, time.Time{}
			}
			delete(t.silent, id)
		}
	}
	clear(t.zones)
}

// RefusedFull tells that an upstream refused for want of room.
func (t *Table) RefusedFull(now time.Time, id ids.Life) { t.of(id).fullUntil = now.Add(fullFor) }

// IsFull reports whether an upstream refused for want of room just now.
func (t *Table) IsFull(now time.Time, id ids.Life) bool {
	b := t.upstreams[id]
	return b != nil && now.Before(b.fullUntil)
}

// refusalsFor is how long refusals count together.
const refusalsFor = 10 * time.Second

// Refused tells that an upstream refused though it has room, as one does that is
// draining before the directory says so. It gets nothing for a while, longer
// each time.
func (t *Table) Refused(now time.Time, id ids.Life) {
	b := t.of(id)
	if now.Sub(b.refusedAt) > refusalsFor {
		b.refusals = 0
	}
	b.refusedUntil = now.Add(suspicion(b.refusals))
	b.refusedAt = now
	b.refusals++
}

// Answered tells that an upstream of a zone answered. It reports whether that
// ends a suspicion of the upstream.
func (t *Table) Answered(id ids.Life, zone ids.Zone) bool {
	delete(t.zones, zone)
	delete(t.silent, id)
	b := t.upstreams[id]
	if b == nil || b.strikes == 0 {
		return false
	}
	b.strikes = 0
	b.suspectUntil = time.Time{}
	return true
}

// SetPace takes a reported pace: how many times as long as usual an upstream takes.
func (t *Table) SetPace(now time.Time, id ids.Life, pace float64) {
	b := t.of(id)
	b.pace = max(pace, 1)
	b.pacedAt, b.askedAt = now, now
	if b.pace >= watchPace {
		t.slow[id] = b
	} else {
		delete(t.slow, id)
	}
}

// Silent reports whether an upstream of a zone has not answered since it last
// failed, or its zone is cut off. Where its report can be asked for, that comes
// before any more work: with work as the test, streams are lost on dark stages
// whenever a suspicion ends.
func (t *Table) Silent(id ids.Life, zone ids.Zone) bool {
	if t.silent[id] != nil {
		return true
	}
	return t.cutOff(zone)
}

// cutOff reports whether so many upstreams of a zone could not be reached, with
// none answering between them, that it counts as cut off.
func (t *Table) cutOff(zone ids.Zone) bool {
	z := t.zones[zone]
	return z != nil && len(z.silent) >= zoneSilent
}

// SilentFor tells how long an upstream has not answered though others of its zone
// do; 0 where that is not known.
func (t *Table) SilentFor(now time.Time, id ids.Life, zone ids.Zone) time.Duration {
	b := t.silent[id]
	if b == nil || t.cutOff(zone) {
		return 0
	}
	return now.Sub(b.silentSince)
}

// ProbesDue gives the upstreams whose report should be asked for: of slow ones once it
// is old, of silent ones once their suspicion has ended; each once in that time.
func (t *Table) ProbesDue(now time.Time) []ids.Life {
	var due []ids.Life
	for id, b := range t.silent {
		if !now.Before(b.suspectUntil) && now.Sub(b.askedAt) >= suspectFor {
			b.askedAt = now
			due = append(due, id)
		}
	}
	for id, b := range t.slow {
		switch {
		case now.Sub(b.pacedAt) >= paceFor:
			delete(t.slow, id)
		case now.Sub(b.askedAt) >= paceCheck:
			b.askedAt = now
			due = append(due, id)
		}
	}
	return due
}

// Suspected reports whether an upstream of a zone should get nothing at now.
func (t *Table) Suspected(now time.Time, id ids.Life, zone ids.Zone) bool {
	b := t.upstreams[id]
	if b != nil && (now.Before(b.suspectUntil) || now.Before(b.refusedUntil)) {
		return true
	}
	return t.ZoneSuspected(now, zone)
}

// Pace gives by how much an upstream is slower than usual, at least 1.
func (t *Table) Pace(now time.Time, id ids.Life) float64 {
	b := t.upstreams[id]
	if b == nil || now.Sub(b.pacedAt) >= paceFor {
		return 1
	}
	return b.pace
}

// Forget drops the belief about an upstream that is gone.
func (t *Table) Forget(id ids.Life) {
	delete(t.upstreams, id)
	delete(t.slow, id)
	delete(t.silent, id)
	for zone, z := range t.zones {
		if delete(z.silent, id); len(z.silent) == 0 {
			delete(t.zones, zone)
		}
	}
}
