// Package outcome defines what a response may claim about a request: the possible
// outcomes, the reasons for refusals and retries, and the error that carries them
// to the caller.
package outcome

import (
	"fmt"
	"time"
)

// Outcome says whether a request ran, as far as the node can prove it.
type Outcome string

const (
	// Complete: the whole response was delivered, up to its end marker.
	Complete Outcome = "complete"
	// NotRun: nothing was written to an upstream, or the upstream refused the
	// request before starting it, or it confirmed that it was cancelled before the
	// start.
	NotRun Outcome = "not_run"
	// Unknown: bytes may have reached an upstream, and no response shows whether
	// the request ran.
	Unknown Outcome = "unknown"
	// AlreadyRun: an earlier request with the same idempotency key has finished.
	AlreadyRun Outcome = "already_run"
	// Running: an earlier request with the same idempotency key may still be
	// running.
	Running Outcome = "running"
)

// Reason says why a request was refused, was retried or has an unknown outcome.
// Each reason has its own counter.
type Reason string

// Reasons for refusing a request before it runs.
const (
	BadRequest          Reason = "bad_request"
	BodyTooLarge        Reason = "body_too_large"
	BodyTruncated       Reason = "body_truncated" // the body ended early or arrived too slowly
	Unauthorized        Reason = "unauthorized"
	Forbidden           Reason = "forbidden"
	UnknownService      Reason = "unknown_service"
	DeadlineExpired     Reason = "deadline_expired"     // the deadline has passed
	DeadlineUnreachable Reason = "deadline_unreachable" // the wait in the queue exceeds the deadline
	AccountLimit        Reason = "account_limit"        // the account exceeds its rate limit or its share of the queue
	QueueFull           Reason = "queue_full"           // the queue of the service is full
	RingFull            Reason = "ring_full"            // the ring buffer of the node's decision loop is full
	NoUpstream          Reason = "no_upstream"          // no usable upstream or chain
	Quarantined         Reason = "quarantined"          // the same request crashed upstreams before
	Draining            Reason = "draining"             // the node is stopping
	NotReady            Reason = "not_ready"            // the node has no configuration yet
	ClaimUnavailable    Reason = "claim_unavailable"    // the idempotency key could not be claimed
	KeyReused           Reason = "key_reused"           // the idempotency key belongs to a different request
	RetryBudget         Reason = "retry_budget"         // the retry budget is used up
	AttemptsExhausted   Reason = "attempts_exhausted"   // the attempts of the request are used up
	NodeFull            Reason = "node_full"            // the node has no memory left for the request or its response
	CallerGone          Reason = "caller_gone"          // the caller closed the connection or was too slow
)

// Reasons for an attempt at an upstream to end without a complete response. They
// are also the reasons for retries.
const (
	ConnectFailed   Reason = "connect_failed" // the dial failed
	Unreachable     Reason = "unreachable"    // the dial got no response
	UpstreamRefused Reason = "upstream_refused"
	UpstreamBusy    Reason = "upstream_busy"
	UpstreamLost    Reason = "upstream_lost"    // the connection was lost
	UpstreamStalled Reason = "upstream_stalled" // no progress within the stall timeout
	UpstreamInvalid Reason = "upstream_invalid" // the response is malformed
	StageFailed     Reason = "stage_failed"     // a stage or a link of the chain failed
	LedgerViolation Reason = "ledger_violation" // the token stream has a gap, a repetition or wrong layers
	Cancelled       Reason = "cancelled"        // the node cancelled the attempt
)

// Reasons for answering a request with an idempotency key from an earlier request.
const (
	DuplicateRunning Reason = "duplicate_running"
	DuplicateDone    Reason = "duplicate_done"
)

// Error is the failure that is returned to a caller.
type Error struct {
	// Outcome is the outcome of the request.
	Outcome Outcome
	// Reason is the reason for the failure.
	Reason Reason
	// Detail is an explanation for people; may be empty.
	Detail string
	// RetryAfter is how long the caller should wait before it retries; zero means
	// no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Reason, e.Detail)
}

// Refuse returns the error for a request that was not run.
func Refuse(reason Reason, detail string, retryAfter time.Duration) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// Phase is how far an attempt got. It determines which outcomes can be proven.
type Phase int

const (
	// NotSent: no byte of the attempt was written to an upstream.
	NotSent Phase = iota
	// Refused: the upstream refused the request before starting it, or confirmed
	// that it was cancelled before the start.
	Refused
	// MaybeSent: bytes may have reached the upstream, which has not responded.
	MaybeSent
	// Started: the upstream confirmed the start.
	Started
	// Finished: the upstream delivered its whole response and the end marker.
	Finished
)

// phaseNames is indexed by Phase.
var phaseNames = [...]string{"not_sent", "refused", "maybe_sent", "started", "finished"}

// String implements fmt.Stringer.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase(%d)", int(p))
	}
	return phaseNames[p]
}

// ProvesNotRun reports whether an attempt that ended in this phase certainly did
// not run.
func (p Phase) ProvesNotRun() bool { return p == NotSent || p == Refused }
