// Package roster decides from where a node learns of changes: from the platform's store,
// or from another node (a peer) that follows the store.
//
// It answers the load that many nodes put on one store, whose rate limits count every
// call and grow more slowly than the fleet. Updates are distributed in tiers. Three
// nodes of the fleet, the watchers, watch the store. Three nodes of each availability
// zone, the zone relays, poll the watchers. All other nodes poll the relays of their
// zone. The roles follow from the list of nodes alone, so the nodes need no agreement: a
// node with a different list, or one whose source does not respond, polls another peer
// or the store. That costs one more call and is harmless.
//
// Each node polls three peers in turn. If any two of them are cut off from the store or
// frozen, the third still delivers an update with its next answer.
//
// A watcher probes the store. When probes get no answer, it reports itself as
// disconnected to the peers that poll it, and polls the other watchers like any other
// node. While probes are answered, it polls the other watchers in parallel with its
// watch, because only the connection of the watch may be broken.
//
// A Roster must be used by one goroutine at a time. It reads no clock.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// Member is a node of the fleet, as listed in the store.
type Member struct {
	Name ids.VM   `json:"name"`
	Zone ids.Zone `json:"zone"`
	// PeerAddress is the IP address and port on which the node serves its peers.
	PeerAddress string `json:"peer"`
}

const (
	// sourcesPerTier is the number of watchers in the fleet and of relays in each zone.
	// Every node already polls three, so one is left when any two fail.
	sourcesPerTier = 3
	// leaseCandidatesPerZone is the number of nodes in each zone that compete for the
	// lease for the tasks that one node does for the entire fleet.
	leaseCandidatesPerZone = 2
)

const (
	// minPeerBackoff is how long a peer is skipped after its first failure. It is short
	// because a killed process is back in less than a second. The time doubles with each
	// further failure, up to maxPeerBackoff, because some listed nodes no longer exist.
	minPeerBackoff = 500 * time.Millisecond
	maxPeerBackoff = time.Minute
)

// Source is where a node gets its next update from.
type Source int

const (
	// NotReady means that the list of nodes is not known yet.
	NotReady Source = iota
	// Store means that the node watches the store.
	Store
	// Peer means that the node polls a peer.
	Peer
)

// Roster is one node's view of the fleet. Create it with New.
type Roster struct {
	self ids.VM
	zone ids.Zone

	ready   bool
	members []Member
	// ranked holds the members of all zones: the first member of each zone, then the
	// second of each, and so on, so that the watchers are in different zones. selfIndex
	// is this node's index in it, or -1 if the node is not listed.
	ranked    []Member
	selfIndex int
	// zoneMembers holds the members of this node's zone, ordered by name, and zoneSizes the
	// number of members of each zone.
	zoneMembers []Member
	zoneSizes   map[ids.Zone]int
	backoffs    map[ids.VM]*peerBackoff
	// verified holds the results of the latest verifications of peers. None is due before
	// verifyAt.
	verified map[ids.VM]*verification
	verifyAt time.Time
	// zoneIndex is this node's index in its zone.
	zoneIndex int
	// storeUnresponsive is true while the store does not answer this node's probes.
	storeUnresponsive bool
}

// peerBackoff is the exclusion of a peer that failed to answer.
type peerBackoff struct {
	until time.Time
	delay time.Duration
}

// New returns the Roster of the node named self, without any members yet.
func New(self ids.VM, zone ids.Zone) *Roster {
	return &Roster{self: self, zone: zone, backoffs: make(map[ids.VM]*peerBackoff), verified: make(map[ids.VM]*verification)}
}

// Selector returns a Selector that chooses sources by this Roster. Each collection that
// the node follows needs one of its own.
func (r *Roster) Selector() *Selector {
	return &Selector{roster: r, staleUntil: make(map[ids.VM]time.Time)}
}

// Set replaces the list of the fleet's nodes. The node becomes ready once the list has
// its own entry.
func (r *Roster) Set(members []Member) {
	r.members = members
	byZone := make(map[ids.Zone][]Member)
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	r.zoneSizes = make(map[ids.Zone]int, len(byZone))
	listed := make(map[ids.VM]bool, len(members))
	r.zoneIndex = 0
	for name, zone := range byZone {
		r.zoneSizes[name] = len(zone)
		slices.SortFunc(zone, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
		for i, m := range zone {
			listed[m.Name] = true
			if m.Name == r.self {
				r.zoneIndex = i
			}
		}
	}
	r.zoneMembers = byZone[r.zone]
	r.ranked = ranked(byZone)
	r.selfIndex = slices.IndexFunc(r.ranked, func(m Member) bool { return m.Name == r.self })
	maps.DeleteFunc(r.backoffs, func(name ids.VM, _ *peerBackoff) bool { return !listed[name] })
	maps.DeleteFunc(r.verified, func(name ids.VM, _ *verification) bool { return !listed[name] })
	r.verifyAt = time.Time{}
	r.ready = r.ready || r.selfIndex >= 0
}

// ranked returns the members of all zones in the order of Roster.ranked.
func ranked(byZone map[ids.Zone][]Member) []Member {
	zones := slices.Sorted(maps.Keys(byZone))
	var all []Member
	for i, more := 0, true; more; i++ {
		more = false
		for _, zone := range zones {
			if members := byZone[zone]; i < len(members) {
				all = append(all, members[i])
				more = true
			}
		}
	}
	return all
}

// ForceReady makes the node use its current list even if its own entry is missing.
func (r *Roster) ForceReady() { r.ready = true }

// Ready reports whether the node has a list that it can choose sources from.
func (r *Roster) Ready() bool { return r.ready }

// Others returns the members that have a peer address, without this node.
func (r *Roster) Others() []Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m Member) bool { return m.Name == r.self || m.PeerAddress == "" })
}

// Present returns the members that have a peer address and are not known to be gone, without this
// node.
func (r *Roster) Present() []Member {
	return slices.DeleteFunc(r.Others(), func(m Member) bool { return r.isGone(m.Name) })
}

// WatchWait returns how long this node's watch of the store waits for a change, where
// alone is the wait of a node that watches by itself. The first watcher waits that long
// and so detects a broken connection soonest. The second and third wait two and three
// times as long, since they also poll the first one.
func (r *Roster) WatchWait(alone time.Duration) time.Duration {
	if r.selfIndex < 0 || r.selfIndex >= sourcesPerTier {
		return alone
	}
	return alone * time.Duration(r.selfIndex+1)
}

// sources returns the peers to poll, and whether this node has to watch the store
// itself.
func (r *Roster) sources(now time.Time) (peers []Member, watches bool) {
	peers, own := r.firstAvailable(now, r.zoneMembers, sourcesPerTier, false)
	if own || len(peers) < sourcesPerTier {
		// This node is a zone relay, or its zone has too few known members.
		peers, own = r.firstAvailable(now, r.ranked, sourcesPerTier, r.storeUnresponsive)
	}
	return peers, own || len(peers) == 0
}

// IsWatcher reports whether the node watches the store on behalf of the fleet.
func (r *Roster) IsWatcher(now time.Time) bool {
	if !r.ready {
		return false
	}
	_, watches := r.sources(now)
	return watches
}

// IsLeaseCandidate reports whether the node competes for the lease for the tasks
// that one node does for the entire fleet.
func (r *Roster) IsLeaseCandidate(now time.Time) bool {
	if !r.ready {
		return false
	}
	_, own := r.firstAvailable(now, r.zoneMembers, leaseCandidatesPerZone, false)
	return own
}

// firstAvailable returns the first count members of list that are not in backoff. It
// stops at this node's own entry and then sets own, unless skipSelf is set.
func (r *Roster) firstAvailable(now time.Time, list []Member, count int, skipSelf bool) (peers []Member, own bool) {
	for _, m := range list {
		switch {
		case len(peers) == count:
			return peers, false
		case m.Name == r.self && skipSelf:
		case m.Name == r.self:
			return peers, true
		case m.PeerAddress != "" && !now.Before(r.backoffOf(m.Name).until):
			peers = append(peers, m)
		}
	}
	return peers, false
}

// rank returns this node's turn among the nodes that still exist: the first of each zone, then the
// second of each, and so on. Which nodes of its own zone are gone is known by verification. The
// other zones count as if as many of their nodes had gone.
func (r *Roster) rank() int {
	index := 0
	for _, m := range r.zoneMembers {
		if m.Name == r.self {
			break
		}
		if !r.isGone(m.Name) {
			index++
		}
	}
	rank := 0
	for zone, size := range r.zoneSizes {
		rank += min(size, index)
		if zone < r.zone && size > index {
			rank++
		}
	}
	return rank
}

// isGone reports whether a member did not answer when it was last called.
func (r *Roster) isGone(name ids.VM) bool {
	v, b := r.verified[name], r.backoffs[name]
	return v != nil && !v.answered || b != nil && b.delay > 0
}

// backoffOf returns the backoff of a peer and creates it if needed.
func (r *Roster) backoffOf(name ids.VM) *peerBackoff {
	b := r.backoffs[name]
	if b == nil {
		b = &peerBackoff{}
		r.backoffs[name] = b
	}
	return b
}

// MarkUnreachable records that a peer did not answer, and skips the peer for a backoff
// that doubles with each failure in a row.
func (r *Roster) MarkUnreachable(now time.Time, name ids.VM) {
	b := r.backoffOf(name)
	b.delay = min(max(b.delay*2, minPeerBackoff), maxPeerBackoff)
	b.until = now.Add(b.delay)
}

// MarkReachable records that a peer answered, which ends its backoff.
func (r *Roster) MarkReachable(name ids.VM) {
	delete(r.backoffs, name)
	if v := r.verified[name]; v != nil {
		v.answered, v.delay = true, 0
	}
}

// SetStoreUnresponsive records whether the store has stopped answering this node. While
// it has, the node polls its peers. changed is true if the state differs from before.
func (r *Roster) SetStoreUnresponsive(unresponsive bool) (changed bool) {
	changed = r.storeUnresponsive != unresponsive
	r.storeUnresponsive = unresponsive
	return changed
}

// StoreUnresponsive returns the state set by SetStoreUnresponsive.
func (r *Roster) StoreUnresponsive() bool { return r.storeUnresponsive }
