package limit

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// AccountUsage is the demand for one account on one VM.
type AccountUsage struct {
	Account ids.Account `json:"account"`
	// Demand is the cost requested per second, whether or not it was admitted.
	Demand float64 `json:"demand"`
}

// peer is another VM that has sent a digest.
type peer struct {
	vm ids.VM
	// receivedAt is when its last digest was taken in.
	receivedAt time.Time
	// accounts holds the accounts in its last digest.
	accounts []ids.Account
}

// stale reports whether no digest of the peer arrived for HoldDown/2. It allows for
// the localRateTTL during which a local rate computed before stays in use.
func (p *peer) stale(now time.Time, hold time.Duration) bool {
	return now.Sub(p.receivedAt) > hold/2-localRateTTL
}

// fleetDemand is the demand that VMs reported for one account.
type fleetDemand struct {
	byPeer map[ids.VM]peerDemand
	// total is the sum over byPeer.
	total float64
	// own is the demand in this VM's last digest.
	own float64
	// since is when demand for the account was first reported.
	since time.Time
}

// peerDemand is the demand of one peer, and its share of all demand when it was
// received.
type peerDemand struct{ demand, share float64 }

// ofPeer returns the demand that a peer reported, if any. d may be nil.
func (d *fleetDemand) ofPeer(vm ids.VM) (peerDemand, bool) {
	if d == nil {
		return peerDemand{}, false
	}
	c, reported := d.byPeer[vm]
	return c, reported
}

// Usage returns this VM's digest for its peers: the accounts whose demand exceeds
// this VM's even share, largest demand first, at most TopK. The result counts as
// sent, so Usage must be called once per round of digests.
func (l *Limiter) Usage(now time.Time) []AccountUsage {
	var out []AccountUsage
	for account, b := range l.reportable {
		if demand := b.demandAt(now); demand > l.digestThreshold(b) {
			out = append(out, AccountUsage{Account: account, Demand: min(demand, b.rate)})
		}
	}
	slices.SortFunc(out, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	out = out[:min(len(out), l.opts.TopK)]
	l.recordSent(now, out)
	return out
}

// recordSent records a digest as sent. It makes all local rates be recomputed
// before the digest leaves, because a peer that receives a lower demand may use the
// difference at once.
func (l *Limiter) recordSent(now time.Time, usage []AccountUsage) {
	l.version++
	demands := make(map[ids.Account]float64, len(usage))
	for _, u := range usage {
		demands[u.Account] = u.Demand
	}
	for account, b := range l.reportable {
		demand := demands[account]
		b.sent.add(now, demand, l.opts.HoldDown)
		l.setOwnDemand(now, account, demand)
		if demand == 0 && b.sent.isEmpty() && b.demandAt(now) <= l.digestThreshold(b) {
			delete(l.reportable, account)
		}
	}
}

// digestThreshold returns the demand above which an account belongs in the digest.
// The even share covers any lower demand.
func (l *Limiter) digestThreshold(b *bucket) float64 {
	return b.rate * evenShare / float64(l.fleetSize())
}

// trackDemand makes a bucket a candidate for the digest if its demand is high
// enough.
func (l *Limiter) trackDemand(b *bucket) {
	if b.demand > l.digestThreshold(b) {
		l.reportable[b.account] = b
	}
}

// PeerUsage takes in a peer's digest. The digest is complete: an account that it
// doesn't name has no demand on that peer. The caller must pass the digests of one
// peer in the order they were made, and drop those older than HoldDown/2. Entries
// beyond TopK, entries without positive demand, and new peers beyond MaxPeers are
// ignored.
func (l *Limiter) PeerUsage(now time.Time, vm ids.VM, usage []AccountUsage) {
	p, known := l.peers[vm]
	if !known {
		if len(l.peers) >= l.opts.MaxPeers {
			return
		}
		p = l.addPeer(vm)
	}
	before := p.accounts
	p.receivedAt = now
	p.accounts = nil
	for _, u := range usage[:min(len(usage), l.opts.TopK)] {
		if u.Demand > 0 {
			l.setPeerDemand(now, u.Account, vm, u.Demand)
			p.accounts = append(p.accounts, u.Account)
		}
	}
	for _, account := range before {
		if !slices.Contains(p.accounts, account) {
			l.dropPeerDemand(account, vm)
		}
	}
}

// addPeer adds a peer that has no demand.
func (l *Limiter) addPeer(vm ids.VM) *peer {
	p := &peer{vm: vm}
	at, _ := slices.BinarySearchFunc(l.sortedPeers, vm, byVM)
	l.sortedPeers = slices.Insert(l.sortedPeers, at, p)
	l.peers[vm] = p
	return p
}

// byVM orders peers by name.
func byVM(p *peer, vm ids.VM) int { return cmp.Compare(p.vm, vm) }

// PeerGone removes a peer that the platform no longer lists, or that restarted. Its
// share returns to the other VMs.
func (l *Limiter) PeerGone(vm ids.VM) {
	p, known := l.peers[vm]
	if !known {
		return
	}
	for _, account := range p.accounts {
		l.dropPeerDemand(account, vm)
	}
	delete(l.peers, vm)
	at, _ := slices.BinarySearchFunc(l.sortedPeers, vm, byVM)
	l.sortedPeers = slices.Delete(l.sortedPeers, at, at+1)
	l.version++
}

// fleetDemandOf returns the fleetDemand of an account, and creates it if needed.
func (l *Limiter) fleetDemandOf(now time.Time, account ids.Account) *fleetDemand {
	d, ok := l.demands[account]
	if !ok {
		d = &fleetDemand{byPeer: make(map[ids.VM]peerDemand), since: now}
		l.demands[account] = d
	}
	return d
}

// setOwnDemand stores the demand that this VM reported for an account.
func (l *Limiter) setOwnDemand(now time.Time, account ids.Account, demand float64) {
	if demand > 0 {
		l.fleetDemandOf(now, account).own = demand
		return
	}
	if d, ok := l.demands[account]; ok {
		d.own = 0
		l.dropIfUnused(account, d)
	}
}

// setPeerDemand stores the demand that a peer reported for an account.
func (l *Limiter) setPeerDemand(now time.Time, account ids.Account, vm ids.VM, demand float64) {
	d := l.fleetDemandOf(now, account)
	d.total += demand - d.byPeer[vm].demand
	d.byPeer[vm] = peerDemand{demand: demand, share: min(demand/max(d.total+d.own, demand), 1)}
}

// dropPeerDemand removes the demand of a peer for an account.
func (l *Limiter) dropPeerDemand(account ids.Account, vm ids.VM) {
	d, ok := l.demands[account]
	if !ok {
		return
	}
	d.total -= d.byPeer[vm].demand
	delete(d.byPeer, vm)
	l.dropIfUnused(account, d)
}

// dropIfUnused removes the entry of an account for which no VM reports demand.
func (l *Limiter) dropIfUnused(account ids.Account, d *fleetDemand) {
	if len(d.byPeer) == 0 && d.own == 0 {
		delete(l.demands, account)
	}
}
