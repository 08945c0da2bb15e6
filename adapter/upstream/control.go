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

// controlTimeout bounds a control call, in addition to the deadline of its context.
const controlTimeout = 2 * time.Second

// maxControlBytes limits the response body of a control call or a load poll.
const maxControlBytes = 256 << 10

// Cancel cancels a request at the first engine of its chain, over a new connection.
// Errors: *CallError, *StatusError, *InvalidReplyError; after any of them the
// request may still be running. Cancel may be called from any goroutine.
func Cancel(ctx context.Context, address string, request ids.Request) (engineapi.CancelReply, error) {
	return cancelRequest(ctx, newRequest(fasthttp.MethodDelete, address, streamPath(request)), address)
}

// CancelUnstarted is Cancel, but leaves a request that has started as it is. It is for
// requests of other nodes, whose streams may have readers.
func CancelUnstarted(ctx context.Context, address string, request ids.Request) (engineapi.CancelReply, error) {
	req := newRequest(fasthttp.MethodDelete, address, streamPath(request))
	req.Header.Set(engineapi.CancelIf, engineapi.CancelNotStarted)
	return cancelRequest(ctx, req, address)
}

// cancelRequest sends a cancel and returns its reply.
func cancelRequest(ctx context.Context, req *fasthttp.Request, address string) (engineapi.CancelReply, error) {
	var reply engineapi.CancelReply
	err := control(ctx, req, address, &reply)
	if err == nil && reply.State == "" {
		err = &InvalidReplyError{}
	}
	return reply, err
}

// control makes one call without a body to address and decodes its JSON reply.
func control(ctx context.Context, req *fasthttp.Request, address string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	conn, err := dial(ctx, address, controlTimeout, controlTimeout)
	if err != nil {
		return &CallError{Address: address, Cause: err}
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, closeFunc(conn.Conn))
	defer stop()
	status, body, err := roundTrip(conn, req)
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

// roundTrip sends a request and returns the status and the complete body of the
// response.
func roundTrip(conn *stallConn, req *fasthttp.Request) (int, []byte, error) {
	if err := conn.sendRequest(req); err != nil {
		return 0, nil, err
	}
	resp := &fasthttp.Response{}
	if err := conn.readHead(resp, DefaultMaxHeadBytes); err != nil {
		return 0, nil, err
	}
	body, err := readBody(conn, resp, maxControlBytes)
	return resp.StatusCode(), body, err
}

// statusError returns the error for a status other than 200, with the code of the
// Refusal in the body if there is one.
func statusError(status int, body []byte) error {
	var refusal engineapi.Refusal
	_ = json.Unmarshal(body, &refusal) // without a refusal the code stays empty
	return &StatusError{Status: status, Code: refusal.Code}
}

// finishAbandoned completes an attempt that failed after its request may have
// reached the engine. If ctx was cancelled or the caller stopped taking tokens, it
// cancels the request at the engine too.
func (a *attempt) finishAbandoned(ctx context.Context, f *failure) *failure {
	if ctx.Err() != nil {
		f = newFailure(outcome.Cancelled, ctx.Err())
		f.abandoned = true
	}
	if f.abandoned {
		a.cancelUpstream(f)
	}
	return f
}

// cancelUpstream cancels the request at a model engine and appends the result to
// the detail of f. It does nothing for plain services, which have no cancel call,
// and for a rejoined stream of another request, which may have other readers.
func (a *attempt) cancelUpstream(f *failure) {
	resume := a.send.Resume
	if !a.send.Model || (resume != nil && resume.Request != a.send.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.runner.options.CancelTimeout)
	defer cancel()
	reply, err := Cancel(ctx, a.target().Address, a.send.ID)
	if err != nil {
		f.detail += ": " + err.Error()
		return
	}
	f.detail += ": " + reply.State
	a.runner.options.Epochs.Record(a.target().Address, reply.Epoch)
	if a.provesNotRun(reply) {
		a.markRefused()
	}
}

// provesNotRun reports whether the reply to a cancel proves that the request never
// ran: the engine had not started it and is still in the epoch in which the request
// was sent.
func (a *attempt) provesNotRun(reply engineapi.CancelReply) bool {
	return a.phase == outcome.MaybeSent &&
		reply.State == engineapi.CancelNotStarted &&
		a.epoch != "" && reply.Epoch == a.epoch
}
