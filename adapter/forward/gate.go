package forward

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

// gate applies the decisions of package intake to callers' connections. Its methods are safe for
// concurrent use.
type gate struct {
	now     func() time.Time
	metrics Metrics

	mu sync.Mutex
	// changed is signalled when a connection is revoked or gives back what it holds.
	changed *sync.Cond
	table   *intake.Table
	conns   map[*intake.Conn]*callerConn
}

// newGate returns a gate without connections.
func newGate(o *Options) *gate {
	g := &gate{now: o.Now, metrics: o.Metrics, table: intake.New(o.Intake), conns: make(map[*intake.Conn]*callerConn)}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// open admits a new connection, if need be in place of others. It reports whether it did.
func (g *gate) open(c *callerConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		hold, v := g.table.Open(g.now())
		g.revoke(v.Revoke)
		switch {
		case v.Granted:
			c.hold = hold
			g.conns[hold] = c
			return true
		case !v.Wait:
			return false
		}
		g.changed.Wait()
	}
}

// close removes a connection.
func (g *gate) close(c *callerConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(c.hold)
	delete(g.conns, c.hold)
	g.changed.Broadcast()
}

// enter changes the state of a connection. It reports whether the connection is still wanted.
func (g *gate) enter(c *callerConn, s intake.State) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Enter(c.hold, s, g.now())
	return c.hold.Revoked() == ""
}

// reserve waits until a connection may hold n more bytes. The error is a *ShedError.
func (g *gate) reserve(c *callerConn, n int64) error {
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

// keepOnly gives back what a connection holds beyond n bytes.
func (g *gate) keepOnly(c *callerConn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if surplus := c.hold.Held() - n; surplus > 0 {
		g.table.Release(c.hold, surplus)
		g.changed.Broadcast()
	}
}

// release gives back n bytes of a connection.
func (g *gate) release(c *callerConn, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Release(c.hold, n)
	g.changed.Broadcast()
}

// progress records that n bytes have come from a caller or were delivered to it.
func (g *gate) progress(c *callerConn, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Progress(c.hold, n, g.now())
}

// revoked returns a *ShedError if a connection is revoked.
func (g *gate) revoked(c *callerConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := c.hold.Revoked(); reason != "" {
		return &ShedError{Reason: reason}
	}
	return nil
}

// revoke tells connections that they are revoked.
func (g *gate) revoke(holds []*intake.Conn) {
	for _, hold := range holds {
		g.metrics.Add("intake.revoked."+string(hold.Revoked()), 1)
		g.conns[hold].interrupt()
	}
	if len(holds) > 0 {
		g.changed.Broadcast()
	}
}

// held returns the number of bytes held and of connections.
func (g *gate) held() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Held(), g.table.Connections()
}
