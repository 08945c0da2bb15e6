package roster

import (
	"time"

	"mimosaarch.example/core/ids"
)

// verifyInterval is the time after which a member that has answered is verified again.
const verifyInterval = time.Minute

// verification is the result of the latest call that found out whether a member still exists.
// Failed ones are repeated after a delay that doubles with each failure, up to maxPeerBackoff.
// They do not exclude the member as a source: a node that lacks processor time would otherwise
// take over duties.
type verification struct {
	at       time.Time
	answered bool
	delay    time.Duration
}

// due returns when the next verification is due.
func (v *verification) due() time.Time {
	if v.answered {
		return v.at.Add(verifyInterval)
	}
	return v.at.Add(v.delay)
}

// NextToVerify returns a member to call: one of this node's zone that was never called, or else one
// that is due, of any zone if it did not answer. found is false if there is none. Machines are
// replaced by others with other names, and nobody removes their entries. A node that polls three
// peers would not find out about the rest of its zone, and wait for the turns of nodes that are
// gone when it has to call the store.
func (r *Roster) NextToVerify(now time.Time) (next Member, found bool) {
	if now.Before(r.verifyAt) {
		return Member{}, false
	}
	for _, m := range r.zoneMembers {
		if r.verified[m.Name] == nil && r.mayVerify(m) {
			return m, true
		}
	}
	r.verifyAt = now.Add(verifyInterval)
	for _, m := range r.ranked {
		v := r.verified[m.Name]
		if v == nil || v.answered && m.Zone != r.zone || !r.mayVerify(m) {
			continue
		}
		if !found && !now.Before(v.due()) {
			next, found = m, true
		}
		r.verifyAt = earliest(r.verifyAt, v.due())
	}
	return next, found
}

// mayVerify reports whether a member can be called.
func (r *Roster) mayVerify(m Member) bool { return m.Name != r.self && m.PeerAddress != "" }

// earliest returns the earlier one of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Verified records whether a member has answered. changed is true if it counts as gone now and did
// not before, or the other way round.
func (r *Roster) Verified(now time.Time, name ids.VM, answered bool) (changed bool) {
	changed = r.isGone(name) == answered
	v := r.verified[name]
	if v == nil {
		v = &verification{}
		r.verified[name] = v
	}
	v.at, v.answered = now, answered
	if answered {
		r.MarkReachable(name)
	} else {
		v.delay = min(max(v.delay*2, minPeerBackoff), maxPeerBackoff)
	}
	r.verifyAt = earliest(r.verifyAt, v.due())
	return changed
}
