// Package roster decides whom a node learns from: the platform's store, or
// another node that learns from it.
//
// It answers the load of many nodes on one store, which counts each call and
// whose rates grow more slowly than the fleet. Three nodes of the fleet, its
// watchers, watch the store. Three nodes of each availability zone, its heads, ask
// the watchers; all others ask their heads. Who is what follows from the list of
// nodes alone, so nothing is agreed upon: a node whose list differs, or that finds
// a peer dead, only asks another one or the store, which costs a call and harms
// nothing.
//
// Each asks three peers in turn. What one of them does not know, since it is cut off
// from the store or stands still, another tells with the next answer, whichever two
// of them fail.
//
// A watcher that the store has silently stopped answering finds that by its probes,
// tells those that wait at it, and asks the other watchers like any node. While its
// probes are answered it asks them too, beside its watch, as the connection of the
// watch alone may be silent.
//
// A Roster is used by one goroutine at a time and reads no clock.
package roster

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// Member is a node of the fleet as the others see it.
type Member struct {
	Name ids.VM   `json:"name"`
	Zone ids.Zone `json:"zone"`
	// PeerAddress is the address at which it answers peers, IP and port.
	PeerAddress string `json:"peer"`
}

const (
	// sourceCount is how many watchers a fleet has, and heads a zone: any two may fail
	// and one is left that all others ask already.
	sourceCount = 3
	// leaseSeekers is how many nodes of each zone seek the lease.
	leaseSeekers = 2
)

const (
	// restFirst is how long a peer that did not answer is left out; it doubles up
	// to restMost, as some entries are of nodes that no longer exist. A process
	// that was killed is back in less than a second.
	restFirst = 500 * time.Millisecond
	restMost  = time.Minute
)

// Source is where a node is to learn what is new.
type Source int

const (
	// NotReady: the list of nodes is not known yet.
	NotReady Source = iota
	// Store: watch the store.
	Store
	// Peer: ask a peer.
	Peer
)

// Roster is one node's view of the fleet. Make it with New.
type Roster struct {
	own  ids.VM
	zone ids.Zone

	settled bool
	members []Member
	// ranks are the members of all zones, the first of each zone before the second
	// of any, so that the watchers lie in several zones. own is rank at.
	ranks []Member
	at    int
	// heads are the members of the own zone in order.
	heads []Member
	peers map[ids.VM]*belief
	// place is the own one in the zone.
	place int
	// silent tells that the store has stopped answering this node.
	silent bool
}

// belief is what is known of one peer that did not answer.
type belief struct {
	restUntil time.Time
	rest      time.Duration
}

// New makes the view of a node that knows no others.
func New(own ids.VM, zone ids.Zone) *Roster {
	return &Roster{own: own, zone: zone, peers: make(map[ids.VM]*belief)}
}

// Selector makes one that learns by the view, for each collection that the node follows.
func (r *Roster) Selector() *Selector {
	return &Selector{roster: r, behindUntil: make(map[ids.VM]time.Time)}
}

// Set takes the list of the fleet's nodes.
func (r *Roster) Set(members []Member) {
	r.members = members
	byZone := make(map[ids.Zone][]Member)
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	place := make(map[ids.VM]int, len(members))
	for _, zone := range byZone {
		slices.SortFunc(zone, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
		for i, m := range zone {
			place[m.Name] = i
		}
	}
	r.heads = byZone[r.zone]
	r.ranks = slices.Clone(members)
	slices.SortFunc(r.ranks, func(a, b Member) int {
		return cmp.Or(cmp.Compare(place[a.Name], place[b.Name]), cmp.Compare(a.Zone, b.Zone))
	})
	r.at = slices.IndexFunc(r.ranks, func(m Member) bool { return m.Name == r.own })
	for name := range r.peers {
		if _, there := place[name]; !there {
			delete(r.peers, name)
		}
	}
	r.place = place[r.own]
	r.settled = r.settled || r.at >= 0
}

// ForceReady has the node go by the list as it is, though its own entry is not in it.
func (r *Roster) ForceReady() { r.settled = true }

// Ready reports whether the node knows whom to learn from.
func (r *Roster) Ready() bool { return r.settled }

// Others gives all members but the own node.
func (r *Roster) Others() []Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m Member) bool { return m.Name == r.own || m.PeerAddress == "" })
}

// WatchWait is how long the node's watch of the store is to wait for a change where one
// that watches alone waits so long. The first watcher finds a connection that went silent
// as early as that; the others wait longer, as they have the first one's news beside.
func (r *Roster) WatchWait(alone time.Duration) time.Duration {
	if r.at < 0 || r.at >= sourceCount {
		return alone
	}
	return alone * time.Duration(r.at+1)
}

// sources gives the peers to ask; watches tells that this node is to watch the store
// itself.
func (r *Roster) sources(now time.Time) (peers []Member, watches bool) {
	peers, own := r.first(now, r.heads, sourceCount, false)
	if own || len(peers) < sourceCount {
		// A head, or one that its zone's list does not have yet.
		peers, own = r.first(now, r.ranks, sourceCount, r.silent)
	}
	return peers, own || len(peers) == 0
}

// IsWatcher reports whether the node is one of those that watch the store for all.
func (r *Roster) IsWatcher(now time.Time) bool {
	if !r.settled {
		return false
	}
	_, watches := r.sources(now)
	return watches
}

// IsLeaseCandidate reports whether the node is one of those of its zone that do duties which one
// node of the fleet does at a time.
func (r *Roster) IsLeaseCandidate(now time.Time) bool {
	if !r.settled {
		return false
	}
	_, own := r.first(now, r.heads, leaseSeekers, false)
	return own
}

// first gives the first members of a list that do not rest, up to count or to the own
// node, which own tells; others passes that over.
func (r *Roster) first(now time.Time, list []Member, count int, others bool) (peers []Member, own bool) {
	for _, m := range list {
		switch {
		case len(peers) == count:
			return peers, false
		case m.Name == r.own && others:
		case m.Name == r.own:
			return peers, true
		case m.PeerAddress != "" && !now.Before(r.of(m.Name).restUntil):
			peers = append(peers, m)
		}
	}
	return peers, false
}

// rank is the own place among all members, the last for one that is not listed.
func (r *Roster) rank() int {
	if r.at < 0 {
		return len(r.ranks)
	}
	return r.at
}

// of gives the belief about a peer.
func (r *Roster) of(name ids.VM) *belief {
	b := r.peers[name]
	if b == nil {
		b = &belief{}
		r.peers[name] = b
	}
	return b
}

// MarkUnreachable leaves a peer that did not answer out for a while.
func (r *Roster) MarkUnreachable(now time.Time, name ids.VM) {
	b := r.of(name)
	b.rest = min(max(b.rest*2, restFirst), restMost)
	b.restUntil = now.Add(b.rest)
}

// MarkReachable tells that a peer answered.
func (r *Roster) MarkReachable(name ids.VM) { delete(r.peers, name) }

// SetStoreUnresponsive notes whether the store has stopped answering this node, which asks its peers
// until it does again; changed tells that this is new.
func (r *Roster) SetStoreUnresponsive(silent bool) (changed bool) {
	changed = r.silent != silent
	r.silent = silent
	return changed
}

// StoreUnresponsive reports whether the store has stopped answering this node.
func (r *Roster) StoreUnresponsive() bool { return r.silent }
