// Package gate applies the decisions of package intake to callers' connections: it counts what
// each of them holds, lets those wait that ask for more than there is, and interrupts those that
// have to give way.
package gate

import (
	"fmt"
	"sync"
	"time"

	"mimosaarch.example/decide/intake"
)

// ShedError reports that a request is not read, or its response not taken, because the node has
// no memory or no connection left for it.
type ShedError struct{ Reason intake.Reason }

// Error implements error.
func (e *ShedError) Error() string { return fmt.Sprintf("the node sheds load: %s", e.Reason) }

// Metrics counts events by name. It must be safe for concurrent use.
type Metrics interface{ Add(name string, n int64) }

// Gate is the account of a server's connections. Create it with New. Its methods and those of Conn
// are safe for concurrent use.
type Gate struct {
	now     func() time.Time
	metrics Metrics

	mu sync.Mutex
	// changed is signalled when a connection is revoked or gives back what it holds.
	changed *sync.Cond
	table   *intake.Table
	conns   map[*intake.Conn]*Conn
}

// Conn is what a Gate knows of one connection.
type Conn struct {
	gate      *Gate
	hold      *intake.Conn
	interrupt func()
}

// New returns a Gate without connections. now returns the current time.
func New(limits intake.Limits, now func() time.Time, metrics Metrics) *Gate {
	g := &Gate{now: now, metrics: metrics, table: intake.New(limits), conns: make(map[*intake.Conn]*Conn)}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// Open admits a new connection, if need be in place of others. interrupt is called once if the
// connection is revoked; it must end reads and writes in progress and must not block. Open returns
// nil if there is no room.
func (g *Gate) Open(interrupt func()) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		hold, v := g.table.Open(g.now())
		g.revoke(v.Revoke)
		switch {
		case v.Granted:
			c := &Conn{gate: g, hold: hold, interrupt: interrupt}
			g.conns[hold] = c
			return c
		case !v.Wait:
			return nil
		}
		g.changed.Wait()
	}
}

// Held returns the number of bytes held and of connections.
func (g *Gate) Held() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Held(), g.table.Connections()
}

// revoke tells connections that they are revoked.
func (g *Gate) revoke(holds []*intake.Conn) {
	for _, hold := range holds {
		g.metrics.Add("intake.revoked."+string(hold.Revoked()), 1)
		g.conns[hold].interrupt()
	}
	if len(holds) > 0 {
		g.changed.Broadcast()
	}
}

// Close removes the connection and gives back all that it holds.
func (c *Conn) Close() {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(c.hold)
	delete(g.conns, c.hold)
	g.changed.Broadcast()
}

// Enter changes the state of the connection. It reports whether the connection is still wanted.
func (c *Conn) Enter(s intake.State) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Enter(c.hold, s, g.now())
	return c.hold.Revoked() == ""
}

// Reserve waits until the connection may hold n more bytes. The error is a *ShedError.
func (c *Conn) Reserve(n int64) error {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		v := g.table.Reserve(c.hold, n, g.now())
		g.revoke(v.Revoke)
		switch {
		case v.Granted:
			return nil
		case !v.Wait:
			reason := c.hold.Revoked()
			if reason == "" {
				reason = intake.Memory
				g.metrics.Add("intake.refused."+string(reason), 1)
			}
			return &ShedError{Reason: reason}
		}
		g.changed.Wait()
	}
}

// ReserveSpare lets the connection hold n more bytes if much of the memory stays free. It reports
// whether it does.
func (c *Conn) ReserveSpare(n int64) bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.ReserveSpare(c.hold, n)
}

// KeepOnly gives back what the connection holds beyond n bytes.
func (c *Conn) KeepOnly(n int64) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if surplus := c.hold.Held() - n; surplus > 0 {
		g.table.Release(c.hold, surplus)
		g.changed.Broadcast()
	}
}

// Release gives back n bytes.
func (c *Conn) Release(n int64) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Release(c.hold, n)
	g.changed.Broadcast()
}

// Progress records that n bytes have come from the caller or were delivered to it.
func (c *Conn) Progress(n int) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Progress(c.hold, n, g.now())
}

// Held returns the number of bytes that the connection holds.
func (c *Conn) Held() int64 {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.hold.Held()
}

// Revoked returns a *ShedError if the connection is revoked.
func (c *Conn) Revoked() error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if reason := c.hold.Revoked(); reason != "" {
		return &ShedError{Reason: reason}
	}
	return nil
}
