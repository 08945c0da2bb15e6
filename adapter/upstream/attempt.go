package upstream

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
	"mimosaarch.example/decide/topology"
)

// Sink takes the events of attempts; it is called from the goroutine of Run.
type Sink interface {
	// AttemptStarted comes at most once an attempt, before AttemptEnded.
	AttemptStarted(router.AttemptStarted)
	// AttemptEnded comes exactly once an attempt, as its last event.
	AttemptEnded(router.AttemptEnded)
}

// Runner runs attempts. Any goroutine may call Run; attempts of one call must
// not overlap.
type Runner struct{ options Options }

// New makes a Runner.
func New(o Options) *Runner { return &Runner{options: o.withDefaults()} }

// Run runs one attempt to its end and tells the sink. Tokens go to c.Push, a
// plain answer to c.SetAnswer. Cancelling ctx closes the connection and
// cancels the request at its engine; AttemptEnded follows within the
// runner's CancelTimeout. A rejoin never claims less than MaybeSent, since the
// stream it asks for was sent before. A nil c means that the call is over;
// nothing is sent for it.
func (r *Runner) Run(ctx context.Context, send router.Send, c *call.Call, sink Sink) {
	send.ConnectTimeout = defaults.Positive(send.ConnectTimeout, DefaultConnectTimeout)
	send.StallAfter = defaults.Positive(send.StallAfter, DefaultStallAfter)
	a := &attempt{runner: r, send: send, call: c, sink: sink}
	if send.Resume != nil {
		a.phase = outcome.MaybeSent
	}
	f := &failure{reason: outcome.CallerGone, detail: "the call is over"}
	if c != nil {
		f = a.run(ctx)
	}
	ended := a.ended(f)
	r.options.Log.Debug().Str("request", string(send.ID)).Int("attempt", int(send.Attempt)).
		Stringer("phase", ended.Phase).Str("reason", string(ended.Reason)).Str("detail", ended.Detail).
		Msg("attempt ended")
	sink.AttemptEnded(ended)
}

// attempt is the state of one Run.
type attempt struct {
	runner *Runner
	send   router.Send
	call   *call.Call
	sink   Sink
	phase  outcome.Phase
	// epoch is the engine's process life noted before the send.
	epoch string
}

// head is the engine or plain service that is called.
func (a *attempt) head() topology.Engine { return a.send.Chain[0] }

// reached raises the phase; it never falls, but for a refusal.
func (a *attempt) reached(p outcome.Phase) { a.phase = max(a.phase, p) }

// run makes the exchange, and the cancel where ctx ended it.
func (a *attempt) run(ctx context.Context) *failure {
	req, f := a.request()
	if f != nil {
		return f
	}
	l, err := dial(ctx, a.head().Address, a.send.ConnectTimeout, a.send.StallAfter)
	if err != nil {
		return a.dialFailure(ctx, err)
	}
	f = a.exchange(ctx, l, req)
	_ = l.Close() // the answer is read or given up
	if f == nil || a.phase == outcome.NotSent || a.phase == outcome.Refused {
		return f
	}
	return a.abandon(ctx, f)
}

// dialFailure tells a cancelled dial from a failed one.
func (a *attempt) dialFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		return fail(outcome.Cancelled, ctx.Err())
	}
	return fail(outcome.ConnectFailed, err)
}

// exchange writes the request and reads the answer on an open connection,
// which ctx closes when it ends.
func (a *attempt) exchange(ctx context.Context, l *link, req *fasthttp.Request) *failure {
	stop := context.AfterFunc(ctx, closer(l.Conn))
	defer stop()
	if ctx.Err() != nil {
		return fail(outcome.Cancelled, ctx.Err())
	}
	a.epoch = a.runner.options.Epochs.Get(a.head().Address)
	a.reached(outcome.MaybeSent)
	if err := l.send(req); err != nil {
		return fail(l.reason(), err)
	}
	resp := &fasthttp.Response{}
	resp.SkipBody = req.Header.IsHead()
	if err := l.head(resp, a.runner.options.MaxHeadBytes); err != nil {
		return fail(l.reason(), err)
	}
	if a.send.Model {
		return a.model(ctx, l, resp)
	}
	return a.plain(l, resp)
}

// closer gives a function that closes conn.
func closer(conn net.Conn) func() {
	return func() { _ = conn.Close() }
}

// start tells the sink that the upstream confirmed the start.
func (a *attempt) start(epoch string) {
	a.reached(outcome.Started)
	a.sink.AttemptStarted(router.AttemptStarted{ID: a.send.ID, Attempt: a.send.Attempt, Epoch: epoch})
}

// refuse notes that the upstream positively refused before starting. A
// refused rejoin says nothing about the stream it asked for.
func (a *attempt) refuse() {
	if a.send.Resume == nil {
		a.phase = outcome.Refused
	}
}

// ended makes the last event; f is nil after a whole answer.
func (a *attempt) ended(f *failure) router.AttemptEnded {
	e := router.AttemptEnded{
		ID:      a.send.ID,
		Attempt: a.send.Attempt,
		Phase:   a.phase,
	}
	if a.call != nil {
		e.Tokens = a.call.TokenCount()
	}
	if len(a.send.Chain) > 0 {
		e.Upstream = a.head().ID
	}
	if f == nil {
		return e
	}
	e.Reason, e.Detail, e.RetryAfter = f.reason, f.detail, f.retryAfter
	if f.upstream != "" {
		e.Upstream = f.upstream
	}
	return e
}

// atFault gives the engine that an upstream blames, if the chain names it;
// a rejoined chain is not known but for its head.
func (a *attempt) atFault(engine string) ids.Upstream {
	for _, e := range a.send.Chain {
		if string(e.ID) == engine {
			return e.ID
		}
	}
	if a.send.Resume != nil {
		return ids.Upstream(engine)
	}
	return ""
}
