// Package claims commits the claims of idempotency keys through the platform.
// One goroutine drives the decisions of decide/claim; a bounded pool makes the
// platform calls, one at a time for each shard.
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

// Peers reach the VMs that commit the operations of shards.
type Peers interface {
	// Preferred gives the VM that is to commit a shard's operations; false
	// when that is this one, or none can be named. It must not wait.
	Preferred(shard int) (ids.VM, bool)
	// Forward hands an operation to a VM, once at most, and waits for the
	// answer. The VM must have stopped to try when ctx ends. An answer other
	// than ForwardUncertain needs proof. Any goroutine calls it.
	Forward(ctx context.Context, c claim.Forward) claim.ForwardAnswer
}

// Platform is the part of the platform's client that a Committer needs. The
// client makes each call at most once.
type Platform interface {
	Get(ctx context.Context, key string) (platformapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error)
}

// Sink takes the results. The Committer's goroutine calls it; it must not
// wait long.
type Sink interface {
	ClaimEnded(router.ClaimEnded)
	ClaimReleased(router.ClaimReleased)
}

// CommandError tells that a command is no Claim, Release or Settle.
type CommandError struct{ Command router.Command }

// Error implements error.
func (e *CommandError) Error() string { return fmt.Sprintf("no claim command: %T", e.Command) }

// StoppedError tells that the Committer takes no more commands.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "the claim committer has stopped" }

// Committer commits claims. Make it with New, and let Run run.
type Committer struct {
	platform Platform
	sink     Sink
	settings Settings
	shards   int
	commands *ring.Ring[work]
	stopped  atomic.Bool
	counts   atomic.Pointer[claim.Counts]
}

// New makes a Committer.
func New(platform Platform, sink Sink, settings Settings) *Committer {
	settings = settings.withDefaults()
	c := &Committer{
		platform: platform,
		sink:     sink,
		settings: settings,
		shards:   claim.New(settings.Claim).Shards(),
		commands: ring.New[work]("claims", settings.RingCapacity),
	}
	c.counts.Store(&claim.Counts{})
	return c
}

// Offer takes a router.Claim, Release or Settle whose ID is its record's
// Request. It never waits; any goroutine may call it. Each Claim taken is
// answered by one ClaimEnded, each Release by one ClaimReleased. Errors, after
// which the command was not taken: *ring.FullError, *StoppedError,
// *CommandError.
func (c *Committer) Offer(command router.Command) error {
	if c.stopped.Load() {
		return &StoppedError{}
	}
	op, err := c.op(command)
	if err != nil {
		return err
	}
	return c.commands.Offer(work{op: op})
}

// work is an operation for the worker. For one of another VM, answer takes
// the answer; it has room for it.
type work struct {
	op     claim.Op
	answer chan claim.ForwardAnswer
}

// Serve commits an operation of another VM and waits for what came of it. The
// operation's Deadline is the end of the time that the other VM gave, by this
// VM's clock. Any goroutine may call it.
func (c *Committer) Serve(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer {
	refused := claim.ForwardAnswer{Kind: claim.ForwardRefused}
	if c.stopped.Load() || claim.ShardOf(op.Record, c.shards) != shard {
		return refused
	}
	answer := make(chan claim.ForwardAnswer, 1)
	if c.commands.Offer(work{op: op, answer: answer}) != nil {
		return refused
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return claim.ForwardAnswer{Kind: claim.ForwardUncertain}
	}
}

// op turns a command into an operation.
func (c *Committer) op(command router.Command) (claim.Op, error) {
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

// Counts tells what was done so far. Any goroutine may call it.
func (c *Committer) Counts() claim.Counts { return *c.counts.Load() }

// Run commits claims until ctx ends; then it works on for at most the
// StopTimeout to finish what it holds. What is left then gets no answer. It
// is called once.
func (c *Committer) Run(ctx context.Context) {
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := newWorker(calls, c)
	defer w.open.Wait()
	defer cancel()
	w.serve(ctx.Done())
	c.stopped.Store(true)
	timeout, done := context.WithTimeout(calls, c.settings.StopTimeout)
	defer done()
	w.finish(timeout.Done())
}
