package member

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/ids"
)

// rank is a name's weight for a key by rendezvous hash.
func rank[K ~string](key K, name string) uint64 {
	data := make([]byte, 0, len(key)+1+len(name))
	data = append(data, key...)
	data = append(data, 0)
	data = append(data, name...)
	return xxhash.Sum64(data)
}

// byRank orders names by their weight for a key, the highest first.
func byRank[K ~string](key K, a, b string) int {
	return cmp.Or(cmp.Compare(rank(key, b), rank(key, a)), cmp.Compare(a, b))
}

// Polls reports whether this node asks an upstream for its load. The nodes of
// a zone share the upstreams of the zone; those of a zone without any node
// heard from are shared by all nodes heard from. Each node counts itself, so
// that the highest ranked node that works always polls; while views differ
// others may do so too.
func (m *Members) Polls(id ids.Upstream, zone ids.Zone) bool {
	if zone == m.opts.Zone {
		return m.first(id, func(p *peer) bool { return p.zone == zone })
	}
	if m.heardFrom(zone) {
		return false
	}
	return m.first(id, func(*peer) bool { return true })
}

// heardFrom reports whether a zone has a node that can poll.
func (m *Members) heardFrom(zone ids.Zone) bool {
	for _, p := range m.peers {
		if p.zone == zone && p.polls() {
			return true
		}
	}
	return false
}

// first reports whether no polling peer among some ranks above this node.
func (m *Members) first(id ids.Upstream, among func(*peer) bool) bool {
	own := string(m.opts.VM)
	for _, p := range m.peers {
		if p.polls() && among(p) && byRank(id, string(p.vm), own) < 0 {
			return false
		}
	}
	return true
}

// polls reports whether a peer can be relied on to poll.
func (p *peer) polls() bool { return p.state == Alive && !p.draining }
