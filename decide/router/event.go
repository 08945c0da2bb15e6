// Package router composes the decision libraries for one node. It takes typed
// events with a time and returns typed commands; it has no socket, goroutine,
// clock, global random source or log call. A Router is not safe for
// concurrent use: one goroutine feeds it.
package router

import (
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/platformapi"
)

// Event is one thing that happened, told to the Router by an adapter.
type Event interface{ isEvent() }

// RequestArrived is a new request whose body has been read whole and checked for form.
type RequestArrived struct {
	ID      ids.Request
	Service ids.Service
	// Method and Path are those of a plain call; empty for a model request.
	Method, Path string
	// KeySHA256 is the hex SHA-256 of the bearer key; empty when none came.
	KeySHA256 string
	// IdempotencyKey is the caller's own key; empty when none came.
	IdempotencyKey string
	// Fingerprint hashes service, method, path and body: it tells a repeat
	// of the same request from another one.
	Fingerprint string
	Priority    int
	// Deadline is on the node's own clock; zero means none was given.
	Deadline time.Time
	// PromptTokens and MaxTokens estimate a model request's work.
	PromptTokens, MaxTokens int
	// PrefixHash names the prompt's prefix for cache affinity; 0 means none.
	PrefixHash uint64
}

// CallerGone tells that the caller of a request went away.
type CallerGone struct{ ID ids.Request }

// AttemptStarted tells that the upstream confirmed the start.
type AttemptStarted struct {
	ID      ids.Request
	Attempt ids.Attempt
	// Epoch names the upstream's process life; empty for plain services.
	Epoch string
}

// AttemptEnded tells how an attempt ended. Exactly one follows each Send.
type AttemptEnded struct {
	ID      ids.Request
	Attempt ids.Attempt
	Phase   outcome.Phase
	// Reason is empty when Phase is Finished.
	Reason outcome.Reason
	// Upstream is the stage at fault where known, else the one called.
	Upstream ids.Upstream
	// Tokens delivered to the caller so far, over all attempts.
	Tokens int
	// RetryAfter is the upstream's own advice; zero means none.
	RetryAfter time.Duration
	Detail     string
}

// ClaimEnded tells what came of a Claim.
type ClaimEnded struct {
	ID     ids.Request
	Result ClaimResult
	// Prior is the claim that stood already when Result is ClaimTaken.
	Prior ClaimRecord
}

// ClaimReleased tells that a Release took effect, or that the platform could
// not be asked (Confirmed false); the release then goes on by itself.
type ClaimReleased struct {
	ID        ids.Request
	Confirmed bool
}

// StreamCancelled tells what a CancelStream met.
type StreamCancelled struct {
	ID ids.Request
	// Answered is false when the engine could not be asked.
	Answered bool
	Reply    engineapi.CancelReply
}

// LoadReported is an engine's report of itself, polled or relayed by a peer.
type LoadReported struct {
	Report engineapi.LoadReport
	// At is when the report was asked for on this node's clock: the engine lived then.
	At time.Time
}

// LoadPollFailed tells that an engine did not answer a poll.
type LoadPollFailed struct{ Upstream ids.Upstream }

// VMListReceived is the platform's list of VMs.
type VMListReceived struct{ List platformapi.VMList }

// ConfigReceived is the newest set of configuration, changed as a whole.
type ConfigReceived struct{ Config *Config }

// Drain starts the planned stop of this node: no new requests.
type Drain struct{}

// Tick tells the time; sent every TickInterval.
type Tick struct{}

// TickInterval is the pace of Tick.
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

// Config is the configuration in force, indexed for the Router. It is never
// changed after it is handed over.
type Config struct {
	Profiles map[ids.Profile]fleet.Profile
	Services map[ids.Service]fleet.Service
	// AccountsByKey is keyed by the hex SHA-256 of the bearer key.
	AccountsByKey map[string]fleet.Account
}
