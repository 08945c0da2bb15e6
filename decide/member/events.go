package member

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
)

// Sender describes the sender of a digest or a reply.
type Sender struct {
	VM   ids.VM
	Zone ids.Zone
	Boot string
	// Seq is the sequence number of the digest, or 0 for a reply.
	Seq uint64
	// Address is where the sender accepts calls, or empty if unknown.
	Address  string
	Draining bool
	// IsCall is true if the sender called this node to deliver the digest, and false if
	// the digest came with the reply to a call of this node.
	IsCall bool
}

// SetSeeds sets the addresses to contact first, at most MaxSeeds of them. The node's own
// address is ignored.
func (m *Members) SetSeeds(addresses []string) {
	m.seeds = m.seeds[:0]
	for _, address := range addresses {
		if address != m.opts.Address && len(m.seeds) < m.opts.MaxSeeds {
			m.seeds = append(m.seeds, address)
		}
	}
}

// ApplyVMList applies the platform's list of VMs. A list that is not newer than the last
// one is ignored. The returned commands are valid until the next call.
func (m *Members) ApplyVMList(now time.Time, list platformapi.VMList) []Command {
	m.commands = m.commands[:0]
	if list.Revision <= m.listRevision {
		return m.commands
	}
	m.listRevision = list.Revision
	named := make(map[ids.VM]bool)
	for _, vm := range list.VMs {
		if vm.Role == platformapi.RoleEntry && vm.PeerAddress != "" {
			named[ids.VM(vm.ID)] = true
			m.addListed(now, vm)
		}
	}
	for _, vm := range slices.Clone(m.order) {
		if p := m.peers[vm]; !named[vm] && p.listed {
			m.delist(p)
		}
	}
	return m.commands
}

// addListed marks a VM as listed and adds it as a peer if it is unknown.
func (m *Members) addListed(now time.Time, vm platformapi.VM) {
	p := m.getOrAdd(now, ids.VM(vm.ID))
	if p == nil {
		return
	}
	p.listed = true
	p.delisted = false
	p.listedAddress = vm.PeerAddress
	if p.boot == "" || p.state == Gone {
		p.zone = ids.Zone(vm.Zone)
		p.address = vm.PeerAddress
	}
}

// delist marks a peer as missing from the list. A peer that still sends digests is kept
// until it is silent.
func (m *Members) delist(p *peer) {
	p.listed = false
	p.listedAddress = ""
	p.delisted = true
	switch p.state {
	case Gone:
		m.commands = append(m.commands, PeerGone{p.vm, Delisted})
		m.remove(p)
	case Candidate:
		m.remove(p)
	}
}

// LearnAddress adds a VM whose address another peer has reported. It does nothing if the
// VM is already known.
func (m *Members) LearnAddress(now time.Time, vm ids.VM, zone ids.Zone, address string) {
	if m.peers[vm] != nil {
		return
	}
	if p := m.getOrAdd(now, vm); p != nil {
		p.zone = zone
		p.address = address
	}
}

// DigestReceived records the sender of a digest. The error is a *StaleError, *SelfError
// or *FullError; the digest must then not be used, and nothing has changed. The returned
// commands are valid until the next call and must be handled before the digest, because
// Restarted invalidates the sender's earlier digests.
func (m *Members) DigestReceived(now time.Time, from Sender) ([]Command, error) {
	m.commands = m.commands[:0]
	if from.VM == m.opts.VM {
		return nil, &SelfError{VM: from.VM, Boot: from.Boot}
	}
	p := m.peers[from.VM]
	if p != nil && (p.isEarlierBoot(from.Boot) || p.boot == from.Boot && from.Seq <= p.seq) {
		return nil, &StaleError{VM: from.VM, Boot: from.Boot, Seq: from.Seq}
	}
	if p = m.getOrAdd(now, from.VM); p == nil {
		return nil, &FullError{Limit: m.opts.MaxPeers}
	}
	m.setBoot(p, from.Boot)
	p.zone = from.Zone
	p.seq = from.Seq
	p.draining = from.Draining
	if from.Address != "" {
		p.address = from.Address
	}
	if from.IsCall {
		p.lastCall = now
	}
	m.markHeard(now, p, Alive)
	return m.commands, nil
}

// ReplyReceived records the sender of a reply to a digest that was sent to address. The
// first reply of a Gone peer makes it a Candidate, and the second makes it Alive. take
// reports whether a digest that came with the reply may be passed to DigestReceived. The
// returned commands are valid until the next call.
func (m *Members) ReplyReceived(now time.Time, address string, from Sender) (commands []Command, take bool) {
	m.commands = m.commands[:0]
	if from.VM == m.opts.VM {
		m.seeds = slices.DeleteFunc(m.seeds, func(seed string) bool { return seed == address })
		return m.commands, false
	}
	p := m.getOrAdd(now, from.VM)
	if p == nil || p.isEarlierBoot(from.Boot) {
		return m.commands, false
	}
	m.setBoot(p, from.Boot)
	p.zone = from.Zone
	p.address = address
	if p.state == Gone {
		m.markHeard(now, p, Candidate)
		return m.commands, false
	}
	m.markHeard(now, p, Alive)
	return m.commands, true
}

// CallFailed records that a digest sent to address got no reply in time. The returned
// commands are valid until the next call.
func (m *Members) CallFailed(_ time.Time, address string) []Command {
	m.commands = m.commands[:0]
	for _, vm := range m.order {
		if p := m.peers[vm]; p.address == address {
			m.countMissedCall(p)
			break
		}
	}
	return m.commands
}

// countMissedCall counts a call without a reply. At maxMissedCalls in a row an Alive
// peer becomes Suspect, and a Candidate becomes Gone.
func (m *Members) countMissedCall(p *peer) {
	p.missedCalls++
	if p.missedCalls < maxMissedCalls {
		return
	}
	switch p.state {
	case Alive:
		m.setState(p, Suspect)
	case Candidate:
		p.state = Gone
	}
}

// getOrAdd returns a peer and adds it if it is unknown. It returns nil for this node
// itself and if MaxPeers peers are known.
func (m *Members) getOrAdd(now time.Time, vm ids.VM) *peer {
	if p := m.peers[vm]; p != nil {
		return p
	}
	if vm == m.opts.VM || len(m.peers) >= m.opts.MaxPeers {
		return nil
	}
	p := &peer{vm: vm, lastHeard: now}
	m.peers[vm] = p
	m.order = slices.Insert(m.order, m.rand.IntN(len(m.order)+1), vm)
	return p
}

// remove deletes a peer.
func (m *Members) remove(p *peer) {
	delete(m.peers, p.vm)
	m.order = slices.DeleteFunc(m.order, func(vm ids.VM) bool { return vm == p.vm })
}

// setBoot records the boot identifier of a peer. A new one invalidates the digests of
// the earlier process.
func (m *Members) setBoot(p *peer, boot string) {
	if p.boot == boot {
		return
	}
	if p.boot != "" {
		m.commands = append(m.commands, PeerGone{p.vm, Restarted})
		p.earlierBoots = append(p.earlierBoots, p.boot)
		p.earlierBoots = p.earlierBoots[max(len(p.earlierBoots)-maxEarlierBoots, 0):]
	}
	p.boot = boot
	p.seq = 0
	p.draining = false
}

// isEarlierBoot reports whether boot identifies an earlier process of the peer.
func (p *peer) isEarlierBoot(boot string) bool { return slices.Contains(p.earlierBoots, boot) }

// markHeard records that a message of a peer arrived, and sets the peer's state.
func (m *Members) markHeard(now time.Time, p *peer, state State) {
	p.lastHeard = now
	p.missedCalls = 0
	if state == Candidate {
		p.state = Candidate
		return
	}
	m.setState(p, state)
}

// setState changes the state of a peer and reports the change.
func (m *Members) setState(p *peer, state State) {
	if p.state == state {
		return
	}
	p.state = state
	m.commands = append(m.commands, StateChanged{p.vm, state})
}
