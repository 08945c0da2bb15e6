// Package member keeps a node's view of the other nodes: whom to send digests
// to, who is heard from, and which upstreams this node asks for their load.
//
// Inside its zone a node sends to all others, to at most Fanout of them in a
// round, in rotation. To each other zone it holds at most CrossLinks links,
// chosen by rendezvous hash, so that zones stay joined when nodes go. A reply
// carries a digest too: of two nodes that would call each other only the one
// whose name comes first does. The work of a round thus has a bound that does
// not grow with the fleet.
//
// The view is a hint. Where it is wrong, two nodes may do the same work or
// news may come late; no promise of the fleet rests on it.
//
// The package is pure. A Members is not safe for concurrent use: one
// goroutine owns it. The same events and seed give the same commands.
package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
)

// Options set up a Members. VM, Zone, Address and Boot are required; zero
// values of the rest stand for the defaults.
type Options struct {
	// VM, Zone and Boot are the node's own.
	VM   ids.VM
	Zone ids.Zone
	Boot string
	// Address is where the node takes calls of its peers.
	Address string
	// Seed starts the random source that shuffles the rotation.
	Seed uint64
	// Interval is the time between two calls of Tick. Default 250ms.
	Interval time.Duration
	// Fanout is the most peers of the own zone sent to in a round. Default 5.
	Fanout int
	// CrossZoneFanout is the most peers of all other zones together sent to in a
	// round. Default 3.
	CrossZoneFanout int
	// LinksPerZone is the most peers of one other zone sent to. Default 3, so
	// that each two nodes of zones of three hear each other.
	LinksPerZone int
	// MaxCrossZoneLinks bounds the links to all other zones together where there
	// are many of them: each gets an even part, but at least one. Default 15.
	MaxCrossZoneLinks int
	// SuspectAfter and GoneAfter are how many of its turns a peer may stay
	// silent. Default 4 and 20.
	SuspectAfter, GoneAfter int
	// ForgetAfter is how long a silent peer that is on no list is kept.
	// Default 10m.
	ForgetAfter time.Duration
	// MaxPeers bounds the peers kept. Default 1024.
	MaxPeers int
	// MaxSeeds bounds the seeds kept. Default 64.
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

// missesToSuspect is how many calls in a row may go without a reply.
const missesToSuspect = 2

// keptBoots is how many earlier boots of a VM are remembered.
const keptBoots = 4

// withDefaults fills in unset options.
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

// State is what is believed of a peer.
type State int

// States of a peer.
const (
	// Candidate: known by name, or answering, but not heard from in turn.
	Candidate State = iota
	// Alive: heard from in turn.
	Alive
	// Suspect: silent for some turns, or without reply to two calls.
	Suspect
	// Gone: silent for long.
	Gone
)

// stateNames are indexed by State.
var stateNames = [...]string{"candidate", "alive", "suspect", "gone"}

// String implements fmt.Stringer.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Members is the view. Make it with New.
type Members struct {
	opts  Options
	rand  *rand.Rand
	peers map[ids.VM]*peer
	// order are the peers' names in the order of rotation.
	order []ids.VM
	seeds []string
	// listed is the revision of the newest list of VMs; 0 means none.
	listed int64
	// inZone, across, silent and seeding are the places of the rotations.
	inZone, across, silent, seeding int
	rounds                          int
	out                             []Command
}

// peer is one other node.
type peer struct {
	vm      ids.VM
	zone    ids.Zone
	address string
	// listedAddress is the list's; empty when the peer is not listed.
	listedAddress string
	listed        bool
	// delisted is true when a newer list no longer has it.
	delisted bool
	state    State
	boot     string
	boots    []string
	seq      uint64
	draining bool
	// heard is when it was last heard from, or became known.
	heard time.Time
	// called is when it last called this node with a digest.
	called time.Time
	// misses counts calls without reply since it was heard.
	misses int
}

// New makes a view without peers.
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

// Peer is what is known of one peer.
type Peer struct {
	VM       ids.VM
	Zone     ids.Zone
	Address  string
	State    State
	Listed   bool
	Draining bool
	// LastHeard is when it was last heard from, or became known.
	LastHeard time.Time
}

// Peers lists all peers, in no order that matters.
func (m *Members) Peers() []Peer {
	out := make([]Peer, 0, len(m.order))
	for _, vm := range m.order {
		out = append(out, m.peers[vm].show())
	}
	return out
}

// Peer gives what is known of a VM; false when it is no known peer.
func (m *Members) Peer(vm ids.VM) (Peer, bool) {
	p, ok := m.peers[vm]
	if !ok {
		return Peer{}, false
	}
	return p.show(), true
}

// show copies what others may see.
func (p *peer) show() Peer {
	return Peer{
		VM:        p.vm,
		Zone:      p.zone,
		Address:   p.address,
		State:     p.state,
		Listed:    p.listed,
		Draining:  p.draining,
		LastHeard: p.heard,
	}
}
