// Package leader keeps a lease by calls to a store, for a duty that one node of
// the fleet does at a time. decide/lease makes the decisions.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/lease"
)

// Store makes the calls of a lease. Every failure is an Answer too.
type Store interface {
	Call(ctx context.Context, c lease.Command) lease.Answer
}

// Options set up a Elector.
type Options struct {
	Lease lease.Options
	Store Store
	// Now is the clock of the lease; it also counts while the VM is frozen.
	Now func() time.Time
	// Candidate tells whether this node is to seek the lease, so that not each
	// node of a large fleet reads it; nil means always. Run calls it; it must
	// not wait.
	Candidate func() bool
	// KeepHeld has a holder that is no longer a candidate keep the lease, instead
	// of giving it back: a duty that passes on stands still for a second or two.
	KeepHeld bool
	// Log takes a line when the lease is gained or lost.
	Log zerolog.Logger
}

const (
	// tickPart is the part of the lease's duration between two looks at it.
	tickPart = 40
	// callPart is the part of the lease's duration that one call may take.
	callPart = 4
)

// Elector seeks and keeps the lease. Make it with New, and let Run run. Any
// goroutine may call the other methods.
type Elector struct {
	opts Options

	mu    sync.Mutex
	lease *lease.Lease
}

// New makes a Elector; it calls nothing before Run.
func New(o Options) *Elector {
	return &Elector{opts: o, lease: lease.New(o.Lease)}
}

// Run keeps the lease until ctx ends. The lease lapses by itself afterwards.
func (k *Elector) Run(ctx context.Context) {
	duration := k.opts.Lease.Duration
	held := false
	every.Do(ctx, duration/tickPart, func() {
		k.turn(ctx, duration/callPart)
		held = k.tell(held)
	})
}

// turn makes the call that is due.
func (k *Elector) turn(ctx context.Context, within time.Duration) {
	k.mu.Lock()
	if k.opts.Candidate != nil {
		keep := k.opts.KeepHeld && k.lease.State(k.opts.Now()).Held
		k.seek(keep || k.opts.Candidate())
	}
	// The clock is read with the lock held: a write's lease counts from here.
	command := k.lease.Tick(k.opts.Now())
	k.mu.Unlock()
	if command == nil {
		return
	}
	limit, done := context.WithTimeout(ctx, within)
	defer done()
	answer := k.opts.Store.Call(limit, command)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Answered(k.opts.Now(), answer)
}

// seek sets whether the lease is wanted, with the lock held.
func (k *Elector) seek(wanted bool) {
	if wanted {
		k.lease.Campaign()
		return
	}
	k.lease.Resign()
}

// tell logs a change.
func (k *Elector) tell(before bool) bool {
	s := k.Status()
	if s.Held == before {
		return before
	}
	event := "lease_lost"
	if s.Held {
		event = "lease_gained"
	}
	k.opts.Log.Info().Str("event", event).Int64("fence", s.Fence).Dur("left_ms", s.Left).Send()
	return s.Held
}

// Status tells whether this node holds the lease now.
func (k *Elector) Status() lease.Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.State(k.opts.Now())
}

// LastTerm tells of the own term after its lease has run out, as long as nobody
// else is known to have taken it over; see lease.Lease.
func (k *Elector) LastTerm() lease.Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease.LastTerm()
}

// StepDown ends the own term, as somebody with a later one was heard of.
func (k *Elector) StepDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.StepDown()
}

// Resign gives the lease back with the next call.
func (k *Elector) Resign() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease.Resign()
}
