// Package detour decides over which path a node connects to an upstream: directly, or
// through a peer that connects for it. A node may lose its own links to upstreams that
// other nodes still reach. From the failed attempt alone that cannot be told from an
// upstream that has ended, so the attempt of a peer decides.
//
// A Table is not safe for concurrent use and reads no clock.
package detour

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/roster"
)

const (
	// HedgeDelay is how long one path may take to connect before the next one is tried
	// beside it. Zones are a few ms apart, but a busy node notices a connection late.
	HedgeDelay = 40 * time.Millisecond
	// MaxPeers is the number of peers that are asked for one connection.
	MaxPeers = 3
	// minLost is how long a direct path that was found lost is not tried first. It doubles
	// each time that the path is lost again within lossWindow, up to maxLost, so that
	// links that come and go do not move connections to and fro.
	minLost    = 500 * time.Millisecond
	maxLost    = 4 * time.Second
	lossWindow = 10 * time.Second
	// minPeerBackoff is how long a peer that could not connect is not asked. It doubles
	// with each further failure, up to maxPeerBackoff.
	minPeerBackoff = 500 * time.Millisecond
	maxPeerBackoff = 2 * time.Second
	// goodPeriod is how long a peer that connected is preferred to peers of which nothing is
	// known.
	goodPeriod = 10 * time.Second
	// exploreShare is the share of connections for which a peer of which nothing is known is
	// asked first, so that a node comes to know several that connect.
	exploreShare = 1.0 / 4
	// A peer of the own zone is preferred to one of another zone as long as its load is at
	// most ownZoneLoadFactor times that of the other plus ownZoneLoadSlack.
	ownZoneLoadFactor = 2
	ownZoneLoadSlack  = 4
)

// Table holds what a node knows of its direct paths and of its peers. Create it with New.
type Table struct {
	zone  ids.Zone
	rand  *rand.Rand
	peers []roster.Member
	// own and others hold the indexes in peers of the node's own zone and of the others.
	own, others []int
	peerStates  map[ids.VM]*peerState
	paths       map[ids.Instance]*path
	// all is the path to any upstream. It is lost while the node reaches no upstream
	// directly.
	all path
	// lastLost is the upstream that was last lost without a read since, and lastLostHeard the
	// number of reads at that time.
	lastLost      ids.Instance
	lastLostHeard int64
}

// path is the state of the direct path to an upstream.
type path struct {
	// lost is true from a direct attempt that failed although a peer connected, to the
	// next direct connection.
	lost bool
	// retryAt is when a lost path is tried again beside the detour.
	retryAt time.Time
	// losses counts the losses within lossWindow of each other; lostAt is the last one.
	losses int
	lostAt time.Time
}

// peerState is what a node knows of one peer.
type peerState struct {
	// connectedAt is when the peer last connected, and load the number of connections that it
	// then had open for others.
	connectedAt time.Time
	load        int
	// failures counts the failures since then. The peer is skipped until retryAt.
	failures int
	retryAt  time.Time
	// avoided is true if the peer answered since then that it could not reach an upstream, or
	// when it last connected that it stops.
	avoided bool
}

// rank is the order in which peers are preferred, the lowest first.
type rank int

const (
	rankGood rank = iota
	rankUnknown
	rankAvoided
	rankNone
)

// rank returns the rank of a peer that may be asked.
func (s *peerState) rank(now time.Time) rank {
	switch {
	case s.avoided:
		return rankAvoided
	case !s.connectedAt.IsZero() && now.Sub(s.connectedAt) < goodPeriod:
		return rankGood
	}
	return rankUnknown
}

// New returns the table of a node in a zone, which knows no peers yet.
func New(zone ids.Zone, seed uint64) *Table {
	return &Table{
		zone: zone, rand: rand.New(rand.NewPCG(seed, seedStream)),
		peerStates: make(map[ids.VM]*peerState), paths: make(map[ids.Instance]*path),
	}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x6465746f7572

// SetPeers replaces the list of the other nodes.
func (t *Table) SetPeers(peers []roster.Member) {
	t.peers, t.own, t.others = peers, nil, nil
	states := make(map[ids.VM]*peerState, len(peers))
	for i, p := range peers {
		states[p.Name] = t.peerStates[p.Name]
		if states[p.Name] == nil {
			states[p.Name] = &peerState{}
		}
		if p.Zone == t.zone {
			t.own = append(t.own, i)
		} else {
			t.others = append(t.others, i)
		}
	}
	t.peerStates = states
}

// Plan is the order in which the paths to an upstream are tried.
type Plan struct {
	// Detour is true if peers are asked at once, and false if they are asked only once the
	// direct attempt has failed or has taken HedgeDelay.
	Detour bool
	// Direct is true if the direct path is tried at once, and false if it is tried only
	// once that holds for the peers.
	Direct bool
}

// Plan returns the order in which to try the paths to an upstream.
func (t *Table) Plan(now time.Time, id ids.Instance) Plan {
	if len(t.peers) == 0 {
		return Plan{Direct: true}
	}
	lost := &t.all
	if p := t.paths[id]; p != nil && !lost.lost {
		lost = p
	}
	if !lost.lost {
		return Plan{Direct: true}
	}
	return Plan{Detour: true, Direct: lost.retryDue(now)}
}

// retryDue reports whether the path is to be tried again. If so, the next time is put off,
// so that one connection at a time tries it.
func (p *path) retryDue(now time.Time) bool {
	if now.Before(p.retryAt) {
		return false
	}
	p.retryAt = now.Add(minLost)
	return true
}

// lose records that the path does not connect.
func (p *path) lose(now time.Time) {
	if p.lost {
		return
	}
	if now.Sub(p.lostAt) > lossWindow {
		p.losses = 0
	}
	p.lost, p.lostAt = true, now
	p.retryAt = now.Add(backoff.Exponential(minLost, maxLost, p.losses))
	p.losses++
}

// DirectLost records that a peer connected to an upstream while the direct attempt failed.
// heardBefore and heard are the numbers of reads from any upstream over direct paths up to the
// begin of the attempt and up to now. If two upstreams are lost and nothing has been read
// since, the node has lost its links to all of them.
func (t *Table) DirectLost(now time.Time, id ids.Instance, heardBefore, heard int64) (news Loss) {
	p := t.paths[id]
	if p == nil {
		p = &path{}
		t.paths[id] = p
	}
	news.Upstream = !p.lost
	p.lose(now)
	if heard != heardBefore {
		return news
	}
	if t.lastLost != id && t.lastLostHeard == heard && !t.all.lost {
		t.all.lose(now)
		news.All = true
	}
	t.lastLost, t.lastLostHeard = id, heard
	return news
}

// Loss is what a failed direct attempt has brought to light.
type Loss struct {
	// Upstream is true if the path to the upstream was not known to be lost, and All if the
	// paths to all upstreams were not.
	Upstream, All bool
}

// Connected records a direct connection to an upstream. It reports whether the path to it, or
// to all upstreams, had been lost.
func (t *Table) Connected(id ids.Instance) (restored bool) {
	restored = t.all.lost
	t.all.lost = false
	if p := t.paths[id]; p != nil && p.lost {
		p.lost, restored = false, true
	}
	return restored
}

// HasPeers reports whether there are other nodes.
func (t *Table) HasPeers() bool { return len(t.peers) > 0 }

// LinksLost reports whether the node reaches no upstream directly, although peers do.
func (t *Table) LinksLost() bool { return t.all.lost }

// candidate is a peer that may be asked.
type candidate struct {
	index int
	rank  rank
	load  int
}

// NextPeer chooses a peer to ask for a connection, none of those in tried. Among peers of the
// same rank, the first one is of the node's own zone unless its load is much higher, and the
// next one of another zone, as a whole zone may be cut off. It returns false if there is none.
func (t *Table) NextPeer(now time.Time, tried map[ids.VM]bool) (roster.Member, bool) {
	explore := len(tried) == 0 && t.rand.Float64() < exploreShare
	own := t.bestPeer(now, t.own, tried, explore)
	other := t.bestPeer(now, t.others, tried, explore)
	chosen := own
	switch {
	case own.rank != other.rank:
		if other.rank < own.rank {
			chosen = other
		}
	case len(tried)%2 == 1, own.load > ownZoneLoadFactor*other.load+ownZoneLoadSlack:
		chosen = other
	}
	if chosen.rank == rankNone {
		return roster.Member{}, false
	}
	return t.peers[chosen.index], true
}

// bestPeer chooses among the peers of a group that may be asked and have the lowest rank: the
// one with the lower load of two random ones, since loads are as old as the last connection.
// The rank is rankNone if there is none. explore ranks peers of which nothing is known first.
func (t *Table) bestPeer(now time.Time, group []int, tried map[ids.VM]bool, explore bool) candidate {
	lowest := rankNone
	var equals []candidate
	for _, i := range group {
		state := t.peerStates[t.peers[i].Name]
		if tried[t.peers[i].Name] || now.Before(state.retryAt) {
			continue
		}
		c := candidate{index: i, rank: state.rank(now), load: state.load}
		if explore && c.rank == rankUnknown {
			c.rank, c.load = rankGood, 0
		}
		if c.rank < lowest {
			lowest, equals = c.rank, equals[:0]
		}
		if c.rank == lowest {
			equals = append(equals, c)
		}
	}
	if len(equals) == 0 {
		return candidate{rank: rankNone}
	}
	one, two := equals[t.rand.IntN(len(equals))], equals[t.rand.IntN(len(equals))]
	if two.load < one.load {
		return two
	}
	return one
}

// PeerConnected records that a peer connected for this node, and the number of connections
// that it has open for others.
func (t *Table) PeerConnected(now time.Time, name ids.VM, open int) {
	if s := t.peerStates[name]; s != nil {
		s.connectedAt, s.load = now, open
		s.failures, s.retryAt, s.avoided = 0, time.Time{}, false
	}
}

// PeerUnreached records that a peer answered that it could not reach an upstream, which may be
// down or out of the reach of that peer only.
func (t *Table) PeerUnreached(name ids.VM) {
	if s := t.peerStates[name]; s != nil {
		s.avoided = true
	}
}

// PeerStops records that a peer which has connected is about to stop.
func (t *Table) PeerStops(name ids.VM) {
	if s := t.peerStates[name]; s != nil {
		s.avoided = true
	}
}

// PeerFailed records that a peer did not answer, or may not or cannot connect for this node.
func (t *Table) PeerFailed(now time.Time, name ids.VM) {
	if s := t.peerStates[name]; s != nil && !now.Before(s.retryAt) {
		s.retryAt = now.Add(backoff.Exponential(minPeerBackoff, maxPeerBackoff, s.failures))
		s.failures++
	}
}

// Forget drops the state of an upstream that has been removed.
func (t *Table) Forget(id ids.Instance) { delete(t.paths, id) }
