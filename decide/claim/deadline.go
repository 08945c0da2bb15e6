package claim

import (
	"time"

	"mimosaarch.example/decide/router"
)

// expireOps reports the result of operations whose deadline has passed, or will
// pass before the next call may start.
func (s *shardCommitter) expireOps(now time.Time) {
	done := false
	for _, p := range s.ops {
		if p.reported || p.op.Deadline.IsZero() || !s.missesDeadline(now, p) {
			continue
		}
		switch {
		case p.op.remote:
			s.returnToOrigin(p)
			done = done || p.done
		case p.op.Kind == Release:
			s.moveToBackground(p)
		case p.inFlight || p.lostVersion != noLostWrite:
			s.convertToRelease(p)
		default:
			p.done, done = true, true
			s.group.end(Ended{Op: p.op, Result: router.ClaimFailed})
		}
	}
	if done {
		s.removeDone()
	}
	s.trimBackground()
}

// missesDeadline reports whether an operation cannot be committed before its
// deadline.
func (s *shardCommitter) missesDeadline(now time.Time, p *pending) bool {
	if !now.Before(p.op.Deadline) {
		return true
	}
	return s.call == callNone && s.retryAt.After(p.op.Deadline)
}

// convertToRelease reports a claim that may have been committed as uncertain and
// replaces it by a Release in the background.
func (s *shardCommitter) convertToRelease(p *pending) {
	s.group.end(Ended{Op: p.op, Result: router.ClaimUncertain})
	p.op.Kind = Release
	p.reported = true
	p.replaced = p.inFlight
}

// wake returns when the shard next has work to do without outside input, or
// false if never.
func (s *shardCommitter) wake() (time.Time, bool) {
	if len(s.ops) == 0 {
		return time.Time{}, false
	}
	var at time.Time
	if s.call == callNone {
		at = later(s.readyAt, s.retryAt)
	}
	for _, p := range s.ops {
		due := !p.reported && !p.op.Deadline.IsZero()
		if due && (at.IsZero() || p.op.Deadline.Before(at)) {
			at = p.op.Deadline
		}
	}
	return at, !at.IsZero()
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
