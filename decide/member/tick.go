package member

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// seedProbeRounds is the number of rounds from one probe of a seed to the next while a
// peer is alive. Without a live peer every round probes a seed.
const seedProbeRounds = 4

// Tick starts a round. Call it once every Interval. The returned commands are valid
// until the next call.
func (m *Members) Tick(now time.Time) []Command {
	m.commands = m.commands[:0]
	m.rounds++
	m.expireSilent(now)
	m.sendInZone(now)
	m.sendCrossZone(now)
	m.probeGone()
	m.probeSeed()
	return m.commands
}

// zoneCycle returns the time in which every peer of the node's zone gets a digest.
func (m *Members) zoneCycle() time.Duration {
	peers := 0
	for _, p := range m.peers {
		if p.zone == m.opts.Zone && p.state != Gone {
			peers++
		}
	}
	return m.cycleTime(peers, m.opts.Fanout)
}

// crossZoneCycle returns the time in which every linked peer of other zones gets a
// digest. It is never shorter than zoneCycle.
func (m *Members) crossZoneCycle() time.Duration {
	return max(m.zoneCycle(), m.cycleTime(len(m.links()), m.opts.CrossZoneFanout))
}

// cycleTime returns how long it takes to send to the given number of peers, at most
// fanout of them in each round.
func (m *Members) cycleTime(peers, fanout int) time.Duration {
	rounds := max((peers+fanout-1)/fanout, 1)
	return time.Duration(rounds) * m.opts.Interval
}

// expireSilent moves silent peers to Suspect and Gone, and removes unlisted ones after
// ForgetAfter.
func (m *Members) expireSilent(now time.Time) {
	inZone, crossZone := m.zoneCycle(), m.crossZoneCycle()
	for _, vm := range slices.Clone(m.order) {
		p := m.peers[vm]
		cycle := crossZone
		if p.zone == m.opts.Zone {
			cycle = inZone
		}
		suspect := time.Duration(m.opts.SuspectAfter) * cycle
		gone := time.Duration(m.opts.GoneAfter) * cycle
		silent := now.Sub(p.lastHeard)
		switch {
		case p.state == Alive && silent >= suspect:
			m.setState(p, Suspect)
		case p.state == Suspect && silent >= gone:
			m.markGone(p)
		case (p.state == Gone || p.state == Candidate) && !p.listed && silent >= m.opts.ForgetAfter:
			m.commands = append(m.commands, PeerGone{p.vm, Forgotten})
			m.remove(p)
		}
	}
}

// skipCallers removes the peers that need no call because they call this node, and the
// reply already carries its digest: live peers with a lower name whose last call is at
// most one and a half cycles old.
func (m *Members) skipCallers(now time.Time, cycle time.Duration, peers []*peer) []*peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool {
		calls := !p.lastCall.IsZero() && now.Sub(p.lastCall) < cycle+cycle/2
		return calls && p.state == Alive && p.missedCalls == 0 && p.vm < m.opts.VM
	})
}

// markGone moves a silent peer to Gone, or removes it if it is delisted.
func (m *Members) markGone(p *peer) {
	m.setState(p, Gone)
	if p.delisted {
		m.commands = append(m.commands, PeerGone{p.vm, Delisted})
		m.remove(p)
		return
	}
	m.commands = append(m.commands, PeerGone{p.vm, Silent})
	if p.listed {
		p.address = p.listedAddress
	}
}

// sendInZone sends to peers of the node's zone. Peers that did not reply to the last
// call come first, so that a failure is detected soon; the others follow in rotation.
func (m *Members) sendInZone(now time.Time) {
	var unconfirmed, rest []*peer
	for _, vm := range m.order {
		p := m.peers[vm]
		if p.zone != m.opts.Zone || p.state == Gone {
			continue
		}
		if p.state == Alive && p.missedCalls > 0 && len(unconfirmed) < m.opts.Fanout/2 {
			unconfirmed = append(unconfirmed, p)
			continue
		}
		rest = append(rest, p)
	}
	m.send(unconfirmed)
	next := rotate(rest, &m.zoneCursor, m.opts.Fanout-len(unconfirmed))
	m.send(m.skipCallers(now, m.zoneCycle(), next))
}

// sendCrossZone sends to the linked peers of other zones in rotation.
func (m *Members) sendCrossZone(now time.Time) {
	next := rotate(m.links(), &m.crossZoneCursor, m.opts.CrossZoneFanout)
	m.send(m.skipCallers(now, m.crossZoneCycle(), next))
}

// probeGone sends to one Gone peer, in rotation.
func (m *Members) probeGone() {
	var gone []*peer
	for _, vm := range m.order {
		if p := m.peers[vm]; p.state == Gone {
			gone = append(gone, p)
		}
	}
	m.send(rotate(gone, &m.goneCursor, 1))
}

// probeSeed sends to one seed whose address no known peer has, in rotation.
func (m *Members) probeSeed() {
	if m.rounds%seedProbeRounds != 0 && m.anyAlive() {
		return
	}
	var unknown []string
	for _, seed := range m.seeds {
		if !m.hasAddress(seed) {
			unknown = append(unknown, seed)
		}
	}
	for _, seed := range rotate(unknown, &m.seedCursor, 1) {
		m.commands = append(m.commands, Send{Address: seed})
	}
}

// anyAlive reports whether any peer is alive.
func (m *Members) anyAlive() bool {
	for _, p := range m.peers {
		if p.state == Alive {
			return true
		}
	}
	return false
}

// hasAddress reports whether a peer has the given address.
func (m *Members) hasAddress(address string) bool {
	for _, p := range m.peers {
		if p.address == address {
			return true
		}
	}
	return false
}

// send adds a Send command for each peer whose address is known.
func (m *Members) send(peers []*peer) {
	for _, p := range peers {
		if p.address != "" {
			m.commands = append(m.commands, Send{VM: p.vm, Address: p.address})
		}
	}
}

// rotate returns up to count items, starting at the cursor, and advances the cursor.
func rotate[T any](items []T, cursor *int, count int) []T {
	if len(items) <= count {
		return items
	}
	out := make([]T, 0, count)
	for i := range count {
		out = append(out, items[(*cursor+i)%len(items)])
	}
	*cursor = (*cursor + count) % len(items)
	return out
}

// links returns the peers of other zones that get digests, grouped by zone.
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
		out = append(out, m.highestRanked(byZone[zone], len(zones))...)
	}
	return out
}

// highestRanked returns the peers of one zone that rank highest for this node. zones is
// the number of other zones that share MaxCrossZoneLinks.
func (m *Members) highestRanked(peers []*peer, zones int) []*peer {
	slices.SortFunc(peers, func(a, b *peer) int {
		return byRank(m.opts.VM, string(a.vm), string(b.vm))
	})
	share := max(m.opts.MaxCrossZoneLinks/zones, 1)
	return peers[:min(len(peers), m.opts.LinksPerZone, share)]
}
