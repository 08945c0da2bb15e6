package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/topology"
)

// Command is one thing for an adapter to do.
type Command interface{ isCommand() }

// Send runs one attempt. The adapter answers with exactly one AttemptEnded.
type Send struct {
	ID      ids.Request
	Attempt ids.Attempt
	// Chain is the engines of a model request, the head first. For a plain
	// request it is the one upstream to call.
	Chain topology.Chain
	// Model tells the kind of request.
	Model bool
	// Layers is the model's count of layers.
	Layers int
	// Resume asks to rejoin the running stream of an earlier attempt at
	// Chain[0] instead of starting: set when a claim names another VM's work.
	Resume *Resume
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// ConnectTimeout and StallAfter are the profile's.
	ConnectTimeout, StallAfter time.Duration
}

// Resume names a running stream to rejoin.
type Resume struct {
	// Request and Attempt name the stream at the engine.
	Request ids.Request
	Attempt ids.Attempt
	// Epoch is the engine's process life it ran in; empty when not known.
	Epoch string
}

// Cancel stops an attempt; the adapter closes its connection and cancels it at
// the upstream. AttemptEnded still follows.
type Cancel struct {
	ID      ids.Request
	Attempt ids.Attempt
}

// Finish gives the caller the final answer. It is the last command of a
// request. Err is nil when the whole answer was delivered.
type Finish struct {
	ID  ids.Request
	Err *outcome.Error
	// Attempts that were sent.
	Attempts int
}

// Claim asks for the request's idempotency key to be claimed through the
// platform before a send.
//
// A claim by the same Request as the one that stands replaces it, so that the
// record names the upstream of the newest attempt. The adapter answers with
// exactly one ClaimEnded.
type Claim struct {
	ID     ids.Request
	Record ClaimRecord
	// Over is an earlier claim that may be replaced, since its request is
	// proved not to have run and never will; nil when there is none.
	Over *ClaimRecord
	// Retention is how long the key is remembered.
	Retention time.Duration
}

// CancelStream asks an engine to forbid the start of a request that another
// VM may have sent. The adapter answers with exactly one StreamCancelled.
type CancelStream struct {
	ID      ids.Request
	Address string
	// Stream is the request as the engine knows it.
	Stream ids.Request
}

// Release gives a claim back, since its request was not run. The adapter
// answers with exactly one ClaimReleased.
type Release struct {
	ID     ids.Request
	Record ClaimRecord
}

// Settle marks a claim as done, so that repeats learn its outcome.
type Settle struct {
	ID     ids.Request
	Record ClaimRecord
	// Retention is how long the key is remembered from now on.
	Retention time.Duration
}

// ClaimState is the state of a claimed key.
type ClaimState string

// States of a claim.
const (
	// ClaimHeld: the request may have been sent.
	ClaimHeld ClaimState = "held"
	// ClaimDone: the request has finished.
	ClaimDone ClaimState = "done"
)

// ClaimRecord is what the platform keeps of one idempotency key.
type ClaimRecord struct {
	// Account and Key together are claimed; Key is the caller's.
	Account ids.Account `json:"account"`
	Key     string      `json:"key"`
	// Fingerprint of the request the key came with.
	Fingerprint string `json:"fingerprint"`
	// Request, VM, Upstream and Attempt name the one run.
	Request  ids.Request  `json:"request"`
	VM       ids.VM       `json:"vm"`
	Upstream ids.Upstream `json:"upstream"`
	Attempt  ids.Attempt  `json:"attempt"`
	// Epoch is the upstream's process life at the claim; empty if not known.
	Epoch string     `json:"epoch,omitempty"`
	State ClaimState `json:"state"`
}

// ClaimResult is what came of a Claim.
type ClaimResult int

const (
	// ClaimWon: the key is ours, and the request may be sent.
	ClaimWon ClaimResult = iota
	// ClaimTaken: the key was claimed before; Prior tells by which request.
	ClaimTaken
	// ClaimFailed: the platform could not be asked, and no claim of ours
	// stands or will stand.
	ClaimFailed
	// ClaimUncertain: our claim may yet stand; the adapter goes on to release it.
	ClaimUncertain
)

// Decision is one step of the record that explains a request.
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
	// Wait is the time the request waited before this step.
	Wait time.Duration `json:"wait_ns,omitempty"`
}

// DecisionStep names a kind of decision.
type DecisionStep string

// Steps of a request's record.
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

// RecordDecision records a decision.
type RecordDecision struct{ Decision Decision }

func (Send) isCommand()           {}
func (Cancel) isCommand()         {}
func (Finish) isCommand()         {}
func (Claim) isCommand()          {}
func (Release) isCommand()        {}
func (CancelStream) isCommand()   {}
func (Settle) isCommand()         {}
func (RecordDecision) isCommand() {}
