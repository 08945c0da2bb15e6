// Package leader elects the one node of the fleet that performs a task: the holder
// of a lease in a store. Package decide/lease decides when to read or write the
// lease; this package makes the calls.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/lease"
)

// Store makes the calls of a lease. Failures are returned as an Answer too.
type Store interface {
	Call(ctx context.Context, c lease.Command) lease.Answer
}

// Options configure an Elector.
type Options struct {
	Lease lease.Options
	Store Store
	// Now is the clock of the lease. It must also advance while the VM is
	// suspended.
	Now func() time.Time
	// Candidate reports whether this node should try to hold the lease, so that
	// not every node of a large fleet reads it. Nil means always. Run calls it;
	// it must not block.
	Candidate func() bool
	// KeepHeld makes a holder that is no longer a candidate keep the lease
	// instead of releasing it. A handover interrupts the task for a second or
	// two.
	KeepHeld bool
	// Log receives a line when the lease is gained or lost.
	Log zerolog.Logger
}

const (
	// The lease is checked tickDivisor times per duration.
	tickDivisor = 40
	// A call times out after the lease's duration divided by callTimeoutDivisor.
	callTimeoutDivisor = 4
)

// Elector acquires and renews the lease while Run runs. Create it with New. All
// methods except Run may be called from any goroutine.
type Elector struct {
	opts Options

	mu    sync.Mutex
	lease *lease.Lease
	// ignoring is true while answers are ignored because a later version is known.
	ignoring bool
}

// New returns an Elector. It makes no calls before Run.
func New(o Options) *Elector {
	return &Elector{opts: o, lease: lease.New(o.Lease)}
}

// Run acquires and renews the lease until ctx ends. Then the lease expires by
// itself.
func (e *Elector) Run(ctx context.Context) {
	duration := e.opts.Lease.Duration
	held := false
	every.Do(ctx, duration/tickDivisor, func() {
		e.poll(ctx, duration/callTimeoutDivisor)
		held = e.logChange(held)
	})
}

// poll makes the next call of the lease if one is due.
func (e *Elector) poll(ctx context.Context, timeout time.Duration) {
	e.mu.Lock()
	if e.opts.Candidate != nil {
		keep := e.opts.KeepHeld && e.lease.State(e.opts.Now()).Held
		e.setCandidate(keep || e.opts.Candidate())
	}
	// The clock is read while the lock is held, because the duration of a
	// written lease counts from this time.
	command := e.lease.Tick(e.opts.Now())
	e.mu.Unlock()
	if command == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := e.opts.Store.Call(callCtx, command)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logIgnored(answer)
	e.lease.Answered(e.opts.Now(), answer)
}

// logIgnored logs the first of several answers in a row that the lease ignores because
// it knows a later version. The lock must be held.
func (e *Elector) logIgnored(answer lease.Answer) {
	if answer.Kind != lease.Found {
		return
	}
	known := e.lease.Version()
	ignored := answer.Version.Before(known)
	if ignored && !e.ignoring {
		e.opts.Log.Warn().Str("event", "answer_ignored").Str("kind", "lease").Stringer("revision", answer.Version).Stringer("known", known).Send()
	}
	e.ignoring = ignored
}

// setCandidate makes this node a candidate or resigns. The lock must be held.
func (e *Elector) setCandidate(candidate bool) {
	if candidate {
		e.lease.Campaign()
		return
	}
	e.lease.Resign()
}

// logChange logs if the lease was gained or lost, and returns whether it is
// held.
func (e *Elector) logChange(before bool) bool {
	s := e.Status()
	if s.Held == before {
		return before
	}
	event := "lease_lost"
	if s.Held {
		event = "lease_gained"
	}
	e.opts.Log.Info().Str("event", event).Int64("fence", s.Fence).Dur("left_ms", s.Left).Send()
	return s.Held
}

// Status returns whether this node holds the lease now, and if so the time left and
// the fencing token.
func (e *Elector) Status() lease.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.State(e.opts.Now())
}

// LastTerm returns the term of this node even if its lease has expired, as long
// as no other node is known to have taken it over. See lease.Lease.LastTerm for
// its use.
func (e *Elector) LastTerm() lease.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.LastTerm()
}

// StepDown ends the term of this node, because a later term is known to exist.
func (e *Elector) StepDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.StepDown()
}

// ObserveEpoch records that the store is in an epoch, which may be news from a peer. A
// later epoch than the known one ends this node's term.
func (e *Elector) ObserveEpoch(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.ObserveEpoch(e.opts.Now(), epoch)
}

// Resign releases the lease with the next call.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease.Resign()
}
