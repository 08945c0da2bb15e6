// Package retry decides whether a failed attempt is retried. Decide guarantees
// that a request that is not idempotent runs at most once, Budget limits the
// retries of a service, and Backoff spaces them.
//
// The load that loans address: engines crash or refuse together, and of many nodes that
// share one limit some need ten times the retries of others. Such nodes borrow from others
// through Lenders and Budget.Lend.
//
// The package does no I/O and reads no clock. Decide and Backoff are stateless.
package retry

import (
	"time"

	"mimosaarch.example/core/outcome"
)

// Action is what to do after an attempt.
type Action int

const (
	// GiveUp ends the request. Decision.Outcome and Decision.Reason are sent to
	// the caller.
	GiveUp Action = iota
	// Retry starts a new attempt after Backoff, on an upstream chosen by the
	// router. It consumes the Budget.
	Retry
	// Rejoin asks the upstream that runs the request for the rest of its stream.
	// It starts no new run and does not consume the Budget.
	Rejoin
	// Done ends a request whose answer was delivered completely.
	Done
)

// actionNames are the names of actions, indexed by Action.
var actionNames = [...]string{"give_up", "retry", "rejoin", "done"}

// String implements fmt.Stringer.
func (a Action) String() string {
	if a < 0 || int(a) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[a]
}

// Input describes the state of a request after an attempt.
type Input struct {
	// Phase and Reason describe how the last attempt ended. Reason is empty only
	// if the answer was delivered completely.
	Phase  outcome.Phase
	Reason outcome.Reason
	// EarlierMayHaveRun reports that an attempt before the last one may have
	// run. Attempts of other VMs under the same idempotency key count as well.
	EarlierMayHaveRun bool
	// Rejoining reports that the last attempt only tried to rejoin a running
	// stream. Its Phase then says nothing about whether the request has run.
	Rejoining bool

	// Idempotent reports that the request may run more than once.
	Idempotent bool
	// Keyed reports that the request holds a claim on its idempotency key.
	Keyed bool

	// Attempts is the number of attempts started so far, and MaxAttempts the
	// limit. Rejoins do not count; the caller limits them by setting StreamLost.
	Attempts, MaxAttempts int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// BudgetAllows is the result of Budget.Available.
	BudgetAllows bool

	// Delivered is the number of tokens that the caller has received.
	Delivered int
	// Continuable reports that a new attempt can continue after the delivered
	// tokens. This is true for model requests, and false for plain answers of
	// which the caller has received a part.
	Continuable bool
	// Resumable reports that the upstream keeps running streams and can send the
	// rest of this one.
	Resumable bool
	// StreamLost reports that the stream no longer exists: the upstream answered
	// that it does not have it, has restarted, or is ejected.
	StreamLost bool

	// CallerGone reports that the caller has disconnected.
	CallerGone bool
	// Quarantined reports that the request's fingerprint is quarantined.
	Quarantined bool
}

// Decision is the result of Decide.
type Decision struct {
	Action Action
	// Outcome is set if Action is GiveUp or Done.
	Outcome outcome.Outcome
	// Reason is why the request ends, is retried or is rejoined. It is empty if
	// Action is Done.
	Reason outcome.Reason
	// ReleaseClaim asks the caller of Decide to release the request's claim
	// before it answers: the request has not run, and a repeated request must
	// not be refused.
	ReleaseClaim bool
}

// Decide returns what to do after an attempt. A request that is not idempotent
// is retried only if every attempt so far is known not to have run. Otherwise it
// may only rejoin its own stream, which starts no new run. The outcome is NotRun
// only if every attempt is known not to have run.
//
// A rejoin can succeed if the connection failed but the stream may still run.
// After a lost connection, an idempotent request prefers a rejoin because it
// repeats no work. After a stall, it prefers a new attempt because the upstream
// itself may hang. A request that cannot be retried falls back on a rejoin.
func Decide(in Input) Decision {
	if in.Phase == outcome.Finished && in.Reason == "" {
		return Decision{Action: Done, Outcome: outcome.Complete}
	}
	if reason, final := finalReason(in); final {
		return giveUp(in, reason)
	}
	if prefersRejoin(in) {
		return Decision{Action: Rejoin, Reason: in.Reason}
	}
	refusal, allowed := mayRetry(in)
	if allowed {
		return Decision{Action: Retry, Reason: in.Reason}
	}
	if mayRejoin(in) {
		return Decision{Action: Rejoin, Reason: in.Reason}
	}
	return giveUp(in, refusal)
}

// MayHaveRun reports whether any attempt of the request may have run.
// Input.EarlierMayHaveRun must be set to this value for the next attempt.
func (in Input) MayHaveRun() bool {
	if in.EarlierMayHaveRun || in.Rejoining || in.Delivered > 0 {
		return true
	}
	return !in.Phase.ProvesNotRun()
}

// finalReason returns the reason for which the request ends now, and true, if
// neither a retry nor a rejoin is possible.
func finalReason(in Input) (outcome.Reason, bool) {
	switch {
	case in.CallerGone:
		return outcome.CallerGone, true
	case in.Remaining <= 0:
		return outcome.DeadlineExpired, true
	case !retryable(in.Reason):
		return in.Reason, true
	case in.Attempts >= in.MaxAttempts:
		return outcome.AttemptsExhausted, true
	}
	return "", false
}

// retryable reports whether another attempt may succeed after one that ended for
// this reason.
func retryable(reason outcome.Reason) bool {
	switch reason {
	case outcome.ConnectFailed, outcome.UpstreamRefused, outcome.UpstreamBusy,
		outcome.UpstreamLost, outcome.UpstreamStalled, outcome.UpstreamInvalid,
		outcome.StageFailed, outcome.LedgerViolation, outcome.NoUpstream, outcome.RingFull:
		return true
	}
	return false
}

// mayRetry reports whether a new attempt may start. If not, it returns the
// reason.
func mayRetry(in Input) (outcome.Reason, bool) {
	switch {
	case !in.Idempotent && in.MayHaveRun():
		return in.Reason, false
	case in.Delivered > 0 && !in.Continuable:
		return in.Reason, false
	case in.Quarantined:
		return outcome.Quarantined, false
	case !in.BudgetAllows:
		return outcome.RetryBudget, false
	}
	return "", true
}

// mayRejoin reports whether a stream of the request may still run and can be
// rejoined.
func mayRejoin(in Input) bool {
	if !in.Resumable || in.StreamLost || !in.MayHaveRun() {
		return false
	}
	switch in.Reason {
	case outcome.UpstreamLost, outcome.UpstreamStalled, outcome.UpstreamInvalid:
		return true
	case outcome.ConnectFailed, outcome.UpstreamBusy:
		return in.Rejoining
	}
	return false
}

// prefersRejoin reports whether a rejoin is preferable to a new attempt for an
// idempotent request.
func prefersRejoin(in Input) bool {
	return in.Phase == outcome.Started && in.Reason == outcome.UpstreamLost && mayRejoin(in)
}

// giveUp ends the request. The outcome is NotRun if no attempt can have run, and
// Unknown otherwise.
func giveUp(in Input, reason outcome.Reason) Decision {
	if in.MayHaveRun() {
		return Decision{Action: GiveUp, Outcome: outcome.Unknown, Reason: reason}
	}
	return Decision{Action: GiveUp, Outcome: outcome.NotRun, Reason: reason, ReleaseClaim: in.Keyed}
}
