package forward

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"mimosaarch.example/core/processor"
	"mimosaarch.example/decide/overload"
)

// waitSampleInterval is the time between two samples of the wait for the processor.
const waitSampleInterval = 20 * time.Millisecond

// overloadGuard closes new connections unread while the node lacks processor time. Their callers
// are better served by other nodes, and a request that has not been read is safe to send again.
type overloadGuard struct {
	// unread is the number of connections on which no request has been read yet.
	unread atomic.Int64
	// limit is the highest number of requests in progress with which a connection is accepted, 0
	// for no limit.
	limit atomic.Int64
	// busy has a value once a limit may be needed.
	busy chan struct{}
}

// newOverloadGuard returns an overloadGuard without a limit.
func newOverloadGuard() *overloadGuard { return &overloadGuard{busy: make(chan struct{}, 1)} }

// admitsConnection reports whether the node reads requests from a new connection.
func (s *Server) admitsConnection() bool {
	inProgress := s.active.Load() + s.overload.unread.Load()
	if inProgress >= overload.MinLimit {
		select {
		case s.overload.busy <- struct{}{}:
		default: // The measurement is about to begin, or runs.
		}
	}
	limit := s.overload.limit.Load()
	return limit == 0 || inProgress < limit
}

// refuseConnection closes a new connection unread, and counts it under a name.
func (s *Server) refuseConnection(conn net.Conn, counter string) {
	s.opts.Metrics.Add(counter, 1)
	// The connection ends whether or not the close fails.
	_ = conn.Close()
}

// limitOverload measures the wait for the processor while there are many requests, and sets the
// limit for new connections, until ctx ends.
func (s *Server) limitOverload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.overload.busy:
		}
		s.limitWhileBusy(ctx)
	}
}

// limitWhileBusy is limitOverload until there are few requests and no limit.
func (s *Server) limitWhileBusy(ctx context.Context) {
	var limiter overload.Limiter
	ticker := time.NewTicker(waitSampleInterval)
	defer ticker.Stop()
	// The clock of the samples must not advance while the VM is suspended.
	last := time.Now()
	for ctx.Err() == nil {
		<-ticker.C
		wait := processor.Wait()
		now := time.Now()
		active := s.active.Load()
		change := limiter.Observe(overload.Sample{Wait: wait, Elapsed: now.Sub(last), Active: int(active)})
		last = now
		s.overload.limit.Store(int64(limiter.Limit()))
		s.logOverload(change, &limiter, active)
		if limiter.Limit() == 0 && active < overload.MinLimit {
			return
		}
	}
}

// logOverload logs the beginning and the end of a limit.
func (s *Server) logOverload(change overload.Change, l *overload.Limiter, active int64) {
	if change == overload.Unchanged {
		return
	}
	event := "overload_ended"
	if change == overload.Limited {
		event = "overloaded"
	}
	s.opts.Log.Warn().Str("event", event).Float64("wait_share", l.WaitShare()).Int64("active", active).Int("limit", l.Limit()).Send()
}
