// Package member tracks the other nodes of the fleet by gossip: which peers to send
// digests to, which peers are alive, and which upstreams this node polls for their load.
//
// In its own zone a node sends digests to all peers in rotation, to at most Fanout in
// each round. To each other zone it keeps at most LinksPerZone links, chosen by
// rendezvous hashing, so that zones stay connected when nodes fail. A reply also carries
// a digest, so of two nodes that would call each other only the one with the lower name
// does. This answers the load of a growing fleet: the work of a node in one round has a
// fixed limit.
//
// The view is a hint. Where it is wrong, two nodes may do the same work, or information
// may arrive late. No guarantee of the fleet depends on it.
//
// The package does no I/O and reads no clock. A Members is not safe for concurrent use.
// The same events and seed produce the same commands.
package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
)

// Options configures a Members. VM, Zone, Address and Boot are required. Zero values of
// the other fields select the defaults.
type Options struct {
	// VM and Zone are the node's own. Boot identifies the node's process.
	VM   ids.VM
	Zone ids.Zone
	Boot string
	// Address is where the node accepts calls of its peers.
	Address string
	// Seed seeds the random source that shuffles the rotation.
	Seed uint64
	// Interval is the time between two calls of Tick, which is one round. Default 250ms.
	Interval time.Duration
	// Fanout is the maximum number of peers in the node's own zone that get a digest in
	// one round. Default 5.
	Fanout int
	// CrossZoneFanout is the maximum number of peers in all other zones together that
	// get a digest in one round. Default 3.
	CrossZoneFanout int
	// LinksPerZone is the maximum number of peers in one other zone that get digests.
	// Default 3, so that any two nodes exchange digests if each zone has three nodes.
	LinksPerZone int
	// MaxCrossZoneLinks limits the links to all other zones together. With many zones
	// each gets an equal share of it, but at least one link. Default 15.
	MaxCrossZoneLinks int
	// SuspectAfter and GoneAfter are the numbers of cycles that a peer may be silent
	// before it becomes Suspect and Gone. In one cycle each peer gets one digest.
	// Default 4 and 20.
	SuspectAfter, GoneAfter int
	// ForgetAfter is how long an unlisted peer is kept after its last message.
	// Default 10m.
	ForgetAfter time.Duration
	// MaxPeers limits the number of peers. Default 1024.
	MaxPeers int
	// MaxSeeds limits the number of seed addresses. Default 64.
	MaxSeeds int
}

// Defaults of Options.
const (
	DefaultInterval          = 250 * time.Millisecond
	DefaultFanout            = 5
	DefaultCrossZoneFanout   = 3
	DefaultLinksPerZone      = 3
	DefaultMaxCrossZoneLinks = 15
	DefaultSuspectAfter      = 4
	DefaultGoneAfter         = 20
	DefaultForgetAfter       = 10 * time.Minute
	DefaultMaxPeers          = 1024
	DefaultMaxSeeds          = 64
)

// maxMissedCalls is the number of calls in a row without a reply that makes a peer
// Suspect.
const maxMissedCalls = 2

// maxEarlierBoots is the number of earlier boot identifiers kept for each VM, so that
// late digests of an earlier process are recognized.
const maxEarlierBoots = 4

// withDefaults returns o with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.Fanout = cmp.Or(o.Fanout, DefaultFanout)
	o.CrossZoneFanout = cmp.Or(o.CrossZoneFanout, DefaultCrossZoneFanout)
	o.LinksPerZone = cmp.Or(o.LinksPerZone, DefaultLinksPerZone)
	o.MaxCrossZoneLinks = cmp.Or(o.MaxCrossZoneLinks, DefaultMaxCrossZoneLinks)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.GoneAfter = cmp.Or(o.GoneAfter, DefaultGoneAfter)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, DefaultForgetAfter)
	o.MaxPeers = cmp.Or(o.MaxPeers, DefaultMaxPeers)
	o.MaxSeeds = cmp.Or(o.MaxSeeds, DefaultMaxSeeds)
	return o
}

// State is the liveness of a peer as this node sees it.
type State int

// States of a peer.
const (
	// Candidate is a peer that is known by name, or that has answered once after it was
	// Gone.
	Candidate State = iota
	// Alive is a peer that sends or answers digests.
	Alive
	// Suspect is a peer that has been silent for SuspectAfter cycles, or that has not
	// answered two calls in a row.
	Suspect
	// Gone is a peer that has been silent for GoneAfter cycles.
	Gone
)

// stateNames holds the name of each State.
var stateNames = [...]string{"candidate", "alive", "suspect", "gone"}

// String implements fmt.Stringer.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Members is a node's view of its peers. Create it with New.
type Members struct {
	opts  Options
	rand  *rand.Rand
	peers map[ids.VM]*peer
	// order holds the names of the peers in the order of rotation.
	order []ids.VM
	seeds []string
	// listRevision is the revision of the newest list of VMs, or 0 before the first
	// list.
	listRevision int64
	// The cursors are the positions of the rotations over peers of the zone, linked
	// peers of other zones, Gone peers, and seeds.
	zoneCursor, crossZoneCursor, goneCursor, seedCursor int
	rounds                                              int
	commands                                            []Command
}

// peer is the state of one other node.
type peer struct {
	vm      ids.VM
	zone    ids.Zone
	address string
	// listedAddress is the address in the platform's list, or empty if the peer is not
	// listed.
	listedAddress string
	listed        bool
	// delisted is true if an earlier list had the peer and the newest one does not.
	delisted     bool
	state        State
	boot         string
	earlierBoots []string
	seq          uint64
	draining     bool
	// lastHeard is when the last message of the peer arrived, or when the peer was
	// added.
	lastHeard time.Time
	// lastCall is when the peer last called this node with a digest.
	lastCall time.Time
	// missedCalls counts the calls without a reply since lastHeard.
	missedCalls int
}

// New returns a Members without peers.
func New(opts Options) *Members {
	opts = opts.withDefaults()
	return &Members{
		opts:  opts,
		rand:  rand.New(rand.NewPCG(opts.Seed, seedStream)),
		peers: make(map[ids.VM]*peer),
	}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x6d656d626572

// Peer describes one peer.
type Peer struct {
	VM       ids.VM
	Zone     ids.Zone
	Address  string
	State    State
	Listed   bool
	Draining bool
	// LastHeard is when the last message of the peer arrived, or when the peer was
	// added.
	LastHeard time.Time
}

// Peers returns all peers, in no particular order.
func (m *Members) Peers() []Peer {
	out := make([]Peer, 0, len(m.order))
	for _, vm := range m.order {
		out = append(out, m.peers[vm].snapshot())
	}
	return out
}

// Peer returns the peer with the given name, and false if it is unknown.
func (m *Members) Peer(vm ids.VM) (Peer, bool) {
	p, ok := m.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return p.snapshot(), true
}

// snapshot returns the exported description of the peer.
func (p *peer) snapshot() Peer {
	return Peer{
		VM:        p.vm,
		Zone:      p.zone,
		Address:   p.address,
		State:     p.state,
		Listed:    p.listed,
		Draining:  p.draining,
		LastHeard: p.lastHeard,
	}
}
