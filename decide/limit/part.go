package limit

import (
	"time"

	"mimosaarch.example/core/ids"
)

// evenShare is the portion of a rate that is divided evenly among the VMs;
// the rest follows demand.
const evenShare = 0.5

// share gives this VM's share, above 0 to 1, of an account's rate, given the
// own demand that all peers have heard.
func (l *Limiter) share(now time.Time, account ids.Account, own float64) float64 {
	vms := float64(l.fleet())
	return evenShare/vms + (1-evenShare)*l.demandShare(now, account, own)
}

// demandShare gives this VM's share of the portion that follows demand. What
// unheard VMs hold is set aside first; the VMs that hear each other divide the
// rest.
func (l *Limiter) demandShare(now time.Time, account ids.Account, own float64) float64 {
	p := l.pools[account]
	heard := 1
	free := 1 - float64(l.neverHeard())/float64(l.fleet())
	others := 0.0
	for _, peer := range l.order {
		stale := peer.stale(now, l.opts.HoldDown)
		c, told := p.claim(peer.vm)
		switch {
		case stale && told:
			free -= c.share
		case stale:
			free -= l.untoldShare(p, peer)
		default:
			heard++
			others += c.demand
		}
	}
	free = max(free, 0)
	switch {
	case own <= 0 && others <= 0:
		return free / float64(heard)
	case own <= 0:
		return 0
	}
	return free * own / (own + others)
}

// untoldShare gives the share of a peer that went unheard without having told
// demand: none if others had told some by then, else its even part.
func (l *Limiter) untoldShare(p *pool, peer *peer) float64 {
	if p != nil && !p.since.After(peer.heard) {
		return 0
	}
	return 1 / float64(l.fleet())
}

// fleet gives the count of VMs: those listed, or those known if more.
func (l *Limiter) fleet() int { return max(l.vms, 1+len(l.peers)) }

// neverHeard counts the VMs listed that never sent a digest.
func (l *Limiter) neverHeard() int { return l.fleet() - 1 - len(l.peers) }
