package claim

import (
	"time"

	"mimosaarch.example/decide/router"
)

// expire says the last word on operations whose deadline has come, or will
// come before the next call may start.
func (m *machine) expire(now time.Time) {
	done := false
	for _, p := range m.ops {
		if p.told || p.op.Deadline.IsZero() || !m.late(now, p) {
			continue
		}
		switch {
		case p.op.remote:
			m.giveBack(p)
			done = done || p.done
		case p.op.Kind == Release:
			m.postpone(p)
		case p.inFlight || p.taint != untainted:
			m.withdraw(p)
		default:
			p.done, done = true, true
			m.group.end(Ended{Op: p.op, Result: router.ClaimFailed})
		}
	}
	if done {
		m.removeDone()
	}
	m.trim()
}

// late reports whether an operation can't be settled before its deadline.
func (m *machine) late(now time.Time, p *pending) bool {
	if !now.Before(p.op.Deadline) {
		return true
	}
	return m.call == callNone && m.retryAt.After(p.op.Deadline)
}

// withdraw ends a claim that may stand as uncertain, and turns it into its
// release, which goes on in the background.
func (m *machine) withdraw(p *pending) {
	m.group.end(Ended{Op: p.op, Result: router.ClaimUncertain})
	p.op.Kind = Release
	p.told = true
	p.replaced = p.inFlight
}

// wake is when the shard has something to do by itself; false if never.
func (m *machine) wake() (time.Time, bool) {
	if len(m.ops) == 0 {
		return time.Time{}, false
	}
	var at time.Time
	if m.call == callNone {
		at = later(m.readyAt, m.retryAt)
	}
	for _, p := range m.ops {
		due := !p.told && !p.op.Deadline.IsZero()
		if due && (at.IsZero() || p.op.Deadline.Before(at)) {
			at = p.op.Deadline
		}
	}
	return at, !at.IsZero()
}

// later gives the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
