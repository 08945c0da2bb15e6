package member

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// seedRounds is how many rounds lie between two probes of seeds while some
// peer is heard from.
const seedRounds = 4

// Tick begins a round. It is called once each Interval. The commands are
// valid until the next call.
func (m *Members) Tick(now time.Time) []Command {
	m.out = m.out[:0]
	m.rounds++
	m.age(now)
	m.sendInZone(now)
	m.sendAcross(now)
	m.probeSilent()
	m.probeSeed()
	return m.out
}

// turn is the time in which each peer of the zone gets one digest.
func (m *Members) turn() time.Duration {
	peers := 0
	for _, p := range m.peers {
		if p.zone == m.opts.Zone && p.state != Gone {
			peers++
		}
	}
	return m.roundsFor(peers, m.opts.Fanout)
}

// turnAcross is the time in which each linked peer of another zone gets one
// digest, and at least that of the zone.
func (m *Members) turnAcross() time.Duration {
	return max(m.turn(), m.roundsFor(len(m.links()), m.opts.CrossZoneFanout))
}

// roundsFor is how long a number of peers takes, so many in a round.
func (m *Members) roundsFor(peers, fanout int) time.Duration {
	rounds := max((peers+fanout-1)/fanout, 1)
	return time.Duration(rounds) * m.opts.Interval
}

// age moves silent peers on.
func (m *Members) age(now time.Time) {
	inZone, across := m.turn(), m.turnAcross()
	for _, vm := range slices.Clone(m.order) {
		p := m.peers[vm]
		turn := across
		if p.zone == m.opts.Zone {
			turn = inZone
		}
		suspect := time.Duration(m.opts.SuspectAfter) * turn
		gone := time.Duration(m.opts.GoneAfter) * turn
		silent := now.Sub(p.heard)
		switch {
		case p.state == Alive && silent >= suspect:
			m.change(p, Suspect)
		case p.state == Suspect && silent >= gone:
			m.lose(p)
		case (p.state == Gone || p.state == Candidate) && !p.listed && silent >= m.opts.ForgetAfter:
			m.out = append(m.out, PeerGone{p.vm, Forgotten})
			m.remove(p)
		}
	}
}

// spare leaves out the peers that call this node, by whose calls both hear
// each other: those heard that way within a turn and a half.
func (m *Members) spare(now time.Time, turn time.Duration, peers []*peer) []*peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool {
		calls := !p.called.IsZero() && now.Sub(p.called) < turn+turn/2
		return calls && p.state == Alive && p.misses == 0 && p.vm < m.opts.VM
	})
}

// lose gives up a silent peer.
func (m *Members) lose(p *peer) {
	m.change(p, Gone)
	if p.delisted {
		m.out = append(m.out, PeerGone{p.vm, Delisted})
		m.remove(p)
		return
	}
	m.out = append(m.out, PeerGone{p.vm, Silent})
	if p.listed {
		p.address = p.listedAddress
	}
}

// sendInZone sends to peers of the zone: first to those whose last call got
// no reply, so that a failure is soon certain, then to the rest in rotation.
func (m *Members) sendInZone(now time.Time) {
	var doubtful, rest []*peer
	for _, vm := range m.order {
		p := m.peers[vm]
		if p.zone != m.opts.Zone || p.state == Gone {
			continue
		}
		if p.state == Alive && p.misses > 0 && len(doubtful) < m.opts.Fanout/2 {
			doubtful = append(doubtful, p)
			continue
		}
		rest = append(rest, p)
	}
	m.send(doubtful)
	turned := rotate(rest, &m.inZone, m.opts.Fanout-len(doubtful))
	m.send(m.spare(now, m.turn(), turned))
}

// sendAcross sends to the linked peers of other zones.
func (m *Members) sendAcross(now time.Time) {
	turned := rotate(m.links(), &m.across, m.opts.CrossZoneFanout)
	m.send(m.spare(now, m.turnAcross(), turned))
}

// probeSilent sends to one peer that is Gone, in rotation.
func (m *Members) probeSilent() {
	var silent []*peer
	for _, vm := range m.order {
		if p := m.peers[vm]; p.state == Gone {
			silent = append(silent, p)
		}
	}
	m.send(rotate(silent, &m.silent, 1))
}

// probeSeed sends to one seed that is no known peer's address.
func (m *Members) probeSeed() {
	if m.rounds%seedRounds != 0 && m.anyAlive() {
		return
	}
	var free []string
	for _, seed := range m.seeds {
		if !m.hasAddress(seed) {
			free = append(free, seed)
		}
	}
	for _, seed := range rotate(free, &m.seeding, 1) {
		m.out = append(m.out, Send{Address: seed})
	}
}

// anyAlive reports whether any peer is heard from.
func (m *Members) anyAlive() bool {
	for _, p := range m.peers {
		if p.state == Alive {
			return true
		}
	}
	return false
}

// hasAddress reports whether an address is a peer's.
func (m *Members) hasAddress(address string) bool {
	for _, p := range m.peers {
		if p.address == address {
			return true
		}
	}
	return false
}

// send adds a command for each peer with an address.
func (m *Members) send(peers []*peer) {
	for _, p := range peers {
		if p.address != "" {
			m.out = append(m.out, Send{VM: p.vm, Address: p.address})
		}
	}
}

// rotate takes up to count items, from a place that moves on by as many.
func rotate[T any](items []T, place *int, count int) []T {
	if len(items) <= count {
		return items
	}
	out := make([]T, 0, count)
	for i := range count {
		out = append(out, items[(*place+i)%len(items)])
	}
	*place = (*place + count) % len(items)
	return out
}

// links are the peers of other zones to hold links to, by zone.
func (m *Members) links() []*peer {
	byZone := make(map[ids.Zone][]*peer)
	var zones []ids.Zone
	for _, vm := range m.order {
		p := m.peers[vm]
		if p.zone == m.opts.Zone || p.state == Gone {
			continue
		}
		if byZone[p.zone] == nil {
			zones = append(zones, p.zone)
		}
		byZone[p.zone] = append(byZone[p.zone], p)
	}
	slices.Sort(zones)
	var out []*peer
	for _, zone := range zones {
		out = append(out, m.chosen(byZone[zone], len(zones))...)
	}
	return out
}

// chosen gives the peers of one of some zones that rank highest for this node.
func (m *Members) chosen(peers []*peer, zones int) []*peer {
	slices.SortFunc(peers, func(a, b *peer) int {
		return byRank(m.opts.VM, string(a.vm), string(b.vm))
	})
	part := max(m.opts.MaxCrossZoneLinks/zones, 1)
	return peers[:min(len(peers), m.opts.LinksPerZone, part)]
}
