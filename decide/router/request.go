package router

import (
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/topology"
)

// state is where a request stands on this node.
type state int

const (
	// waiting in its service's queue; nothing has been sent.
	waiting state = iota
	// claiming its idempotency key; a chain is reserved, nothing is sent by
	// this attempt.
	claiming
	// sending: an attempt is in flight.
	sending
	// releasing its claim before "not run" is said.
	releasing
	// forbidding the start of an earlier request with the same key.
	forbidding
)

// request is one request held by the node.
type request struct {
	arrive  RequestArrived
	account fleet.Account
	svc     *service
	// arrived is the time of RequestArrived; queued that of the last entry to the queue.
	arrived, queued time.Time
	deadline        time.Time
	// popped is the cost the queue counts in flight for this request; 0 when
	// it counts none.
	popped float64
	// idempotent tells that the request may run more than once.
	idempotent bool
	state      state
	attempt    ids.Attempt
	// stream is the attempt that started the stream in flight; it differs
	// from attempt when that rejoins it.
	stream ids.Attempt
	chain  topology.Chain
	// sentAt is the time the attempt in flight was emitted, startedAt the
	// time the upstream confirmed it; zero before.
	sentAt, startedAt time.Time
	// epoch is the head's process life as it confirmed the start.
	epoch string
	// failed holds the upstreams this request has failed at.
	failed []ids.Upstream
	// rejoins counts the attempts that only rejoined the running stream.
	rejoins int
	// busy counts the attempts that met an upstream without room; full is
	// the last of these, which the next choice avoids where it can.
	busy int
	full ids.Upstream
	// lostAt holds the upstreams that lost this request's connection or failed
	// its stage: possible crashes.
	lostAt []ids.Upstream
	// mayHaveRun tells that some attempt was not proved not to have run.
	mayHaveRun bool
	// claim is the record that stands in the platform for this request; nil
	// when none does.
	claim *ClaimRecord
	// pending is the record being claimed; nil when none is.
	pending *ClaimRecord
	// resume names the running stream that the attempt in flight rejoins; nil
	// when the attempt starts one.
	resume *Resume
	// prior is the claim of an earlier request with the same key, whose run
	// is rejoined; nil when there is none.
	prior *ClaimRecord
	// answered tells that Finish was emitted; the request is kept only until
	// its attempt or claim has ended.
	answered bool
	// cause is the refusal to be given once the claim is released.
	cause *outcome.Error
}

// keyed tells that the request's idempotency key has to be claimed.
func (q *request) keyed() bool { return !q.idempotent && q.arrive.IdempotencyKey != "" }

// fingerprint names the request to the quarantine.
func (q *request) fingerprint() quarantine.Fingerprint {
	return quarantine.Fingerprint(q.arrive.Fingerprint)
}

// exclude reports whether the request has failed at the upstream.
func (q *request) exclude(id ids.Upstream) bool {
	for _, f := range q.failed {
		if f == id {
			return true
		}
	}
	return false
}

// starts counts the attempts that tried to start the request: neither those
// that met an upstream without room nor those that only rejoined its stream,
// which have a bound of their own.
func (q *request) starts() int { return int(q.attempt) - q.busy - q.rejoins }

// remaining is the time until the deadline; never negative.
func (q *request) remaining(now time.Time) time.Duration {
	return max(0, q.deadline.Sub(now))
}

// cost estimates the token steps the request needs.
func (q *request) cost() float64 {
	return float64(max(1, q.arrive.MaxTokens+q.arrive.PromptTokens/promptTokensPerStep))
}

// promptTokensPerStep is the prompt tokens an engine takes in one step, used
// only to estimate work.
const promptTokensPerStep = 64

// head is the upstream that is called; empty when no chain is chosen.
func (q *request) head() ids.Upstream {
	if len(q.chain) == 0 {
		return ""
	}
	return q.chain[0].ID
}

// chainIDs names the engines of a chain.
func chainIDs(c topology.Chain) []ids.Upstream {
	names := make([]ids.Upstream, len(c))
	for i, e := range c {
		names[i] = e.ID
	}
	return names
}
