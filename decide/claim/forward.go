package claim

import (
	"maps"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// Forward asks the adapter to hand an operation to the VM preferred for its
// shard. The adapter gives exactly one ForwardAnswer, and hands the operation
// over once at most.
type Forward struct {
	ID    uint64
	VM    ids.VM
	Shard int
	Op    Op
	// Until is when the VM must have stopped to try.
	Until time.Time
}

// Served tells what came of an operation of another VM. It is the last word
// to it.
type Served struct {
	Op     Op
	Answer ForwardAnswer
}

// ForwardKind is what came of a Forward.
type ForwardKind int

// Kinds of answers to a Forward.
const (
	// ForwardUncertain: the VM may have committed the operation, or may yet do
	// so until the Forward's Until.
	ForwardUncertain ForwardKind = iota
	// ForwardRefused: the VM did not commit the operation and never will.
	ForwardRefused
	// ForwardDone: the operation is committed.
	ForwardDone
)

// ForwardAnswer is the answer to a Forward.
type ForwardAnswer struct {
	Kind ForwardKind
	// Result and Prior are as in Ended, for a Claim that is done.
	Result router.ClaimResult
	Prior  router.ClaimRecord
}

func (Forward) isCommand() {}
func (Served) isCommand()  {}

// forward is an operation handed to another VM.
type forward struct {
	id    uint64
	op    Op
	until time.Time
}

// Forward takes an operation as Submit does, and has it committed by another
// VM. If that one refuses, the Group commits the operation itself at once. If
// it stays silent, the Group does so once the time given to it is over: from
// then on the VM starts no write of it, and each write that it started before
// is over when a write of this Group succeeds.
func (g *Group) Forward(now time.Time, op Op, vm ids.VM) ([]Command, error) {
	g.out = g.out[:0]
	if err := op.check(); err != nil {
		return nil, err
	}
	until := g.forwardUntil(now, op)
	if len(g.forwards) >= g.settings.MaxForwards || !until.After(now) {
		return g.Submit(now, op)
	}
	g.forwarded++
	f := &forward{id: g.forwarded, op: op, until: until}
	g.forwards[f.id] = f
	if g.forwardDue.IsZero() || until.Before(g.forwardDue) {
		g.forwardDue = until
	}
	g.counts.Forwarded++
	g.emit(Forward{ID: f.id, VM: vm, Shard: g.ShardOf(op.Record), Op: op, Until: until})
	return g.out, nil
}

// forwardUntil is how long another VM may try: a share of the time left.
func (g *Group) forwardUntil(now time.Time, op Op) time.Time {
	if op.Deadline.IsZero() {
		return now.Add(g.settings.ForwardTimeout + g.settings.SettleWindow)
	}
	share := min(op.Deadline.Sub(now)/forwardShare, g.settings.ForwardTimeout)
	return now.Add(share)
}

// ForwardEnded takes the answer to a Forward. One that comes too late is
// dropped.
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
		g.forwardDone(f.op, answer)
	case ForwardRefused:
		delete(g.forwards, id)
		g.counts.ForwardsRefused++
		g.adopt(now, f.op, untainted)
	}
	return g.out
}

// forwardDone says the last word on an operation that another VM committed.
func (g *Group) forwardDone(op Op, answer ForwardAnswer) {
	switch op.Kind {
	case Claim:
		g.end(Ended{Op: op, Result: answer.Result, Prior: answer.Prior})
	case Release:
		g.emit(Released{Op: op, Confirmed: true})
	}
}

// takeBack commits the operations by itself whose VM stayed silent, in the
// order they were handed over. Their writes there may yet arrive at any version
// known so far, so only a write of this Group settles them.
func (g *Group) takeBack(now time.Time) {
	if g.forwardDue.IsZero() || now.Before(g.forwardDue) {
		return
	}
	g.forwardDue = time.Time{}
	for _, id := range slices.Sorted(maps.Keys(g.forwards)) {
		f := g.forwards[id]
		switch {
		case !now.Before(f.until):
			delete(g.forwards, id)
			g.counts.ForwardsSilent++
			g.adopt(now, f.op, anyVersion)
		case g.forwardDue.IsZero() || f.until.Before(g.forwardDue):
			g.forwardDue = f.until
		}
	}
}

// adopt takes an operation that was forwarded.
func (g *Group) adopt(now time.Time, op Op, taint int64) {
	if g.machine(g.ShardOf(op.Record)).submit(now, op, taint) == nil {
		return
	}
	if taint == untainted {
		g.end(Ended{Op: op, Result: router.ClaimFailed})
		return
	}
	g.end(Ended{Op: op, Result: router.ClaimUncertain})
	op.Kind = Release
	op.Deadline = time.Time{}
	g.machine(g.ShardOf(op.Record)).carryOn(now, op, taint)
}

// Serve takes an operation of another VM, whose Deadline is the end of the
// time given to this one, by this VM's clock: from then on the Group starts no
// write of it. Errors: *OpError, *QueueFullError, *ExpiredError and *RepeatedError;
// then the operation was not taken. One that is taken gets exactly one Served.
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
	if !g.roomToServe(now) {
		return nil, &QueueFullError{Shard: g.ShardOf(op.Record)}
	}
	if err := g.machine(g.ShardOf(op.Record)).submit(now, op, untainted); err != nil {
		return nil, err
	}
	g.served[op.Nonce] = op.Deadline
	g.counts.Served++
	return g.out, nil
}

// roomToServe forgets the nonces of operations whose time is over, which
// would now be late, and reports whether there is room for one more.
func (g *Group) roomToServe(now time.Time) bool {
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

// giveBack ends an operation of another VM whose time is over: it takes care
// of it from now on.
func (m *machine) giveBack(p *pending) {
	answer := ForwardAnswer{Kind: ForwardRefused}
	if p.inFlight || p.taint != untainted {
		answer.Kind = ForwardUncertain
	}
	p.told = true
	p.done = !p.inFlight
	m.group.emit(Served{Op: p.op, Answer: answer})
}

// serveDone says the last word on an operation of another VM that is settled.
// A claim that found no room is given back, to be refused there.
func (m *machine) serveDone(p *pending, v verdict) {
	answer := ForwardAnswer{Kind: ForwardDone, Result: v.result, Prior: v.prior}
	if v.result == router.ClaimFailed {
		answer = ForwardAnswer{Kind: ForwardRefused}
	}
	m.group.emit(Served{Op: p.op, Answer: answer})
}
