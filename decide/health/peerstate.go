package health

import (
	"time"

	"mimosaarch.example/core/ids"
)

// peerStateTTL is how long a peer's ejection of an upstream counts.
const peerStateTTL = 3 * time.Second

// PeerState records the state of an upstream that a peer reports. An ejection counts as
// evidence for peerStateTTL, until the upstream makes progress here or the peer reports
// another state.
func (t *Tracker) PeerState(now time.Time, vm ids.VM, id ids.Upstream, state State) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	switch state {
	case Ejected:
		m.recordPeerEjection(now, vm, t.opts.MaxPeers)
	default:
		delete(m.peerEjections, vm)
	}
}

// recordPeerEjection records a peer's ejection. When the ejections of limit peers are
// kept, it drops expired ones, and ignores the new one if there are none.
func (m *member) recordPeerEjection(now time.Time, vm ids.VM, limit int) {
	if m.peerEjections == nil {
		m.peerEjections = make(map[ids.VM]time.Time)
	}
	if _, known := m.peerEjections[vm]; !known && len(m.peerEjections) >= limit {
		for peer, at := range m.peerEjections {
			if now.Sub(at) >= peerStateTTL {
				delete(m.peerEjections, peer)
			}
		}
		if len(m.peerEjections) >= limit {
			return
		}
	}
	m.peerEjections[vm] = now
}

// countPeerEjections returns the number of peers that eject the upstream, without
// ejections that are expired or older than the upstream's last progress here.
func (m *member) countPeerEjections(now time.Time) int {
	count := 0
	for _, at := range m.peerEjections {
		if now.Sub(at) < peerStateTTL && m.lastProgress.Before(at) {
			count++
		}
	}
	return count
}

// ejectThreshold returns the number of consecutive failures that eject: the policy's,
// less one for each peer that ejects the upstream, but at least one.
func (m *member) ejectThreshold(now time.Time) int {
	return max(m.service.policy.Failures-m.countPeerEjections(now), 1)
}
