package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// worker is the goroutine that drives the decisions.
type worker struct {
	*Committer
	group *claim.Group
	// pool makes the calls, forwards those to other VMs; they have no
	// goroutine while none is open.
	pool, forwards pond.Pool
	open           sync.WaitGroup
	// calls is the context of the calls.
	calls context.Context
	// answers has room for one answer from each shard.
	answers chan claim.Answer
	// forwarded takes the answers of other VMs.
	forwarded chan forwarded
	// stopping is true once nothing more is forwarded.
	stopping bool
	// serving are the operations of other VMs, by nonce.
	serving map[string]chan<- claim.ForwardAnswer
}

// forwarded is the answer of another VM.
type forwarded struct {
	id     uint64
	answer claim.ForwardAnswer
}

// newWorker makes the worker of a Committer.
func newWorker(calls context.Context, c *Committer) *worker {
	group := claim.New(c.settings.Claim)
	return &worker{
		Committer: c,
		group:     group,
		pool:      pond.NewPool(c.settings.MaxPlatformCalls),
		forwards:  pond.NewPool(c.settings.MaxForwards),
		calls:     calls,
		answers:   make(chan claim.Answer, group.Shards()),
		forwarded: make(chan forwarded, c.settings.MaxForwards),
		serving:   make(map[string]chan<- claim.ForwardAnswer),
	}
}

// serve works until stop.
func (w *worker) serve(stop <-chan struct{}) {
	for w.step(stop) {
		w.publish()
	}
}

// finish works until nothing is left to do, or until stop.
func (w *worker) finish(stop <-chan struct{}) {
	w.stopping = true
	for w.group.Pending()+w.commands.Len() > 0 && w.step(stop) {
		w.publish()
	}
}

// publish shows the counts to other goroutines, and tells what was added.
func (w *worker) publish() {
	counts := w.group.Counts()
	before := w.counts.Swap(&counts)
	if counts == *before {
		return
	}
	added := counts.Sub(*before)
	added.Each(func(name string, n uint64) {
		if n > 0 {
			w.settings.OnCount(name, int64(n))
		}
	})
}

// step waits for one thing to happen and handles it; false at stop.
func (w *worker) step(stop <-chan struct{}) bool {
	wake, cancel := w.wake()
	defer cancel()
	select {
	case next := <-w.commands.Out():
		w.take(next)
	case answer := <-w.answers:
		w.do(w.group.Answer(time.Now(), answer))
	case f := <-w.forwarded:
		w.do(w.group.ForwardEnded(time.Now(), f.id, f.answer))
	case <-wake:
		w.do(w.group.Tick(time.Now()))
	case <-stop:
		return false
	}
	return true
}

// wake gives a channel that is ready when the next tick is due; nil if none is.
func (w *worker) wake() (<-chan time.Time, func()) {
	at, ok := w.group.Wake()
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(at))
	return timer.C, func() { timer.Stop() }
}

// take hands an operation to the decisions.
func (w *worker) take(next work) {
	if next.answer != nil {
		w.serveOp(next)
		return
	}
	commands, err := w.submit(next.op)
	if err == nil {
		w.do(commands)
		return
	}
	w.settings.OnProblem(err)
	switch next.op.Kind {
	case claim.Claim:
		w.sink.ClaimEnded(router.ClaimEnded{ID: next.op.Record.Request, Result: router.ClaimFailed})
	case claim.Release:
		w.sink.ClaimReleased(router.ClaimReleased{ID: next.op.Record.Request})
	}
}

// submit hands an operation of this VM to the decisions, to be committed by
// the preferred VM if there is one.
func (w *worker) submit(op claim.Op) ([]claim.Command, error) {
	if w.settings.Peers != nil && !w.stopping {
		if vm, ok := w.settings.Peers.Preferred(w.group.ShardOf(op.Record)); ok {
			return w.group.Forward(time.Now(), op, vm)
		}
	}
	return w.group.Submit(time.Now(), op)
}

// serveOp hands an operation of another VM to the decisions. What came too
// late or came before may have been committed.
func (w *worker) serveOp(next work) {
	commands, err := w.group.Serve(time.Now(), next.op)
	if err == nil {
		w.serving[next.op.Nonce] = next.answer
		w.do(commands)
		return
	}
	kind := claim.ForwardRefused
	if errors.As(err, new(*claim.ExpiredError)) || errors.As(err, new(*claim.RepeatedError)) {
		kind = claim.ForwardUncertain
	}
	next.answer <- claim.ForwardAnswer{Kind: kind}
}

// served hands on what came of an operation of another VM.
func (w *worker) served(c claim.Served) {
	if answer := w.serving[c.Op.Nonce]; answer != nil {
		delete(w.serving, c.Op.Nonce)
		answer <- c.Answer
	}
}

// forward asks another VM. The Group bounds how many wait for the pool, and
// takes back what gets no answer.
func (w *worker) forward(c claim.Forward) {
	w.open.Add(1)
	err := w.forwards.Go(func() {
		defer w.open.Done()
		ctx, cancel := context.WithDeadline(w.calls, c.Until)
		defer cancel()
		select {
		case w.forwarded <- forwarded{id: c.ID, answer: w.settings.Peers.Forward(ctx, c)}:
		case <-w.calls.Done():
		}
	})
	if err != nil {
		w.open.Done()
	}
}

// do carries out commands.
func (w *worker) do(commands []claim.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case claim.Read:
			w.start(c.Shard, func(ctx context.Context) claim.Answer { return w.read(ctx, c) })
		case claim.Write:
			w.start(c.Shard, func(ctx context.Context) claim.Answer { return w.write(ctx, c) })
		case claim.Ended:
			w.sink.ClaimEnded(router.ClaimEnded{ID: c.Op.Record.Request, Result: c.Result, Prior: c.Prior})
		case claim.Released:
			w.sink.ClaimReleased(router.ClaimReleased{ID: c.Op.Record.Request, Confirmed: c.Confirmed})
		case claim.Forward:
			w.forward(c)
		case claim.Served:
			w.served(c)
		case claim.InvalidValue:
			w.settings.OnProblem(c.Err)
		}
	}
}

// start makes a platform call on the pool. Each shard has one call open, so
// that the pool's queue is bounded by the number of shards.
func (w *worker) start(shard int, call func(ctx context.Context) claim.Answer) {
	w.open.Add(1)
	err := w.pool.Go(func() {
		defer w.open.Done()
		ctx, cancel := context.WithTimeout(w.calls, w.settings.CallTimeout)
		defer cancel()
		answer := call(ctx)
		answer.Shard = shard
		w.answers <- answer
	})
	if err != nil {
		w.open.Done()
		w.answers <- claim.Answer{Shard: shard, Kind: claim.AnswerFailed}
	}
}

// read makes a Read.
func (w *worker) read(ctx context.Context, c claim.Read) claim.Answer {
	object, err := w.platform.Get(ctx, c.Key)
	var notFound *platform.NotFoundError
	switch {
	case err == nil:
		return claim.Answer{Kind: claim.AnswerObject, Object: object}
	case errors.As(err, &notFound):
		return claim.Answer{Kind: claim.AnswerNotFound}
	}
	return claim.Answer{Kind: claim.AnswerFailed}
}

// write makes a Write.
func (w *worker) write(ctx context.Context, c claim.Write) claim.Answer {
	object, err := w.platform.Put(ctx, c.Key, c.Value, c.IfMatch)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return claim.Answer{Kind: claim.AnswerWritten, Object: object}
	case errors.As(err, &conflict):
		return claim.Answer{Kind: claim.AnswerConflict, Object: conflict.Current}
	case platform.MayHaveTakenEffect(err):
		return claim.Answer{Kind: claim.AnswerLost}
	}
	return claim.Answer{Kind: claim.AnswerFailed}
}
