// Package health decides which upstreams and links get work, and with what weight. It
// implements passive health checks with circuit breakers: it rates upstreams, and the
// links between them, by the results of attempts, stalls, missing load reports, and the
// states that peers report.
//
// An upstream is ejected after consecutive failures, two stalls without progress in
// between, unanswered polls, or as an outlier of its service's success rate. A refused
// connection counts as two failures, because no process listens there. A single stall
// is blamed on the connection, unless the upstream's reports have stopped as well. An
// ejection lasts for EjectFor, and doubles each time up to ten times EjectFor. Then a
// single trial decides, and the upstream returns to full weight slowly. A service has a
// floor, the least share of its upstreams in use. An upstream whose ejection would
// break the floor stays in use with little weight.
//
// Peers' states alone never eject, because a peer behind a network partition sees
// healthy upstreams as dead; with a vote, the larger side of a partition would decide.
// A peer's ejection halves the weight until the upstream makes progress here, and
// lowers the number of failures that eject.
//
// A Tracker is used by one goroutine. It reads no clock, and keeps state for members
// only, within the bounds of Options. Events about other upstreams are ignored.
package health

import (
	"slices"
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
)

// Defaults of Options and of unset policy fields.
const (
	DefaultMaxPeers     = 64
	DefaultMaxLinks     = 16384
	DefaultRampFor      = 5 * time.Second
	DefaultFailures     = 3 // consecutive failures that eject
	DefaultEjectFor     = time.Second
	DefaultFloorPercent = 30 // least share of upstreams in use
)

const (
	// connectFailureWeight is how many failures a refused connection counts as, because
	// no process listens there.
	connectFailureWeight = 2
	// lostMergeWindow is the time within which lost connections count once, because one
	// network fault often breaks several.
	lostMergeWindow = 20 * time.Millisecond
	// stallsToEject is how many stalls, without progress in between, eject an upstream.
	stallsToEject = 2
	// reportTimeout is the silence after which an upstream's reports count as stopped.
	reportTimeout = 1500 * time.Millisecond
	// floorWeight is the factor on the weight of an upstream that only the floor keeps in
	// use.
	floorWeight = 0.1
	// peerEjectedWeight is the factor on the weight of an upstream that a peer ejects.
	peerEjectedWeight = 0.5
)

// State is the health state of an upstream.
type State int

const (
	// Unknown means that the upstream is not a member of any service.
	Unknown State = iota
	// Up means in use.
	Up
	// Ejected means that the upstream gets no work.
	Ejected
	// HalfOpen means that the upstream gets one trial, see TryTrial.
	HalfOpen
	// Returning means in use with a growing weight.
	Returning
	// Leaving means that the upstream gets no new work, and finishes its streams.
	Leaving
	// Resting means that the upstream gets no work for a while, as it has asked for.
	Resting
)

// stateNames is indexed by State.
var stateNames = [...]string{"unknown", "up", "ejected", "half_open", "returning", "leaving", "resting"}

// String implements fmt.Stringer.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// ParseState returns the State with a name, false if there is none.
func ParseState(name string) (State, bool) {
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// Options bounds a Tracker. Fields that are not positive take their defaults.
type Options struct {
	// MaxPeers bounds the peers whose states of one upstream are kept.
	MaxPeers int
	// MaxLinks bounds the tracked links. Further links have full weight.
	MaxLinks int
	// RampFor is how long a returning upstream takes to reach full weight.
	RampFor time.Duration
}

// Tracker rates the upstreams of all services.
type Tracker struct {
	opts     Options
	services map[ids.Service]*service
	members  map[ids.Upstream]*member
	links    map[linkKey]*link
}

// service is a group of interchangeable upstreams.
type service struct {
	policy     fleet.HealthPolicy
	members    []*member
	comparedAt time.Time
}

// member is the health of one upstream.
type member struct {
	id            ids.Upstream
	service       *service
	circuit       circuit
	rate          successRate
	stalls        int
	missedReports int
	heldByFloor   bool
	lastLost      time.Time
	lastReport    time.Time
	lastProgress  time.Time
	peerEjections map[ids.VM]time.Time
	epochs        epochs
	leaving       bool
	// restUntil is the end of the rest that the upstream asks for, zero if there is none.
	restUntil time.Time
}

// New returns a Tracker without members.
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

// State returns the upstream's state.
func (t *Tracker) State(now time.Time, id ids.Upstream) State {
	m, ok := t.members[id]
	switch {
	case !ok:
		return Unknown
	case m.leaving:
		return Leaving
	case m.resting(now):
		return Resting
	}
	m.circuit.weight(now, t.opts.RampFor) // a completed return becomes Up
	return m.circuit.refresh(now)
}

// Weight returns the share of work that the upstream should get, from 0 to 1. It is 0
// if the upstream is unknown, ejected, leaving, resting, or half-open with a running trial. To
// send to a half-open upstream, call TryTrial first.
func (t *Tracker) Weight(now time.Time, id ids.Upstream) float64 {
	m, ok := t.members[id]
	if !ok || m.leaving || m.resting(now) {
		return 0
	}
	w := m.circuit.weight(now, t.opts.RampFor) / float64(1+m.stalls+m.missedReports)
	if m.heldByFloor {
		w *= floorWeight
	}
	if m.countPeerEjections(now) > 0 {
		w *= peerEjectedWeight
	}
	return w
}

// TryTrial starts the trial of a half-open upstream, and reports whether the caller may
// send it. The next success, failure or stall decides the trial. A trial without a
// result after trialTimeout is given up, and another may start.
func (t *Tracker) TryTrial(now time.Time, id ids.Upstream) bool {
	m, ok := t.members[id]
	if !ok || m.leaving || m.resting(now) {
		return false
	}
	return m.circuit.tryTrial(now)
}
