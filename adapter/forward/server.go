package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
)

// Server takes callers' connections. Any goroutine may call its methods.
type Server struct {
	opts     Options
	pool     *upconn.Pool
	picks    *picker
	culprits *culprits
	probe    *prober
	// pauses takes the pause before each event of a stream.
	pauses func(time.Duration)

	// stopping: answers end their connections. closing: idle ones are closed.
	stopping, closing atomic.Bool

	mu      sync.Mutex
	clients map[*client]struct{}
	rand    *rand.Rand
	// active counts requests under way.
	active atomic.Int64
}

// New makes a Server.
func New(o Options) *Server {
	s := &Server{opts: o, clients: make(map[*client]struct{}), rand: rand.New(rand.NewPCG(o.Seed, seedStream))}
	s.pool = upconn.NewPool(boottime.Now, func(upconn.Target) { o.Metrics.Add("upstream.connections", 1) })
	s.pauses = o.Metrics.Timer("stream.pause")
	s.culprits = newCulprits(o)
	s.picks = newPicker(o, s.culprits)
	s.probe = newProber(o, s.picks)
	return s
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x666f7277617264

// Serve takes connections until l is closed, then gives nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Log.Warn().Str("event", "accept_failed").Err(err).Send()
			time.Sleep(acceptPause)
			continue
		}
		s.begin(ctx, conn)
	}
}

// acceptPause is waited after a failed accept, which is mostly for want of
// descriptors.
const acceptPause = 10 * time.Millisecond

// begin serves one connection in a goroutine of its own.
func (s *Server) begin(ctx context.Context, conn net.Conn) {
	c := &client{server: s, conn: conn}
	c.idle.Store(true)
	s.mu.Lock()
	s.clients[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		defer func() {
			// The caller learns of the end either way.
			_ = conn.Close()
			s.mu.Lock()
			delete(s.clients, c)
			s.mu.Unlock()
		}()
		c.serve(ctx)
	}()
}

// DisableKeepAlives makes every answer from now on the last of its connection.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// Drain closes idle connections and waits until the others are answered, or
// until ctx ends. It reports whether all were.
func (s *Server) Drain(ctx context.Context) bool {
	s.stopping.Store(true)
	s.closing.Store(true)
	s.mu.Lock()
	for c := range s.clients {
		c.kick()
	}
	s.mu.Unlock()
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for {
		if s.connections() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// drainTick is the time between two looks at the connections still open.
const drainTick = 20 * time.Millisecond

// connections counts the open connections.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// Active gives the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// SetNodes tells how many nodes share upstreams and the retry budget.
func (s *Server) SetNodes(n int) { s.picks.setNodes(n) }

// UpstreamRemoved tells that an upstream has left the directory.
func (s *Server) UpstreamRemoved(u *directory.Upstream) {
	s.pool.CloseIdle(u.ID)
	s.picks.forget(u.ID)
	if !u.Leaving {
		s.culprits.died(u)
	}
}

// StoreReconnected tells that the node, which was cut off from the store, hears of it
// again: zones that were out of reach are tried at once.
func (s *Server) StoreReconnected() { s.picks.reached() }

// SilentFor tells how long an upstream has not answered this node though others
// of its zone do, 0 where it does or that is not known.
func (s *Server) SilentFor(u *directory.Upstream) time.Duration { return s.picks.silentFor(u) }

// AddVerdict takes a peer's verdict on requests that crash upstreams.
func (s *Server) AddVerdict(v quarantine.Verdict) { s.culprits.told(v) }

// confirm connects to an upstream that broke a connection off: one that has
// crashed refuses.
func (s *Server) confirm(u *directory.Upstream) {
	limit, done := context.WithTimeout(context.Background(), confirmTimeout)
	defer done()
	conn, err := s.pool.Dial(limit, target(u))
	if err != nil {
		s.picks.notReached(u, err)
		return
	}
	s.pool.Put(conn, 0)
}

// confirmTimeout bounds that connection. A refusal comes within a round trip.
const confirmTimeout = 300 * time.Millisecond

// draw gives a random number from 0 up to 1.
func (s *Server) draw() (float64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.rand.Uint64()
	return float64(u>>11) / (1 << 53), u
}

// target names an upstream for the pool.
func target(u *directory.Upstream) upconn.Target {
	return upconn.Target{ID: u.ID, Address: u.Address}
}
