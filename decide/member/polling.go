package member

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/ids"
)

// rank returns the rendezvous hash of a key and a name.
func rank[K ~string](key K, name string) uint64 {
	data := make([]byte, 0, len(key)+1+len(name))
	data = append(data, key...)
	data = append(data, 0)
	data = append(data, name...)
	return xxhash.Sum64(data)
}

// byRank orders names by their rendezvous hash for a key, highest first.
func byRank[K ~string](key K, a, b string) int {
	return cmp.Or(cmp.Compare(rank(key, b), rank(key, a)), cmp.Compare(a, b))
}

// Polls reports whether this node polls an upstream for its load. The nodes of a zone
// share its upstreams. If a zone has no live node, all live nodes of other zones share
// its upstreams. Each node counts itself as live, so the highest-ranked live node always
// polls. While views differ, several nodes may poll the same upstream.
func (m *Members) Polls(id ids.Upstream, zone ids.Zone) bool {
	if zone == m.opts.Zone {
		return m.ranksFirst(id, func(p *peer) bool { return p.zone == zone })
	}
	if m.hasPoller(zone) {
		return false
	}
	return m.ranksFirst(id, func(*peer) bool { return true })
}

// hasPoller reports whether a zone has a peer that can poll.
func (m *Members) hasPoller(zone ids.Zone) bool {
	for _, p := range m.peers {
		if p.zone == zone && p.canPoll() {
			return true
		}
	}
	return false
}

// ranksFirst reports whether this node ranks above all peers that can poll and satisfy
// among.
func (m *Members) ranksFirst(id ids.Upstream, among func(*peer) bool) bool {
	own := string(m.opts.VM)
	for _, p := range m.peers {
		if p.canPoll() && among(p) && byRank(id, string(p.vm), own) < 0 {
			return false
		}
	}
	return true
}

// canPoll reports whether the peer is alive and not draining.
func (p *peer) canPoll() bool { return p.state == Alive && !p.draining }
