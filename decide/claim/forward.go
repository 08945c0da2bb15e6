package claim

import (
	"maps"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// Forward asks the adapter to send an operation to the VM that is preferred for
// its shard. The adapter must send it at most once and return exactly one
// ForwardAnswer.
type Forward struct {
	ID    uint64
	VM    ids.VM
	Shard int
	Op    Op
	// Until is the time, by this VM's clock, by which the other VM must stop
	// starting writes of the operation.
	Until time.Time
}

// Served is the final result of an operation that was accepted from another VM.
type Served struct {
	Op     Op
	Answer ForwardAnswer
}

// ForwardKind is the outcome of a Forward.
type ForwardKind int

// Outcomes of a Forward.
const (
	// ForwardUncertain: the other VM may have committed the operation, or may
	// still commit it until Forward.Until.
	ForwardUncertain ForwardKind = iota
	// ForwardRefused: the other VM did not commit the operation and never will.
	ForwardRefused
	// ForwardDone: the operation is committed.
	ForwardDone
)

// ForwardAnswer is the answer to a Forward.
type ForwardAnswer struct {
	Kind ForwardKind
	// Result and Prior are as in Ended. They are set for a Claim that is done.
	Result router.ClaimResult
	Prior  router.ClaimRecord
}

func (Forward) isCommand() {}
func (Served) isCommand()  {}

// forward is an operation that was forwarded to another VM and is not answered
// yet.
type forward struct {
	id    uint64
	op    Op
	until time.Time
}

// Forward accepts an operation as Submit does, but has another VM commit it. It
// commits the operation locally, as Submit does, if too many forwards are open
// or no time is left for the other VM.
//
// If the other VM refuses, the Group commits the operation itself at once. If no
// answer arrives, the Group does so at Forward.Until: from then on the other VM
// starts no write of the operation, and any write that it started before can no
// longer take effect once a write of this Group succeeds.
func (g *Group) Forward(now time.Time, op Op, vm ids.VM) ([]Command, error) {
	g.out = g.out[:0]
	if err := op.check(); err != nil {
		return nil, err
	}
	until := g.forwardDeadline(now, op)
	if len(g.forwards) >= g.settings.MaxForwards || !until.After(now) {
		return g.Submit(now, op)
	}
	g.lastForwardID++
	f := &forward{id: g.lastForwardID, op: op, until: until}
	g.forwards[f.id] = f
	if g.nextForwardDeadline.IsZero() || until.Before(g.nextForwardDeadline) {
		g.nextForwardDeadline = until
	}
	g.counts.Forwarded++
	g.emit(Forward{ID: f.id, VM: vm, Shard: g.ShardOf(op.Record), Op: op, Until: until})
	return g.out, nil
}

// forwardDeadline returns when the other VM must stop trying to commit the
// operation. It leaves this VM time to commit the operation itself.
func (g *Group) forwardDeadline(now time.Time, op Op) time.Time {
	if op.Deadline.IsZero() {
		return now.Add(g.settings.ForwardTimeout + g.settings.SettleWindow)
	}
	share := min(op.Deadline.Sub(now)/forwardTimeDivisor, g.settings.ForwardTimeout)
	return now.Add(share)
}

// ForwardEnded handles the answer to a Forward. It ignores answers that arrive
// after Forward.Until was reached. After ForwardUncertain it waits until then.
func (g *Group) ForwardEnded(now time.Time, id uint64, answer ForwardAnswer) []Command {
	g.out = g.out[:0]
	f := g.forwards[id]
	if f == nil {
		return g.out
	}
	switch answer.Kind {
	case ForwardDone:
		delete(g.forwards, id)
		g.counts.ForwardsDone++
		g.finishForward(f.op, answer)
	case ForwardRefused:
		delete(g.forwards, id)
		g.counts.ForwardsRefused++
		g.commitLocally(now, f.op, noLostWrite)
	}
	return g.out
}

// finishForward reports the result of an operation that another VM committed.
func (g *Group) finishForward(op Op, answer ForwardAnswer) {
	switch op.Kind {
	case Claim:
		g.end(Ended{Op: op, Result: answer.Result, Prior: answer.Prior})
	case Release:
		g.emit(Released{Op: op, Confirmed: true})
	}
}

// reclaimForwards commits operations locally, in the order they were forwarded,
// if the other VM has not answered in time. The other VM may have written them
// over versions that this Group has not seen, so only a write of this Group
// resolves them.
func (g *Group) reclaimForwards(now time.Time) {
	if g.nextForwardDeadline.IsZero() || now.Before(g.nextForwardDeadline) {
		return
	}
	g.nextForwardDeadline = time.Time{}
	for _, id := range slices.Sorted(maps.Keys(g.forwards)) {
		f := g.forwards[id]
		switch {
		case !now.Before(f.until):
			delete(g.forwards, id)
			g.counts.ForwardsSilent++
			g.commitLocally(now, f.op, unknownVersion)
		case g.nextForwardDeadline.IsZero() || f.until.Before(g.nextForwardDeadline):
			g.nextForwardDeadline = f.until
		}
	}
}

// commitLocally queues an operation that was forwarded without success. If the
// queue is full, a claim fails; if the other VM may have committed it, the claim
// is uncertain and is released in the background.
func (g *Group) commitLocally(now time.Time, op Op, lostVersion int64) {
	if g.committer(g.ShardOf(op.Record)).submit(now, op, lostVersion) == nil {
		return
	}
	if lostVersion == noLostWrite {
		g.end(Ended{Op: op, Result: router.ClaimFailed})
		return
	}
	g.end(Ended{Op: op, Result: router.ClaimUncertain})
	op.Kind = Release
	op.Deadline = time.Time{}
	g.committer(g.ShardOf(op.Record)).submitBackground(now, op, lostVersion)
}

// Serve accepts an operation that another VM has forwarded. op.Deadline is the
// end of the time granted to this VM, by this VM's clock; from then on the Group
// starts no write of the operation. Every accepted operation gets exactly one
// Served. The operation is not accepted if an error is returned: *OpError,
// *QueueFullError, *ExpiredError or *RepeatedError.
func (g *Group) Serve(now time.Time, op Op) ([]Command, error) {
	g.out = g.out[:0]
	op.remote = true
	if op.Nonce == "" {
		return nil, &OpError{Missing: "nonce"}
	}
	if err := op.check(); err != nil {
		return nil, err
	}
	if !now.Before(op.Deadline) {
		return nil, &ExpiredError{}
	}
	if _, repeated := g.served[op.Nonce]; repeated {
		return nil, &RepeatedError{}
	}
	if !g.hasServeCapacity(now) {
		return nil, &QueueFullError{Shard: g.ShardOf(op.Record)}
	}
	if err := g.committer(g.ShardOf(op.Record)).submit(now, op, noLostWrite); err != nil {
		return nil, err
	}
	g.served[op.Nonce] = op.Deadline
	g.counts.Served++
	return g.out, nil
}

// hasServeCapacity reports whether another forwarded operation can be accepted.
// If the limit is reached, it first forgets the nonces of expired operations;
// repetitions of these are rejected as expired.
func (g *Group) hasServeCapacity(now time.Time) bool {
	if len(g.served) < g.settings.MaxForwards {
		return true
	}
	for nonce, deadline := range g.served {
		if !now.Before(deadline) {
			delete(g.served, nonce)
		}
	}
	return len(g.served) < g.settings.MaxForwards
}

// returnToOrigin ends an operation of another VM whose deadline has passed. The
// origin VM commits it from now on.
func (s *shardCommitter) returnToOrigin(p *pending) {
	answer := ForwardAnswer{Kind: ForwardRefused}
	if p.inFlight || p.lostVersion != noLostWrite {
		answer.Kind = ForwardUncertain
	}
	p.reported = true
	p.done = !p.inFlight
	s.group.emit(Served{Op: p.op, Answer: answer})
}

// reportServed reports the result of a resolved operation of another VM. A claim
// that failed for lack of room is refused; the origin VM then tries it itself
// and reports the failure.
func (s *shardCommitter) reportServed(p *pending, r opResult) {
	answer := ForwardAnswer{Kind: ForwardDone, Result: r.result, Prior: r.prior}
	if r.result == router.ClaimFailed {
		answer = ForwardAnswer{Kind: ForwardRefused}
	}
	s.group.emit(Served{Op: p.op, Answer: answer})
}
