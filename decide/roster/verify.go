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

// due reports whether it is time for the next verification.
func (v *verification) due(now time.Time) bool {
	if v.answered {
		return now.Sub(v.at) >= verifyInterval
	}
	return now.Sub(v.at) >= v.delay
}

// NextToVerify returns a member to call: one of this node's zone that was never called, or else one
// that is due, of any zone if it did not answer. found is false if there is none. Machines are
// replaced by others with other names, and nobody removes their entries. A node that polls three
// peers would not find out about the rest of its zone, and wait for the turns of nodes that are
// gone when it has to call the store.
func (r *Roster) NextToVerify(now time.Time) (next Member, found bool) {
	for _, m := range r.ranked {
		if m.Name == r.self || m.PeerAddress == "" {
			continue
		}
		v := r.verified[m.Name]
		if v == nil && m.Zone == r.zone {
			return m, true
		}
		if !found && v != nil && (m.Zone == r.zone || !v.answered) && v.due(now) {
			next, found = m, true
		}
	}
	return next, found
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
		return changed
	}
	v.delay = min(max(v.delay*2, minPeerBackoff), maxPeerBackoff)
	return changed
}
