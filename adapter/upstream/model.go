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

// readModelResponse reads the response of a model engine.
func (a *attempt) readModelResponse(ctx context.Context, conn *stallConn, resp *fasthttp.Response) *failure {
	if resp.StatusCode() != fasthttp.StatusOK {
		return a.readModelRefusal(conn, resp)
	}
	if f := a.checkHead(resp); f != nil {
		return f
	}
	epoch := string(resp.Header.Peek(engineapi.EpochHeader))
	a.runner.options.Epochs.Record(a.target().Address, epoch)
	a.markStarted(epoch)
	led := a.newLedger()
	defer func() { a.runner.options.CountStale(led.Stale()) }()
	return a.readStream(ctx, conn, resp.BodyStream(), led)
}

// checkHead checks that the headers of a response with status 200 belong to the
// expected attempt and, for a rejoined stream, to the expected epoch.
func (a *attempt) checkHead(resp *fasthttp.Response) *failure {
	got := string(resp.Header.Peek(engineapi.AttemptHeader))
	if got != "" && got != strconv.Itoa(int(a.expectedAttempt())) {
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

// expectedAttempt returns the number of the attempt whose tokens are accepted: for
// a rejoined stream that of the attempt which started it.
func (a *attempt) expectedAttempt() ids.Attempt {
	if a.send.Resume != nil {
		return a.send.Resume.Attempt
	}
	return a.send.Attempt
}

// newLedger returns the ledger that checks the tokens of the attempt. Of a rejoined
// stream only the first engine may be known; its ledger then takes the chain from
// the first token.
func (a *attempt) newLedger() *ledger.Ledger {
	reorder := a.runner.options.ReorderWindow
	if a.send.Resume != nil && !a.send.Chain.Tiles(a.send.Layers) {
		return ledger.NewRejoin(a.target().ID, a.send.Layers, a.expectedAttempt(), a.call.TokenCount(), reorder)
	}
	return ledger.New(a.send.Chain, a.send.Layers, a.expectedAttempt(), a.call.TokenCount(), reorder)
}

// readModelRefusal reads a response with a status other than 200. Only a complete
// Refusal body proves that the engine refused the request.
func (a *attempt) readModelRefusal(conn *stallConn, resp *fasthttp.Response) *failure {
	if a.send.Resume != nil && resp.StatusCode() == fasthttp.StatusNotFound {
		return &failure{reason: outcome.UpstreamRefused, detail: "not found"}
	}
	body, err := readBody(conn, resp, a.runner.options.MaxBodyBytes)
	if err != nil {
		return newFailure(bodyFailureReason(conn, err), err)
	}
	var refusal engineapi.Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Code == "" {
		return &failure{reason: outcome.UpstreamInvalid, detail: "status " + strconv.Itoa(resp.StatusCode()) + " without a refusal"}
	}
	a.markRefused()
	return refusalFailure(refusal, resp)
}

// refusalFailure returns the failure for a refusal.
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

// maxRetryAfter bounds the delay that a refusal advises.
const maxRetryAfter = time.Minute

// retryAfter returns the delay given in the body of a refusal, or else that of the
// Retry-After header in seconds, which may have a fraction. It returns 0 if there is
// neither.
func retryAfter(refusal engineapi.Refusal, resp *fasthttp.Response) time.Duration {
	if refusal.RetryAfterMs > 0 {
		return time.Duration(refusal.RetryAfterMs) * time.Millisecond
	}
	seconds, err := strconv.ParseFloat(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// readStream reads events until one of them ends the attempt. Only an accepted
// token extends the read deadline.
func (a *attempt) readStream(ctx context.Context, conn *stallConn, body io.Reader, led *ledger.Ledger) *failure {
	events := &eventReader{lines: bufio.NewReaderSize(body, a.runner.options.MaxEventBytes), maxBytes: a.runner.options.MaxEventBytes}
	conn.extendReadDeadline()
	for a.phase != outcome.Finished {
		e, err := events.next()
		if err != nil {
			return newFailure(bodyFailureReason(conn, err), err)
		}
		if f := a.handleEvent(ctx, conn, e, led); f != nil {
			return f
		}
	}
	return nil
}

// handleEvent handles one event of the stream. Events with unknown names are
// ignored.
func (a *attempt) handleEvent(ctx context.Context, conn *stallConn, e event, led *ledger.Ledger) *failure {
	switch e.name {
	case "", "message":
		return a.handleToken(ctx, conn, e, led)
	case engineapi.DoneEvent:
		return a.handleDone(e, led)
	case engineapi.ErrorEvent:
		return a.handleStreamError(e)
	default:
		return nil
	}
}

// handleToken checks a token against the ledger and passes the tokens that are now
// in order to the caller.
func (a *attempt) handleToken(ctx context.Context, conn *stallConn, e event, led *ledger.Ledger) *failure {
	var t engineapi.Token
	if err := json.Unmarshal(e.data, &t); err != nil {
		return newFailure(outcome.UpstreamInvalid, err)
	}
	if e.id != "" && e.id != strconv.Itoa(t.Index) {
		return &failure{reason: outcome.UpstreamInvalid, detail: "event id " + strconv.Quote(e.id) + " is not the token's index"}
	}
	if limit := a.call.Chat.MaxTokens; limit > 0 && t.Index >= limit {
		return &failure{reason: outcome.UpstreamInvalid, detail: "more tokens than asked for"}
	}
	stale := led.Stale()
	ready, err := led.Accept(t)
	if err != nil {
		return a.ledgerFailure(err)
	}
	for _, r := range ready {
		if err := a.call.Push(ctx, r); err != nil {
			return pushFailure(err)
		}
	}
	if led.Stale() == stale {
		conn.extendReadDeadline()
	}
	return nil
}

// ledgerFailure returns the failure for a token that the ledger rejected. It blames
// an engine of the chain if that engine ran wrong layers in its own stage.
func (a *attempt) ledgerFailure(err error) *failure {
	f := newFailure(outcome.LedgerViolation, err)
	var steps *ledger.StepsError
	if errors.As(err, &steps) && steps.Stage < len(a.send.Chain) {
		if e := a.send.Chain[steps.Stage]; string(e.ID) == steps.Got.Engine {
			f.upstream = e.ID
		}
	}
	return f
}

// pushFailure returns the failure for a token that the call did not take: the
// caller was too slow or is gone, or ctx ended.
func pushFailure(err error) *failure {
	reason := outcome.Cancelled
	var slow *call.SlowCallerError
	if errors.As(err, &slow) {
		reason = outcome.CallerGone
	}
	f := newFailure(reason, err)
	f.abandoned = true
	return f
}

// handleDone handles the end marker. One of another attempt is ignored.
func (a *attempt) handleDone(e event, led *ledger.Ledger) *failure {
	var d engineapi.Done
	if err := json.Unmarshal(e.data, &d); err != nil {
		return newFailure(outcome.UpstreamInvalid, err)
	}
	err := led.Done(d)
	var stale *ledger.StaleError
	if errors.As(err, &stale) {
		return nil
	}
	if err != nil {
		return newFailure(outcome.LedgerViolation, err)
	}
	a.call.SetFinishReason(d.Finish)
	a.advance(outcome.Finished)
	return nil
}

// handleStreamError handles the event with which an engine ends a stream early. One
// of another attempt is ignored.
func (a *attempt) handleStreamError(e event) *failure {
	var s engineapi.StreamError
	if err := json.Unmarshal(e.data, &s); err != nil {
		return newFailure(outcome.UpstreamInvalid, err)
	}
	if ids.Attempt(s.Attempt) != a.expectedAttempt() {
		a.runner.options.CountStale(1)
		return nil
	}
	f := &failure{reason: outcome.StageFailed, detail: s.Code, upstream: a.blamedEngine(s.Engine)}
	if s.Code == engineapi.CodeCancelled {
		f.reason = outcome.Cancelled
	}
	if s.Message != "" {
		f.detail += ": " + s.Message
	}
	return f
}
