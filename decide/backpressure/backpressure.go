// Package backpressure tracks what upstreams ask of the nodes that send them requests,
// and decides for one node which upstreams may get a request now.
//
// An upstream may name a rate limit: the requests per second that it takes from all
// nodes together. The nodes tell each other when a limit begins and ends. While it lasts,
// one of them, the keeper, issues a permit for each request; all nodes choose the same
// keeper from the list of nodes, without asking. A node that does not reach the keeper
// takes an equal share of the limit and spaces its requests evenly.
//
// An upstream that refuses a request may ask the node that sent it for a rest: a time
// without any request.
//
// Tables and Issuers must be used by one goroutine at a time and read no clock.
package backpressure

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Table holds what each upstream asks for. Create it with New.
type Table struct {
	// seed determines when a node's share of a limit begins. It differs between nodes.
	seed uint64
	// nodes is the number of nodes that share a limit, 0 while it is unknown.
	nodes int
	// upstreams holds the state of each upstream that this node has sent to.
	upstreams map[ids.Instance]*upstreamState
	// restricted holds those of upstreams that limit the requests of this node.
	restricted map[ids.Instance]*upstreamState
}

// upstreamState is what one upstream asks for.
type upstreamState struct {
	// sends is the rate of this node's requests while the upstream is not restricted.
	// usualRate is that rate in requests per second at the start of the restriction.
	sends     meter
	usualRate float64
	limit     limitState
	rest      restState
	// goneAt is when the upstream left the directory, zero while it is listed.
	goneAt time.Time
}

// New returns a Table for a node that does not know the number of nodes yet. seed
// differs between nodes.
func New(seed uint64) *Table {
	return &Table{seed: seed, upstreams: make(map[ids.Instance]*upstreamState), restricted: make(map[ids.Instance]*upstreamState)}
}

// SetNodeCount sets the number of nodes that share the upstreams, 0 if it is unknown.
func (t *Table) SetNodeCount(nodes int) { t.nodes = nodes }

// stateOf returns the state of an upstream, created if missing.
func (t *Table) stateOf(id ids.Instance) *upstreamState {
	u := t.upstreams[id]
	if u == nil {
		u = &upstreamState{}
		t.upstreams[id] = u
	}
	return u
}

// restrict begins a restriction of an upstream, unless there is one already.
func (t *Table) restrict(now time.Time, id ids.Instance, u *upstreamState) {
	if t.restricted[id] == nil {
		t.restricted[id] = u
		u.usualRate = u.sends.perSecond(now)
	}
}

// release ends the restriction of an upstream that asks for nothing anymore.
func (t *Table) release(id ids.Instance, u *upstreamState) {
	if u.limit.perSecond == 0 && u.rest.until.IsZero() {
		delete(t.restricted, id)
	}
}

// Admission says whether a node may send a request to an upstream.
type Admission int

// Admissions.
const (
	// Admitted means that the request may be sent.
	Admitted Admission = iota
	// PermitNeeded means that the request may be sent with a permit.
	PermitNeeded
	// Held means that the request must not be sent.
	Held
)

// Admits reports whether this node may send a request to an upstream at now. urgent is
// true for a request whose caller has part of the response.
func (t *Table) Admits(now time.Time, id ids.Instance, urgent bool) Admission {
	u := t.restricted[id]
	if u == nil {
		return Admitted
	}
	if t.restAdmits(now, id, u) == Held {
		return Held
	}
	return t.limitAdmits(now, id, u, urgent)
}

// Sent records that this node sends a request to an upstream.
func (t *Table) Sent(now time.Time, id ids.Instance) {
	u := t.stateOf(id)
	if t.restricted[id] == nil {
		u.sends.add(now)
		return
	}
	u.limit.pacer.use()
	u.rest.pacer.use()
}

// HeldUpstreams returns the upstreams to which this node must not send a request at now.
func (t *Table) HeldUpstreams(now time.Time, urgent bool) []ids.Instance {
	var held []ids.Instance
	for id := range t.restricted {
		if t.Admits(now, id, urgent) == Held {
			held = append(held, id)
		}
	}
	return held
}

// forgetAfter is how long the state of an upstream is kept after it has left the
// directory. An upstream that is only missing from the directory for a while still
// asks for the same.
const forgetAfter = 10 * time.Minute

// Removed records that an upstream has left the directory.
func (t *Table) Removed(now time.Time, id ids.Instance) {
	if u := t.upstreams[id]; u != nil {
		u.goneAt = now
	}
	for other, u := range t.upstreams {
		if !u.goneAt.IsZero() && now.Sub(u.goneAt) > forgetAfter {
			delete(t.upstreams, other)
			delete(t.restricted, other)
		}
	}
}
