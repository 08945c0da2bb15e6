package member

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
)

// Sender names the sender of a digest or of a reply.
type Sender struct {
	VM   ids.VM
	Zone ids.Zone
	Boot string
	// Seq is the digest's; 0 for a reply.
	Seq uint64
	// Address is where the sender takes calls; empty when not known.
	Address  string
	Draining bool
	// Called is true when the sender called with its digest, false when the
	// digest came with a reply to this node's call.
	Called bool
}

// SetSeeds sets the addresses to start from, at most MaxSeeds of them. The
// node's own is passed over.
func (m *Members) SetSeeds(addresses []string) {
	m.seeds = m.seeds[:0]
	for _, address := range addresses {
		if address != m.opts.Address && len(m.seeds) < m.opts.MaxSeeds {
			m.seeds = append(m.seeds, address)
		}
	}
}

// ApplyVMList takes the platform's list. One of an older revision is ignored. The
// commands are valid until the next call.
func (m *Members) ApplyVMList(now time.Time, list platformapi.VMList) []Command {
	m.out = m.out[:0]
	if list.Revision <= m.listed {
		return m.out
	}
	m.listed = list.Revision
	named := make(map[ids.VM]bool)
	for _, vm := range list.VMs {
		if vm.Role == platformapi.RoleEntry && vm.PeerAddress != "" {
			named[ids.VM(vm.ID)] = true
			m.list(now, vm)
		}
	}
	for _, vm := range slices.Clone(m.order) {
		if p := m.peers[vm]; !named[vm] && p.listed {
			m.delist(p)
		}
	}
	return m.out
}

// list notes a listed VM.
func (m *Members) list(now time.Time, vm platformapi.VM) {
	p := m.known(now, ids.VM(vm.ID))
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

// delist notes that a VM is no longer listed. One that is still heard from
// stays until it falls silent.
func (m *Members) delist(p *peer) {
	p.listed = false
	p.listedAddress = ""
	p.delisted = true
	switch p.state {
	case Gone:
		m.out = append(m.out, PeerGone{p.vm, Delisted})
		m.remove(p)
	case Candidate:
		m.remove(p)
	}
}

// LearnAddress takes the address of a VM from another peer. It is used where nothing
// is known of the VM.
func (m *Members) LearnAddress(now time.Time, vm ids.VM, zone ids.Zone, address string) {
	if m.peers[vm] != nil {
		return
	}
	if p := m.known(now, vm); p != nil {
		p.zone = zone
		p.address = address
	}
}

// DigestReceived takes the sender of a digest. The error is a *StaleError,
// *SelfError or *FullError: the digest must not be used and nothing was
// changed. The commands, valid until the next call, come before the digest:
// Restarted voids what the sender told before.
func (m *Members) DigestReceived(now time.Time, from Sender) ([]Command, error) {
	m.out = m.out[:0]
	if from.VM == m.opts.VM {
		return nil, &SelfError{VM: from.VM, Boot: from.Boot}
	}
	p := m.peers[from.VM]
	if p != nil && (p.old(from.Boot) || p.boot == from.Boot && from.Seq <= p.seq) {
		return nil, &StaleError{VM: from.VM, Boot: from.Boot, Seq: from.Seq}
	}
	if p = m.known(now, from.VM); p == nil {
		return nil, &FullError{Limit: m.opts.MaxPeers}
	}
	m.begin(p, from.Boot)
	p.zone = from.Zone
	p.seq = from.Seq
	p.draining = from.Draining
	if from.Address != "" {
		p.address = from.Address
	}
	if from.Called {
		p.called = now
	}
	m.prove(now, p, Alive)
	return m.out, nil
}

// ReplyReceived takes the sender of a reply to a digest sent to an address. A peer
// that was Gone becomes a Candidate by its first reply and Alive by a second.
// take tells whether a digest that came with the reply may be used; it still
// has to pass Received.
func (m *Members) ReplyReceived(now time.Time, address string, from Sender) (commands []Command, take bool) {
	m.out = m.out[:0]
	if from.VM == m.opts.VM {
		m.seeds = slices.DeleteFunc(m.seeds, func(seed string) bool { return seed == address })
		return m.out, false
	}
	p := m.known(now, from.VM)
	if p == nil || p.old(from.Boot) {
		return m.out, false
	}
	m.begin(p, from.Boot)
	p.zone = from.Zone
	p.address = address
	if p.state == Gone {
		m.prove(now, p, Candidate)
		return m.out, false
	}
	m.prove(now, p, Alive)
	return m.out, true
}

// CallFailed tells that a digest sent to an address brought no reply in time.
func (m *Members) CallFailed(_ time.Time, address string) []Command {
	m.out = m.out[:0]
	for _, vm := range m.order {
		if p := m.peers[vm]; p.address == address {
			m.miss(p)
			break
		}
	}
	return m.out
}

// miss counts a call without reply.
func (m *Members) miss(p *peer) {
	p.misses++
	if p.misses < missesToSuspect {
		return
	}
	switch p.state {
	case Alive:
		m.change(p, Suspect)
	case Candidate:
		p.state = Gone
	}
}

// known gives a peer, made when missing; nil for this node itself and when
// there is no room.
func (m *Members) known(now time.Time, vm ids.VM) *peer {
	if p := m.peers[vm]; p != nil {
		return p
	}
	if vm == m.opts.VM || len(m.peers) >= m.opts.MaxPeers {
		return nil
	}
	p := &peer{vm: vm, heard: now}
	m.peers[vm] = p
	m.order = slices.Insert(m.order, m.rand.IntN(len(m.order)+1), vm)
	return p
}

// remove forgets a peer.
func (m *Members) remove(p *peer) {
	delete(m.peers, p.vm)
	m.order = slices.DeleteFunc(m.order, func(vm ids.VM) bool { return vm == p.vm })
}

// begin notes the boot of a peer. A new one voids what the last one told.
func (m *Members) begin(p *peer, boot string) {
	if p.boot == boot {
		return
	}
	if p.boot != "" {
		m.out = append(m.out, PeerGone{p.vm, Restarted})
		p.boots = append(p.boots, p.boot)
		p.boots = p.boots[max(len(p.boots)-keptBoots, 0):]
	}
	p.boot = boot
	p.seq = 0
	p.draining = false
}

// old reports whether a boot is an earlier one than the peer's last.
func (p *peer) old(boot string) bool { return slices.Contains(p.boots, boot) }

// prove notes that a peer was heard from.
func (m *Members) prove(now time.Time, p *peer, state State) {
	p.heard = now
	p.misses = 0
	if state == Candidate {
		p.state = Candidate
		return
	}
	m.change(p, state)
}

// change puts a peer in another state and tells so.
func (m *Members) change(p *peer, state State) {
	if p.state == state {
		return
	}
	p.state = state
	m.out = append(m.out, StateChanged{p.vm, state})
}
