package upconn

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"mimosaarch.example/core/ids"
)

// Limits and timeouts of connections.
const (
	// readBufferBytes holds the headers of a response.
	readBufferBytes = 4 << 10
	// maxIdlePerTarget limits the idle connections kept for one target.
	maxIdlePerTarget = 64
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// announces no timeout. Of an announced timeout only idleTimeoutFraction is
	// used, so that the upstream does not close the connection just as it is
	// reused.
	defaultIdleTimeout  = 4 * time.Second
	idleTimeoutFraction = 0.7
)

// Pool keeps idle connections by target. Its methods may be called from any
// goroutine.
type Pool struct {
	now  func() time.Time
	dial DialFunc
	// opened is called for each new connection; may be nil.
	opened func(Target)
	// maxOpen bounds the connections with which Get opens another one, 0 for no bound. open is the
	// number of connections of the pool that are not closed, idle or in use.
	maxOpen int64
	open    atomic.Int64

	mu          sync.Mutex
	idle        map[Target][]*Conn
	lastSweepAt time.Time
}

// NewPool returns an empty pool. now is its clock, and dial opens its connections. opened
// is called for each new connection and may be nil.
func NewPool(now func() time.Time, dial DialFunc, opened func(Target)) *Pool {
	return &Pool{now: now, dial: dial, opened: opened, idle: make(map[Target][]*Conn)}
}

// LimitOpen bounds the connections that Get opens. It must be called before the pool is used.
func (p *Pool) LimitOpen(n int) { p.maxOpen = int64(n) }

// LimitError is returned if no connection may be opened, since too many are in use. Nothing was
// sent, and it says nothing about the upstream.
type LimitError struct{ Limit int64 }

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("all %d connections to upstreams are in use", e.Limit)
}

// Get returns a connection for one exchange: a usable idle one or a new one, for which it closes
// the one that has been idle longest if there are too many. The error is a *DialError or a
// *LimitError.
func (p *Pool) Get(ctx context.Context, t Target) (*Conn, error) {
	if c := p.GetIdle(t); c != nil {
		return c, nil
	}
	if p.maxOpen > 0 && p.open.Load() >= p.maxOpen && !p.closeLongestIdle() {
		return nil, &LimitError{Limit: p.maxOpen}
	}
	return p.Dial(ctx, t)
}

// closeLongestIdle closes the connection that has been idle longest, and reports whether there is
// one.
func (p *Pool) closeLongestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var from Target
	var longest *Conn
	for t, list := range p.idle {
		// The least recently used come first.
		if len(list) > 0 && (longest == nil || list[0].lastUsedAt.Before(longest.lastUsedAt)) {
			from, longest = t, list[0]
		}
	}
	if longest == nil {
		return false
	}
	p.idle[from] = p.idle[from][1:]
	longest.Close()
	return true
}

// GetIdle returns the most recently used idle connection that is still usable, or
// nil if there is none. It closes those that are not.
func (p *Pool) GetIdle(t Target) *Conn {
	for {
		c := p.take(t)
		if c == nil {
			return nil
		}
		if p.now().Sub(c.lastUsedAt) < c.idleTimeout && !c.isStale() && c.IsQuiet() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// take removes and returns the idle connection that was used last.
func (p *Pool) take(t Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

// Dial opens a new connection. The error is a *DialError.
func (p *Pool) Dial(ctx context.Context, t Target) (*Conn, error) {
	conn, err := p.dial(ctx, t)
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close() // nothing was sent on it
		return nil, &DialError{Target: t, Cause: err}
	}
	if p.opened != nil {
		p.opened(t)
	}
	p.open.Add(1)
	c := &Conn{conn: conn, raw: raw, target: t, now: p.now, idleTimeout: defaultIdleTimeout, onClose: func() { p.open.Add(-1) }}
	c.r = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Put returns a connection to the pool after a complete response, or closes it if it
// carries a single exchange. idle is how long
// the upstream announced to keep it open; 0 if it announced nothing.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	if _, single := c.conn.(SingleExchange); single {
		c.Close()
		return
	}
	c.lastUsedAt = p.now()
	if idle > 0 {
		c.idleTimeout = time.Duration(float64(idle) * idleTimeoutFraction)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.target]
	if len(list) >= maxIdlePerTarget {
		c.Close()
		return
	}
	p.idle[c.target] = append(list, c)
	p.sweep(c.lastUsedAt)
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = time.Second

// sweep closes connections that have been idle for too long, so that those of
// removed upstreams do not accumulate.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweepAt) < sweepInterval {
		return
	}
	p.lastSweepAt = now
	for t, list := range p.idle {
		// The least recently used come first.
		for len(list) > 0 && now.Sub(list[0].lastUsedAt) >= list[0].idleTimeout {
			list[0].Close()
			list = list[1:]
		}
		p.idle[t] = list
		if len(list) == 0 {
			delete(p.idle, t)
		}
	}
}

// CloseIdle closes the idle connections of an upstream instance.
func (p *Pool) CloseIdle(id ids.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, list := range p.idle {
		if t.ID != id {
			continue
		}
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, t)
	}
}
