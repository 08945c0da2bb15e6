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

// worker drives a claim.Group in one goroutine.
type worker struct {
	*Committer
	group *claim.Group
	// callPool runs the platform calls and forwardPool the calls to other VMs.
	// Both have no goroutines while idle.
	callPool, forwardPool pond.Pool
	openCalls             sync.WaitGroup
	// callCtx is the parent context of all calls.
	callCtx context.Context
	// answers has room for one answer per shard, because each shard has at most
	// one open call.
	answers chan claim.Answer
	// forwardResults receives the answers of other VMs.
	forwardResults chan forwardResult
	// stopForwarding is set when the Committer stops; from then on nothing is
	// forwarded.
	stopForwarding bool
	// servedAnswers maps the nonces of operations of other VMs to the channels
	// for their results.
	servedAnswers map[string]chan<- claim.ForwardAnswer
}

// forwardResult is the answer of another VM to the Forward with the given ID.
type forwardResult struct {
	id     uint64
	answer claim.ForwardAnswer
}

// newWorker returns the worker of a Committer.
func newWorker(callCtx context.Context, c *Committer) *worker {
	group := claim.New(c.settings.Claim)
	return &worker{
		Committer:      c,
		group:          group,
		callPool:       pond.NewPool(c.settings.MaxPlatformCalls),
		forwardPool:    pond.NewPool(c.settings.MaxForwards),
		callCtx:        callCtx,
		answers:        make(chan claim.Answer, group.Shards()),
		forwardResults: make(chan forwardResult, c.settings.MaxForwards),
		servedAnswers:  make(map[string]chan<- claim.ForwardAnswer),
	}
}

// run handles inputs until stop is closed.
func (w *worker) run(stop <-chan struct{}) {
	for w.handleNext(stop) {
		w.publishCounts()
	}
}

// finish handles inputs until nothing is pending or stop is closed. It forwards
// nothing.
func (w *worker) finish(stop <-chan struct{}) {
	w.stopForwarding = true
	for w.group.Pending()+w.tasks.Len() > 0 && w.handleNext(stop) {
		w.publishCounts()
	}
}

// publishCounts stores the counts for other goroutines and reports the
// increments to Settings.Count.
func (w *worker) publishCounts() {
	counts := w.group.Counts()
	before := w.counts.Swap(&counts)
	if counts == *before {
		return
	}
	added := counts.Sub(*before)
	added.Each(func(name string, n uint64) {
		if n > 0 {
			w.settings.Count(name, int64(n))
		}
	})
}

// handleNext waits for the next input and handles it. It returns false if stop
// is closed first.
func (w *worker) handleNext(stop <-chan struct{}) bool {
	wake, cancel := w.nextTick()
	defer cancel()
	select {
	case next := <-w.tasks.Out():
		w.handleTask(next)
	case answer := <-w.answers:
		w.execute(w.group.Answer(time.Now(), answer))
	case f := <-w.forwardResults:
		w.execute(w.group.ForwardEnded(time.Now(), f.id, f.answer))
	case <-wake:
		w.execute(w.group.Tick(time.Now()))
	case <-stop:
		return false
	}
	return true
}

// nextTick returns a channel that fires when the next tick is due, and a
// function that stops its timer. The channel is nil if no tick is due.
func (w *worker) nextTick() (<-chan time.Time, func()) {
	at, ok := w.group.Wake()
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(at))
	return timer.C, func() { timer.Stop() }
}

// handleTask submits an operation to the Group. It reports an invalid operation
// as failed.
func (w *worker) handleTask(next task) {
	if next.answer != nil {
		w.handleServe(next)
		return
	}
	commands, err := w.submit(next.op)
	if err == nil {
		w.execute(commands)
		return
	}
	w.settings.OnError(err)
	switch next.op.Kind {
	case claim.Claim:
		w.sink.ClaimEnded(router.ClaimEnded{ID: next.op.Record.Request, Result: router.ClaimFailed})
	case claim.Release:
		w.sink.ClaimReleased(router.ClaimReleased{ID: next.op.Record.Request})
	}
}

// submit submits an operation of this VM to the Group. The preferred VM commits
// it if there is one.
func (w *worker) submit(op claim.Op) ([]claim.Command, error) {
	if w.settings.Peers != nil && !w.stopForwarding {
		if vm, ok := w.settings.Peers.Preferred(w.group.ShardOf(op.Record)); ok {
			return w.group.Forward(time.Now(), op, vm)
		}
	}
	return w.group.Submit(time.Now(), op)
}

// handleServe submits an operation of another VM to the Group. The answer to an
// operation that arrived too late or twice is uncertain, because it may have
// been committed before.
func (w *worker) handleServe(next task) {
	commands, err := w.group.Serve(time.Now(), next.op)
	if err == nil {
		w.servedAnswers[next.op.Nonce] = next.answer
		w.execute(commands)
		return
	}
	kind := claim.ForwardRefused
	if errors.As(err, new(*claim.ExpiredError)) || errors.As(err, new(*claim.RepeatedError)) {
		kind = claim.ForwardUncertain
	}
	next.answer <- claim.ForwardAnswer{Kind: kind}
}

// finishServed delivers the result of an operation of another VM.
func (w *worker) finishServed(c claim.Served) {
	if answer := w.servedAnswers[c.Op.Nonce]; answer != nil {
		delete(w.servedAnswers, c.Op.Nonce)
		answer <- c.Answer
	}
}

// forward sends an operation to another VM. The Group limits how many
// operations wait for the pool, and commits those that get no answer itself.
func (w *worker) forward(c claim.Forward) {
	w.openCalls.Add(1)
	err := w.forwardPool.Go(func() {
		defer w.openCalls.Done()
		ctx, cancel := context.WithDeadline(w.callCtx, c.Until)
		defer cancel()
		select {
		case w.forwardResults <- forwardResult{id: c.ID, answer: w.settings.Peers.Forward(ctx, c)}:
		case <-w.callCtx.Done():
		}
	})
	if err != nil {
		w.openCalls.Done()
	}
}

// execute executes the commands of the Group.
func (w *worker) execute(commands []claim.Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case claim.Read:
			w.startCall(c.Shard, func(ctx context.Context) claim.Answer { return w.read(ctx, c) })
		case claim.Write:
			w.startCall(c.Shard, func(ctx context.Context) claim.Answer { return w.write(ctx, c) })
		case claim.Ended:
			w.sink.ClaimEnded(router.ClaimEnded{ID: c.Op.Record.Request, Result: c.Result, Prior: c.Prior})
		case claim.Released:
			w.sink.ClaimReleased(router.ClaimReleased{ID: c.Op.Record.Request, Confirmed: c.Confirmed})
		case claim.Forward:
			w.forward(c)
		case claim.Served:
			w.finishServed(c)
		case claim.InvalidValue:
			w.settings.OnError(c.Err)
		}
	}
}

// startCall runs a platform call on the pool. Each shard has at most one open
// call, so the number of shards bounds the queue of the pool.
func (w *worker) startCall(shard int, call func(ctx context.Context) claim.Answer) {
	w.openCalls.Add(1)
	err := w.callPool.Go(func() {
		defer w.openCalls.Done()
		ctx, cancel := context.WithTimeout(w.callCtx, w.settings.CallTimeout)
		defer cancel()
		answer := call(ctx)
		answer.Shard = shard
		w.answers <- answer
	})
	if err != nil {
		w.openCalls.Done()
		w.answers <- claim.Answer{Shard: shard, Kind: claim.AnswerFailed}
	}
}

// read executes a Read.
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

// write executes a Write.
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
