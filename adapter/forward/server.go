package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/shutdown"
)

// Server serves callers' connections. Its methods are safe for concurrent use.
type Server struct {
	opts    Options
	pool    *upconn.Pool
	picker  *picker
	crashes *crashTracker
	prober  *prober
	losses  *lossTable
	// admission holds the new streams that wait for capacity.
	admission *admissionQueue
	// observePause records the pause before an event of a stream.
	observePause func(time.Duration)

	// noKeepAlives makes each response the last of its connection. closing also closes
	// idle connections.
	noKeepAlives, closing atomic.Bool
	// stopPlan is that of a planned stop, nil before it begins. untilLate ends when requests begin
	// to count as late, by markLate, and untilCut when all requests are cut off, by cut.
	stopPlan  atomic.Pointer[shutdown.Plan]
	untilLate context.Context
	markLate  context.CancelFunc
	untilCut  context.Context
	cut       context.CancelCauseFunc

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	rand  *rand.Rand
	// active counts requests being served.
	active   atomic.Int64
	overload *overloadGuard
	gate     *gate.Gate
}

// New returns a Server.
func New(o Options) *Server {
	s := &Server{opts: o, conns: make(map[*callerConn]struct{}), overload: newOverloadGuard(), gate: gate.New(o.Intake, o.Now, o.Metrics), rand: rand.New(rand.NewPCG(o.Seed, seedStream))}
	s.untilLate, s.markLate = context.WithCancel(context.Background())
	s.untilCut, s.cut = context.WithCancelCause(context.Background())
	s.pool = upconn.NewPool(boottime.Now, o.Dial, func(upconn.Target) { o.Metrics.Add("upstream.connections", 1) })
	s.pool.LimitOpen(o.MaxUpstreamConns)
	s.observePause = o.Metrics.Timer("stream.pause")
	s.crashes = newCrashTracker(o)
	s.losses = newLossTable(o)
	s.picker = newPicker(o, s.crashes)
	s.picker.onRefused = func(u *directory.Upstream) { s.losses.found(u, lossByDial) }
	s.picker.onSilent = s.losses.silent
	s.picker.onAnswer = func(id ids.Instance) {
		s.losses.answeredAgain(id)
		s.crashes.upstreamAnswered(id)
	}
	s.prober = newProber(o, s.picker)
	s.admission = newAdmissionQueue(o)
	return s
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x666f7277617264

// Serve accepts connections until l is closed, then returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancelCause(ctx)
	context.AfterFunc(s.untilCut, func() { cancel(context.Cause(s.untilCut)) })
	go s.limitOverload(ctx)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Log.Warn().Str("event", "accept_failed").Err(err).Send()
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admitsConnection() {
			s.refuseConnection(conn, "connections.unread")
			continue
		}
		c := &callerConn{server: s, conn: conn}
		if c.hold = s.gate.Open(c.interrupt); c.hold == nil {
			s.refuseConnection(conn, "connections.refused")
			continue
		}
		s.serveConn(ctx, c)
	}
}

// acceptRetryDelay is the wait after a failed accept, which is usually due to a lack of
// file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// serveConn serves one connection in its own goroutine.
func (s *Server) serveConn(ctx context.Context, c *callerConn) {
	c.idle.Store(true)
	s.overload.unread.Add(1)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		defer func() {
			// The connection ends whether or not the close fails.
			_ = c.conn.Close()
			c.hold.Close()
			c.recordRead()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
		c.serve(ctx)
	}()
}

// Drain closes idle connections and waits until the others have ended or ctx is done.
// It reports whether all connections have ended.
func (s *Server) Drain(ctx context.Context) bool {
	s.noKeepAlives.Store(true)
	s.closing.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.interruptIdle()
	}
	s.mu.Unlock()
	return s.awaitConnections(ctx)
}

// awaitConnections waits until all connections have ended or ctx is done. It reports whether they
// have.
func (s *Server) awaitConnections(ctx context.Context) bool {
	ticker := time.NewTicker(drainPollInterval)
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

// drainPollInterval is the interval at which Drain checks for open connections.
const drainPollInterval = 20 * time.Millisecond

// connections returns the number of open connections.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Held returns the number of bytes that callers' connections hold, and the number of connections.
func (s *Server) Held() (bytes int64, connections int) { return s.gate.Held() }

// Active returns the number of requests being served.
func (s *Server) Active() int64 { return s.active.Load() }

// SetNodes sets the number of nodes that share the upstreams and the retry budget.
func (s *Server) SetNodes(n int) {
	s.picker.setNodes(n)
	s.crashes.setNodes(n)
	s.losses.setNodes(n)
}

// UpstreamRemoved drops the state of an upstream that has left the directory. Unless it
// was leaving, it counts as crashed.
func (s *Server) UpstreamRemoved(u *directory.Upstream) {
	s.pool.CloseIdle(u.ID)
	s.picker.forget(u.ID)
	s.losses.forget(u.ID)
	if !u.Leaving {
		s.crashes.upstreamDied(u)
	}
}

// StoreReconnected tells the server that the node, which was cut off from the store,
// reaches it again. Zones that count as unreachable are tried again at once.
func (s *Server) StoreReconnected() { s.picker.connectivityRestored() }

// UpstreamsReachable tells the server that upstreams which it could not reach can be reached
// again, over another path. They are tried again at once.
func (s *Server) UpstreamsReachable() { s.picker.connectivityRestored() }

// SilentFor returns for how long an upstream has not answered this node, although
// others of its zone do. It is 0 if the upstream answers, or if that is not known.
func (s *Server) SilentFor(u *directory.Upstream) time.Duration { return s.picker.silentFor(u) }

// AddVerdict applies a peer's verdict on requests that crash upstreams.
func (s *Server) AddVerdict(v quarantine.Verdict) { s.crashes.addPeerVerdict(v) }

// AddCrashReport applies a peer's evidence about requests that crash upstreams.
func (s *Server) AddCrashReport(r quarantine.Report) { s.crashes.addReport(r) }

// TakeCrashReports returns the news that the keepers of services have to be told now.
func (s *Server) TakeCrashReports() (reports []quarantine.Report) {
	s.crashes.update("crashes.take_reports", func(now time.Time, d *quarantine.Decider) { reports = d.TakeReports(now) })
	return reports
}

// NextCrashReport returns when TakeCrashReports has something to tell, zero if not before there is
// new evidence.
func (s *Server) NextCrashReport() (next time.Time) {
	s.crashes.update("crashes.take_reports", func(_ time.Time, d *quarantine.Decider) { next = d.NextReport() })
	return next
}

// CrashEvidence returns the evidence of a service for a keeper that may lack earlier news.
func (s *Server) CrashEvidence(service ids.Service) (evidence quarantine.Report) {
	s.crashes.update("crashes.evidence", func(now time.Time, d *quarantine.Decider) { evidence = d.Evidence(now, service) })
	return evidence
}

// ReviewSuspects decides on the suspects of the services of which this node is a keeper. It
// publishes new verdicts, and returns what has to be announced to all nodes and when the next
// review is due, zero if not before there is new evidence.
func (s *Server) ReviewSuspects() (announcements []quarantine.Report, next time.Time) {
	var actions quarantine.Actions
	var now time.Time
	s.crashes.update("crashes.review", func(at time.Time, d *quarantine.Decider) {
		now, actions = at, d.Review(at, s.opts.QuarantineRole)
	})
	for _, d := range actions.Decisions {
		s.crashes.logFinding(now, d.Service, d.Fingerprint, d.Finding)
	}
	for _, v := range actions.Verdicts {
		s.publishVerdict(v)
	}
	return actions.Announcements, actions.Next
}

// CrashKnowledge returns the evidence against suspects and the verdicts that a node without
// any has to be told.
func (s *Server) CrashKnowledge() (reports []quarantine.Report, verdicts []quarantine.Verdict) {
	s.crashes.update("crashes.knowledge", func(now time.Time, d *quarantine.Decider) { reports, verdicts = d.Knowledge(now) })
	return reports, verdicts
}

// CrashRecord returns the verdicts that this node has to record in the platform's store, at a time of
// day in milliseconds.
func (s *Server) CrashRecord(wallMs int64) (record quarantine.Record) {
	s.crashes.update("crashes.record", func(now time.Time, d *quarantine.Decider) {
		record = d.Record(now, wallMs, s.opts.QuarantineRole)
	})
	return record
}

// publishVerdict logs and publishes a verdict that this node has just reached.
func (s *Server) publishVerdict(v quarantine.Verdict) {
	s.opts.Metrics.Add("upstream.culprits", 1)
	s.opts.Log.Info().Str("event", "quarantined").Str("fingerprint", string(v.Fingerprint)).Str("service", string(v.Service)).
		Int("evidence", len(v.Evidence)).Dur("for_ms", v.For).Send()
	s.opts.OnVerdict(v)
}

// AddLimit applies a peer's notice about the rate limit of an upstream. A notice about an
// upstream that is not in the directory is ignored.
func (s *Server) AddLimit(n backpressure.LimitNotice) {
	if s.opts.View().Get(n.Upstream) != nil {
		s.picker.limitNotified(n)
	}
}

// Limit returns the rate limit that an upstream names, in requests per second from all
// nodes together, 0 if it names none.
func (s *Server) Limit(id ids.Instance) float64 { return s.picker.limit(id) }

// draw returns a random number in [0, 1), and the 64 random bits it is made of.
func (s *Server) draw() (float64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.rand.Uint64()
	return float64(u>>11) / (1 << 53), u
}

// target returns an upstream's key in the connection pool.
func target(u *directory.Upstream) upconn.Target {
	return upconn.Target{ID: u.ID, Address: u.Address}
}
