package forward

import (
	"bufio"
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
	"mimosaarch.example/decide/routing"
)

// stream is what a streaming request is at, over all its attempts.
type stream struct {
	x     *exchange
	model *layered.Model
	req   chain.Request
	seq   sequence
	// shunned are engines that broke off though they live; they are taken
	// again only if no chain is left without them.
	shunned map[ids.Life]bool
	// resting are engines that had no room for the rest of a stream, until they are
	// tried again.
	resting map[ids.Life]time.Time
	// last is when the latest event came.
	last time.Time
	// gap is the mean pause between events.
	gap time.Duration
	// refused counts refusals before the answer began, unrun sends after that which are
	// proved not to have run.
	refused, unrun int
}

// stream serves a request that is answered by events.
func (x *exchange) stream(ctx context.Context, table *routing.Table) {
	s := &stream{x: x, gap: x.route.PauseObjective / firstGapParts, shunned: make(map[ids.Life]bool), resting: make(map[ids.Life]time.Time)}
	_, draw := x.server.draw()
	s.req = chain.Request{Service: x.service, Zone: x.server.opts.Zone, Avoid: make(map[ids.Life]bool), JitterSeed: draw}
	if service := table.Service(x.service); service != nil {
		s.model = service.Model
	}
	s.size()
	if id, err := strconv.ParseInt(string(x.req.Header.Peek(x.server.opts.Headers.LastEventID)), 10, 64); err == nil {
		s.seq = sequence{last: id, begun: true}
	}
	for {
		failed := s.attempt(ctx)
		if failed == nil || x.ended(ctx) || !s.next(ctx, failed) {
			return
		}
	}
}

// size finds what the request needs, by its headers or else by the mean.
func (s *stream) size() {
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

// next decides what follows a failed attempt; if nothing, it answers.
func (s *stream) next(ctx context.Context, failed *failure) bool {
	x := s.x
	var none *chain.NoChainError
	if errors.As(failed.cause, &none) {
		if x.written {
			s.pause(ctx)
			return true
		}
		left := x.limit.Sub(x.server.opts.Now())
		x.giveUp(outcome.NoUpstream, none.Error(), x.server.picks.retryAfter(x.service, left))
		return false
	}
	var full *chain.FullError
	if errors.As(failed.cause, &full) {
		x.giveUp(outcome.UpstreamBusy, full.Error(), busyAfter)
		return false
	}
	if x.written {
		return s.goOn(ctx, failed)
	}
	if failed.phase.ProvesNotRun() {
		if s.refused++; s.refused >= maxRefusals {
			x.giveUp(failed.reason, failed.Error(), busyAfter)
			return false
		}
	}
	return x.again(failed)
}

// goOnRetry is the wait before a stream that cannot go on looks again. Engines that take
// over layers load them in about a second, and a node's part of the retry budget grows by
// some sends a second.
const goOnRetry = 150 * time.Millisecond

// pause waits a moment before the next look.
func (s *stream) pause(ctx context.Context) {
	timer := time.NewTimer(goOnRetry)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// goOn decides what follows a failed attempt once part of the answer is with the caller,
// who would lose it all. It waits for what is missing until the caller leaves or the
// request's time is up; only what no wait can bring ends the answer.
func (s *stream) goOn(ctx context.Context, failed *failure) bool {
	x := s.x
	if failed.phase.ProvesNotRun() {
		s.unrun++
	}
	if x.over(failed, x.sends-s.unrun) {
		return false
	}
	for !x.server.picks.again(x.service, failed.reason, true) {
		s.pause(ctx)
		if ctx.Err() != nil {
			return true
		}
	}
	x.retried(failed)
	return true
}

// attempt sends the request through one chain and passes its events on. It
// gives nil once the caller was answered.
func (s *stream) attempt(ctx context.Context) *failure {
	x := s.x
	c, failed := s.choose(ctx)
	if failed != nil {
		return failed
	}
	first := c[0].Engine
	x.log("chain").Str("chain", c.String()).Str("upstream", first.ID.String()).Str("route", x.route.Name).
		Int64("directory", x.server.opts.View().Revision).Int64("after_event", s.seq.last).Send()
	w := &streamWait{s: s, ctx: ctx, chain: c, begun: s.x.written}
	defer s.uncount(w)
	a, failed := x.begin(ctx, first, x.compose(first, s.headers(c)), w.wait)
	if failed == nil {
		failed = s.relay(a, w)
	}
	if failed != nil {
		s.blame(ctx, w, failed)
	}
	return failed
}

// uncount takes the request off the chain on which it ended, which a stall may
// have changed, or off its one upstream; once only.
func (s *stream) uncount(w *streamWait) {
	if w.off {
		return
	}
	w.off = true
	if s.model == nil {
		s.x.server.picks.replicaEnded(w.chain[0].Engine.ID, 0, false)
		return
	}
	s.x.server.picks.chainEnded(w.chain, s.req)
}

// choose picks the chain: of engines that hold layers, or of one upstream where
// the service has no model of layers.
func (s *stream) choose(ctx context.Context) (chain.Chain, *failure) {
	x := s.x
	if s.model == nil {
		u := x.server.picks.replica(x.server.opts.View().Of(x.service), s.req.Avoid, x.draw())
		if u == nil {
			return nil, &failure{phase: outcome.NotSent, reason: outcome.NoUpstream, cause: &chain.NoChainError{Service: x.service}}
		}
		return chain.Chain{{Engine: u}}, nil
	}
	view := x.server.opts.View()
	x.server.probe.refresh(ctx, view)
	s.req.AllowedFirst = x.bound()
	usual := s.req
	// A caller that resumes has part of the answer too.
	usual.Avoid, usual.OutputStarted = s.avoided(), x.written || s.seq.begun
	careful := usual
	careful.Avoid = maps.Clone(usual.Avoid)
	maps.Copy(careful.Avoid, s.shunned)
	c, err := x.server.picks.chain(s.model, view, careful)
	if err != nil && len(s.shunned) > 0 {
		c, err = x.server.picks.chain(s.model, view, usual)
	}
	if err != nil {
		return nil, &failure{phase: outcome.NotSent, reason: outcome.NoUpstream, cause: err}
	}
	return c, nil
}

// roomRest is how long the rest of a stream is not offered again to an engine that
// had no room for it. Some of its streams end meanwhile, and their callers wait for 2 s
// after an event: an engine that alone holds some layers is asked four times in that.
const roomRest = 400 * time.Millisecond

// avoided gives the engines that the request is not to use now.
func (s *stream) avoided() map[ids.Life]bool {
	all := maps.Clone(s.req.Avoid)
	now := s.x.server.opts.Now()
	for id, until := range s.resting {
		if now.Before(until) {
			all[id] = true
		}
	}
	return all
}

// refusedBy notes an engine that refused. One that had no room is tried again where
// part of the answer is with the caller, who else would lose it all.
func (s *stream) refusedBy(id ids.Life, reason outcome.Reason) {
	if s.x.written && reason == outcome.UpstreamBusy {
		s.resting[id] = s.x.server.opts.Now().Add(roomRest)
		return
	}
	s.req.Avoid[id] = true
}

// headers gives the headers of a send through a chain.
func (s *stream) headers(c chain.Chain) func([]byte) []byte {
	h := &s.x.server.opts.Headers
	return func(out []byte) []byte {
		if s.model != nil {
			out = appendHeader(out, h.Stages, c.String())
		}
		if s.seq.begun {
			out = appendHeader(out, h.LastEventID, strconv.FormatInt(s.seq.last, 10))
		}
		return appendHeader(out, h.Priority, strconv.Itoa(level(s.x.route.PriorityOf(s.x.account))))
	}
}

// noteLoad takes the load that an engine tells with an answer, also one that refuses. A
// load that cannot be read is as none.
func (s *stream) noteLoad(a *attempt) {
	if s.model == nil || a.answer == nil {
		return
	}
	x := s.x
	value := string(a.answer.Head.Peek(x.server.opts.Headers.Load))
	if value == "" {
		return
	}
	requests, ok := parseLoad(value)
	if !ok {
		x.count("upstream.load_malformed")
		return
	}
	x.server.picks.reported(a.u, requests)
}

// relay reads the answer of one attempt and passes its events on.
func (s *stream) relay(a *attempt, w *streamWait) *failure {
	x := s.x
	failed := a.head()
	s.noteLoad(a)
	if failed != nil {
		return failed
	}
	if status := a.answer.Head.StatusCode(); status != 200 {
		return s.other(a)
	}
	in := &events{r: bufio.NewReaderSize(a.answer, eventBuffer)}
	for {
		ev, err := in.next()
		if errors.Is(err, io.EOF) {
			// The caller's next request must find the engines free.
			s.uncount(w)
			return s.finish(a)
		}
		if err != nil {
			return a.lost(err)
		}
		pass, err := s.seq.take(ev)
		if err != nil {
			a.abandon()
			return &failure{phase: outcome.Started, reason: outcome.LedgerViolation, cause: err}
		}
		w.progress()
		if !pass {
			continue
		}
		if err := s.pass(a, ev); err != nil {
			a.abandon()
			x.gone()
			return nil
		}
	}
}

// eventBuffer holds usual events whole, in bytes.
const eventBuffer = 1 << 10

// other passes on an answer that is no stream: an engine's own failure. Where
// the request may run elsewhere, that comes first.
func (s *stream) other(a *attempt) *failure {
	body, err := a.answer.Body()
	if err != nil {
		return a.lost(err)
	}
	a.keep()
	status := a.answer.Head.StatusCode()
	elsewhere := status >= serverError && s.x.route.MayRepeat() && s.x.sends < s.x.route.Attempts()
	if s.x.written || elsewhere {
		return &failure{phase: outcome.Started, reason: outcome.UpstreamInvalid, cause: &StatusError{status}}
	}
	s.x.answerPlain(a.u, a.answer, body)
	return nil
}

// pass writes one event to the caller, with the head before the first.
func (s *stream) pass(a *attempt, ev event) error {
	c := s.x.client
	s.x.events++
	if s.x.written {
		c.out = c.out[:0]
	} else {
		c.copyHead(&a.answer.Head)
		c.addHeader("Transfer-Encoding", "chunked")
		c.endHead()
		s.x.written = true
		s.x.first = s.last.Sub(s.x.arrived)
		s.x.server.opts.Metrics.ObserveDuration("stream.first_event", s.x.first)
		s.x.server.picks.answered(a.u)
	}
	c.out = strconv.AppendInt(c.out, int64(len(ev.bytes)), 16)
	c.out = append(c.out, "\r\n"...)
	c.out = append(c.out, ev.bytes...)
	c.out = append(c.out, "\r\n"...)
	return c.write(c.out)
}

// finish ends the answer after the stream's last event.
func (s *stream) finish(a *attempt) *failure {
	x := s.x
	a.keep()
	c := x.client
	if !x.written {
		c.copyHead(&a.answer.Head)
		c.addHeader("Transfer-Encoding", "chunked")
		c.endHead()
		x.written = true
	} else {
		c.out = c.out[:0]
	}
	c.out = append(c.out, "0\r\n\r\n"...)
	if err := c.write(c.out); err != nil {
		x.gone()
		return nil
	}
	x.done(a.answer.Head.StatusCode(), a.u)
	return nil
}

// lookFor finds out which engine of a chain ended a stream: those that do not
// answer, or else the first, which broke the connection off.
func (s *stream) lookFor(ctx context.Context, c chain.Chain) {
	dead, _ := s.x.server.probe.wide(ctx, c)
	for _, u := range dead {
		s.req.Avoid[u.ID] = true
	}
	if len(dead) == 0 {
		s.shunned[c[0].Engine.ID] = true
	}
}

// blame notes what a failed attempt says about the engines of its chain.
func (s *stream) blame(ctx context.Context, w *streamWait, failed *failure) {
	x, c := s.x, w.chain
	x.settle(c[0].Engine, failed)
	if ctx.Err() == nil && failed.midRun() && !w.ran {
		x.lost(c.Engines()...)
	}
	switch {
	case failed.phase == outcome.NotSent, failed.phase == outcome.Refused && failed.culprit == "":
		s.refusedBy(c[0].Engine.ID, failed.reason)
	case failed.reason == outcome.UpstreamLost || failed.reason == outcome.UpstreamInvalid:
		s.lookFor(ctx, c)
	}
	for _, h := range c {
		if h.Engine.Address == failed.culprit {
			s.refusedBy(h.Engine.ID, failed.reason)
			x.server.probe.judge(ctx, h.Engine, failed.reason)
		}
	}
}
