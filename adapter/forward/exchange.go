package forward

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/routing"
)

// Times after which refused callers should come back, before they are spread.
// A caller uses the advice only up to a third of the time it has left, so they
// stay short.
const (
	// notReadyAfter is for a node without configuration, which takes a call to
	// the platform to mend.
	notReadyAfter = 300 * time.Millisecond
	// noUpstreamAfter is for a plain service without a usable upstream.
	noUpstreamAfter = 800 * time.Millisecond
	// busyAfter is for upstreams that are full.
	busyAfter = 400 * time.Millisecond
	// quarantineAfter is for requests that crash upstreams, which no repeat
	// helps.
	quarantineAfter = 10 * time.Second
)

// exchange is one request of a caller, from its arrival to its answer. The
// goroutine of the caller's connection runs it.
type exchange struct {
	server *Server
	client *client
	req    *fasthttp.Request
	id     string
	// head is what all sends of the request have in common.
	head    []byte
	arrived time.Time
	// limit is the earlier of the caller's deadline and the route's timeout.
	limit   time.Time
	route   *routing.Route
	account *routing.Account
	service ids.Service
	version int64
	// print names the request and its repeats.
	print quarantine.Fingerprint

	// sends counts sends that reached an upstream, or may have; ran are the
	// upstreams of those that are not proved not to have run.
	sends int
	ran   map[ids.Life]bool
	// written tells that part of the answer is with the caller; events counts
	// those of a stream, the first of which came after first.
	written bool
	// late tells why the answer is late, empty while it is not.
	late   lateness
	events int
	first  time.Duration
}

// newExchange takes a request that was read whole.
func newExchange(c *client, req *fasthttp.Request) *exchange {
	x := &exchange{server: c.server, client: c, req: req, arrived: c.server.opts.Now()}
	x.id = string(req.Header.Peek(c.server.opts.Headers.RequestID))
	return x
}

// log begins a log line about the request.
func (x *exchange) log(event string) *zerolog.Event {
	return x.server.opts.Log.Info().Str("event", event).Str("request", x.id)
}

// count adds one to a counter.
func (x *exchange) count(name string) { x.server.opts.Metrics.Add(name, 1) }

// draw gives a random number from 0 up to 1.
func (x *exchange) draw() float64 {
	f, _ := x.server.draw()
	return f
}

// serve answers the request.
func (x *exchange) serve(ctx context.Context) {
	x.server.active.Add(1)
	defer x.server.active.Add(-1)
	x.awaitKnown(ctx)
	table := x.server.opts.Table()
	if refusal := x.admit(table); refusal != nil {
		x.refuse(refusal)
		return
	}
	if x.quarantined() {
		x.giveUp(outcome.Quarantined, quarantineDetail, quarantineAfter)
		return
	}
	x.prepare()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout, done := context.WithTimeoutCause(ctx, x.limit.Sub(x.arrived), &TimeoutError{})
	defer done()
	stop := x.client.watch(cancel)
	defer stop()
	x.server.picks.first(x.service)
	if x.route.Kind == routing.Streaming {
		x.stream(timeout, table)
		return
	}
	x.plain(timeout)
}

// knownWait is the longest wait of a request for the node's first configuration
// and directory. Callers that come while a whole fleet starts are served then instead
// of being sent away, and keep their repeat. Hundreds of nodes that list at once share
// the store's link.
const knownWait = 900 * time.Millisecond

// awaitKnown waits until the node knows what it forwards.
func (x *exchange) awaitKnown(ctx context.Context) {
	select {
	case <-x.server.opts.Ready:
		return
	default:
	}
	timer := time.NewTimer(knownWait)
	defer timer.Stop()
	select {
	case <-x.server.opts.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// TimeoutError tells that the time of a request is up.
type TimeoutError struct{}

// Error implements error.
func (*TimeoutError) Error() string { return "the request's time is up" }

// refusal is an answer of the node's own.
type refusal struct {
	status int
	reason outcome.Reason
	detail string
	after  time.Duration
}

// admit finds the route and the account of the request.
func (x *exchange) admit(table *routing.Table) *refusal {
	if table == nil {
		return &refusal{fasthttp.StatusServiceUnavailable, outcome.NotReady, "no configuration yet", notReadyAfter}
	}
	x.version = table.Version()
	path := pathOf(string(x.req.Header.RequestURI()))
	x.route = table.Match(string(x.req.Header.Host()), path)
	if x.route == nil {
		return &refusal{fasthttp.StatusNotFound, outcome.UnknownService, "no route", 0}
	}
	var ok bool
	if x.account, ok = x.keyOf(table); !ok {
		return &refusal{fasthttp.StatusUnauthorized, outcome.Unauthorized, "unknown key", 0}
	}
	_, draw := x.server.draw()
	x.service = x.route.PickService(draw)
	x.print = x.fingerprint()
	x.setLimit()
	return nil
}

// fingerprint names the request: the service, its caller's account, and all that
// an upstream gets to see but for headers.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	var account ids.Account
	if x.account != nil {
		account = x.account.Name
	}
	return quarantine.FingerprintOf([]byte(x.service), []byte(account), x.req.Header.Method(), x.req.Header.RequestURI(), x.req.Body())
}

// quarantined reports whether the request is one that crashes the upstreams that
// run it.
func (x *exchange) quarantined() bool {
	refused, news := x.server.culprits.refused(x.service, x.print)
	if news != nil {
		x.count("upstream.culprits")
		x.log("quarantined").Str("fingerprint", string(news.Fingerprint)).Str("service", string(x.service)).
			Dur("for_ms", news.For).Send()
		x.server.opts.OnVerdict(*news)
	}
	return refused
}

// lost notes that the request was running at these upstreams when their
// connection broke.
func (x *exchange) lost(upstreams ...ids.Life) {
	x.server.culprits.runLost(&run{print: x.print, service: x.service, upstreams: upstreams})
}

// quarantineDetail tells why such a request is refused.
const quarantineDetail = "it has crashed the upstreams that ran it"

// defaultTimeout bounds requests of routes without a timeout whose caller gives
// no deadline.
const defaultTimeout = 60 * time.Second

// setLimit finds until when the request may take.
func (x *exchange) setLimit() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.limit = x.arrived.Add(timeout)
	ms := parseFloat(string(x.req.Header.Peek(x.server.opts.Headers.DeadlineMs)))
	if ms <= 0 {
		return
	}
	deadline := x.arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	if deadline.Before(x.limit) {
		x.limit = deadline
	}
}

// pathOf gives the path of a request target, without its query.
func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' || uri[i] == '#' {
			return uri[:i]
		}
	}
	return uri
}

// refuse answers with a status of the node's own.
func (x *exchange) refuse(r *refusal) {
	x.count("refusal." + string(r.reason))
	line := x.log("refused").Int("status", r.status).Str("reason", string(r.reason)).Str("detail", r.detail).
		Int64("config", x.version).Int("sends", x.sends).Bool("may_have_run", x.mayHaveRun()).
		Dur("took_ms", x.server.opts.Now().Sub(x.arrived))
	if x.route != nil {
		line.Str("route", x.route.Name).Str("service", string(x.service))
	}
	line.Send()
	after := r.after
	if after > 0 {
		after = x.retryAfter(after)
	}
	if err := x.client.own(r.status, x.id, string(r.reason), after); err != nil {
		x.client.closeAfter = true
	}
}

// giveUp answers a request for which nothing more is done: with a promise only
// where it has not run.
func (x *exchange) giveUp(reason outcome.Reason, detail string, after time.Duration) {
	switch {
	case x.written:
		x.breakOff(reason, detail)
	case !x.mayHaveRun():
		x.refuse(&refusal{fasthttp.StatusServiceUnavailable, reason, detail, after})
	case reason == outcome.DeadlineExpired:
		x.refuse(&refusal{fasthttp.StatusGatewayTimeout, reason, detail, 0})
	default:
		x.refuse(&refusal{fasthttp.StatusBadGateway, reason, detail, 0})
	}
}

// breakOff ends an answer that began in a way that cannot look complete.
func (x *exchange) breakOff(reason outcome.Reason, detail string) {
	x.client.closeAfter = true
	x.count("broken_off." + string(reason))
	x.log("broken_off").Str("reason", string(reason)).Str("detail", detail).Str("route", x.route.Name).
		Str("service", string(x.service)).Int("sends", x.sends).Dur("took_ms", x.server.opts.Now().Sub(x.arrived)).Send()
}

// ended handles the end of the request's own context. It reports whether the
// request is over.
func (x *exchange) ended(ctx context.Context) bool {
	cause := context.Cause(ctx)
	if cause == nil {
		return false
	}
	var gone *CallerGoneError
	var late *TimeoutError
	switch {
	case errors.As(cause, &gone):
		x.gone()
	case errors.As(cause, &late), !x.server.opts.Now().Before(x.limit):
		x.giveUp(outcome.DeadlineExpired, "no time left", noUpstreamAfter)
	default:
		x.giveUp(outcome.Draining, "the node stops", notReadyAfter)
	}
	return true
}

// gone ends a request whose caller left.
func (x *exchange) gone() {
	x.client.closeAfter = true
	x.count("outcome.caller_gone")
	x.log("caller_gone").Int("sends", x.sends).Dur("took_ms", x.server.opts.Now().Sub(x.arrived)).Send()
}

// done logs the whole answer of an upstream.
func (x *exchange) done(status int, u *directory.Upstream) {
	took := x.server.opts.Now().Sub(x.arrived)
	if x.route.Kind != routing.Streaming && x.route.LatencyObjective > 0 && took > x.route.LatencyObjective {
		x.lateFor(latePlain)
	}
	x.count("outcome.answered")
	if status < serverError {
		x.server.culprits.served(x.service, x.print)
	}
	x.server.opts.Metrics.ObserveDuration("request."+kindNames[x.route.Kind], took)
	x.log("answered").Int("status", status).Str("route", x.route.Name).Str("service", string(x.service)).
		Str("upstream", u.ID.String()).Int64("config", x.version).Int("sends", x.sends).Int("events", x.events).
		Str("late", string(x.late)).Dur("first_ms", x.first).Dur("took_ms", took).Send()
}

// kindNames are indexed by routing.Kind.
var kindNames = [...]string{"non_idempotent", "idempotent", "streaming"}

// leftMs gives the time left, for an upstream, in ms.
func (x *exchange) leftMs() int64 { return x.limit.Sub(x.server.opts.Now()).Milliseconds() }

// compose makes the head of one send. extra adds the send's own headers.
func (x *exchange) compose(u *directory.Upstream, extra func([]byte) []byte) []byte {
	h := &x.server.opts.Headers
	out := append([]byte(nil), x.head...)
	out = appendHeader(out, h.DeadlineMs, strconv.FormatInt(max(x.leftMs(), 1), 10))
	out = appendHeader(out, h.ExpectUpstream, string(u.ID.Upstream))
	if extra != nil {
		out = extra(out)
	}
	return append(out, "\r\n"...)
}

// mayHaveRun reports whether a send is not proved not to have run.
func (x *exchange) mayHaveRun() bool { return len(x.ran) > 0 }

// mayRunAgain reports whether another send may run: the request allows it, and
// its route a further upstream, or a stream going on at one where it ran.
func (x *exchange) mayRunAgain() bool {
	if !x.mayHaveRun() {
		return true
	}
	return x.route.MayRepeat() && (len(x.ran) < x.route.Attempts() || x.route.Kind == routing.Streaming)
}

// noteRun notes an upstream on which the request may have run. None is taken
// back for not answering: it may be cut off from this node alone, or refuse
// connections since it has too many.
func (x *exchange) noteRun(id ids.Life) {
	if x.ran == nil {
		x.ran = make(map[ids.Life]bool)
	}
	x.ran[id] = true
}

// bound gives the upstreams to which further sends are bound, nil for none: those
// on which the request ran, with those it may run on next, once they are as many
// as its route allows.
func (x *exchange) bound(also ...ids.Life) map[ids.Life]bool {
	ran := make(map[ids.Life]bool, len(x.ran)+len(also))
	maps.Copy(ran, x.ran)
	for _, id := range also {
		ran[id] = true
	}
	if len(ran) < x.route.Attempts() {
		return nil
	}
	return ran
}
