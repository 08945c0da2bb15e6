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

// Sink receives the events of attempts. Runner.Run calls it from its own goroutine.
type Sink interface {
	// AttemptStarted is called at most once per attempt, before AttemptEnded.
	AttemptStarted(router.AttemptStarted)
	// AttemptEnded is called exactly once per attempt, as its last event.
	AttemptEnded(router.AttemptEnded)
}

// Runner runs attempts at upstreams. Run may be called from any goroutine, but
// attempts for the same call must not overlap.
type Runner struct{ options Options }

// New returns a Runner with the given options.
func New(o Options) *Runner { return &Runner{options: o.withDefaults()} }

// Run runs one attempt until it ends and reports its events to the sink. Tokens are
// passed to c.Push, the response of a plain service to c.SetAnswer. When ctx is
// cancelled, Run closes the connection and cancels the request at its engine;
// AttemptEnded then follows within Options.CancelTimeout.
//
// An attempt that rejoins a stream ends in phase MaybeSent at least, because the
// request behind the stream was sent by an earlier attempt. A nil c means that the
// call is over: Run then sends nothing.
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
	ended := a.endedEvent(f)
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
	// epoch is the epoch that was known for the engine just before the request was
	// sent; empty if none was.
	epoch string
}

// target returns the upstream that is called: the first engine of the chain or the
// plain service.
func (a *attempt) target() topology.Engine { return a.send.Chain[0] }

// advance raises the phase to p; it never lowers it. Only markRefused does.
func (a *attempt) advance(p outcome.Phase) { a.phase = max(a.phase, p) }

// run sends the request, reads the response, and cancels the request at the engine
// if the attempt was abandoned.
func (a *attempt) run(ctx context.Context) *failure {
	req, f := a.request()
	if f != nil {
		return f
	}
	conn, err := dial(ctx, a.target().Address, a.send.ConnectTimeout, a.send.StallAfter)
	if err != nil {
		return a.dialFailure(ctx, err)
	}
	f = a.exchange(ctx, conn, req)
	_ = conn.Close() // the response has been read or is abandoned
	if f == nil || a.phase == outcome.NotSent || a.phase == outcome.Refused {
		return f
	}
	return a.finishAbandoned(ctx, f)
}

// dialFailure distinguishes a dial that ctx cancelled from one that failed.
func (a *attempt) dialFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		return newFailure(outcome.Cancelled, ctx.Err())
	}
	return newFailure(outcome.ConnectFailed, err)
}

// exchange writes the request and reads the response on an open connection. The
// connection is closed when ctx ends.
func (a *attempt) exchange(ctx context.Context, conn *stallConn, req *fasthttp.Request) *failure {
	stop := context.AfterFunc(ctx, closeFunc(conn.Conn))
	defer stop()
	if ctx.Err() != nil {
		return newFailure(outcome.Cancelled, ctx.Err())
	}
	a.epoch = a.runner.options.Epochs.Get(a.target().Address)
	a.advance(outcome.MaybeSent)
	if err := conn.sendRequest(req); err != nil {
		return newFailure(conn.failureReason(), err)
	}
	resp := &fasthttp.Response{}
	resp.SkipBody = req.Header.IsHead()
	if err := conn.readHead(resp, a.runner.options.MaxHeadBytes); err != nil {
		return newFailure(conn.failureReason(), err)
	}
	if a.send.Model {
		return a.readModelResponse(ctx, conn, resp)
	}
	return a.readPlainResponse(conn, resp)
}

// closeFunc returns a function that closes conn.
func closeFunc(conn net.Conn) func() {
	return func() { _ = conn.Close() }
}

// markStarted records that the upstream confirmed the start, and reports it to the
// sink.
func (a *attempt) markStarted(epoch string) {
	a.advance(outcome.Started)
	a.sink.AttemptStarted(router.AttemptStarted{ID: a.send.ID, Attempt: a.send.Attempt, Epoch: epoch})
}

// markRefused records that the upstream refused the request before starting it. A
// refusal to rejoin proves nothing about the request behind the stream, so it
// leaves the phase unchanged.
func (a *attempt) markRefused() {
	if a.send.Resume == nil {
		a.phase = outcome.Refused
	}
}

// endedEvent returns the last event of the attempt. f is nil after a complete
// response.
func (a *attempt) endedEvent(f *failure) router.AttemptEnded {
	e := router.AttemptEnded{
		ID:      a.send.ID,
		Attempt: a.send.Attempt,
		Phase:   a.phase,
	}
	if a.call != nil {
		e.Tokens = a.call.TokenCount()
	}
	if len(a.send.Chain) > 0 {
		e.Upstream = a.target().ID
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

// blamedEngine returns the ID of the engine that the upstream reports as failed, or
// "" if the chain does not contain it. Of a rejoined stream only the first engine
// may be known, so any name is accepted there.
func (a *attempt) blamedEngine(engine string) ids.Upstream {
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
