package forward

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/segment"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// Base values of Retry-After, to which jitter is added. Callers follow the advice only
// if it is at most a third of the time they have left, so the values are short.
const (
	// notReadyRetryAfter is for a node without a configuration. One call to the platform
	// can fix that.
	notReadyRetryAfter = 300 * time.Millisecond
	// noUpstreamRetryAfter is for a plain service without a usable upstream.
	noUpstreamRetryAfter = 800 * time.Millisecond
	// busyRetryAfter is for upstreams that are full.
	busyRetryAfter = 400 * time.Millisecond
	// quarantineRetryAfter is for requests that crash upstreams. Repeating them does not
	// help.
	quarantineRetryAfter = 10 * time.Second
)

// exchange is one request of a caller, from its arrival to its response. It runs on the
// goroutine of the caller's connection.
type exchange struct {
	server *Server
	caller *callerConn
	req    *fasthttp.Request
	body   *segment.Buffer
	id     string
	// head is the part of the request head that all sends share.
	head    []byte
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the end of the route's
	// timeout.
	deadline      time.Time
	route         *routing.Route
	account       *routing.Account
	service       ids.Service
	configVersion int64
	// class is the rank of the request's priority, 0 for the most urgent one.
	class int
	// held is the retry that was taken last, before the response started.
	held retry.Holding
	// fingerprint identifies the request and its repeats. suspectDraw is the random number
	// that spreads those that wait for a decision on them.
	fingerprint quarantine.Fingerprint
	suspectDraw float64
	// parts are the parts of the prompt that other requests may share, and partMarks their
	// fingerprints.
	parts     []ids.PromptPart
	partMarks []quarantine.Fingerprint

	// sends counts the sends for which a connection was made, and sentAt is when the last
	// of them began. ranOn holds the upstreams on which the request ran or may have run.
	sends  int
	sentAt time.Time
	ranOn  map[ids.Instance]bool
	// responseStarted is true once part of the response was written to the caller.
	responseStarted bool
	// lateCause is why the response is late, empty while it is not.
	lateCause lateCause
	// events counts the events written to the caller. firstEvent is the time from the
	// arrival to the first of them.
	events     int
	firstEvent time.Duration
	// writingSince is when the first event came from the present upstreams, zero before.
	writingSince time.Time
	// commitment tells whether the request has been sent, or will not be since the node stops:
	// undecided, committed or refusedLate.
	commitment atomic.Int32
	// leave ends the context of the exchange.
	leave context.CancelCauseFunc
	// phase is what the exchange is doing, upstream the last one that it was sent to, and conn the
	// connection over which it was sent.
	phase    phase
	upstream ids.Instance
	conn     *upconn.Conn
}

// newExchange returns the exchange of a request that was read completely.
func newExchange(c *callerConn, req *fasthttp.Request, body *segment.Buffer) *exchange {
	x := &exchange{server: c.server, caller: c, req: req, body: body, arrived: c.server.opts.Now()}
	x.id = string(req.Header.Peek(c.server.opts.Headers.RequestID))
	return x
}

// maxLoggedBytes bounds a text in a log line that a caller chooses, since lines wait in a buffer of
// a number of lines.
const maxLoggedBytes = 128

// logged returns the part of a text that is logged.
func logged(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// log starts a log line about the request.
func (x *exchange) log(event string) *zerolog.Event {
	return x.server.opts.Log.Info().Str("event", event).Str("request", logged(x.id))
}

// count adds one to a counter.
func (x *exchange) count(name string) { x.server.opts.Metrics.Add(name, 1) }

// draw returns a random number in [0, 1).
func (x *exchange) draw() float64 {
	f, _ := x.server.draw()
	return f
}

// serve answers the request.
func (x *exchange) serve(ctx context.Context) {
	x.server.active.Add(1)
	defer x.server.active.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := x.caller.watchDisconnect(cancel)
	defer stop()
	x.leave = cancel
	x.phase = phaseReady
	ready := x.awaitReady(ctx)
	if x.contextDone(ctx) {
		return
	}
	table := x.server.opts.Table()
	if refusal := x.admit(table); refusal != nil {
		x.refuse(refusal)
		return
	}
	if !ready {
		x.refuse(&refusal{fasthttp.StatusServiceUnavailable, outcome.NotReady, "the node is starting", notReadyRetryAfter})
		return
	}
	if x.quarantined() {
		x.giveUp(outcome.Quarantined, quarantineDetail, quarantineRetryAfter)
		return
	}
	if !x.server.maySend(x.deadline) {
		x.giveUp(outcome.Draining, stoppingDetail, stoppingRetryAfter)
		return
	}
	defer context.AfterFunc(x.server.untilLate, x.endIfLate)()
	x.prepareHead()
	reqCtx, cancelTimeout := context.WithTimeoutCause(ctx, x.deadline.Sub(x.arrived), &TimeoutError{})
	defer cancelTimeout()
	x.server.picker.recordFirstSend(x.service)
	if x.route.Kind == routing.Streaming {
		x.serveStream(reqCtx, table)
		return
	}
	x.servePlain(reqCtx)
}

// readyTimeout bounds the wait of a request until the node can serve. While a whole fleet
// starts, hundreds of nodes read the store's lists at once and share its link. Requests that
// wait are served, so their callers need no retry.
const readyTimeout = 900 * time.Millisecond

// awaitReady waits until the node can serve, until readyTimeout or the end of ctx. It
// reports whether the node can.
func (x *exchange) awaitReady(ctx context.Context) bool {
	select {
	case <-x.server.opts.Ready:
		return true
	default:
	}
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case <-x.server.opts.Ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// TimeoutError reports that the deadline of a request has passed.
type TimeoutError struct{}

// Error implements error.
func (*TimeoutError) Error() string { return "request deadline exceeded" }

// refusal is an error response that the node generates itself.
type refusal struct {
	status     int
	reason     outcome.Reason
	detail     string
	retryAfter time.Duration
}

// admit finds the route, the account and the service of a request. It returns a refusal
// if one of them is missing.
func (x *exchange) admit(table *routing.Table) *refusal {
	if table == nil {
		return &refusal{fasthttp.StatusServiceUnavailable, outcome.NotReady, "no configuration yet", notReadyRetryAfter}
	}
	x.configVersion = table.Version()
	path := pathOf(string(x.req.Header.RequestURI()))
	x.route = table.Match(string(x.req.Header.Host()), path)
	if x.route == nil {
		return &refusal{fasthttp.StatusNotFound, outcome.UnknownService, "no matching route", 0}
	}
	var ok bool
	if x.account, ok = x.authenticate(table); !ok {
		return &refusal{fasthttp.StatusUnauthorized, outcome.Unauthorized, "missing or unknown key", 0}
	}
	suspectDraw, draw := x.server.draw()
	x.service, x.suspectDraw = x.route.PickService(draw), suspectDraw
	x.class = table.ClassSteps(x.service, x.route.PriorityOf(x.account))
	x.fingerprint = x.computeFingerprint()
	x.setParts()
	x.setDeadline()
	return nil
}

// setParts sets the shared parts of the prompt and their fingerprints.
func (x *exchange) setParts() {
	x.parts = x.parsePromptParts()
	for _, part := range x.parts {
		x.partMarks = append(x.partMarks, quarantine.PartFingerprint(x.service, part))
	}
}

// computeFingerprint hashes the service, the caller's account, and all that an upstream
// sees of the request except the headers.
func (x *exchange) computeFingerprint() quarantine.Fingerprint {
	var account ids.Account
	if x.account != nil {
		account = x.account.Name
	}
	return quarantine.FingerprintOfBody(x.body.Parts(), []byte(x.service), []byte(account), x.req.Header.Method(), x.req.Header.RequestURI())
}

// quarantined reports whether requests with this fingerprint, or with a part of its prompt,
// are known to crash upstreams. It publishes a verdict that this node has just reached.
func (x *exchange) quarantined() bool {
	if x.isQuarantined(x.fingerprint) {
		return true
	}
	return slices.ContainsFunc(x.partMarks, x.isQuarantined)
}

// isQuarantined is quarantined for one fingerprint.
func (x *exchange) isQuarantined(fp quarantine.Fingerprint) bool {
	refused, verdict := x.server.crashes.quarantined(x.service, fp)
	if verdict != nil {
		x.server.publishVerdict(*verdict)
	}
	return refused
}

// checkCrashes returns a failure if the request must not be sent because requests like it
// crash upstreams. Each send has to be checked, since the verdict may arrive at any time.
func (x *exchange) checkCrashes() *failure {
	if !x.quarantined() {
		return nil
	}
	return &failure{phase: outcome.NotSent, reason: outcome.Quarantined, cause: &QuarantinedError{x.fingerprint}}
}

// suspectCheckInterval is how often a request that waits for the decision on it looks for a
// verdict.
const suspectCheckInterval = 20 * time.Millisecond

// awaitDecision waits while the keepers may be about to decide whether the request crashes
// upstreams, and then returns the result of checkCrashes. It also fails if ctx ends.
func (x *exchange) awaitDecision(ctx context.Context) *failure {
	x.phase = phaseDecision
	for {
		if failed := x.checkCrashes(); failed != nil {
			return failed
		}
		left := x.heldFor()
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(min(left, suspectCheckInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &failure{phase: outcome.NotSent, reason: outcome.ConnectFailed, cause: context.Cause(ctx)}
		}
	}
}

// heldFor returns how long the request has to wait for a decision, zero or less for not at
// all.
func (x *exchange) heldFor() time.Duration {
	until := x.server.crashes.holdUntil(x.service, x.fingerprint, x.suspectDraw)
	for _, part := range x.partMarks {
		if u := x.server.crashes.holdUntil(x.service, part, x.suspectDraw); u.After(until) {
			until = u
		}
	}
	if until.IsZero() {
		return 0
	}
	return until.Sub(x.server.opts.Now())
}

// QuarantinedError reports a request that must not be sent because it crashes upstreams.
type QuarantinedError struct{ Fingerprint quarantine.Fingerprint }

// Error implements error.
func (e *QuarantinedError) Error() string {
	return "requests like " + string(e.Fingerprint) + " crash upstreams"
}

// recordLostRun records that a connection broke while the request was running on these
// upstreams, since began. started is true if an event of it had come, and lived if these upstreams
// have shown that the parts of the prompt crash none.
func (x *exchange) recordLostRun(began time.Time, started, lived bool, upstreams ...ids.Instance) {
	lost := zerolog.Arr()
	for _, id := range upstreams {
		lost.Str(id.String())
	}
	parts := zerolog.Arr()
	for _, part := range x.parts {
		parts.Str(logged(string(part)))
	}
	x.log("run_lost").Str("fingerprint", string(x.fingerprint)).Array("parts", parts).Str("service", string(x.service)).Bool("started", started).Array("upstreams", lost).Send()
	r := &run{fingerprint: x.fingerprint, service: x.service, upstreams: upstreams, began: began, started: started}
	if !lived {
		r.parts = x.partMarks
	}
	x.server.crashes.runLost(r)
}

// quarantineDetail is the detail of a refusal because of quarantine.
const quarantineDetail = "the request crashed the upstreams that ran it"

// defaultTimeout applies to requests whose route has no timeout.
const defaultTimeout = 60 * time.Second

// setDeadline sets the deadline from the route's timeout and the caller's deadline.
func (x *exchange) setDeadline() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.arrived.Add(timeout)
	ms := parseFloat(string(x.req.Header.Peek(x.server.opts.Headers.DeadlineMs)))
	if ms <= 0 {
		return
	}
	deadline := x.arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	if deadline.Before(x.deadline) {
		x.deadline = deadline
	}
}

// pathOf returns the path of a request target, without query and fragment.
func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' || uri[i] == '#' {
			return uri[:i]
		}
	}
	return uri
}

// refuse sends an error response that the node generates itself.
func (x *exchange) refuse(r *refusal) {
	x.count("refusal." + string(r.reason))
	line := x.log("refused").Int("status", r.status).Str("reason", string(r.reason)).Str("detail", r.detail).
		Int64("config", x.configVersion).Int("sends", x.sends).Bool("may_have_run", x.mayHaveRun()).
		Dur("took_ms", x.server.opts.Now().Sub(x.arrived))
	if x.route != nil {
		line.Str("route", x.route.Name).Str("service", string(x.service))
	}
	line.Send()
	after := r.retryAfter
	if after > 0 {
		after = x.server.jitterRetryAfter(after)
	}
	if err := x.caller.writeError(r.status, x.id, string(r.reason), after); err != nil {
		x.caller.closeAfter = true
	}
}

// giveUp ends a request for which no further attempt is made. The status is 503, which
// states that the request did not run, only if it did not run on any upstream.
func (x *exchange) giveUp(reason outcome.Reason, detail string, after time.Duration) {
	switch {
	case x.responseStarted:
		x.abortResponse(reason, detail)
	case !x.mayHaveRun():
		x.refuse(&refusal{fasthttp.StatusServiceUnavailable, reason, detail, after})
	case reason == outcome.DeadlineExpired:
		x.refuse(&refusal{fasthttp.StatusGatewayTimeout, reason, detail, 0})
	default:
		x.refuse(&refusal{fasthttp.StatusBadGateway, reason, detail, 0})
	}
}

// abortResponse ends a response that has started so that the caller cannot take it for
// complete: the connection closes without the final chunk.
func (x *exchange) abortResponse(reason outcome.Reason, detail string) {
	x.caller.closeAfter = true
	x.count("broken_off." + string(reason))
	x.log("broken_off").Str("reason", string(reason)).Str("detail", detail).Str("route", x.route.Name).
		Str("service", string(x.service)).Int("sends", x.sends).Dur("took_ms", x.server.opts.Now().Sub(x.arrived)).Send()
}

// contextDone ends the request if its context is done: because the caller has left, the
// deadline has passed or the node stops. It reports whether it did.
func (x *exchange) contextDone(ctx context.Context) bool {
	cause := context.Cause(ctx)
	if cause == nil {
		return false
	}
	var gone *CallerGoneError
	var late *TimeoutError
	switch {
	case errors.As(cause, &gone):
		x.callerGone(gone)
	case errors.As(cause, &late), !x.deadline.IsZero() && !x.server.opts.Now().Before(x.deadline):
		x.giveUp(outcome.DeadlineExpired, "deadline has passed", noUpstreamRetryAfter)
	default:
		x.giveUp(outcome.Draining, stoppingDetail, stoppingRetryAfter)
	}
	return true
}

// recordAnswered logs and counts a complete response of an upstream.
func (x *exchange) recordAnswered(status int, u *directory.Upstream) {
	took := x.server.opts.Now().Sub(x.arrived)
	if x.route.Kind != routing.Streaming && x.route.LatencyObjective > 0 && took > x.route.LatencyObjective {
		x.markLate(latePlain)
	}
	x.count("outcome.answered")
	if status < statusServerError {
		x.server.crashes.requestServed(x.service, x.fingerprint)
		// A stream that was resumed after its last event has written nothing on this upstream.
		if x.events == 0 || !x.writingSince.IsZero() {
			x.server.crashes.partsLived(cmp.Or(x.writingSince, x.sentAt), x.service, x.partMarks)
		}
	}
	x.server.opts.Metrics.ObserveDuration("request."+kindNames[x.route.Kind], took)
	x.log("answered").Int("status", status).Str("route", x.route.Name).Str("service", string(x.service)).
		Str("upstream", u.ID.String()).Int64("config", x.configVersion).Int("sends", x.sends).Int("events", x.events).
		Str("late", string(x.lateCause)).Dur("first_ms", x.firstEvent).Dur("took_ms", took).Send()
}

// kindNames holds the names of request kinds in metrics, indexed by routing.Kind.
var kindNames = [...]string{"non_idempotent", "idempotent", "streaming"}

// remainingMs returns the time until the deadline in milliseconds.
func (x *exchange) remainingMs() int64 { return x.deadline.Sub(x.server.opts.Now()).Milliseconds() }

// composeHead returns the request head of one send. extra, if not nil, appends further
// headers.
func (x *exchange) composeHead(u *directory.Upstream, extra func([]byte) []byte) []byte {
	h := &x.server.opts.Headers
	out := append([]byte(nil), x.head...)
	out = appendHeader(out, h.DeadlineMs, strconv.FormatInt(max(x.remainingMs(), 1), 10))
	out = appendHeader(out, h.ExpectUpstream, string(u.ID.Upstream))
	if extra != nil {
		out = extra(out)
	}
	return append(out, "\r\n"...)
}

// mayHaveRun reports whether the request ran, or may have run, on any upstream.
func (x *exchange) mayHaveRun() bool { return len(x.ranOn) > 0 }

// mayRunAgain reports whether the request may be sent again. If it may have run already,
// it must be repeatable. In addition it must either have run on fewer upstreams than the
// route allows attempts, or be a stream, which can resume on an upstream where it ran.
func (x *exchange) mayRunAgain() bool {
	if !x.mayHaveRun() {
		return true
	}
	return x.route.MayRepeat() && (len(x.ranOn) < x.route.Attempts() || x.route.Kind == routing.Streaming)
}

// recordRun adds an upstream on which the request may have run. It is never removed
// because the upstream does not answer: the upstream may be cut off from this node
// only, or refuse connections because it has too many.
func (x *exchange) recordRun(id ids.Instance) {
	if x.ranOn == nil {
		x.ranOn = make(map[ids.Instance]bool)
	}
	x.ranOn[id] = true
}

// hasNowhereToRun reports whether the request may run only on upstreams that have crashed or
// are gone.
func (x *exchange) hasNowhereToRun() bool {
	allowed := x.allowedUpstreams()
	for id := range allowed {
		if x.server.opts.View().Get(id) != nil && !x.server.crashes.hasDied(id) {
			return false
		}
	}
	return allowed != nil
}

// allowedUpstreams returns the upstreams to which further sends are restricted: those
// on which the request ran, and also, the upstreams on which it may run next. It
// returns nil, for no restriction, while they are fewer than the attempts of the route.
func (x *exchange) allowedUpstreams(also ...ids.Instance) map[ids.Instance]bool {
	upstreams := make(map[ids.Instance]bool, len(x.ranOn)+len(also))
	maps.Copy(upstreams, x.ranOn)
	for _, id := range also {
		upstreams[id] = true
	}
	if len(upstreams) < x.route.Attempts() {
		return nil
	}
	return upstreams
}
