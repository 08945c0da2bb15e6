package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"mimosaarch.example/adapter/gate"
	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/httphead"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/segment"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/retry"
)

// maxInlineBodyBytes is the largest request body that is written before the response is
// read. A longer body is written concurrently, because an upstream may respond before
// it has read all of it.
const maxInlineBodyBytes = 16 << 10

// maxForeignResponses is how many responses to other requests are skipped on a
// connection before the connection is closed.
const maxForeignResponses = 4

// attempt is one send of a request to an upstream.
type attempt struct {
	x    *exchange
	u    *directory.Upstream
	conn *upconn.Conn
	// sentAt is when the request was sent.
	sentAt time.Time
	unbind func() bool
	resp   *upconn.Response
}

// failure describes an attempt that ended without a complete response.
type failure struct {
	phase  outcome.Phase
	reason outcome.Reason
	cause  error
	// faultyStage is the address of the engine that the refusal of a chain blames, empty
	// if it names none.
	faultyStage string
	// rest is the time without requests that the refusal asks for, 0 for none.
	rest time.Duration
	// brokeOff is true if the upstream closed a new connection before it responded.
	brokeOff bool
}

// Error implements error.
func (f *failure) Error() string {
	text := fmt.Sprintf("%s in phase %s: %v", f.reason, f.phase, f.cause)
	if f.faultyStage != "" {
		text += ", faulty stage " + f.faultyStage
	}
	return text
}

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// lostWhileRunning reports whether the upstream was lost or stalled at a time when the
// request may have been running on it.
func (f *failure) lostWhileRunning() bool {
	return !f.phase.ProvesNotRun() && (f.reason == outcome.UpstreamLost || f.reason == outcome.UpstreamStalled)
}

// connectionEnded reports whether the upstream reset or closed the connection before the
// response was complete.
func (f *failure) connectionEnded() bool {
	return f.reason == outcome.UpstreamLost || f.reason == outcome.UpstreamInvalid && errors.Is(f.cause, io.ErrUnexpectedEOF)
}

// begin connects to the first upstream of a chain and sends the request. head is the
// complete request head.
func (x *exchange) begin(ctx context.Context, c chain.Chain, head []byte, watch upconn.WaitFunc) (*attempt, *failure) {
	u := c[0].Engine
	a := &attempt{x: x, u: u}
	x.phase = phaseConnect
	conn, err := x.server.pool.Get(ctx, target(u))
	var limit *upconn.LimitError
	if errors.As(err, &limit) {
		return nil, &failure{phase: outcome.NotSent, reason: outcome.NodeFull, cause: err}
	}
	if err != nil {
		if ctx.Err() == nil {
			x.server.picker.connectFailed(u, err)
		}
		return nil, &failure{phase: outcome.NotSent, reason: outcome.ConnectFailed, cause: err}
	}
	// The request may have waited since its retry was granted, for a decision on it or a connection.
	if !x.renewRetry(ctx) {
		x.server.pool.Put(conn, 0)
		return nil, &failure{phase: outcome.NotSent, reason: outcome.RetryBudget, cause: &RetryEndedError{x.service}}
	}
	// Other requests may have been refused while this one waited for the connection.
	if err := x.server.checkHeld(c); err != nil {
		x.server.pool.Put(conn, 0)
		return nil, &failure{phase: outcome.NotSent, reason: outcome.UpstreamBusy, cause: err}
	}
	if failed := x.checkCrashes(); failed != nil {
		x.server.pool.Put(conn, 0)
		return nil, failed
	}
	if failed := x.checkStopping(); failed != nil {
		x.server.pool.Put(conn, 0)
		return nil, failed
	}
	if err := x.checkCaller(ctx); err != nil {
		x.server.pool.Put(conn, 0)
		return nil, &failure{phase: outcome.NotSent, reason: outcome.ConnectFailed, cause: err}
	}
	x.held = retry.Holding{}
	if x.sends++; x.sends == 1 {
		x.server.opts.Metrics.ObserveDuration("request.until_sent", x.server.opts.Now().Sub(x.arrived))
	}
	a.conn, a.sentAt = conn, x.server.opts.Now()
	x.sentAt, x.upstream, x.conn = a.sentAt, u.ID, conn
	x.phase = phaseSend
	a.unbind = conn.Bind(ctx, watch)
	if err := a.send(head); err != nil {
		a.discard()
		return nil, &failure{phase: outcome.MaybeSent, reason: outcome.UpstreamLost, cause: err}
	}
	return a, nil
}

// send writes the head and the body. A long body is written in its own goroutine,
// because the upstream may respond before it has read all of it.
func (a *attempt) send(head []byte) error {
	body := a.x.body
	if body.Len() <= maxInlineBodyBytes {
		return a.conn.Write(body.AppendTo(head), writeTimeout)
	}
	if err := a.conn.Write(head, writeTimeout); err != nil {
		return err
	}
	a.conn.StartWrite(body.Parts(), writeTimeout)
	return nil
}

// readHead reads the head of the response to this request. It skips late responses to
// earlier requests on the same connection.
func (a *attempt) readHead() *failure {
	for range maxForeignResponses {
		resp, err := a.conn.ReadResponse(string(a.x.req.Header.Method()))
		if err != nil {
			a.countMalformed(err)
			return a.readFailed(err)
		}
		id := string(resp.Head.Peek(a.x.server.opts.Headers.RequestID))
		// A new connection has carried no other request that the response could belong to.
		if id == a.x.id || id == "" && !a.conn.Reused() {
			return a.acceptHead(resp)
		}
		a.x.count("upstream.foreign_answer")
		if err := resp.Discard(); err != nil {
			return a.readFailed(err)
		}
	}
	return a.readFailed(&upconn.FramingError{Cause: errForeignResponses})
}

// countMalformed counts a head that is not that of a response.
func (a *attempt) countMalformed(err error) {
	var malformed *httphead.MalformedError
	if errors.As(err, &malformed) {
		a.x.count("upstream.malformed_head")
	}
}

// acceptHead takes a response head that can belong to no other request. It returns a failure if the
// response is a refusal, or if it does not prove to be the upstream's answer to this request.
func (a *attempt) acceptHead(resp *upconn.Response) *failure {
	headers := &a.x.server.opts.Headers
	if !isRefusal(&resp.Head, headers) {
		if err := checkProvenance(&resp.Head, headers, a.x.id); err != nil {
			a.x.count("upstream.unproven_answer")
			return a.readFailed(err)
		}
	}
	a.resp = resp
	return a.checkRefusal(a.recordRequests())
}

// errForeignResponses is the cause when a connection delivers too many responses to
// other requests.
var errForeignResponses = &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.UpstreamInvalid, Detail: "too many responses to other requests"}

// checkRefusal returns a failure if the response proves that the request did not run,
// and nil otherwise. rest is the rest that it asks for.
func (a *attempt) checkRefusal(rest time.Duration) *failure {
	head := &a.resp.Head
	status := head.StatusCode()
	if !isRefusal(head, &a.x.server.opts.Headers) {
		return nil
	}
	reason := outcome.UpstreamBusy
	if status == statusMisdirected {
		reason = outcome.UpstreamRefused
	}
	f := &failure{phase: outcome.Refused, reason: reason, cause: &StatusError{status}, rest: rest}
	f.faultyStage = string(head.Peek(a.x.server.opts.Headers.FaultyStage))
	if err := a.resp.Discard(); err == nil {
		a.release()
	} else {
		a.discard()
	}
	return f
}

// statusMisdirected is the status of an upstream that is not the expected one or does
// not hold the requested layers.
const statusMisdirected = 421

// StatusError reports the status code of an upstream's response that is treated as a
// failure.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream responded with status %d", e.Status)
}

// readFailed closes the connection after a failed read of the response and returns the
// failure.
func (a *attempt) readFailed(err error) *failure {
	a.discard()
	f := &failure{phase: outcome.MaybeSent, reason: outcome.UpstreamLost, cause: err}
	var silent *upconn.ReadTimeoutError
	var framing *upconn.FramingError
	var shed *gate.ShedError
	var unproven *UnprovenAnswerError
	var malformed *EventError

	switch {
	case errors.As(err, &shed):
		f.phase, f.reason = outcome.Started, outcome.NodeFull
	case errors.As(err, &silent):
		f.reason = outcome.UpstreamStalled
	case errors.As(err, &framing), errors.As(err, &unproven), errors.As(err, &malformed):
		f.reason = outcome.UpstreamInvalid
	}
	f.brokeOff = a.resp == nil && f.connectionEnded() && a.conn.FirstExchange()
	return f
}

// readBody reads the whole body of the response. On an error the connection is closed.
func (a *attempt) readBody() (*segment.Buffer, *failure) {
	body, err := a.resp.ReadAll(a.x.caller.reserve)
	if err != nil {
		a.x.dropResponse(body)
		return nil, a.readFailed(err)
	}
	return body, nil
}

// dropResponse gives back the memory of a response that is not passed on.
func (x *exchange) dropResponse(body *segment.Buffer) {
	x.caller.hold.Release(body.Held())
}

// release returns the connection to the pool after a complete response, or closes it if
// it cannot be reused.
func (a *attempt) release() {
	reusable, idle := a.resp.Reusable()
	if !a.unbind() || !reusable || !a.conn.Written() {
		a.conn.Close()
		return
	}
	a.x.server.pool.Put(a.conn, idle)
}

// discard closes the connection, which makes the upstream stop working on the request.
func (a *attempt) discard() {
	a.unbind()
	a.conn.Close()
}
