package forward

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"strconv"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/prefix"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// stream is the state of a streaming request over all its attempts.
type stream struct {
	x     *exchange
	model *layered.Model
	req   chain.Request
	seq   sequence
	// lastResort holds engines that broke off the connection although they are alive.
	// They are used only if no chain is possible without them.
	lastResort map[ids.Instance]bool
	// fullUntil holds engines that had no room for the rest of the stream, with the time
	// after which they are tried again.
	fullUntil map[ids.Instance]time.Time
	// rejectedRepair holds engines that rejected an order to move the stream to them.
	rejectedRepair map[ids.Instance]bool
	// lastEvent is when the latest event arrived.
	lastEvent time.Time
	// meanGap is the moving average of the pauses between events.
	meanGap time.Duration
	// refusals counts refusals before the response started. unrunSends counts later sends
	// that are proved not to have run.
	refusals, unrunSends int
	admission            admissionState
}

// serveStream serves a request whose response is a stream of events.
func (x *exchange) serveStream(ctx context.Context, table *routing.Table) {
	s := &stream{x: x, meanGap: x.route.PauseObjective / initialGapDivisor, lastResort: make(map[ids.Instance]bool), fullUntil: make(map[ids.Instance]time.Time), rejectedRepair: make(map[ids.Instance]bool)}
	_, draw := x.server.draw()
	s.req = chain.Request{Service: x.service, Zone: x.server.opts.Zone, Avoid: make(map[ids.Instance]bool), JitterSeed: draw}
	if service := table.Service(x.service); service != nil {
		s.model = service.Model
	}
	s.req.ClassSteps = x.class
	s.estimateSize()
	if x.route.Affinity {
		s.req.Prefix = prefix.Segments(x.service, x.parsePromptPrefix())
	}
	s.setAdmission(table.Classes(x.service))
	if id, err := strconv.ParseInt(string(x.req.Header.Peek(x.server.opts.Headers.LastEventID)), 10, 64); err == nil {
		s.seq = sequence{last: id, started: true}
	}
	defer s.turnUnused()
	for {
		failed := s.attempt(ctx)
		if failed == nil || x.contextDone(ctx) || !s.handleFailure(ctx, failed) || x.contextDone(ctx) {
			return
		}
	}
}

// estimateSize sets the numbers of prompt and output tokens from the request's headers,
// or else from the model's means.
func (s *stream) estimateSize() {
	s.req.PromptTokens, s.req.OutputTokens = s.x.parseTokens()
	if s.model == nil {
		return
	}
	if s.req.PromptTokens == 0 {
		s.req.PromptTokens = s.model.MeanPromptTokens
	}
	if s.req.OutputTokens == 0 {
		s.req.OutputTokens = s.model.MeanOutputTokens
	}
}

// handleFailure decides whether another attempt follows a failed one. If not, it
// responds to the caller and returns false.
func (s *stream) handleFailure(ctx context.Context, failed *failure) bool {
	x := s.x
	var noChain *chain.NoChainError
	if errors.As(failed.cause, &noChain) {
		if x.responseStarted && !x.hasNowhereToRun() {
			s.waitToResume(ctx)
			return true
		}
		if s.retryRefusedFull() {
			return true
		}
		x.giveUp(outcome.NoUpstream, noChain.Error(), s.retryAfter())
		return false
	}
	if handled, again := s.handleLackOfCapacity(ctx, failed); handled {
		return again
	}
	if x.responseStarted && failed.phase == outcome.NotSent && failed.reason == outcome.NodeFull {
		// Other requests give their connections back.
		s.waitToResume(ctx)
		return true
	}
	if x.responseStarted {
		return s.resume(ctx, failed)
	}
	if failed.phase.ProvesNotRun() {
		if s.refusals++; s.refusals >= maxRefusals {
			s.recordRefusals(failed)
			x.giveUp(failed.reason, failed.Error(), cmp.Or(s.restLeft(), s.busyRetryAfter()))
			return false
		}
	}
	return x.retryOrGiveUp(ctx, failed)
}

// handleLackOfCapacity handles a request that was not sent because engines count as
// full: it waits in the queue, or is refused. handled is false for other failures, and
// again is true if another attempt follows.
func (s *stream) handleLackOfCapacity(ctx context.Context, failed *failure) (handled, again bool) {
	var full *chain.FullError
	detail := failed.cause.Error()
	if errors.As(failed.cause, &full) {
		if failed = s.awaitCapacity(ctx, full); ctx.Err() != nil {
			return true, true
		}
		if failed == nil {
			return true, s.resendAfterWait(ctx, detail)
		}
	}
	var refused *AdmissionError
	if !errors.As(failed.cause, &refused) {
		return false, false
	}
	s.refuseBusy(refused.Reason, detail)
	return true, false
}

// resendAfterWait reports whether a request whose turn has come after a wait for capacity is
// sent. If it was sent before and has no valid retry any more, it is refused.
func (s *stream) resendAfterWait(ctx context.Context, detail string) bool {
	x := s.x
	if x.renewRetry(ctx) || ctx.Err() != nil {
		return true
	}
	x.logRetryDenied(outcome.UpstreamBusy, x.retryClaim())
	x.giveUp(outcome.RetryBudget, detail, busyRetryAfter)
	return false
}

// retryAfter returns the Retry-After for a caller for whose request there is no chain.
func (s *stream) retryAfter() time.Duration {
	x := s.x
	expected := x.server.picker.retryAfter(x.service, x.deadline.Sub(x.server.opts.Now()))
	return cmp.Or(s.restLeft(), expected)
}

// restLeft returns the time until another request of this kind is served because rests of
// upstreams have ended, 0 if it does not wait for them.
func (s *stream) restLeft() time.Duration {
	x := s.x
	view := x.server.opts.View()
	if s.model == nil {
		return x.server.picker.replicaRestLeft(view.ByService(x.service))
	}
	return x.server.picker.chainRestLeft(s.model, view, chain.Request{Service: x.service, Zone: x.server.opts.Zone, PromptTokens: s.req.PromptTokens, OutputTokens: s.req.OutputTokens})
}

// resumeRetryDelay is the wait before a stream that cannot resume tries again. Engines
// that take over layers load them in about a second, and a node's retry budget grows by
// a few retries per second.
const resumeRetryDelay = 150 * time.Millisecond

// waitToResume waits for resumeRetryDelay or the end of ctx.
func (s *stream) waitToResume(ctx context.Context) {
	s.x.phase = phaseRetry
	timer := time.NewTimer(resumeRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// resume decides whether another attempt follows a failed one after the response has
// started, when an error would lose what the caller has. It waits for a retry until the
// caller leaves or the deadline passes, and gives up only on failures that no wait can
// help.
func (s *stream) resume(ctx context.Context, failed *failure) bool {
	x := s.x
	if failed.phase.ProvesNotRun() {
		s.unrunSends++
	}
	if x.giveUpIfFinal(failed, x.sends-s.unrunSends) {
		return false
	}
	claim := x.retryClaim()
	x.held = x.server.picker.takeRetry(ctx, x.service, failed.reason, claim)
	if x.held.Grant == retry.Denied {
		x.recordRetryDenied(failed, claim)
	}
	for ; x.held.Grant == retry.Denied; x.held = x.server.picker.takeRetry(ctx, x.service, failed.reason, claim) {
		s.waitToResume(ctx)
		if ctx.Err() != nil {
			return true
		}
		if x.giveUpIfFinal(failed, x.sends-s.unrunSends) {
			return false
		}
	}
	x.recordRetry(failed, claim, x.held.Grant)
	return true
}

// attempt sends the request through one chain and passes the events on. It returns nil
// once the request is over.
func (s *stream) attempt(ctx context.Context) *failure {
	x := s.x
	if failed := x.awaitDecision(ctx); failed != nil {
		return failed
	}
	if failed := s.awaitTurn(ctx); failed != nil {
		return failed
	}
	x.phase = phaseChoose
	chosenAt := x.server.opts.Now()
	c, failed := s.chooseChain(ctx)
	if failed != nil {
		var full *chain.FullError
		if !errors.As(failed.cause, &full) {
			s.turnUnused()
		}
		s.admission.inTurn = false
		return failed
	}
	s.admission.inTurn = false
	first := c[0].Engine
	x.log("chain").Str("chain", c.String()).Str("upstream", first.ID.String()).Str("route", x.route.Name).
		Stringer("directory", x.server.opts.View().Revision).Int64("after_event", s.seq.last).Send()
	w := &stallWatch{s: s, ctx: ctx, chain: c, started: s.x.responseStarted}
	x.writingSince = time.Time{}
	defer s.releaseChain(w)
	a, failed := x.begin(ctx, c, x.composeHead(first, s.headers(c)), w.waitOrRepair)
	if failed == nil {
		defer w.watchLosses(a.conn, chosenAt)()
		failed = s.relay(a, w)
	}
	if failed != nil {
		s.recordFailure(ctx, w, failed)
		s.settleAdmission(failed)
	}
	return failed
}

// releaseChain removes the request from the counts of its chain, which a reroute may
// have changed, or of its only upstream. Further calls have no effect.
func (s *stream) releaseChain(w *stallWatch) {
	if w.released {
		return
	}
	w.released = true
	if s.model == nil {
		s.x.server.picker.replicaEnded(w.chain[0].Engine.ID, 0, false)
		return
	}
	s.x.server.picker.chainEnded(w.chain, s.req)
}

// chooseChain chooses a chain of engines, or a single upstream if the service has no
// layered model.
func (s *stream) chooseChain(ctx context.Context) (chain.Chain, *failure) {
	x := s.x
	if s.model == nil {
		u := x.server.picker.chooseReplica(ctx, x.server.opts.View().ByService(x.service), s.req.Avoid, x.draw())
		if u == nil {
			return nil, &failure{phase: outcome.NotSent, reason: outcome.NoUpstream, cause: &chain.NoChainError{Service: x.service}}
		}
		return chain.Chain{{Engine: u}}, nil
	}
	view := x.server.opts.View()
	x.server.prober.refresh(ctx, view)
	s.req.AllowedFirst = x.allowedUpstreams()
	req := s.req
	// A caller that resumes a stream also has part of the response.
	req.Avoid, req.OutputStarted = s.avoidedEngines(), x.responseStarted || s.seq.started
	strict := req
	strict.Avoid = maps.Clone(req.Avoid)
	maps.Copy(strict.Avoid, s.lastResort)
	c, err := x.server.picker.chooseChain(ctx, x.id, s.model, view, strict)
	if err != nil && len(s.lastResort) > 0 {
		c, err = x.server.picker.chooseChain(ctx, x.id, s.model, view, req)
	}
	if err != nil {
		return nil, &failure{phase: outcome.NotSent, reason: outcome.NoUpstream, cause: err}
	}
	return c, nil
}

// fullEngineCooldown is how long the rest of a stream is not sent to an engine that had
// no room for it. Meanwhile some of the engine's streams end. Callers wait 2 s after an
// event, so an engine that alone holds some layers is tried four times in that time.
const fullEngineCooldown = 400 * time.Millisecond

// avoidedEngines returns the engines that the request must not use now.
func (s *stream) avoidedEngines() map[ids.Instance]bool {
	avoid := maps.Clone(s.req.Avoid)
	now := s.x.server.opts.Now()
	for id, until := range s.fullUntil {
		if now.Before(until) {
			avoid[id] = true
		}
	}
	return avoid
}

// avoidRefusing excludes an engine that refused. If the engine was full and the
// response has started, the exclusion is temporary, since giving up would lose what the
// caller has.
func (s *stream) avoidRefusing(id ids.Instance, reason outcome.Reason) {
	if s.x.responseStarted && reason == outcome.UpstreamBusy {
		s.fullUntil[id] = s.x.server.opts.Now().Add(fullEngineCooldown)
		return
	}
	s.req.Avoid[id] = true
	if reason == outcome.UpstreamBusy {
		s.admission.refusedFull[id] = true
	}
}

// headers returns a function that appends the headers of a send through a chain.
func (s *stream) headers(c chain.Chain) func([]byte) []byte {
	h := &s.x.server.opts.Headers
	return func(out []byte) []byte {
		if s.model != nil {
			out = appendHeader(out, h.Stages, c.String())
		}
		if s.seq.started {
			out = appendHeader(out, h.LastEventID, strconv.FormatInt(s.seq.last, 10))
		}
		return appendHeader(out, h.Priority, strconv.Itoa(priorityLevel(s.x.route.PriorityOf(s.x.account))))
	}
}

// recordLoad records the load that an engine reports in the head of its response,
// including a refusal. A malformed load is counted and otherwise ignored.
func (s *stream) recordLoad(a *attempt) {
	if s.model == nil || a.resp == nil {
		return
	}
	x := s.x
	value := string(a.resp.Head.Peek(x.server.opts.Headers.Load))
	if value == "" {
		return
	}
	requests, ok := parseLoad(value)
	if !ok {
		x.count("upstream.load_malformed")
		return
	}
	x.server.picker.loadReported(a.u, requests)
}

// relay reads the response of one attempt and passes its events on.
func (s *stream) relay(a *attempt, w *stallWatch) *failure {
	x := s.x
	x.phase = phaseResponse
	failed := a.readHead()
	s.recordLoad(a)
	if failed != nil {
		return failed
	}
	if status := a.resp.Head.StatusCode(); status != 200 {
		return s.passNonStream(a)
	}
	s.taken()
	in := &eventReader{r: bufio.NewReaderSize(a.resp, eventBufferBytes), account: x.caller.hold}
	defer in.reset()
	for {
		ev, err := in.next()
		if errors.Is(err, io.EOF) {
			// The engines have to count as free before the caller sends its next request.
			s.releaseChain(w)
			return s.finishResponse(a)
		}
		if err != nil {
			return a.readFailed(err)
		}
		x.phase = phaseEvents
		pass, err := s.seq.accept(ev)
		if err != nil {
			a.discard()
			return &failure{phase: outcome.Started, reason: outcome.LedgerViolation, cause: err}
		}
		w.progress()
		if !pass {
			continue
		}
		if err := s.writeEvent(a, ev); err != nil {
			a.discard()
			x.writeFailed(err)
			return nil
		}
	}
}

// eventBufferBytes is large enough for a usual event.
const eventBufferBytes = 1 << 10

// passNonStream passes on a response that is not a stream. If it is a server error and
// the request may run elsewhere, it returns a failure instead.
func (s *stream) passNonStream(a *attempt) *failure {
	body, failed := a.readBody()
	if failed != nil {
		return failed
	}
	a.release()
	status := a.resp.Head.StatusCode()
	elsewhere := status >= statusServerError && s.x.route.MayRepeat() && s.x.sends < s.x.route.Attempts()
	if s.x.responseStarted || elsewhere {
		s.x.dropResponse(body)
		return &failure{phase: outcome.Started, reason: outcome.UpstreamInvalid, cause: &StatusError{status}}
	}
	s.x.writePlainResponse(a.u, a.resp, body)
	return nil
}

// writeEvent writes one event to the caller, preceded by the response head for the
// first event.
func (s *stream) writeEvent(a *attempt, ev event) error {
	c := s.x.caller
	s.x.events++
	if s.x.responseStarted {
		c.out = c.out[:0]
	} else {
		c.copyHead(&a.resp.Head)
		c.addHeader("Transfer-Encoding", "chunked")
		c.endHead()
		s.x.responseStarted = true
		s.x.firstEvent = s.lastEvent.Sub(s.x.arrived)
		s.x.server.opts.Metrics.ObserveDuration("stream.first_event", s.x.firstEvent)
		s.x.server.picker.recordAnswer(a.u)
	}
	c.out = strconv.AppendInt(c.out, int64(len(ev.bytes)), 16)
	c.out = append(c.out, "\r\n"...)
	if len(ev.bytes) <= maxInlineBodyBytes {
		c.out = append(c.out, ev.bytes...)
		c.out = append(c.out, "\r\n"...)
		return c.write(c.out)
	}
	for _, part := range [...][]byte{c.out, ev.bytes, []byte("\r\n")} {
		if err := c.write(part); err != nil {
			return err
		}
	}
	return nil
}

// finishResponse writes the final chunk after the stream's last event.
func (s *stream) finishResponse(a *attempt) *failure {
	x := s.x
	a.release()
	c := x.caller
	if !x.responseStarted {
		c.copyHead(&a.resp.Head)
		c.addHeader("Transfer-Encoding", "chunked")
		c.endHead()
		x.responseStarted = true
	} else {
		c.out = c.out[:0]
	}
	c.out = append(c.out, "0\r\n\r\n"...)
	if err := c.write(c.out); err != nil {
		x.writeFailed(err)
		return nil
	}
	x.recordAnswered(a.resp.Head.StatusCode(), a.u)
	return nil
}

// avoidBrokenEngines probes the chain of a broken stream and excludes the engines that
// do not answer. If all answer, the first engine broke off the connection and becomes a
// last resort.
func (s *stream) avoidBrokenEngines(ctx context.Context, c chain.Chain, failed *failure) {
	since := s.lastEvent
	if failed.brokeOff {
		// An earlier probe may have been answered by a stage that has ended since, so that the
		// first one had to break off.
		since = s.x.server.opts.Now()
	}
	found := s.x.server.prober.probeChain(ctx, c, since)
	for _, u := range found.dead {
		s.req.Avoid[u.ID] = true
	}
	if len(found.dead) == 0 {
		s.lastResort[c[0].Engine.ID] = true
	}
	if failed.brokeOff && found.allAnswered && ctx.Err() == nil {
		s.x.server.picker.brokeOff(c[0].Engine)
	}
}

// recordFailure records what a failed attempt says about the engines of its chain.
func (s *stream) recordFailure(ctx context.Context, w *stallWatch, failed *failure) {
	x, c := s.x, w.chain
	x.recordPossibleRun(c[0].Engine, failed)
	if callerLeft(ctx) {
		return
	}
	if ctx.Err() == nil && failed.lostWhileRunning() {
		x.recordLostRun(w.beganAt(), w.hasStarted(), w.livedRecorded, c.Engines()...)
	}
	if ctx.Err() == nil && failed.connectionEnded() && s.leavesLostEngines() {
		x.server.connectionLost(c[0].Engine)
	}
	var held *HeldError
	switch {
	case errors.As(failed.cause, &held):
		// The next choice leaves out the engine that asks for no request.
	case failed.reason == outcome.RetryBudget, failed.reason == outcome.Draining, failed.phase == outcome.NotSent && failed.reason == outcome.NodeFull:
		// The engine has not been asked.
	case failed.phase == outcome.NotSent:
		s.avoidRefusing(c[0].Engine.ID, failed.reason)
	case failed.phase == outcome.Refused && failed.faultyStage == "":
		s.recordRefusal(ctx, c[0].Engine, failed)
	case failed.reason == outcome.UpstreamLost || failed.reason == outcome.UpstreamInvalid:
		s.avoidBrokenEngines(ctx, c, failed)
	}
	for _, stage := range c {
		if stage.Engine.Address == failed.faultyStage {
			s.recordRefusal(ctx, stage.Engine, failed)
		}
	}
}

// recordRefusal records that an engine has refused the request: for this request and, as
// far as its reason holds for others, for all requests of this node.
func (s *stream) recordRefusal(ctx context.Context, u *directory.Upstream, failed *failure) {
	s.avoidRefusing(u.ID, failed.reason)
	if s.model == nil {
		return
	}
	if failed.rest > 0 {
		s.x.server.picker.restAsked(u, failed.rest)
	}
	s.x.server.prober.diagnoseRefusal(ctx, u, failed.reason)
}
