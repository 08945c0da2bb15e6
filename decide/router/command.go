package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/topology"
)

// Command is an action for an adapter to carry out.
type Command interface{ isCommand() }

// Send runs one attempt of a request. The adapter replies with exactly one
// AttemptEnded.
type Send struct {
	ID      ids.Request
	Attempt ids.Attempt
	// Chain holds the engines of a model request, the first stage first. For a
	// plain request it holds the one upstream to call.
	Chain topology.Chain
	// Model is true for a model request and false for a plain call.
	Model bool
	// Layers is the model's number of layers.
	Layers int
	// Resume, if not nil, asks to rejoin a running stream at Chain[0] instead of
	// starting a new one: the stream of the request's own earlier attempt, or
	// that of an earlier request with the same idempotency key.
	Resume *Resume
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// ConnectTimeout and StallAfter come from the service's profile.
	ConnectTimeout, StallAfter time.Duration
}

// Resume identifies a running stream to rejoin.
type Resume struct {
	// Request and Attempt identify the stream at the engine.
	Request ids.Request
	Attempt ids.Attempt
	// Epoch names the engine process that runs the stream; empty if unknown.
	Epoch string
}

// Cancel stops an attempt: the adapter closes its connection and cancels it at
// the upstream. AttemptEnded still follows.
type Cancel struct {
	ID      ids.Request
	Attempt ids.Attempt
}

// Finish returns the final answer to the caller. Each request gets exactly one. Err is
// nil if the complete answer was delivered.
type Finish struct {
	ID  ids.Request
	Err *outcome.Error
	// Attempts is the number of attempts made.
	Attempts int
}

// Claim claims the request's idempotency key through the platform before an
// attempt is sent. The adapter replies with exactly one ClaimEnded.
//
// A claim by the same request as the current one replaces it, so that the record
// names the upstream of the newest attempt.
type Claim struct {
	ID     ids.Request
	Record ClaimRecord
	// Over is an earlier claim that may be replaced, because its request provably
	// was not run and never will be; nil if there is none.
	Over *ClaimRecord
	// Retention is how long the key is kept.
	Retention time.Duration
}

// CancelStream asks an engine to refuse any later start of a request that another VM
// may have sent. A request that has started is not stopped, because its stream may have
// readers. The adapter replies with exactly one StreamCancelled.
type CancelStream struct {
	ID      ids.Request
	Address string
	// Stream is the ID of the earlier request.
	Stream ids.Request
}

// Release releases the claim of a request that was not run. The adapter replies
// with exactly one ClaimReleased.
type Release struct {
	ID     ids.Request
	Record ClaimRecord
}

// Settle marks a claim as done, so that repeats of the request learn that it has
// run.
type Settle struct {
	ID     ids.Request
	Record ClaimRecord
	// Retention is how long the key is kept from now on.
	Retention time.Duration
}

// ClaimState is the state of a claimed key.
type ClaimState string

// States of a claim.
const (
	// ClaimHeld means that the request may have been sent.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the request has finished.
	ClaimDone ClaimState = "done"
)

// ClaimRecord is what the platform stores for one idempotency key.
type ClaimRecord struct {
	// Account and Key together identify the claim. Key is the caller's.
	Account ids.Account `json:"account"`
	Key     string      `json:"key"`
	// Fingerprint is that of the request that claimed the key.
	Fingerprint string `json:"fingerprint"`
	// Request, VM, Upstream and Attempt identify the one run of the request.
	Request  ids.Request  `json:"request"`
	VM       ids.VM       `json:"vm"`
	Upstream ids.Upstream `json:"upstream"`
	Attempt  ids.Attempt  `json:"attempt"`
	// Epoch names the upstream process at the time of the claim; empty if
	// unknown.
	Epoch string     `json:"epoch,omitempty"`
	State ClaimState `json:"state"`
}

// ClaimResult is the result of a Claim.
type ClaimResult int

const (
	// ClaimWon means that the request owns the key and may be sent.
	ClaimWon ClaimResult = iota
	// ClaimTaken means that another request owns the key; ClaimEnded.Prior names
	// it.
	ClaimTaken
	// ClaimFailed means that the platform could not be reached and that the claim
	// does not exist and never will.
	ClaimFailed
	// ClaimUncertain means that the claim may exist. The adapter keeps trying to
	// release it.
	ClaimUncertain
)

// Decision is one step in the record that explains the handling of a request.
type Decision struct {
	At      time.Time       `json:"at"`
	ID      ids.Request     `json:"request"`
	Account ids.Account     `json:"account,omitempty"`
	Step    DecisionStep    `json:"step"`
	Attempt ids.Attempt     `json:"attempt,omitempty"`
	Chain   []ids.Upstream  `json:"chain,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	Reason  outcome.Reason  `json:"reason,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	// Wait is the time from the arrival of the request to this step.
	Wait time.Duration `json:"wait_ns,omitempty"`
}

// DecisionStep is a kind of decision.
type DecisionStep string

// Steps of a Decision.
const (
	StepAdmitted DecisionStep = "admitted"
	StepQueued   DecisionStep = "queued"
	StepClaimed  DecisionStep = "claimed"
	StepSent     DecisionStep = "sent"
	StepStarted  DecisionStep = "started"
	StepFailed   DecisionStep = "failed"
	StepRetried  DecisionStep = "retried"
	StepJoined   DecisionStep = "joined"
	StepRefused  DecisionStep = "refused"
	StepFinished DecisionStep = "finished"
)

// PollLoad asks for a load poll of an engine, even if another node of the zone polls it. Its
// LoadReported or LoadPollFailed shows whether the engine has crashed.
type PollLoad struct{ Upstream ids.Upstream }

// RecordDecision adds a decision to the record of a request.
type RecordDecision struct{ Decision Decision }

func (Send) isCommand()           {}
func (Cancel) isCommand()         {}
func (Finish) isCommand()         {}
func (Claim) isCommand()          {}
func (Release) isCommand()        {}
func (CancelStream) isCommand()   {}
func (Settle) isCommand()         {}
func (PollLoad) isCommand()       {}
func (RecordDecision) isCommand() {}
