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
	// pool makes the calls; it has no goroutine while none is open.
	pool pond.Pool
	open sync.WaitGroup
	// calls is the context of the platform calls.
	calls context.Context
	// answers has room for one answer from each shard.
	answers chan claim.Answer
}

// serve works until stop.
func (w *worker) serve(stop <-chan struct{}) {
	for w.step(stop) {
		w.publish()
	}
}

// finish works until nothing is left to do, or until stop.
func (w *worker) finish(stop <-chan struct{}) {
	for w.group.Pending()+w.commands.Len() > 0 && w.step(stop) {
		w.publish()
	}
}

// publish shows the counts to other goroutines.
func (w *worker) publish() {
	counts := w.group.Counts()
	w.counts.Store(&counts)
}

// step waits for one thing to happen and handles it; false at stop.
func (w *worker) step(stop <-chan struct{}) bool {
	wake, cancel := w.wake()
	defer cancel()
	select {
	case op := <-w.commands.Out():
		w.submit(op)
	case answer := <-w.answers:
		w.do(w.group.Answer(time.Now(), answer))
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

// submit hands an operation to the decisions.
func (w *worker) submit(op claim.Op) {
	commands, err := w.group.Submit(time.Now(), op)
	if err == nil {
		w.do(commands)
		return
	}
	w.settings.OnProblem(err)
	switch op.Kind {
	case claim.Claim:
		w.sink.ClaimEnded(router.ClaimEnded{ID: op.Record.Request, Result: router.ClaimFailed})
	case claim.Release:
		w.sink.ClaimReleased(router.ClaimReleased{ID: op.Record.Request})
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
		case claim.Problem:
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
