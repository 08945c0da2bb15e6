// Package backpressure tracks what upstreams ask of the nodes that send them requests,
// and decides for one node which upstreams may get a request now.
//
// An upstream may name a rate limit: the requests per second that it takes from all
// nodes together. The nodes tell each other when a limit begins and ends, but do not
// coordinate their sends. Each takes an equal share of the limit and spaces its requests
// evenly, starting at a random moment. A share that is not used is lost after
// permitLifetime, so that many nodes that have been idle do not send at the same time.
// This bounds the sum over all nodes, at the price that a limit is used only in part while
// few of many nodes have requests.
//
// A Table must be used by one goroutine at a time and reads no clock.
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
	// limit is the named limit in requests per second from all nodes, 0 for none. It was
	// last named at namedAt.
	limit   float64
	namedAt time.Time
	// endedAt is when the limit ended. The rate then rises gradually.
	endedAt time.Time
	pacer   pacer
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

// Admits reports whether this node may send a request to an upstream at now.
func (t *Table) Admits(now time.Time, id ids.Instance) bool {
	u := t.restricted[id]
	if u == nil {
		return true
	}
	t.advance(now, id, u)
	return t.restricted[id] == nil || u.pacer.permits > 0
}

// Sent records that this node sends a request to an upstream.
func (t *Table) Sent(now time.Time, id ids.Instance) {
	u := t.stateOf(id)
	if t.restricted[id] == nil {
		u.sends.add(now)
		return
	}
	t.advance(now, id, u)
	u.pacer.use()
}

// Refusing returns the upstreams that must get no request of this node at now.
func (t *Table) Refusing(now time.Time) []ids.Instance {
	var refusing []ids.Instance
	for id := range t.restricted {
		if !t.Admits(now, id) {
			refusing = append(refusing, id)
		}
	}
	return refusing
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
