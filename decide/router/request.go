package router

import (
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/topology"
)

// requestState is the state of a request on this node.
type requestState int

const (
	// waiting: in the queue of its service, or delayed before it is queued again.
	// Nothing is in flight.
	waiting requestState = iota
	// claiming: the idempotency key is being claimed. A chain is reserved, but
	// this attempt has sent nothing.
	claiming
	// sending: an attempt is in flight.
	sending
	// releasing: the claim is being released before the request is answered as
	// not run.
	releasing
	// cancellingEarlier: an engine is asked to refuse the start of an earlier
	// request with the same key.
	cancellingEarlier
)

// request is a request held by the node.
type request struct {
	arrival RequestArrived
	account fleet.Account
	svc     *service
	// arrived is the time of the RequestArrived event, queued the time at which
	// the request was last queued.
	arrived, queued time.Time
	deadline        time.Time
	// inFlightCost is the cost that the queue counts as in flight for this
	// request; 0 if none.
	inFlightCost float64
	// idempotent is true if the request may run more than once.
	idempotent bool
	state      requestState
	attempt    ids.Attempt
	// stream is the attempt that started the stream in flight. It differs from
	// attempt if that one rejoined the stream.
	stream ids.Attempt
	chain  topology.Chain
	// sentAt is when the attempt in flight was emitted, startedAt when the
	// upstream confirmed its start; zero before.
	sentAt, startedAt time.Time
	// epoch names the process of the chain's first engine that confirmed the
	// start.
	epoch string
	// failedAt holds the upstreams at which this request has failed.
	failedAt []ids.Upstream
	// rejoins is the number of attempts that rejoined the running stream.
	rejoins int
	// busyCount is the number of attempts refused for lack of capacity. lastBusy
	// is the upstream of the last one, which the next choice avoids if it can.
	busyCount int
	lastBusy  ids.Upstream
	// lostAt holds the upstreams that lost this request's connection or failed as
	// its stage, and so may have crashed.
	lostAt []ids.Upstream
	// mayHaveRun is true if an attempt may have run the request.
	mayHaveRun bool
	// responseBegun is true once the caller has received a token.
	responseBegun bool
	// claim is the record of the claim that this request holds in the platform;
	// nil if none.
	claim *ClaimRecord
	// pendingClaim is the record being claimed; nil if none.
	pendingClaim *ClaimRecord
	// resume identifies the stream that the attempt in flight rejoins; nil if the
	// attempt starts a new one.
	resume *Resume
	// prior is the claim of an earlier request with the same key, whose stream
	// this request joins; nil if none.
	prior *ClaimRecord
	// priorStarted is true once an engine has said that the request of prior has
	// started.
	priorStarted bool
	// answered is true once Finish was emitted. The request is then kept only
	// until its attempt or claim has ended.
	answered bool
	// pendingErr is the answer to give once the claim is released.
	pendingErr *outcome.Error
}

// needsClaim reports whether the idempotency key must be claimed before the
// request is sent.
func (q *request) needsClaim() bool { return !q.idempotent && q.arrival.IdempotencyKey != "" }

// fingerprint returns the fingerprint of the request for the quarantine.
func (q *request) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(q.arrival.Fingerprint)
}

// hasFailedAt reports whether the request has failed at the upstream.
func (q *request) hasFailedAt(id ids.Upstream) bool {
	for _, f := range q.failedAt {
		if f == id {
			return true
		}
	}
	return false
}

// starts returns the number of attempts that tried to start the request. It
// excludes attempts refused for lack of capacity and attempts that rejoined the
// request's stream, which have their own limit.
func (q *request) starts() int { return int(q.attempt) - q.busyCount - q.rejoins }

// retryKind returns the kind of the request's next retry. A plain service has no
// streams to leave retries to, so all its requests may use the whole budget.
func (q *request) retryKind() retry.Kind {
	if q.responseBegun || !q.svc.isModel() {
		return retry.BrokenStream
	}
	return retry.NewRequest
}

// remaining returns the time until the deadline; never negative.
func (q *request) remaining(now time.Time) time.Duration {
	return max(0, q.deadline.Sub(now))
}

// cost returns the estimated number of token steps that the request needs.
func (q *request) cost() float64 {
	return float64(max(1, q.arrival.MaxTokens+q.arrival.PromptTokens/promptTokensPerStep))
}

// promptTokensPerStep is the number of prompt tokens that an engine is assumed to
// process in one step, for cost estimates.
const promptTokensPerStep = 64

// head returns the upstream that is called, the first of the chain; empty if no
// chain is chosen.
func (q *request) head() ids.Upstream {
	if len(q.chain) == 0 {
		return ""
	}
	return q.chain[0].ID
}

// chainIDs returns the IDs of the engines of a chain.
func chainIDs(c topology.Chain) []ids.Upstream {
	names := make([]ids.Upstream, len(c))
	for i, e := range c {
		names[i] = e.ID
	}
	return names
}
