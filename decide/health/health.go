// Package health judges upstreams and the links between them by what is seen
// in passing: attempts, stalls, reports, and the views of peers.
//
// An upstream is ejected after failures in a row, two stalls without progress
// in between, unanswered polls, or as an outlier of its service's success
// rate. A refused connection counts double: nothing listens there. A single
// stall blames its connection, unless the upstream's reports have stopped as
// well. Ejection ends after EjectFor, doubling up to ten times; one trial then
// decides, and the upstream returns to full weight slowly. A service's floor
// is never undercut: an upstream that would be ejected below it stays in use
// with little weight.
//
// The word of peers never ejects, since a peer behind a cut sees healthy
// upstreams as dead. It halves the weight until the upstream has proved itself
// here, and lets fewer failures of our own suffice; weighed against a vote of
// peers, which a cut wins with the larger side.
//
// A Tracker is used by one goroutine. It reads no clock, and keeps state only
// for members, within Options. Events about others are ignored.
package health

import (
	"slices"
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

// Defaults of Options and of unset policies.
const (
	DefaultMaxPeers     = 64
	DefaultMaxLinks     = 16384
	DefaultRampFor      = 5 * time.Second
	DefaultFailures     = 3
	DefaultEjectFor     = time.Second
	DefaultFloorPercent = 30
)

const (
	// connectWeight is how many failures a refused connection counts as.
	connectWeight = 2
	// lostMerge is the time within which lost connections count once: a
	// cause on the way often takes several at a time.
	lostMerge = 20 * time.Millisecond
	// stallsToEject without progress in between.
	stallsToEject = 2
	// reportGrace is the silence after which reports count as stopped.
	reportGrace = 1500 * time.Millisecond
	// floorWeight is the weight of an upstream kept in use by the floor alone.
	floorWeight = 0.1
	// hintWeight is the weight of an upstream that a peer ejected.
	hintWeight = 0.5
)

// State is how an upstream is used.
type State int

const (
	// Unknown: not a member of any service.
	Unknown State = iota
	// Up: in use.
	Up
	// Ejected: gets nothing.
	Ejected
	// HalfOpen: gets one trial, see TryTrial.
	HalfOpen
	// Returning: in use, with a weight that grows.
	Returning
	// Leaving: gets nothing new, and its streams end in peace.
	Leaving
)

// stateNames are indexed by State.
var stateNames = [...]string{"unknown", "up", "ejected", "half_open", "returning", "leaving"}

// String implements fmt.Stringer.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// ParseState gives the State of a name; false when there is none.
func ParseState(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// Options bound a Tracker. Zero or negative fields take their defaults.
type Options struct {
	// MaxPeers is the most peers whose views of one upstream are kept.
	MaxPeers int
	// MaxLinks is the most links tracked; further ones have full weight.
	MaxLinks int
	// RampFor is the time a returned upstream takes to full weight.
	RampFor time.Duration
}

// Tracker judges the upstreams of all services.
type Tracker struct {
	opts     Options
	services map[ids.Service]*service
	members  map[ids.Upstream]*member
	links    map[linkKey]*link
}

// service is a group of upstreams that serve the same.
type service struct {
	policy   fleet.HealthPolicy
	members  []*member
	lookedAt time.Time
}

// member is one upstream.
type member struct {
	id       ids.Upstream
	service  *service
	circuit  circuit
	rate     successRate
	stalls   int
	misses   int
	held     bool
	lost     time.Time
	reported time.Time
	proved   time.Time
	hints    map[ids.VM]time.Time
	epochs   epochs
	leaving  bool
}

// New makes a Tracker without members.
func New(opts Options) *Tracker {
	opts.MaxPeers = defaults.Positive(opts.MaxPeers, DefaultMaxPeers)
	opts.MaxLinks = defaults.Positive(opts.MaxLinks, DefaultMaxLinks)
	opts.RampFor = defaults.Positive(opts.RampFor, DefaultRampFor)
	return &Tracker{
		opts:     opts,
		services: make(map[ids.Service]*service),
		members:  make(map[ids.Upstream]*member),
		links:    make(map[linkKey]*link),
	}
}

// State gives the upstream's state.
func (t *Tracker) State(now time.Time, id ids.Upstream) State {
	m, ok := t.members[id]
	switch {
	case !ok:
		return Unknown
	case m.leaving:
		return Leaving
	}
	m.circuit.weight(now, t.opts.RampFor) // ends a return that is due
	return m.circuit.refresh(now)
}

// Weight gives the share of work the upstream should get, 0 to 1. It is 0 for
// one that is unknown, ejected or leaving, and for a half-open one whose trial
// is taken. What is sent to a half-open one must take the trial by TryTrial.
func (t *Tracker) Weight(now time.Time, id ids.Upstream) float64 {
	m, ok := t.members[id]
	if !ok || m.leaving {
		return 0
	}
	w := m.circuit.weight(now, t.opts.RampFor) / float64(1+m.stalls+m.misses)
	if m.held {
		w *= floorWeight
	}
	if m.hinted(now) > 0 {
		w *= hintWeight
	}
	return w
}

// TryTrial takes the one trial of a half-open upstream, and reports whether
// the caller may send it. The next Success, failure or stall settles it; one
// unsettled for trialFor is given up, and another may be taken.
func (t *Tracker) TryTrial(now time.Time, id ids.Upstream) bool {
	m, ok := t.members[id]
	if !ok || m.leaving {
		return false
	}
	return m.circuit.tryTrial(now)
}
