package retry

import (
	"slices"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// MaxLenders is how many nodes are asked for one need.
	MaxLenders = 2
	// silentPause is how long a node that did not answer is not asked.
	silentPause = time.Second
	// emptyPause is how long a node that granted nothing is not asked for the same
	// service by claims that are no more urgent.
	emptyPause = 250 * time.Millisecond
	// needPause is how long a service does not borrow, for claims that are no more urgent,
	// after a need for which nobody granted anything. While all nodes are out of retries it
	// keeps a node's calls near 30 per second and service. With emptyPause alone they grow
	// with the number of nodes, to 127 per second with 62 nodes in the play of this package.
	needPause = 150 * time.Millisecond
)

// Lender is a node that may be asked for retries.
type Lender struct {
	Name ids.VM
	Zone ids.Zone
}

// lenderOfService identifies what a node lends of one service.
type lenderOfService struct {
	lender  ids.VM
	service ids.Service
}

// emptyLender is a lender that granted nothing for a claim.
type emptyLender struct {
	claim Claim
	until time.Time
}

// Lenders chooses the nodes that are asked for retries: first those of the own zone, then
// the others, each in rotation from a start that depends on the seed, so that nodes do not
// all ask the same one. It is not safe for concurrent use.
type Lenders struct {
	zone ids.Zone
	seed uint64
	near rotation
	far  rotation
	// silentUntil holds the nodes that did not answer, and empty those that granted
	// nothing.
	silentUntil map[ids.VM]time.Time
	empty       map[lenderOfService]emptyLender
	// pausedUntil holds the services for which nobody granted anything.
	pausedUntil map[ids.Service]emptyLender
}

// rotation is a list of nodes and the position of the next one to ask.
type rotation struct {
	nodes []ids.VM
	next  int
}

// NewLenders returns a choice among no nodes, for a node in the given zone.
func NewLenders(zone ids.Zone, seed uint64) *Lenders {
	l := &Lenders{zone: zone, seed: seed}
	l.Set(nil)
	return l
}

// Set replaces the nodes that may be asked, in any order. What is known of nodes is
// forgotten.
func (l *Lenders) Set(nodes []Lender) {
	l.silentUntil = make(map[ids.VM]time.Time)
	l.empty = make(map[lenderOfService]emptyLender)
	l.pausedUntil = make(map[ids.Service]emptyLender)
	var near, far []ids.VM
	for _, n := range nodes {
		if n.Zone == l.zone {
			near = append(near, n.Name)
		} else {
			far = append(far, n.Name)
		}
	}
	l.near, l.far = newRotation(near, l.seed), newRotation(far, l.seed)
}

// newRotation returns a rotation through nodes, sorted by name, from a start that depends
// on the seed.
func newRotation(nodes []ids.VM, seed uint64) rotation {
	slices.SortFunc(nodes, func(a, b ids.VM) int { return strings.Compare(string(a), string(b)) })
	r := rotation{nodes: nodes}
	if len(nodes) > 0 {
		r.next = int(seed % uint64(len(nodes)))
	}
	return r
}

// Next returns the node to ask next for retries of a service, or false if there is none.
func (l *Lenders) Next(now time.Time, service ids.Service, claim Claim) (ids.VM, bool) {
	if l.pausedUntil[service].covers(now, claim) {
		return "", false
	}
	mayAsk := func(name ids.VM) bool {
		return !now.Before(l.silentUntil[name]) && !l.empty[lenderOfService{name, service}].covers(now, claim)
	}
	if name, found := l.near.take(mayAsk); found {
		return name, true
	}
	return l.far.take(mayAsk)
}

// covers reports whether the lender's answer holds for a claim now: the claim is no more
// urgent than the one for which nothing was granted.
func (e emptyLender) covers(now time.Time, claim Claim) bool {
	return now.Before(e.until) && claim.Compare(e.claim) >= 0
}

// take returns the next node for which mayAsk returns true, and moves on to the one after
// it.
func (r *rotation) take(mayAsk func(ids.VM) bool) (ids.VM, bool) {
	for i := range r.nodes {
		at := (r.next + i) % len(r.nodes)
		if mayAsk(r.nodes[at]) {
			r.next = (at + 1) % len(r.nodes)
			return r.nodes[at], true
		}
	}
	return "", false
}

// Silent records that a node did not answer.
func (l *Lenders) Silent(now time.Time, lender ids.VM) {
	l.silentUntil[lender] = now.Add(silentPause)
}

// Empty records that a node granted nothing.
func (l *Lenders) Empty(now time.Time, service ids.Service, claim Claim, lender ids.VM) {
	l.empty[lenderOfService{lender, service}] = emptyLender{claim: claim, until: now.Add(emptyPause)}
}

// Unmet records that no node granted anything for a need.
func (l *Lenders) Unmet(now time.Time, service ids.Service, claim Claim) {
	l.pausedUntil[service] = emptyLender{claim: claim, until: now.Add(needPause)}
}
