package forward

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/admission"
	"mimosaarch.example/decide/chain"
)

// admissionQueue holds the new requests of this node that wait for capacity. It wakes
// them as decide/admission orders.
type admissionQueue struct {
	opts Options

	mu      sync.Mutex
	control *admission.Control
	// waiting receives the end of each request's wait.
	waiting map[ids.Request]chan admission.Reason
	// timer calls advance when a wait may end.
	timer *time.Timer
	// lastID numbers the requests. Callers' IDs need not be unique.
	lastID uint64
	// accounts holds the accounts with counters of their own.
	accounts map[ids.Account]bool
}

// admissionSeedStream is the second half of the random source's seed.
const admissionSeedStream = 0x61646d6974

// newAdmissionQueue returns an empty queue.
func newAdmissionQueue(o Options) *admissionQueue {
	q := &admissionQueue{
		opts: o, control: admission.New(rand.New(rand.NewPCG(o.Seed, admissionSeedStream))),
		waiting: make(map[ids.Request]chan admission.Reason), accounts: make(map[ids.Account]bool),
	}
	q.timer = time.AfterFunc(time.Hour, q.wake)
	q.timer.Stop()
	return q
}

// newID returns the ID of a request in the queue.
func (q *admissionQueue) newID() ids.Request {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	return ids.Request(strconv.FormatUint(q.lastID, 10))
}

// wake ends the waits that are due.
func (q *admissionQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance()
}

// advance ends the waits that are due and sets the timer for the next ones. The caller
// holds mu.
func (q *admissionQueue) advance() {
	now := q.opts.Now()
	ended, next := q.control.Advance(now)
	q.end(ended)
	if !next.IsZero() {
		q.timer.Reset(max(next.Sub(now), 0))
	}
}

// end ends waits. The caller holds mu.
func (q *admissionQueue) end(ended []admission.Outcome) {
	for _, o := range ended {
		if ch := q.waiting[o.ID]; ch != nil {
			ch <- o.Reason
			delete(q.waiting, o.ID)
		}
	}
}

// full queues a request for which every chain has a full engine. It returns the channel
// that receives the end of the wait, nil if the request is refused with the reason.
func (q *admissionQueue) full(r admission.Request, full *chain.FullError) (<-chan admission.Reason, admission.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reason, displaced := q.control.Full(q.opts.Now(), r, full.Engine, full.Until)
	return q.queued(r, reason == admission.ReasonNone, displaced), reason
}

// join queues a new request if others wait. It returns nil if the request does not wait:
// it may then be sent if the reason is ReasonNone, and is refused if not.
func (q *admissionQueue) join(r admission.Request) (<-chan admission.Reason, admission.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waits, reason, displaced := q.control.Join(q.opts.Now(), r)
	return q.queued(r, waits, displaced), reason
}

// queued adds the channel of a request if it waits, and ends the waits of those that it
// displaced. The caller holds mu.
func (q *admissionQueue) queued(r admission.Request, waits bool, displaced []admission.Outcome) <-chan admission.Reason {
	q.end(displaced)
	var ch chan admission.Reason
	if waits {
		ch = make(chan admission.Reason, 1)
		q.waiting[r.ID] = ch
	}
	q.advance()
	return ch
}

// settled records whether the engines took a request that was sent in its turn.
func (q *admissionQueue) settled(service ids.Service, id ids.Request, taken bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.control.Settled(q.opts.Now(), service, id, taken)
	q.advance()
}

// left removes a request whose wait or send ended in a way that says nothing about
// capacity.
func (q *admissionQueue) left(service ids.Service, id ids.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	q.control.Left(q.opts.Now(), service, id)
	q.advance()
}

// retryAfter returns the Retry-After of a refusal for lack of capacity, busyRetryAfter if
// requests like it do not wait in the queue.
func (q *admissionQueue) retryAfter(r admission.Request, left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Now()
	if !q.control.Applies(now, r) {
		return busyRetryAfter
	}
	return q.control.RetryAfter(now, r, left)
}

// applies reports whether requests like r wait in the queue rather than being refused.
func (q *admissionQueue) applies(r admission.Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.control.Applies(q.opts.Now(), r)
}

// Bounds of the counters by class and account.
const (
	maxCountedAccounts = 32
	maxCountedClass    = 9
)

// count adds one to the counters of an event: in all, by class and by account. Accounts
// beyond maxCountedAccounts are counted together.
func (q *admissionQueue) count(event string, r admission.Request) {
	q.mu.Lock()
	name := r.Account
	if !q.accounts[name] {
		if len(q.accounts) < maxCountedAccounts {
			q.accounts[name] = true
		} else {
			name = "other"
		}
	}
	q.mu.Unlock()
	q.opts.Metrics.Add("admission."+event, 1)
	q.opts.Metrics.Add("admission."+event+".class."+strconv.Itoa(min(r.Class, maxCountedClass)), 1)
	q.opts.Metrics.Add("admission."+event+".account."+string(name), 1)
}

// admissionState is the state of one stream in the admission queue.
type admissionState struct {
	request admission.Request
	// inTurn is set when the queue has let the stream go and no chain was chosen since.
	inTurn bool
	// queuedAt is when the latest wait began. waited is the time of all waits.
	queuedAt time.Time
	waited   time.Duration
	// refusedFull holds the engines that refused the stream for lack of capacity before
	// the response started.
	refusedFull map[ids.Instance]bool
}

// maxWaitObjective is how long a new request waits for capacity, as a fraction of its
// route's latency objective. The rest is for the prompt and the first token.
const maxWaitObjective = 0.5

// setAdmission sets what the queue has to know of the stream.
func (s *stream) setAdmission(classes int) {
	x := s.x
	wait := time.Duration(maxWaitObjective * float64(x.route.LatencyObjective))
	s.admission.request = admission.Request{
		Service: x.service, Class: s.req.ClassSteps, Classes: classes, Cost: s.req.PromptTokens + s.req.OutputTokens,
		Arrived: x.arrived, Deadline: earlier(x.arrived.Add(wait), x.deadline),
	}
	if x.account != nil {
		s.admission.request.Account = x.account.Name
	}
	s.req.FullHeadStart = admission.HeadStart(s.req.ClassSteps, classes)
	s.admission.refusedFull = make(map[ids.Instance]bool)
}

// earlier returns the earlier time.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// isNew reports whether the caller has no part of the response, so that the stream may
// wait behind others.
func (s *stream) isNew() bool { return s.model != nil && !s.x.responseStarted && !s.seq.started }

// AdmissionError reports that a request was refused because of a lack of capacity.
type AdmissionError struct{ Reason admission.Reason }

// Error implements error.
func (e *AdmissionError) Error() string { return "no capacity: " + string(e.Reason) }

// awaitTurn waits if other new requests of the service wait for capacity. A request that
// was sent already doesn't wait behind them. It returns a failure if the request is
// refused or ctx ends.
func (s *stream) awaitTurn(ctx context.Context) *failure {
	if !s.isNew() || s.admission.inTurn || s.x.sends > 0 {
		return nil
	}
	s.ensureAdmissionID()
	end, reason := s.x.server.admission.join(s.admission.request)
	if end == nil && reason == admission.ReasonNone {
		return nil
	}
	return s.awaitEnd(ctx, end, reason)
}

// awaitCapacity waits until an engine that counts as full may be tried again, in the
// order of the queue. It returns a failure if the request is refused or ctx ends.
func (s *stream) awaitCapacity(ctx context.Context, full *chain.FullError) *failure {
	s.ensureAdmissionID()
	end, reason := s.x.server.admission.full(s.admission.request, full)
	return s.awaitEnd(ctx, end, reason)
}

// ensureAdmissionID gives the stream its ID in the queue.
func (s *stream) ensureAdmissionID() {
	if s.admission.request.ID == "" {
		s.admission.request.ID = s.x.server.admission.newID()
	}
}

// awaitEnd waits for the end of a wait in the queue, unless end is nil. It returns a
// failure if the request is refused, with reason if it did not wait, or if ctx ends.
func (s *stream) awaitEnd(ctx context.Context, end <-chan admission.Reason, reason admission.Reason) *failure {
	if end != nil {
		var left error
		if reason, left = s.awaitQueue(ctx, end); left != nil {
			return &failure{phase: outcome.NotSent, reason: outcome.ConnectFailed, cause: left}
		}
	}
	if reason == admission.ReasonNone {
		return nil
	}
	return &failure{phase: outcome.NotSent, reason: outcome.UpstreamBusy, cause: &AdmissionError{reason}}
}

// awaitQueue waits in the queue. The error is the cause of the end of ctx.
func (s *stream) awaitQueue(ctx context.Context, end <-chan admission.Reason) (admission.Reason, error) {
	x := s.x
	x.phase = phaseQueue
	s.admission.queuedAt = x.server.opts.Now()
	s.logAdmission("queued", nil)
	var reason admission.Reason
	select {
	case reason = <-end:
	case <-ctx.Done():
		x.server.admission.left(x.service, s.admission.request.ID)
		return admission.ReasonNone, context.Cause(ctx)
	}
	s.admission.waited += x.server.opts.Now().Sub(s.admission.queuedAt)
	x.server.opts.Metrics.ObserveDuration("admission.wait", s.admission.waited)
	if reason == admission.ReasonNone {
		s.admission.inTurn = true
		s.logAdmission("admitted", nil)
	}
	return reason, nil
}

// logAdmission logs and counts an event of the stream in the queue. extend, if not nil,
// adds fields to the line.
func (s *stream) logAdmission(event string, extend func(*zerolog.Event)) {
	r := s.admission.request
	s.x.server.admission.count(event, r)
	line := s.x.log("admission_"+event).Str("route", s.x.route.Name).Str("service", string(r.Service)).
		Int("class", r.Class).Str("account", string(r.Account)).Float64("tokens", r.Cost).Dur("waited_ms", s.admission.waited)
	if extend != nil {
		extend(line)
	}
	line.Send()
}

// refuseBusy refuses the request for lack of capacity. reason is that of the queue.
func (s *stream) refuseBusy(reason admission.Reason, detail string) {
	if reason != admission.ReasonNoContention {
		s.logAdmission("refused", func(e *zerolog.Event) { e.Str("reason", string(reason)) })
	}
	s.x.giveUp(outcome.UpstreamBusy, detail, s.busyRetryAfter())
}

// recordRefusals logs and counts a request that is refused because engines have refused it
// for lack of capacity, where requests like it wait in the queue.
func (s *stream) recordRefusals(failed *failure) {
	if s.model == nil || failed.reason != outcome.UpstreamBusy || !s.x.server.admission.applies(s.admission.request) {
		return
	}
	s.logAdmission("refused", func(e *zerolog.Event) { e.Str("reason", "by_engines") })
}

// busyRetryAfter returns the Retry-After of a refusal for lack of capacity.
func (s *stream) busyRetryAfter() time.Duration {
	if !s.isNew() {
		return busyRetryAfter
	}
	x := s.x
	return x.server.admission.retryAfter(s.admission.request, x.deadline.Sub(x.server.opts.Now()))
}

// turnUnused tells the queue that a stream whose turn has come was not sent, for a reason
// that says nothing about capacity.
func (s *stream) turnUnused() {
	if s.admission.inTurn {
		s.admission.inTurn = false
		s.x.server.admission.left(s.x.service, s.admission.request.ID)
	}
}

// settleAdmission tells the queue how the send of a stream that had waited went: an
// engine refused it for lack of capacity, or it failed in another way.
func (s *stream) settleAdmission(failed *failure) {
	r := s.admission.request
	switch {
	case r.ID == "":
	case failed.phase.ProvesNotRun() && failed.reason == outcome.UpstreamBusy:
		s.x.server.admission.settled(r.Service, r.ID, false)
	default:
		s.x.server.admission.left(r.Service, r.ID)
	}
}

// taken tells the queue that engines have taken a stream that had waited.
func (s *stream) taken() {
	if r := s.admission.request; r.ID != "" && !s.x.responseStarted {
		s.x.server.admission.settled(r.Service, r.ID, true)
	}
}

// retryRefusedFull allows the engines that refused the stream for lack of capacity again,
// if the stream may wait for them, and reports whether there are any.
func (s *stream) retryRefusedFull() bool {
	if !s.isNew() || len(s.admission.refusedFull) == 0 || !s.x.server.admission.applies(s.admission.request) {
		return false
	}
	for id := range s.admission.refusedFull {
		delete(s.req.Avoid, id)
	}
	clear(s.admission.refusedFull)
	return true
}
