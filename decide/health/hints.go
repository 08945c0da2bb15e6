package health

import (
	"time"

	"mimosaarch.example/core/ids"
)

// hintFor is the time for which a peer's view counts.
const hintFor = 3 * time.Second

// PeerState takes in a peer's view of an upstream. Ejected counts as evidence
// for hintFor, until the upstream proves itself here or the peer says
// otherwise.
func (t *Tracker) PeerState(now time.Time, vm ids.VM, id ids.Upstream, state State) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	switch state {
	case Ejected:
		m.hint(now, vm, t.opts.MaxPeers)
	default:
		delete(m.hints, vm)
	}
}

// hint notes a peer's view, dropping old ones when there are too many.
func (m *member) hint(now time.Time, vm ids.VM, most int) {
	if m.hints == nil {
		m.hints = make(map[ids.VM]time.Time)
	}
	if _, known := m.hints[vm]; !known && len(m.hints) >= most {
		for peer, at := range m.hints {
			if now.Sub(at) >= hintFor {
				delete(m.hints, peer)
			}
		}
		if len(m.hints) >= most {
			return
		}
	}
	m.hints[vm] = now
}

// hinted counts the peers that eject the upstream, as far as it has not
// proved itself here since.
func (m *member) hinted(now time.Time) int {
	count := 0
	for _, at := range m.hints {
		if now.Sub(at) < hintFor && m.proved.Before(at) {
			count++
		}
	}
	return count
}

// threshold gives the failures in a row that eject: one less for each peer
// that ejects the upstream, but always at least one of our own.
func (m *member) threshold(now time.Time) int {
	return max(m.service.policy.Failures-m.hinted(now), 1)
}
