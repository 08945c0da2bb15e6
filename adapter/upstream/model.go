package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/call"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/ledger"
)

// model reads a model engine's answer.
func (a *attempt) model(ctx context.Context, l *link, resp *fasthttp.Response) *failure {
	if resp.StatusCode() != fasthttp.StatusOK {
		return a.modelRefusal(l, resp)
	}
	if f := a.checkHead(resp); f != nil {
		return f
	}
	epoch := string(resp.Header.Peek(engineapi.EpochHeader))
	a.runner.options.Epochs.Record(a.head().Address, epoch)
	a.start(epoch)
	book := a.ledger()
	defer func() { a.runner.options.CountStale(book.Stale()) }()
	return a.stream(ctx, l, resp.BodyStream(), book)
}

// checkHead checks that a confirmed start is the one asked for.
func (a *attempt) checkHead(resp *fasthttp.Response) *failure {
	got := string(resp.Header.Peek(engineapi.AttemptHeader))
	if got != "" && got != strconv.Itoa(int(a.wantAttempt())) {
		return &failure{reason: outcome.UpstreamInvalid, detail: "answer belongs to attempt " + got}
	}
	resume := a.send.Resume
	if resume == nil || resume.Epoch == "" {
		return nil
	}
	if string(resp.Header.Peek(engineapi.EpochHeader)) != resume.Epoch {
		return &failure{reason: outcome.UpstreamRefused, detail: "engine lives another epoch"}
	}
	return nil
}

// wantAttempt is the attempt whose tokens are taken.
func (a *attempt) wantAttempt() ids.Attempt {
	if a.send.Resume != nil {
		return a.send.Resume.Attempt
	}
	return a.send.Attempt
}

// ledger makes the attempt's ledger; of a rejoined stream perhaps only the
// head is known.
func (a *attempt) ledger() *ledger.Ledger {
	reorder := a.runner.options.ReorderWindow
	if a.send.Resume != nil && !a.send.Chain.Tiles(a.send.Layers) {
		return ledger.NewRejoin(a.head().ID, a.send.Layers, a.wantAttempt(), a.call.TokenCount(), reorder)
	}
	return ledger.New(a.send.Chain, a.send.Layers, a.wantAttempt(), a.call.TokenCount(), reorder)
}

// modelRefusal reads an answer other than 200. Only a whole Refusal body is a
// positive refusal.
func (a *attempt) modelRefusal(l *link, resp *fasthttp.Response) *failure {
	if a.send.Resume != nil && resp.StatusCode() == fasthttp.StatusNotFound {
		return &failure{reason: outcome.UpstreamRefused, detail: "not found"}
	}
	body, err := readBody(l, resp, a.runner.options.MaxBodyBytes)
	if err != nil {
		return fail(bodyReason(l, err), err)
	}
	var refusal engineapi.Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Code == "" {
		return &failure{reason: outcome.UpstreamInvalid, detail: "status " + strconv.Itoa(resp.StatusCode()) + " without a refusal"}
	}
	a.refuse()
	return refusalFailure(refusal, resp)
}

// refusalFailure tells what a refusal says.
func refusalFailure(refusal engineapi.Refusal, resp *fasthttp.Response) *failure {
	f := &failure{reason: outcome.UpstreamRefused, detail: refusal.Code, retryAfter: retryAfter(refusal, resp)}
	if refusal.Message != "" {
		f.detail += ": " + refusal.Message
	}
	if refusal.Code == engineapi.CodeBusy {
		f.reason = outcome.UpstreamBusy
	}
	return f
}

// retryAfter takes the body's advice, else the header's in whole seconds.
func retryAfter(refusal engineapi.Refusal, resp *fasthttp.Response) time.Duration {
	if refusal.RetryAfterMs > 0 {
		return time.Duration(refusal.RetryAfterMs) * time.Millisecond
	}
	seconds, err := strconv.ParseUint(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// stream reads events until one ends the attempt. Only a token that was taken
// counts as progress.
func (a *attempt) stream(ctx context.Context, l *link, body io.Reader, book *ledger.Ledger) *failure {
	events := &eventReader{lines: bufio.NewReaderSize(body, a.runner.options.MaxEventBytes), max: a.runner.options.MaxEventBytes}
	l.progress()
	for a.phase != outcome.Finished {
		e, err := events.next()
		if err != nil {
			return fail(bodyReason(l, err), err)
		}
		if f := a.event(ctx, l, e, book); f != nil {
			return f
		}
	}
	return nil
}

// event takes one event of the stream. Events of unknown names are ignored.
func (a *attempt) event(ctx context.Context, l *link, e event, book *ledger.Ledger) *failure {
	switch e.name {
	case "", "message":
		return a.token(ctx, l, e, book)
	case engineapi.DoneEvent:
		return a.done(e, book)
	case engineapi.ErrorEvent:
		return a.streamError(e)
	default:
		return nil
	}
}

// token passes a token through the ledger to the caller.
func (a *attempt) token(ctx context.Context, l *link, e event, book *ledger.Ledger) *failure {
	var t engineapi.Token
	if err := json.Unmarshal(e.data, &t); err != nil {
		return fail(outcome.UpstreamInvalid, err)
	}
	if e.id != "" && e.id != strconv.Itoa(t.Index) {
		return &failure{reason: outcome.UpstreamInvalid, detail: "event id " + strconv.Quote(e.id) + " is not the token's index"}
	}
	if limit := a.call.Chat.MaxTokens; limit > 0 && t.Index >= limit {
		return &failure{reason: outcome.UpstreamInvalid, detail: "more tokens than asked for"}
	}
	stale := book.Stale()
	ready, err := book.Accept(t)
	if err != nil {
		return a.violation(err)
	}
	for _, r := range ready {
		if err := a.call.Push(ctx, r); err != nil {
			return pushFailure(err)
		}
	}
	if book.Stale() == stale {
		l.progress()
	}
	return nil
}

// violation makes a ledger's failure. An engine of the chain that ran its own
// stage with wrong layers is at fault.
func (a *attempt) violation(err error) *failure {
	f := fail(outcome.LedgerViolation, err)
	var steps *ledger.StepsError
	if errors.As(err, &steps) && steps.Stage < len(a.send.Chain) {
		if e := a.send.Chain[steps.Stage]; string(e.ID) == steps.Got.Engine {
			f.upstream = e.ID
		}
	}
	return f
}

// pushFailure tells why the caller's side took no token.
func pushFailure(err error) *failure {
	reason := outcome.Cancelled
	var slow *call.SlowCallerError
	if errors.As(err, &slow) {
		reason = outcome.CallerGone
	}
	f := fail(reason, err)
	f.abandoned = true
	return f
}

// done takes the end marker.
func (a *attempt) done(e event, book *ledger.Ledger) *failure {
	var d engineapi.Done
	if err := json.Unmarshal(e.data, &d); err != nil {
		return fail(outcome.UpstreamInvalid, err)
	}
	err := book.Done(d)
	var stale *ledger.StaleError
	if errors.As(err, &stale) {
		return nil
	}
	if err != nil {
		return fail(outcome.LedgerViolation, err)
	}
	a.call.SetFinishReason(d.Finish)
	a.reached(outcome.Finished)
	return nil
}

// streamError takes the event that ends a stream which could not be finished;
// one of another attempt is dropped.
func (a *attempt) streamError(e event) *failure {
	var s engineapi.StreamError
	if err := json.Unmarshal(e.data, &s); err != nil {
		return fail(outcome.UpstreamInvalid, err)
	}
	if ids.Attempt(s.Attempt) != a.wantAttempt() {
		a.runner.options.CountStale(1)
		return nil
	}
	f := &failure{reason: outcome.StageFailed, detail: s.Code, upstream: a.atFault(s.Engine)}
	if s.Code == engineapi.CodeCancelled {
		f.reason = outcome.Cancelled
	}
	if s.Message != "" {
		f.detail += ": " + s.Message
	}
	return f
}
