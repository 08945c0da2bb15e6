// Package retry decides what follows a failed attempt. Decide is the rule that
// keeps a non-idempotent request from running twice; Budget bounds the retries
// of a service; Backoff spaces them.
//
// Nothing here does I/O or reads a clock. Budget is used by one goroutine;
// Decide and Backoff hold no state.
package retry

import (
	"time"

	"mimosaarch.example/core/outcome"
)

// Action is what to do after an attempt has ended.
type Action int

const (
	// GiveUp ends the request; Decision.Outcome and Reason go to the caller.
	GiveUp Action = iota
	// Retry starts a new attempt, after Backoff, on an upstream of the
	// router's choice. It draws on the Budget.
	Retry
	// Rejoin asks the upstream that runs the request for the rest of its
	// stream. It starts nothing and draws on no budget.
	Rejoin
	// Done ends a request whose whole answer was delivered.
	Done
)

// actionNames are indexed by Action.
var actionNames = [...]string{"give_up", "retry", "rejoin", "done"}

// String implements fmt.Stringer.
func (a Action) String() string {
	if a < 0 || int(a) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[a]
}

// Input is all that Decide looks at.
type Input struct {
	// Phase and Reason tell how the last attempt ended. Reason is empty only
	// when the whole answer was delivered.
	Phase  outcome.Phase
	Reason outcome.Reason
	// EarlierMayHaveRun tells that an attempt before the last ended in a
	// phase that does not prove that it did not run. Attempts of another VM
	// under the same idempotency key count.
	EarlierMayHaveRun bool
	// Rejoining tells that the last attempt only asked for a running stream.
	// Its own phase then proves nothing about the request.
	Rejoining bool

	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Keyed tells that a claim is held for the request.
	Keyed bool

	// Attempts counts the starts tried; MaxAttempts bounds them. Rejoins start
	// nothing: the caller bounds them by StreamLost.
	Attempts, MaxAttempts int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// BudgetAllows is the answer of Budget.Available.
	BudgetAllows bool

	// Delivered counts the tokens the caller already has.
	Delivered int
	// Continuable tells that a new attempt can go on after the delivered
	// tokens: true for model requests, false for a plain answer that has
	// begun to reach its caller.
	Continuable bool
	// Resumable tells that the upstream keeps the streams it runs and can be
	// asked for the rest of this one.
	Resumable bool
	// StreamLost tells that the stream is known to be gone: the upstream
	// answered that it does not have it, has a new epoch, or is ejected.
	StreamLost bool

	// CallerGone tells that nobody waits for the answer.
	CallerGone bool
	// Quarantined tells that the request's fingerprint is in quarantine.
	Quarantined bool
}

// Decision is what Decide found.
type Decision struct {
	Action Action
	// Outcome is set for GiveUp and Done.
	Outcome outcome.Outcome
	// Reason is why the request ends, or why it is retried or rejoined.
	// Empty for Done.
	Reason outcome.Reason
	// ReleaseClaim asks for the claim to be given back before the caller is
	// told: the request did not run, and its repeat must not be turned away.
	ReleaseClaim bool
}

// Decide tells what follows an attempt. It holds at most once as follows: a
// request that is not idempotent gets Retry only while every attempt so far
// proved that it did not run; after that it may only Rejoin its own stream,
// which starts nothing. NotRun is said only when every attempt proved it.
//
// A stream is worth rejoining when its connection failed but the stream need
// not have. An idempotent request prefers a rejoin after a lost connection,
// since it repeats no work, and a new attempt after a stall, since the
// upstream itself may hang. A request that cannot be retried falls back on a
// rejoin.
func Decide(in Input) Decision {
	if in.Phase == outcome.Finished && in.Reason == "" {
		return Decision{Action: Done, Outcome: outcome.Complete}
	}
	if reason, ends := endsRequest(in); ends {
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

// MayHaveRun reports whether any attempt of the request may have run. It is
// what a later Input.EarlierMayHaveRun has to carry on.
func (in Input) MayHaveRun() bool {
	if in.EarlierMayHaveRun || in.Rejoining || in.Delivered > 0 {
		return true
	}
	return !in.Phase.ProvesNotRun()
}

// endsRequest gives the reason for which neither a retry nor a rejoin is of use.
func endsRequest(in Input) (outcome.Reason, bool) {
	switch {
	case in.CallerGone:
		return outcome.CallerGone, true
	case in.Remaining <= 0:
		return outcome.DeadlineExpired, true
	case !repeatable(in.Reason):
		return in.Reason, true
	case in.Attempts >= in.MaxAttempts:
		return outcome.AttemptsExhausted, true
	}
	return "", false
}

// repeatable reports whether another attempt may end otherwise than one that
// ended for this reason.
func repeatable(reason outcome.Reason) bool {
	switch reason {
	case outcome.ConnectFailed, outcome.UpstreamRefused, outcome.UpstreamBusy,
		outcome.UpstreamLost, outcome.UpstreamStalled, outcome.UpstreamInvalid,
		outcome.StageFailed, outcome.LedgerViolation, outcome.NoUpstream, outcome.RingFull:
		return true
	}
	return false
}

// mayRetry reports whether a new attempt may start, or why not.
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
// asked for.
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

// prefersRejoin reports whether an idempotent request does better to rejoin
// than to start again.
func prefersRejoin(in Input) bool {
	return in.Phase == outcome.Started && in.Reason == outcome.UpstreamLost && mayRejoin(in)
}

// giveUp ends the request with the strongest outcome that is proven.
func giveUp(in Input, reason outcome.Reason) Decision {
	if in.MayHaveRun() {
		return Decision{Action: GiveUp, Outcome: outcome.Unknown, Reason: reason}
	}
	return Decision{Action: GiveUp, Outcome: outcome.NotRun, Reason: reason, ReleaseClaim: in.Keyed}
}
