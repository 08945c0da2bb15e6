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

	"github.com/alitto/pond/v2"

	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

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
	commands *ring.Ring[claim.Op]
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
		commands: ring.New[claim.Op]("claims", settings.Ring),
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
	return c.commands.Offer(op)
}

// op turns a command into an operation.
func (c *Committer) op(command router.Command) (claim.Op, error) {
	deadline := time.Now().Add(c.settings.Deadline)
	switch cmd := command.(type) {
	case router.Claim:
		return claim.Op{Kind: claim.Claim, Record: cmd.Record, Nonce: rand.Text(), Over: cmd.Over, Deadline: deadline}, nil
	case router.Release:
		return claim.Op{Kind: claim.Release, Record: cmd.Record, Deadline: deadline}, nil
	case router.Settle:
		return claim.Op{Kind: claim.Settle, Record: cmd.Record}, nil
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
	group := claim.New(c.settings.Claim)
	w := &worker{
		Committer: c,
		group:     group,
		pool:      pond.NewPool(c.settings.Parallel),
		calls:     calls,
		answers:   make(chan claim.Answer, group.Shards()),
	}
	defer w.open.Wait()
	defer cancel()
	w.serve(ctx.Done())
	c.stopped.Store(true)
	timeout, done := context.WithTimeout(calls, c.settings.StopTimeout)
	defer done()
	w.finish(timeout.Done())
}
