// Package claims commits claims of idempotency keys to the object store of the
// platform. One goroutine drives a claim.Group, which decides what to read and
// write. A bounded pool makes the platform calls, at most one at a time per
// shard.
package claims

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync/atomic"
	"time"

	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// Peers forwards operations to the VMs that commit them.
type Peers interface {
	// Preferred returns the VM that should commit a shard's operations. It
	// returns false if that is this VM or no other VM is available. It must not
	// block.
	Preferred(shard int) (ids.VM, bool)
	// Forward sends an operation to a VM, at most once, and returns the answer.
	// The VM must start no more writes of the operation once ctx has ended.
	// Forward may return an answer other than ForwardUncertain only if it is
	// proven, for example by a reply of the VM. It is called from any
	// goroutine.
	Forward(ctx context.Context, c claim.Forward) claim.ForwardAnswer
}

// Platform is the part of the platform client that a Committer uses. It must
// not retry calls.
type Platform interface {
	Get(ctx context.Context, key string) (platformapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error)
}

// Sink receives the results. It is called from the goroutine of the Committer
// and must not block for long.
type Sink interface {
	ClaimEnded(router.ClaimEnded)
	ClaimReleased(router.ClaimReleased)
}

// CommandError reports a command that is not a router.Claim, Release or Settle.
type CommandError struct{ Command router.Command }

// Error implements error.
func (e *CommandError) Error() string { return fmt.Sprintf("%T is not a claim command", e.Command) }

// StoppedError reports that the Committer accepts no more commands because it
// has stopped.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "claim committer has stopped" }

// Committer commits claims, releases and settlements. Create it with New and
// start it with Run.
type Committer struct {
	platform Platform
	sink     Sink
	settings Settings
	shards   int
	tasks    *ring.Ring[task]
	stopped  atomic.Bool
	counts   atomic.Pointer[claim.Counts]
}

// New returns a Committer. Zero fields of settings stand for their defaults.
func New(platform Platform, sink Sink, settings Settings) *Committer {
	settings = settings.withDefaults()
	c := &Committer{
		platform: platform,
		sink:     sink,
		settings: settings,
		shards:   claim.New(settings.Claim).Shards(),
		tasks:    ring.New[task]("claims", settings.RingCapacity),
	}
	c.counts.Store(&claim.Counts{})
	return c
}

// Offer submits a router.Claim, Release or Settle whose ID equals the Request
// of its record. It does not block and is safe for concurrent use. The Sink
// receives exactly one ClaimEnded for each accepted Claim and one ClaimReleased
// for each accepted Release. Errors, all of which mean that the command was not
// accepted: *ring.FullError, *StoppedError, *CommandError.
func (c *Committer) Offer(command router.Command) error {
	if c.stopped.Load() {
		return &StoppedError{}
	}
	op, err := c.newOp(command)
	if err != nil {
		return err
	}
	return c.tasks.Offer(task{op: op})
}

// task is an operation for the worker. For an operation of another VM, answer
// receives the result; it is buffered so that the worker never blocks on it.
// Otherwise answer is nil.
type task struct {
	op     claim.Op
	answer chan claim.ForwardAnswer
}

// Serve commits an operation of another VM and returns the result. op.Deadline
// is when the time allowed by the other VM ends, by this VM's clock. If ctx
// ends first, the result is ForwardUncertain. It is safe for concurrent use.
func (c *Committer) Serve(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer {
	refused := claim.ForwardAnswer{Kind: claim.ForwardRefused}
	if c.stopped.Load() || claim.ShardOf(op.Record, c.shards) != shard {
		return refused
	}
	answer := make(chan claim.ForwardAnswer, 1)
	if c.tasks.Offer(task{op: op, answer: answer}) != nil {
		return refused
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return claim.ForwardAnswer{Kind: claim.ForwardUncertain}
	}
}

// newOp converts a command to an operation with a random nonce.
func (c *Committer) newOp(command router.Command) (claim.Op, error) {
	deadline := time.Now().Add(c.settings.Timeout)
	switch cmd := command.(type) {
	case router.Claim:
		return claim.Op{
			Kind:      claim.Claim,
			Record:    cmd.Record,
			Nonce:     rand.Text(),
			Over:      cmd.Over,
			Retention: cmd.Retention,
			Deadline:  deadline,
		}, nil
	case router.Release:
		return claim.Op{Kind: claim.Release, Record: cmd.Record, Nonce: rand.Text(), Deadline: deadline}, nil
	case router.Settle:
		return claim.Op{Kind: claim.Settle, Record: cmd.Record, Nonce: rand.Text(), Retention: cmd.Retention}, nil
	}
	return claim.Op{}, &CommandError{Command: command}
}

// Counts returns the counts since New. It is safe for concurrent use.
func (c *Committer) Counts() claim.Counts { return *c.counts.Load() }

// Run commits claims until ctx ends, then continues for at most StopTimeout to
// finish what it has accepted. Operations still open after that get no result.
// It must be called at most once.
func (c *Committer) Run(ctx context.Context) {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := newWorker(callCtx, c)
	defer w.openCalls.Wait()
	defer cancel()
	w.run(ctx.Done())
	c.stopped.Store(true)
	timeout, done := context.WithTimeout(callCtx, c.settings.StopTimeout)
	defer done()
	w.finish(timeout.Done())
}
