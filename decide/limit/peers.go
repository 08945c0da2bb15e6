package limit

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// AccountUsage is one account's demand on one VM.
type AccountUsage struct {
	Account ids.Account `json:"account"`
	// Demand is the cost asked for in a second, met or not.
	Demand float64 `json:"demand"`
}

// peer is another VM that has sent a digest.
type peer struct {
	vm    ids.VM
	heard time.Time
	told  []ids.Account
}

// stale reports whether a peer has gone unheard.
func (p *peer) stale(now time.Time, hold time.Duration) bool {
	return now.Sub(p.heard) > hold/2-partEvery
}

// pool holds what VMs told of one account.
type pool struct {
	claims map[ids.VM]claim
	total  float64
	// own is what this VM told last.
	own float64
	// since is when demand for the account was first told.
	since time.Time
}

// claim is one peer's demand, and the share of all demand that it was when it
// was heard.
type claim struct{ demand, share float64 }

// claim gives a peer's claim. The pool may be nil.
func (p *pool) claim(vm ids.VM) (claim, bool) {
	if p == nil {
		return claim{}, false
	}
	c, told := p.claims[vm]
	return c, told
}

// Usage gives this VM's digest for its peers: the accounts whose demand is
// above this VM's even part, the largest first, at most TopK. What it gives
// counts as told, so call it once for each round of digests.
func (l *Limiter) Usage(now time.Time) []AccountUsage {
	var out []AccountUsage
	for account, b := range l.hot {
		if demand := b.demandAt(now); demand > l.worthTelling(b) {
			out = append(out, AccountUsage{Account: account, Demand: min(demand, b.rate)})
		}
	}
	slices.SortFunc(out, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	out = out[:min(len(out), l.opts.TopK)]
	l.told(now, out)
	return out
}

// told notes a digest as sent. Parts are computed afresh before it leaves: a
// peer that hears of a fall may take what this VM then no longer has.
func (l *Limiter) told(now time.Time, usage []AccountUsage) {
	l.version++
	demands := make(map[ids.Account]float64, len(usage))
	for _, u := range usage {
		demands[u.Account] = u.Demand
	}
	for account, b := range l.hot {
		demand := demands[account]
		b.told.add(now, demand, l.opts.HoldDown)
		l.setOwn(now, account, demand)
		if demand == 0 && b.told.quiet() && b.demandAt(now) <= l.worthTelling(b) {
			delete(l.hot, account)
		}
	}
}

// worthTelling gives the demand above which an account belongs in the digest:
// up to there the even part suffices.
func (l *Limiter) worthTelling(b *bucket) float64 {
	return b.rate * evenShare / float64(l.fleet())
}

// watch considers a bucket for the digest.
func (l *Limiter) watch(b *bucket) {
	if b.demand > l.worthTelling(b) {
		l.hot[b.account] = b
	}
}

// PeerUsage takes in a peer's digest, whole: accounts that it told before and
// does not now have no demand there. Digests of one peer must come in the
// order they were made; drop older ones, and those older than Hold/2. Entries
// beyond TopK or without positive demand are ignored, and so is a new peer
// beyond MaxPeers.
func (l *Limiter) PeerUsage(now time.Time, vm ids.VM, usage []AccountUsage) {
	p, known := l.peers[vm]
	if !known {
		if len(l.peers) >= l.opts.MaxPeers {
			return
		}
		p = l.join(vm)
	}
	before := p.told
	p.heard = now
	p.told = nil
	for _, u := range usage[:min(len(usage), l.opts.TopK)] {
		if u.Demand > 0 {
			l.setClaim(now, u.Account, vm, u.Demand)
			p.told = append(p.told, u.Account)
		}
	}
	for _, account := range before {
		if !slices.Contains(p.told, account) {
			l.dropClaim(account, vm)
		}
	}
}

// join adds a peer.
func (l *Limiter) join(vm ids.VM) *peer {
	p := &peer{vm: vm}
	at, _ := slices.BinarySearchFunc(l.order, vm, byVM)
	l.order = slices.Insert(l.order, at, p)
	l.peers[vm] = p
	return p
}

// byVM orders peers by name.
func byVM(p *peer, vm ids.VM) int { return cmp.Compare(p.vm, vm) }

// PeerGone forgets a peer that the platform's list no longer has; what it
// held returns to the others.
func (l *Limiter) PeerGone(vm ids.VM) {
	p, known := l.peers[vm]
	if !known {
		return
	}
	for _, account := range p.told {
		l.dropClaim(account, vm)
	}
	delete(l.peers, vm)
	at, _ := slices.BinarySearchFunc(l.order, vm, byVM)
	l.order = slices.Delete(l.order, at, at+1)
	l.version++
}

// pool gives an account's pool, made if needed.
func (l *Limiter) pool(now time.Time, account ids.Account) *pool {
	p, ok := l.pools[account]
	if !ok {
		p = &pool{claims: make(map[ids.VM]claim), since: now}
		l.pools[account] = p
	}
	return p
}

// setOwn notes what this VM told of an account.
func (l *Limiter) setOwn(now time.Time, account ids.Account, demand float64) {
	if demand > 0 {
		l.pool(now, account).own = demand
		return
	}
	if p, ok := l.pools[account]; ok {
		p.own = 0
		l.tidy(account, p)
	}
}

// setClaim notes a peer's demand for an account.
func (l *Limiter) setClaim(now time.Time, account ids.Account, vm ids.VM, demand float64) {
	p := l.pool(now, account)
	p.total += demand - p.claims[vm].demand
	p.claims[vm] = claim{demand: demand, share: min(demand/max(p.total+p.own, demand), 1)}
}

// dropClaim forgets a peer's demand for an account.
func (l *Limiter) dropClaim(account ids.Account, vm ids.VM) {
	p, ok := l.pools[account]
	if !ok {
		return
	}
	p.total -= p.claims[vm].demand
	delete(p.claims, vm)
	l.tidy(account, p)
}

// tidy forgets a pool that nobody tells demand for.
func (l *Limiter) tidy(account ids.Account, p *pool) {
	if len(p.claims) == 0 && p.own == 0 {
		delete(l.pools, account)
	}
}
