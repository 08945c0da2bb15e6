package limit

import (
	"time"

	"mimosaarch.example/core/ids"
)

// evenShare is the fraction of a rate that is divided evenly among the VMs. The
// rest is divided by demand.
const evenShare = 0.5

// share returns this VM's share of an account's rate, above 0 and at most 1. own is the
// part of this VM's demand that all peers have received.
func (l *Limiter) share(now time.Time, account ids.Account, own float64) float64 {
	vms := float64(l.fleetSize())
	return evenShare/vms + (1-evenShare)*l.demandShare(now, account, own)
}

// demandShare returns this VM's share of the fraction that is divided by demand. The
// shares of VMs that don't send digests are reserved first. The VMs that receive
// each other's digests divide the rest.
func (l *Limiter) demandShare(now time.Time, account ids.Account, own float64) float64 {
	d := l.demands[account]
	fresh := 1
	free := 1 - float64(l.unheardVMs())/float64(l.fleetSize())
	others := 0.0
	for _, peer := range l.sortedPeers {
		stale := peer.stale(now, l.opts.HoldDown)
		c, reported := d.ofPeer(peer.vm)
		switch {
		case stale && reported:
			free -= c.share
		case stale:
			free -= l.unreportedShare(d, peer)
		default:
			fresh++
			others += c.demand
		}
	}
	free = max(free, 0)
	switch {
	case own <= 0 && others <= 0:
		return free / float64(fresh)
	case own <= 0:
		return 0
	}
	return free * own / (own + others)
}

// unreportedShare returns the share reserved for a stale peer that had not reported
// demand: none if other VMs had reported some by its last digest, and otherwise an
// even share.
func (l *Limiter) unreportedShare(d *fleetDemand, peer *peer) float64 {
	if d != nil && !d.since.After(peer.receivedAt) {
		return 0
	}
	return 1 / float64(l.fleetSize())
}

// fleetSize returns the number of VMs: those listed, or those known if more.
func (l *Limiter) fleetSize() int { return max(l.vmCount, 1+len(l.peers)) }

// unheardVMs returns the number of listed VMs that never sent a digest.
func (l *Limiter) unheardVMs() int { return l.fleetSize() - 1 - len(l.peers) }
