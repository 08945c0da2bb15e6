package forward

import (
	"context"
	"errors"
)

// phase is what an exchange is doing.
type phase string

// Phases of an exchange.
const (
	// phaseReady: it waits until the node can serve.
	phaseReady phase = "ready"
	// phaseDecision: it waits for the decision on whether it crashes upstreams.
	phaseDecision phase = "decision"
	// phaseQueue: it waits in the queue for capacity.
	phaseQueue phase = "queue"
	// phaseChoose: upstreams are being chosen.
	phaseChoose phase = "choose"
	// phaseConnect: it waits for a connection to the upstream.
	phaseConnect phase = "connect"
	// phaseSend: the request is being written.
	phaseSend phase = "send"
	// phaseResponse: it waits for the response, or for the first event.
	phaseResponse phase = "response"
	// phaseEvents: events have come from the present upstreams.
	phaseEvents phase = "events"
	// phaseRetry: a stream waits until it can go on elsewhere.
	phaseRetry phase = "retry"
)

// checkCaller returns the cause of the end of ctx if it has ended. It ends ctx if the caller has
// left, which the watch of its connection may notice later.
func (x *exchange) checkCaller(ctx context.Context) error {
	if err := x.caller.checkPresent(); err != nil {
		x.leave(err)
	}
	return context.Cause(ctx)
}

// callerLeft reports whether ctx has ended because the caller has left. How an attempt ended then
// says nothing about its upstreams.
func callerLeft(ctx context.Context) bool {
	var gone *CallerGoneError
	return errors.As(context.Cause(ctx), &gone)
}

// callerGone ends a request whose caller has left.
func (x *exchange) callerGone(gone *CallerGoneError) {
	x.caller.closeAfter = true
	x.count("outcome.caller_gone")
	now := x.server.opts.Now()
	line := x.log("caller_gone").Str("phase", string(x.phase)).Int("sends", x.sends).Dur("took_ms", now.Sub(x.arrived)).
		Dur("known_ms", gone.At.Sub(x.arrived)).Dur("longest_wait_ms", x.server.opts.Processor.LongestWait()).AnErr("cause", gone.Cause)
	if x.sends > 0 {
		line.Str("upstream", x.upstream.String()).Dur("sent_ms", x.sentAt.Sub(x.arrived))
		if closedAt := x.conn.ClosedAt(); !closedAt.IsZero() {
			line.Dur("disconnected_ms", closedAt.Sub(x.arrived))
		}
	}
	line.Send()
}

// writeFailed ends a request whose response cannot be written.
func (x *exchange) writeFailed(err error) {
	gone := &CallerGoneError{At: x.server.opts.Now(), Cause: err}
	errors.As(err, &gone)
	x.callerGone(gone)
}
