package forward

import (
	"context"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/shutdown"
)

// stoppingRetryAfter is the Retry-After of requests that come late in a planned stop. The connection
// closes after the response, and the next one leads to another node.
const stoppingRetryAfter = 100 * time.Millisecond

// stoppingDetail is the detail of refusals because the node stops.
const stoppingDetail = "node is stopping"

// StoppingError reports that the node stops before it could finish a request.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return stoppingDetail }

// States of an exchange's commitment.
const (
	// undecided: the request was neither sent nor refused because the node stops.
	undecided = iota
	// committed: the request is being sent, or was.
	committed
	// refusedLate: the request will not be sent.
	refusedLate
)

// BeginStop begins a planned stop: each connection closes after its next response, and requests are
// read and sent as the plan allows. The times of the plan are on the clock of Options.Now.
func (s *Server) BeginStop(p shutdown.Plan) {
	s.noKeepAlives.Store(true)
	s.stopPlan.Store(&p)
	s.mu.Lock()
	for c := range s.conns {
		c.limitReading()
	}
	s.mu.Unlock()
	time.AfterFunc(p.LateAt.Sub(s.opts.Now()), s.markLate)
}

// CutOff ends all requests under way: their callers are told what is known of them, and streams break
// off. It waits until all connections have ended or ctx is done, and reports whether they have.
func (s *Server) CutOff(ctx context.Context) bool {
	s.cut(&StoppingError{})
	return s.awaitConnections(ctx)
}

// readEnd returns when the read of a request has to end that may last until a time, both as by
// time.Now.
func (s *Server) readEnd(at time.Time) time.Time {
	p := s.stopPlan.Load()
	if p == nil {
		return at
	}
	if end := time.Now().Add(p.ReadUntil.Sub(s.opts.Now())); end.Before(at) {
		return end
	}
	return at
}

// maySend reports whether a request with this deadline may be sent now, for the first time.
func (s *Server) maySend(deadline time.Time) bool {
	return s.stopPlan.Load().MaySend(s.opts.Now(), deadline)
}

// endIfLate ends the request if it has not been sent and could not be finished.
func (x *exchange) endIfLate() {
	if !x.server.maySend(x.deadline) && x.commitment.CompareAndSwap(undecided, refusedLate) {
		x.leave(&StoppingError{})
	}
}

// checkStopping returns a failure if the request must not be sent because the node stops. One that may
// have run, or of which the caller has a part, is sent again until the end: nothing is lost by that.
func (x *exchange) checkStopping() *failure {
	late := !x.mayHaveRun() && !x.responseStarted && !x.server.maySend(x.deadline)
	if !late && (x.commitment.CompareAndSwap(undecided, committed) || x.commitment.Load() == committed) {
		return nil
	}
	return &failure{phase: outcome.NotSent, reason: outcome.Draining, cause: &StoppingError{}}
}

// limitReading ends the read of a request in progress at the time that the plan of the stop allows.
func (c *callerConn) limitReading() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.reading {
		return
	}
	c.readUntil = c.server.readEnd(c.readUntil)
	// A connection that is closed already needs no deadline.
	_ = c.conn.SetReadDeadline(c.readUntil)
}

// beginReading and endReading enclose the read of a request.
func (c *callerConn) beginReading() { c.setReading(true) }

func (c *callerConn) endReading() { c.setReading(false) }

// setReading records whether a request is being read.
func (c *callerConn) setReading(reading bool) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.reading = reading
}
