// Package forward carries callers' HTTP requests to upstreams and the answers
// back, unchanged, over connections kept on both sides. Plain requests go to a
// replica of a service; streaming ones through a chain of engines, and on to
// another chain when one breaks, without a caller seeing an event twice.
//
// The decisions are those of decide/routing, decide/replica, decide/chain,
// decide/condition and decide/retry; this package brings them together and does
// the effects. Names of headers come from the protocol of the deployment, so
// the package serves any protocol of that shape.
package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// Headers name what a protocol carries in headers. All are required.
type Headers struct {
	// RequestID names a caller's attempt; upstreams echo it.
	RequestID string
	// DeadlineMs is how long the caller waits from now, in ms.
	DeadlineMs string
	// Key is the caller's key. Upstreams get Account in its place.
	Key, Account string
	// ExpectUpstream makes any other upstream refuse a request.
	ExpectUpstream string
	// NotRun marks an upstream's answer as the refusal of a request that it
	// did not run and never will.
	NotRun string
	// FaultyStage names the address of the engine for which a chain refused.
	FaultyStage string
	// Stages names the chain of a request.
	Stages string
	// Priority ranks a request at an engine, 0 first, 9 last.
	Priority string
	// TokenCounts are the prompt's tokens and the most tokens of the answer,
	// joined by a comma. LengthHint is the caller's guess of the latter.
	TokenCounts, LengthHint string
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
	// Load is how many requests an upstream works on, queues, and may work on at once,
	// joined by commas.
	Load string
}

// Engines makes the calls to engines that go with requests.
type Engines interface {
	// Probe asks an engine for its report. An error means that it did not
	// answer.
	Probe(ctx context.Context, u *directory.Upstream) (layered.Report, error)
	// Reroute has a request that runs on a chain go on through another with
	// the same first stage. A *StageError names the stage that cannot take it;
	// after any other error the request is where it was, or nowhere.
	Reroute(ctx context.Context, request string, c chain.Chain) error
}

// StageError tells that a stage cannot take part in a chain.
type StageError struct {
	// Address is the stage's engine.
	Address string
	Status  int
}

// Error implements error.
func (e *StageError) Error() string {
	return fmt.Sprintf("stage %s cannot take the request: status %d", e.Address, e.Status)
}

// Options set up a Server. All are required but those that say otherwise.
type Options struct {
	Headers Headers
	// Zone is the node's own.
	Zone ids.Zone
	// Ready is closed once the first configuration and directory are there.
	// Requests that come earlier wait for it a short time.
	Ready <-chan struct{}
	// Table gives the configuration in force, nil before the first.
	Table func() *routing.Table
	// View gives the directory of upstreams.
	View func() *directory.View
	// Engines asks engines that stall, and leads requests around them.
	Engines Engines
	// Budget bounds retries; it is given the nodes that share it.
	Budget Budget
	// Now is the clock of deadlines; it also counts while the VM is frozen.
	Now func() time.Time
	// Log takes a line for each decision.
	Log zerolog.Logger
	// Metrics counts.
	Metrics Metrics
	// OnVerdict is told of requests that were found to crash upstreams, so that
	// other nodes hear of them; it must not wait. Any goroutine calls it.
	OnVerdict func(quarantine.Verdict)
	// OnRestart is told of a process that says it began later than the life
	// that the directory knows. Any goroutine calls it.
	OnRestart func(ids.Life)
	// Seed starts the random draws among equals.
	Seed uint64
}

// Budget is the allowance of sends beyond the first of each request, for each
// service and for all nodes together.
type Budget struct {
	// Ratio is how many such sends are allowed for each request.
	Ratio float64
	// Slack is how many are allowed in a window beside that.
	Slack float64
	// Window is the time over which they are counted.
	Window time.Duration
}

const (
	// slackPart is the part of its share that a node uses as its fading allowance. Used up
	// all the while that grants twice itself within one window.
	slackPart = 0.6
	// windowPart is the part of its share that a node uses within any window. The rest is
	// for sends that are counted later than they were allowed; chosen without a run.
	windowPart = 0.95
)

// share gives a node's part of the budget among so many; 0 for a number that is
// not known yet, which leaves only what the own requests allow.
func (b Budget) share(nodes int) (ratio, perSecond float64) {
	if nodes <= 0 {
		return b.Ratio * slackPart, 0
	}
	window := max(b.Window, retry.BudgetWindow)
	perSecond = b.Slack * slackPart / float64(nodes) / window.Seconds()
	return b.Ratio * slackPart, perSecond
}

// bound gives a node's part of what any retry.BudgetWindow may hold: the sends for each
// request, and those beside that.
func (b Budget) bound(nodes int) (ratio, slack float64) {
	if nodes <= 0 {
		return b.Ratio * windowPart, 0
	}
	window := max(b.Window, retry.BudgetWindow)
	return b.Ratio * windowPart, b.Slack * windowPart / float64(nodes) * float64(retry.BudgetWindow) / float64(window)
}

// Metrics counts events and durations by name.
type Metrics interface {
	Add(name string, n int64)
	ObserveDuration(name string, d time.Duration)
	// Timer gives ObserveDuration for one name, for what is counted often.
	Timer(name string) func(d time.Duration)
}
