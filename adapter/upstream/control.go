package upstream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// controlTimeout bounds a control call whose context has no deadline.
const controlTimeout = 2 * time.Second

// maxControl is the most bytes of a control call's answer.
const maxControl = 256 << 10

// Cancel cancels a request at the engine that is its head, on a connection of
// its own. Errors: *CallError, *StatusError, *AnswerError; the request's fate
// is then not known. Any goroutine may call it.
func Cancel(ctx context.Context, address string, request ids.Request) (engineapi.CancelReply, error) {
	var reply engineapi.CancelReply
	err := control(ctx, fasthttp.MethodDelete, address, streamPath(request), &reply)
	if err == nil && reply.State == "" {
		err = &InvalidReplyError{}
	}
	return reply, err
}

// control makes one call and decodes its JSON answer.
func control(ctx context.Context, method, address, uri string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	l, err := dial(ctx, address, controlTimeout, controlTimeout)
	if err != nil {
		return &CallError{Address: address, Cause: err}
	}
	defer func() { _ = l.Close() }()
	stop := context.AfterFunc(ctx, closer(l.Conn))
	defer stop()
	status, body, err := roundTrip(l, newRequest(method, address, uri))
	if err != nil {
		return &CallError{Address: address, Cause: err}
	}
	if status != fasthttp.StatusOK {
		return statusError(status, body)
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &InvalidReplyError{Cause: err}
	}
	return nil
}

// roundTrip sends a request and reads its whole answer.
func roundTrip(l *link, req *fasthttp.Request) (int, []byte, error) {
	if err := l.send(req); err != nil {
		return 0, nil, err
	}
	resp := &fasthttp.Response{}
	if err := l.head(resp, DefaultMaxHeadBytes); err != nil {
		return 0, nil, err
	}
	body, err := readBody(l, resp, maxControl)
	return resp.StatusCode(), body, err
}

// statusError reads the Refusal of an answer other than 200, if it has one.
func statusError(status int, body []byte) error {
	var refusal engineapi.Refusal
	_ = json.Unmarshal(body, &refusal) // without one the code stays empty
	return &StatusError{Status: status, Code: refusal.Code}
}

// abandon ends an attempt that failed after its send may have arrived: when
// ctx was cancelled or the caller takes no more, the engine is told too.
func (a *attempt) abandon(ctx context.Context, f *failure) *failure {
	if ctx.Err() != nil {
		f = fail(outcome.Cancelled, ctx.Err())
		f.abandoned = true
	}
	if f.abandoned {
		a.cancelUpstream(f)
	}
	return f
}

// cancelUpstream cancels the work at a model engine. Plain services have no
// cancel, and a rejoined stream of another request may have other readers.
func (a *attempt) cancelUpstream(f *failure) {
	resume := a.send.Resume
	if !a.send.Model || (resume != nil && resume.Request != a.send.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.runner.options.CancelTimeout)
	defer cancel()
	reply, err := Cancel(ctx, a.head().Address, a.send.ID)
	if err != nil {
		f.detail += ": " + err.Error()
		return
	}
	f.detail += ": " + reply.State
	a.runner.options.Epochs.Record(a.head().Address, reply.Epoch)
	if a.provesNotRun(reply) {
		a.refuse()
	}
}

// provesNotRun reports whether a cancel met a request that never started, in
// the process life that it was sent to.
func (a *attempt) provesNotRun(reply engineapi.CancelReply) bool {
	return a.phase == outcome.MaybeSent &&
		reply.State == engineapi.CancelNotStarted &&
		a.epoch != "" && reply.Epoch == a.epoch
}
