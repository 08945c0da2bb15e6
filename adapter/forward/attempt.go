package forward

import (
	"context"
	"errors"
	"fmt"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/directory"
)

// inlineBody is the most bytes of a body that are written before the answer is
// looked at. Upstreams may answer a longer one before they have taken it.
const inlineBody = 16 << 10

// maxForeign is the most answers to other requests that are skipped on a
// connection before it is given up.
const maxForeign = 4

// attempt is one send of a request to an upstream.
type attempt struct {
	x      *exchange
	u      *directory.Upstream
	conn   *upconn.Conn
	stop   func() bool
	answer *upconn.Answer
	// wrote gets what came of writing a long body; nil if the body was written
	// with the head.
	wrote chan error
}

// failure is how an attempt ended without a whole answer.
type failure struct {
	phase  outcome.Phase
	reason outcome.Reason
	cause  error
	// culprit is the address of the engine that a chain's refusal names.
	culprit string
}

// Error implements error.
func (f *failure) Error() string {
	text := fmt.Sprintf("%s in phase %s: %v", f.reason, f.phase, f.cause)
	if f.culprit != "" {
		text += ", at fault " + f.culprit
	}
	return text
}

// Unwrap gives the cause.
func (f *failure) Unwrap() error { return f.cause }

// midRun reports whether the upstream went away while the request may have been
// running there.
func (f *failure) midRun() bool {
	return !f.phase.ProvesNotRun() && (f.reason == outcome.UpstreamLost || f.reason == outcome.UpstreamStalled)
}

// begin connects and sends the request; head is its whole head.
func (x *exchange) begin(ctx context.Context, u *directory.Upstream, head []byte, watch upconn.Watch) (*attempt, *failure) {
	a := &attempt{x: x, u: u}
	conn, err := x.server.pool.Get(ctx, target(u))
	if err != nil {
		if ctx.Err() == nil {
			x.server.picks.notReached(u, err)
		}
		return nil, &failure{phase: outcome.NotSent, reason: outcome.ConnectFailed, cause: err}
	}
	if x.sends++; x.sends == 1 {
		x.server.opts.Metrics.ObserveDuration("request.until_sent", x.server.opts.Now().Sub(x.arrived))
	}
	a.conn = conn
	a.stop = conn.Bind(ctx, watch)
	if err := a.send(head); err != nil {
		a.abandon()
		return nil, &failure{phase: outcome.MaybeSent, reason: outcome.UpstreamLost, cause: err}
	}
	return a, nil
}

// send writes head and body; a long body in a goroutine of its own, as the
// upstream may answer before it has taken it.
func (a *attempt) send(head []byte) error {
	body := a.x.req.Body()
	if len(body) <= inlineBody {
		return a.conn.Write(append(head, body...), writeTimeout)
	}
	if err := a.conn.Write(head, writeTimeout); err != nil {
		return err
	}
	// The request's memory is used again once the exchange ends.
	body = append([]byte(nil), body...)
	a.wrote = make(chan error, 1)
	go func() { a.wrote <- a.conn.Write(body, writeTimeout) }()
	return nil
}

// head waits for the head of the answer to this very request. Answers to
// others, which come late, are skipped.
func (a *attempt) head() *failure {
	for range maxForeign {
		answer, err := a.conn.ReadAnswer(string(a.x.req.Header.Method()))
		if err != nil {
			return a.lost(err)
		}
		id := string(answer.Head.Peek(a.x.server.opts.Headers.RequestID))
		if id == a.x.id || id == "" && !a.conn.Reused() {
			a.answer = answer
			return a.refused()
		}
		a.x.count("upstream.foreign_answer")
		if _, err := answer.Body(); err != nil {
			return a.lost(err)
		}
	}
	return a.lost(&upconn.FramingError{Cause: errForeign})
}

// errForeign is the cause of giving up a connection full of others' answers.
var errForeign = &outcome.Error{Outcome: outcome.Unknown, Reason: outcome.UpstreamInvalid, Detail: "answers to other requests"}

// refused reports an answer that proves the request did not run.
func (a *attempt) refused() *failure {
	head := &a.answer.Head
	status := head.StatusCode()
	marked := len(head.Peek(a.x.server.opts.Headers.NotRun)) > 0
	if !marked && status != misdirected {
		return nil
	}
	reason := outcome.UpstreamBusy
	if status == misdirected {
		reason = outcome.UpstreamRefused
	}
	f := &failure{phase: outcome.Refused, reason: reason, cause: &StatusError{status}}
	f.culprit = string(head.Peek(a.x.server.opts.Headers.FaultyStage))
	if _, err := a.answer.Body(); err == nil {
		a.keep()
	} else {
		a.abandon()
	}
	return f
}

// misdirected is the status of an upstream that is not the one expected, or
// does not hold the layers asked for.
const misdirected = 421

// StatusError tells the status of an upstream's refusal.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("upstream answered %d", e.Status) }

// lost ends an attempt whose answer did not come whole.
func (a *attempt) lost(err error) *failure {
	a.abandon()
	f := &failure{phase: outcome.MaybeSent, reason: outcome.UpstreamLost, cause: err}
	var silent *upconn.SilentError
	var framing *upconn.FramingError
	switch {
	case errors.As(err, &silent):
		f.reason = outcome.UpstreamStalled
	case errors.As(err, &framing):
		f.reason = outcome.UpstreamInvalid
	}
	return f
}

// bodyWritten reports whether the whole request was taken.
func (a *attempt) bodyWritten() bool {
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		return false
	}
}

// keep gives the connection back after a whole answer.
func (a *attempt) keep() {
	reusable, idle := a.answer.Reusable()
	if !a.stop() || !reusable || !a.bodyWritten() {
		a.conn.Close()
		return
	}
	a.x.server.pool.Put(a.conn, idle)
}

// abandon closes the connection, which ends the work at the upstream.
func (a *attempt) abandon() {
	a.stop()
	a.conn.Close()
}
