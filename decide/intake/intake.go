// Package intake decides which callers' connections a node keeps while they take up its memory
// or its descriptors.
//
// A Table counts what each connection holds: bytes of requests that are being read or served, and
// of responses that are not delivered yet. The bytes and the number of connections are limited.
// When a limit is reached, the connections that have made no progress for longest are revoked.
// Those that serve a request are not: it may have run. If all make progress, the newest one of
// those whose body is being read gives way, so that the requests that came first are completed.
//
// A part of the bytes is reserved for connections that hold little. Many large bodies therefore
// never keep out small ones.
//
// A Table must be used by one goroutine at a time and reads no clock.
package intake

import (
	"container/list"
	"time"
)

const (
	// SmallBytes is the most that a connection holds that may use the reserved part: a head of
	// usual size in all its copies and a body of some KB.
	SmallBytes = 128 << 10
	// reservedFraction is the part of the bytes that only small connections use.
	reservedFraction = 0.25
	// progressBytes is the number of bytes whose arrival or delivery counts as progress.
	progressBytes = 16 << 10
	// spareFraction is the part of the bytes that stays free beside those granted as spare ones.
	spareFraction = 0.5
	// stalledAfter is the time without progress from which on a connection counts as stalled.
	stalledAfter = time.Second
)

// State is what a connection does.
type State int

// States of a connection.
const (
	// Waiting means that no complete head of a request has arrived.
	Waiting State = iota
	// Reading means that the body of a request is being read.
	Reading
	// Serving means that a request is being served. The connection is not revoked.
	Serving
	// Delivering means that a response is being written.
	Delivering
)

// Reason says why a connection was revoked or refused.
type Reason string

// Reasons.
const (
	// Memory means that too many bytes are held.
	Memory Reason = "memory"
	// Connections means that there are too many connections.
	Connections Reason = "connections"
)

// Limits bound what the connections hold together.
type Limits struct {
	// Bytes is the most bytes held, Connections the most connections, 0 for no limit.
	Bytes       int64
	Connections int
}

// Verdict is the result of a request for bytes or for a connection.
type Verdict struct {
	// Granted reports that the request is granted. If it is not and Wait is true, it has to be
	// repeated once one of the revoked connections has given back what it holds. Otherwise it is
	// refused.
	Granted, Wait bool
	// Revoke holds the connections that have to be told now that they are revoked.
	Revoke []*Conn
}

// Conn is what a Table knows about one connection.
type Conn struct {
	state State
	// held is the number of bytes held.
	held int64
	// since is when the connection last made progress, and progress the number of bytes that have
	// arrived or were delivered since then.
	since    time.Time
	progress int64
	// revoked is set once the connection is revoked, empty before.
	revoked Reason
	// byProgress and byAge are the places of the connection in the lists of its class, nil if it is
	// not in them.
	byProgress, byAge *list.Element
	lists             *class
	// large reports whether held exceeds SmallBytes.
	large bool
}

// Held returns the number of bytes that the connection holds.
func (c *Conn) Held() int64 { return c.held }

// Revoked returns why the connection is revoked, empty if it is not.
func (c *Conn) Revoked() Reason { return c.revoked }

// class holds connections that can be revoked.
type class struct {
	// byProgress begins with the connection that has made no progress for longest. byAge has only
	// those that read a body, and begins with the one that entered the class first.
	byProgress, byAge *list.List
}

// newClass returns an empty class.
func newClass() *class { return &class{byProgress: list.New(), byAge: list.New()} }

// oldest returns the connection without progress for longest, nil if there is none.
func (c *class) oldest() *Conn { return connOf(c.byProgress.Front()) }

// newest returns the connection that reads a body and entered the class last, nil if there is none.
func (c *class) newest() *Conn { return connOf(c.byAge.Back()) }

// connOf returns the connection of a list element, nil for nil.
func connOf(e *list.Element) *Conn {
	if e == nil {
		return nil
	}
	return e.Value.(*Conn)
}

// Table decides on connections. Create it with New.
type Table struct {
	limits Limits
	// conns is the number of connections, and givingWay that of those among them that were revoked
	// for new ones.
	conns, givingWay int
	// held is the sum of all bytes held, heldByLarge that of large connections.
	held, heldByLarge int64
	// leaving and leavingOfLarge are the parts of these that revoked connections hold.
	leaving, leavingOfLarge int64
	// waiting are connections without a request, small and large those that read a body or
	// deliver a response.
	waiting, small, large *class
}

// New returns an empty Table.
func New(l Limits) *Table {
	return &Table{limits: l, waiting: newClass(), small: newClass(), large: newClass()}
}

// Held returns the number of bytes held by all connections.
func (t *Table) Held() int64 { return t.held }

// Connections returns the number of connections.
func (t *Table) Connections() int { return t.conns }

// Open asks for a connection. If it is granted, the connection begins in state Waiting.
func (t *Table) Open(now time.Time) (*Conn, Verdict) {
	if t.limits.Connections > 0 && t.conns >= t.limits.Connections {
		return nil, t.revokeForConnection(now)
	}
	t.conns++
	c := &Conn{since: now}
	t.list(c)
	return c, Verdict{Granted: true}
}

// revokeForConnection makes room for one more connection.
func (t *Table) revokeForConnection(now time.Time) Verdict {
	if t.conns-t.givingWay < t.limits.Connections {
		return Verdict{Wait: true}
	}
	victim := t.waiting.oldest()
	for _, c := range []*class{t.small, t.large} {
		if stalled := c.oldest(); isStalled(stalled, now) && (victim == nil || stalled.since.Before(victim.since)) {
			victim = stalled
		}
	}
	if victim == nil {
		return Verdict{}
	}
	t.revoke(victim, Connections)
	return Verdict{Wait: true, Revoke: []*Conn{victim}}
}

// Close removes a connection and all that it holds.
func (t *Table) Close(c *Conn) {
	t.Release(c, c.held)
	t.unlist(c)
	t.conns--
	if c.revoked == Connections {
		t.givingWay--
	}
}

// Enter changes the state of a connection. Entering a state counts as progress.
func (t *Table) Enter(c *Conn, s State, now time.Time) {
	t.unlist(c)
	c.state, c.since, c.progress = s, now, 0
	if c.revoked == "" {
		t.list(c)
	}
}

// Progress records that n bytes have arrived or were delivered.
func (t *Table) Progress(c *Conn, n int, now time.Time) {
	if c.progress += int64(n); c.progress < progressBytes {
		return
	}
	c.progress, c.since = 0, now
	if c.byProgress != nil {
		c.lists.byProgress.MoveToBack(c.byProgress)
	}
}

// Reserve asks for n more bytes for a connection.
func (t *Table) Reserve(c *Conn, n int64, now time.Time) Verdict {
	if c.revoked != "" {
		return Verdict{}
	}
	if t.fits(c, n, 0, 0) {
		t.add(c, n)
		return Verdict{Granted: true}
	}
	var revoked []*Conn
	for !t.fits(c, n, t.leaving, t.leavingOfLarge) {
		victim := t.victim(c, n, now)
		if victim == nil || victim == c {
			return Verdict{Revoke: revoked}
		}
		t.revoke(victim, Memory)
		revoked = append(revoked, victim)
	}
	return Verdict{Wait: true, Revoke: revoked}
}

// ReserveSpare asks for n more bytes that a connection can do without. They are granted only if
// much of the memory stays free, and nothing is revoked for them.
func (t *Table) ReserveSpare(c *Conn, n int64) bool {
	if c.revoked != "" {
		return false
	}
	if t.limits.Bytes > 0 && t.held+n > int64(float64(t.limits.Bytes)*(1-spareFraction)) {
		return false
	}
	t.add(c, n)
	return true
}

// fits reports whether a connection may hold n more bytes once some are given back, of which
// large connections hold freedOfLarge.
func (t *Table) fits(c *Conn, n, freed, freedOfLarge int64) bool {
	if t.limits.Bytes <= 0 {
		return true
	}
	if t.held-freed+n > t.limits.Bytes {
		return false
	}
	return !t.exceedsLarge(c, n, freedOfLarge)
}

// exceedsLarge reports whether a connection that would be large exceeds what large ones may hold.
func (t *Table) exceedsLarge(c *Conn, n, freed int64) bool {
	if c.held+n <= SmallBytes {
		return false
	}
	if !c.large {
		n += c.held
	}
	return t.heldByLarge-freed+n > int64(float64(t.limits.Bytes)*(1-reservedFraction))
}

// victim returns the connection that has to give way for n more bytes of a connection, nil if
// there is none. It may be the connection itself.
func (t *Table) victim(c *Conn, n int64, now time.Time) *Conn {
	oldest := t.large.oldest()
	if !t.exceedsLarge(c, n, t.leavingOfLarge) {
		if small := t.small.oldest(); oldest == nil || small != nil && small.since.Before(oldest.since) {
			oldest = small
		}
	}
	if isStalled(oldest, now) {
		return oldest
	}
	if c.held+n <= SmallBytes {
		if newest := t.large.newest(); newest != nil {
			return newest
		}
		return t.small.newest()
	}
	return t.large.newest()
}

// isStalled reports whether a connection has made no progress for stalledAfter.
func isStalled(c *Conn, now time.Time) bool {
	return c != nil && now.Sub(c.since) >= stalledAfter
}

// Release gives back n bytes of a connection.
func (t *Table) Release(c *Conn, n int64) { t.add(c, -n) }

// add changes the number of bytes that a connection holds.
func (t *Table) add(c *Conn, n int64) {
	t.account(c, -1)
	c.held += n
	becomesLarge := c.held > SmallBytes
	moves := becomesLarge != c.large && c.byProgress != nil
	c.large = becomesLarge
	t.account(c, 1)
	if moves {
		t.unlist(c)
		t.list(c)
	}
}

// account adds or subtracts what a connection holds.
func (t *Table) account(c *Conn, sign int64) {
	held := sign * c.held
	t.held += held
	if c.large {
		t.heldByLarge += held
	}
	if c.revoked == "" {
		return
	}
	t.leaving += held
	if c.large {
		t.leavingOfLarge += held
	}
}

// revoke revokes a connection.
func (t *Table) revoke(c *Conn, why Reason) {
	t.unlist(c)
	t.account(c, -1)
	c.revoked = why
	t.account(c, 1)
	if why == Connections {
		t.givingWay++
	}
}

// list adds a connection to the lists of its class if it can be revoked.
func (t *Table) list(c *Conn) {
	switch {
	case c.state == Serving:
		return
	case c.state == Waiting:
		c.lists = t.waiting
	case c.large:
		c.lists = t.large
	default:
		c.lists = t.small
	}
	c.byProgress = c.lists.byProgress.PushBack(c)
	if c.state == Reading {
		c.byAge = c.lists.byAge.PushBack(c)
	}
}

// unlist removes a connection from the lists of its class.
func (t *Table) unlist(c *Conn) {
	if c.byProgress == nil {
		return
	}
	c.lists.byProgress.Remove(c.byProgress)
	if c.byAge != nil {
		c.lists.byAge.Remove(c.byAge)
	}
	c.lists, c.byProgress, c.byAge = nil, nil, nil
}
