// Package outcome defines what an answer may say about a request: the four
// outcomes, the reasons for refusals and retries, and the error that carries
// them to the caller.
package outcome

import (
	"fmt"
	"time"
)

// Outcome says what became of a request. Its words are exact.
type Outcome string

const (
	// Complete: the whole answer was delivered, ended by its end marker.
	Complete Outcome = "complete"
	// NotRun: nothing was written to an upstream, or the upstream refused
	// before starting, or it confirmed a cancel before start.
	NotRun Outcome = "not_run"
	// Unknown: bytes may have reached an upstream and no answer settled it.
	Unknown Outcome = "unknown"
	// AlreadyRun: the same idempotency key was seen before and its request
	// has finished.
	AlreadyRun Outcome = "already_run"
	// Running: the same idempotency key was seen before and its request may
	// still run.
	Running Outcome = "running"
)

// Reason tells why a request was refused, retried or left unknown. Each has a
// counter of its own.
type Reason string

// Reasons a request is refused before it runs.
const (
	BadRequest          Reason = "bad_request"
	BodyTooLarge        Reason = "body_too_large"
	BodyTruncated       Reason = "body_truncated"
	Unauthorized        Reason = "unauthorized"
	Forbidden           Reason = "forbidden"
	UnknownService      Reason = "unknown_service"
	DeadlineExpired     Reason = "deadline_expired"
	DeadlineUnreachable Reason = "deadline_unreachable"
	AccountLimit        Reason = "account_limit"
	QueueFull           Reason = "queue_full"
	RingFull            Reason = "ring_full"
	NoUpstream          Reason = "no_upstream"
	Quarantined         Reason = "quarantined"
	Draining            Reason = "draining"
	NotReady            Reason = "not_ready"
	ClaimUnavailable    Reason = "claim_unavailable"
	KeyReused           Reason = "key_reused"
	RetryBudget         Reason = "retry_budget"
	AttemptsExhausted   Reason = "attempts_exhausted"
	CallerGone          Reason = "caller_gone"
)

// Reasons an attempt at an upstream ended without a whole answer. They are
// also the reasons for retries.
const (
	ConnectFailed   Reason = "connect_failed"
	Unreachable     Reason = "unreachable"
	UpstreamRefused Reason = "upstream_refused"
	UpstreamBusy    Reason = "upstream_busy"
	UpstreamLost    Reason = "upstream_lost"
	UpstreamStalled Reason = "upstream_stalled"
	UpstreamInvalid Reason = "upstream_invalid"
	StageFailed     Reason = "stage_failed"
	LedgerViolation Reason = "ledger_violation"
	Cancelled       Reason = "cancelled"
)

// Reasons a keyed request is answered from an earlier one.
const (
	DuplicateRunning Reason = "duplicate_running"
	DuplicateDone    Reason = "duplicate_done"
)

// Error is the typed failure given to a caller.
type Error struct {
	// Outcome is what is known to have become of the request.
	Outcome Outcome
	// Reason is why.
	Reason Reason
	// Detail is a sentence for people; may be empty.
	Detail string
	// RetryAfter tells when to come back; zero means no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Reason, e.Detail)
}

// Refuse makes the error for a request that was not run.
func Refuse(reason Reason, detail string, retryAfter time.Duration) *Error {
	return &Error{Outcome: NotRun, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// Phase is how far an attempt got; it decides what may be said of the request.
type Phase int

const (
	// NotSent: no byte of the attempt was written to an upstream.
	NotSent Phase = iota
	// Refused: the upstream positively refused before starting, or confirmed
	// a cancel before start.
	Refused
	// MaybeSent: bytes may have reached the upstream, which has not answered.
	MaybeSent
	// Started: the upstream confirmed the start.
	Started
	// Finished: the upstream delivered its whole answer and end marker.
	Finished
)

// phaseNames are indexed by Phase.
var phaseNames = [...]string{"not_sent", "refused", "maybe_sent", "started", "finished"}

// String implements fmt.Stringer.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase(%d)", int(p))
	}
	return phaseNames[p]
}

// ProvesNotRun reports whether an attempt that ended in this phase certainly
// did not run.
func (p Phase) ProvesNotRun() bool { return p == NotSent || p == Refused }
