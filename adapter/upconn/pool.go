package upconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mimosaarch.example/core/ids"
)

// Bounds of connections.
const (
	// connectTimeout is the longest wait for a new connection. Zones are a few
	// ms apart; a lost packet is sent again after a second, which is too late.
	connectTimeout = 150 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged (TCP).
	userTimeout = 2 * time.Second
	// readBuffer holds the head of an answer, in bytes.
	readBuffer = 4 << 10
	// maxIdle is the most idle connections kept for one upstream.
	maxIdle = 64
	// defaultIdle is how long a connection is kept where the upstream does not
	// say; idlePart is the part of the time it says, as both clocks run on.
	defaultIdle = 4 * time.Second
	idlePart    = 0.7
)

// Pool keeps idle connections by upstream. Any goroutine may call its methods.
type Pool struct {
	now func() time.Time
	// Opened is told of each new connection; may be nil.
	opened func(Target)

	mu      sync.Mutex
	idle    map[Target][]*Conn
	sweptAt time.Time
}

// NewPool makes an empty pool with a clock. opened may be nil.
func NewPool(now func() time.Time, opened func(Target)) *Pool {
	return &Pool{now: now, opened: opened, idle: make(map[Target][]*Conn)}
}

// Get gives a connection for one exchange: an idle one that is still sound, or
// a new one. The error is a *DialError.
func (p *Pool) Get(ctx context.Context, t Target) (*Conn, error) {
	if c := p.GetIdle(t); c != nil {
		return c, nil
	}
	return p.Dial(ctx, t)
}

// GetIdle gives an idle connection that is still sound, nil if there is none.
func (p *Pool) GetIdle(t Target) *Conn {
	for {
		c := p.take(t)
		if c == nil {
			return nil
		}
		if p.now().Sub(c.usedAt) < c.idleFor && c.clean() {
			c.reused = true
			return c
		}
		c.Close()
	}
}

// take removes the idle connection that was used last.
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

// Dial makes a new connection. The error is a *DialError.
func (p *Pool) Dial(ctx context.Context, t Target) (*Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: SetUserTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, &DialError{Target: t, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = conn.Close() // it never carried anything
		return nil, &DialError{Target: t, Cause: err}
	}
	if p.opened != nil {
		p.opened(t)
	}
	c := &Conn{net: conn, raw: raw, target: t, idleFor: defaultIdle}
	c.r = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// SetUserTimeout is for net.ListenConfig and net.Dialer: the kernel ends a
// connection whose sent bytes stay unacknowledged for two seconds.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// Put keeps a connection after a whole answer. idle is the time after which the
// upstream has announced to close it; 0 where it announced nothing.
func (p *Pool) Put(c *Conn, idle time.Duration) {
	c.usedAt = p.now()
	if idle > 0 {
		c.idleFor = time.Duration(float64(idle) * idlePart)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.target]
	if len(list) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.target] = append(list, c)
	p.sweep(c.usedAt)
}

// sweepEvery is the time between two looks for connections kept too long.
const sweepEvery = time.Second

// sweep closes the connections that were idle for too long, so that those of
// upstreams which are gone do not pile up.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepEvery {
		return
	}
	p.sweptAt = now
	for t, list := range p.idle {
		// The oldest come first.
		for len(list) > 0 && now.Sub(list[0].usedAt) >= list[0].idleFor {
			list[0].Close()
			list = list[1:]
		}
		p.idle[t] = list
		if len(list) == 0 {
			delete(p.idle, t)
		}
	}
}

// CloseIdle closes the idle connections of an upstream.
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
