// Package router makes the decisions of one node for every request: admission,
// rate limits, queueing, choice of upstreams, claims of idempotency keys, retries
// and quarantine. It composes the other packages under decide.
//
// A Router takes typed events with a time and returns typed commands. It uses no
// socket, goroutine, clock, global random source or logger. A Router is not safe
// for concurrent use.
package router

import (
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/platformapi"
)

// Event is something that happened, reported to the Router by an adapter.
type Event interface{ isEvent() }

// RequestArrived is a new request whose body has been read completely and whose
// syntax has been checked.
type RequestArrived struct {
	ID      ids.Request
	Service ids.Service
	// Method and Path are those of a plain call; empty for a model request.
	Method, Path string
	// KeySHA256 is the hex SHA-256 of the bearer key; empty if there was none.
	KeySHA256 string
	// IdempotencyKey is chosen by the caller; empty if there was none.
	IdempotencyKey string
	// Fingerprint is a hash of service, method, path and body. It distinguishes a
	// repeat of a request from another request with the same key.
	Fingerprint string
	Priority    int
	// Deadline is on this node's clock; zero if the caller gave none.
	Deadline time.Time
	// PromptTokens and MaxTokens are the estimated prompt length and the maximum
	// output of a model request.
	PromptTokens, MaxTokens int
	// PrefixHash identifies the prompt's prefix for cache affinity; 0 if there is
	// none.
	PrefixHash uint64
}

// CallerGone reports that the caller of a request disconnected.
type CallerGone struct{ ID ids.Request }

// AttemptStarted reports that the upstream confirmed the start of an attempt.
type AttemptStarted struct {
	ID      ids.Request
	Attempt ids.Attempt
	// Epoch names the upstream process; empty for plain services.
	Epoch string
}

// AttemptEnded reports the end of an attempt. Exactly one follows each Send.
type AttemptEnded struct {
	ID      ids.Request
	Attempt ids.Attempt
	Phase   outcome.Phase
	// Reason is empty when Phase is Finished.
	Reason outcome.Reason
	// Upstream is the stage at fault if known, otherwise the upstream that was
	// called.
	Upstream ids.Upstream
	// Tokens is the number of tokens delivered to the caller so far, over all
	// attempts.
	Tokens int
	// RetryAfter is the retry delay that the upstream advised; zero if none.
	RetryAfter time.Duration
	Detail     string
}

// ClaimEnded reports the result of a Claim.
type ClaimEnded struct {
	ID     ids.Request
	Result ClaimResult
	// Prior is the existing claim if Result is ClaimTaken.
	Prior ClaimRecord
}

// ClaimReleased reports the end of a Release. Confirmed is false if the platform
// could not be reached; the adapter then keeps trying.
type ClaimReleased struct {
	ID        ids.Request
	Confirmed bool
}

// StreamCancelled reports the result of a CancelStream.
type StreamCancelled struct {
	ID ids.Request
	// Answered is false if the engine could not be reached.
	Answered bool
	Reply    engineapi.CancelReply
}

// LoadReported is an engine's load report, polled by this node.
type LoadReported struct {
	Report engineapi.LoadReport
	// At is when the report was requested, on this node's clock. The engine was
	// running at that time.
	At time.Time
}

// LoadPollFailed reports that an engine did not answer a load poll.
type LoadPollFailed struct{ Upstream ids.Upstream }

// VMListReceived is the platform's list of VMs.
type VMListReceived struct{ List platformapi.VMList }

// ConfigReceived is a complete new configuration.
type ConfigReceived struct{ Config *Config }

// Drain makes this node refuse new requests and finish those that it holds.
type Drain struct{}

// Tick reports that time has passed. It must be sent every TickInterval.
type Tick struct{}

// TickInterval is the interval between Tick events.
const TickInterval = 20 * time.Millisecond

func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (AttemptStarted) isEvent()  {}
func (AttemptEnded) isEvent()    {}
func (ClaimEnded) isEvent()      {}
func (ClaimReleased) isEvent()   {}
func (LoadReported) isEvent()    {}
func (StreamCancelled) isEvent() {}
func (LoadPollFailed) isEvent()  {}
func (VMListReceived) isEvent()  {}
func (ConfigReceived) isEvent()  {}
func (Drain) isEvent()           {}
func (Tick) isEvent()            {}

// Config is the active configuration, indexed for the Router. It must not be
// modified after it is passed to one.
type Config struct {
	Profiles map[ids.Profile]fleet.Profile
	Services map[ids.Service]fleet.Service
	// AccountsByKey is keyed by the hex SHA-256 of the bearer key.
	AccountsByKey map[string]fleet.Account
}
