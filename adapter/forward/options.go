// Package forward is an HTTP reverse proxy: it sends callers' requests to upstreams and
// passes the responses back unchanged, over connections that are kept open on both
// sides. A plain request goes to one replica of its service. A streaming request goes
// through a chain of engines; if the chain breaks, the stream resumes on another one,
// and the caller sees no event twice.
//
// Routing, the choice of replicas and chains, and retry budgets are decided by
// decide/routing, decide/replica, decide/chain, decide/condition and decide/retry. This
// package calls them and does the I/O. Header names are options, so the package serves
// any protocol of this shape.
package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/processor"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/intake"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// Headers holds the header names of a protocol. All are required.
type Headers struct {
	// RequestID identifies a caller's attempt. Upstreams echo it.
	RequestID string
	// Signature is in each answer of an upstream to a request that it has run. It is passed on
	// unchanged.
	Signature string
	// DeadlineMs is the time that the caller still waits, in milliseconds.
	DeadlineMs string
	// Key carries the caller's API key. Upstreams receive the account's name in Account
	// instead.
	Key, Account string
	// ExpectUpstream names the upstream that a request is meant for. Any other upstream
	// refuses it.
	ExpectUpstream string
	// NotRun marks an upstream's response as the refusal of a request that did not run
	// and never will.
	NotRun string
	// FaultyStage carries the address of the engine that made a chain refuse a request.
	FaultyStage string
	// Stages carries the chain of a request.
	Stages string
	// Priority is the rank of a request at an engine, 0 first, 9 last.
	Priority string
	// TokenCounts carries the number of prompt tokens and the maximum number of output
	// tokens, separated by a comma. LengthHint is the caller's estimate of the latter.
	TokenCounts, LengthHint string
	// PromptParts lists the parts of the prompt in order, as ID:TOKENS, separated by commas.
	// The last part belongs to the request or to its session.
	PromptParts string
	// LastEventID is the id of the last event of a stream that the caller has.
	LastEventID string
	// Load carries three counts of an upstream, separated by commas: requests running,
	// requests queued, and the most requests that it runs at once.
	Load string
	// RateLimit names the requests per second that an upstream takes from all nodes
	// together. Without it an upstream names no limit.
	RateLimit string
	// Leaving is 1 in the responses of an upstream that is leaving.
	Leaving string
	// BodyCoding names the coding of a body. Callers ask for bodies without one, so a response that
	// has the header is not an upstream's. Empty if upstreams may send it.
	BodyCoding string
}

// Engines makes the calls to engines that accompany requests.
type Engines interface {
	// Probe requests an engine's report. An error means that the engine did not answer.
	Probe(ctx context.Context, u *directory.Upstream) (layered.Report, error)
	// Reroute moves a running request to another chain with the same first stage. A
	// *StageError names a stage that cannot take the request. After any other error the
	// request is still on its old chain, or on none.
	Reroute(ctx context.Context, request string, c chain.Chain) error
}

// StageError reports that a stage cannot take a request.
type StageError struct {
	// Address is the address of the stage's engine. It is empty if the first stage names
	// none, which means that some stage has no capacity.
	Address string
	Status  int
}

// Error implements error.
func (e *StageError) Error() string {
	return fmt.Sprintf("stage %s cannot take the request: status %d", e.Address, e.Status)
}

// Options configures a Server. All fields are required unless stated otherwise.
type Options struct {
	Headers Headers
	// Zone is the node's own zone.
	Zone ids.Zone
	// Ready is closed once the node can serve: the first configuration and directory are
	// loaded, and it knows which requests crash upstreams. Earlier requests wait for it for a
	// short time.
	Ready <-chan struct{}
	// Table returns the current configuration, nil before the first.
	Table func() *routing.Table
	// View returns the current directory of upstreams.
	View func() *directory.View
	// Dial opens the connections to upstreams.
	Dial upconn.DialFunc
	// Engines probes the engines of stalled chains and reroutes requests around them.
	Engines Engines
	// Budget is the retry budget of all nodes together. SetNodes sets how many nodes
	// share it.
	Budget Budget
	// Now is the clock of deadlines. It has to advance while the VM is suspended.
	Now func() time.Time
	// Log receives a line for each decision.
	Log     zerolog.Logger
	Metrics Metrics
	// Processor measures what the processor is used for. It may be nil.
	Processor *processor.Monitor
	// OnVerdict is called when this node has found a request that crashes upstreams, to
	// inform the other nodes. It must not block and must be safe for concurrent use.
	OnVerdict func(quarantine.Verdict)
	// QuarantineRole returns this node's part in the decisions on requests of a service that
	// crash upstreams. It must be safe for concurrent use.
	QuarantineRole func(ids.Service) quarantine.Role
	// OnEvidence is called when TakeCrashReports or ReviewSuspects has something to do. It
	// must not block and must be safe for concurrent use.
	OnEvidence func()
	// OnLimit is called when the response of an upstream shows that its rate limit begins,
	// changes or ends, to inform the other nodes. It must not block and must be safe for
	// concurrent use.
	OnLimit func(backpressure.LimitNotice)
	// OnLeaving is called with an upstream that has said in a response that it is leaving.
	// It must not block and must be safe for concurrent use.
	OnLeaving func(ids.Instance)
	// Permits asks for permits to send requests to upstreams that name a rate limit.
	Permits Permits
	// Loans borrows retries from other nodes, where the node's share of Budget is small. It
	// may be nil: then the node uses its own share only.
	Loans Loans
	// OnRetryNotice is called when the node is about to use more retries than it grants without a
	// notice, see retry.Succession. It must not block. It may be nil.
	OnRetryNotice func()
	// OnRestart is called with the new instance of an upstream whose report shows a later
	// start than the directory knows. It must be safe for concurrent use.
	OnRestart func(ids.Instance)
	// OnEngineLost is called with an engine of whose loss the other nodes have to be told. It
	// must not block and must be safe for concurrent use.
	OnEngineLost func(ids.Instance)
	// OnEngineSilent is called with an engine of whose silence the other nodes have to be
	// told. It must not block.
	OnEngineSilent func(ids.Instance)
	// MaxUpstreamConns bounds the connections to upstreams, 0 for no bound.
	MaxUpstreamConns int
	// Intake limits what callers' connections hold. Without limits nothing is refused or revoked.
	Intake intake.Limits
	// Seed seeds the random choices among equally good upstreams, and the jitter.
	Seed uint64
}

// Budget limits the retries, which are the sends of a request after its first. It
// applies to each service, over all nodes together.
type Budget struct {
	// Ratio is how many retries each request allows.
	Ratio float64
	// Slack is how many further retries each Window allows.
	Slack float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

const (
	// slackFraction is the fraction of a node's share that it uses as its decaying
	// allowance. An allowance that is used up continuously grants twice its size within
	// one window.
	slackFraction = 0.6
	// windowFraction is the fraction of a node's share that it uses within any window.
	// The rest is for retries that are counted later than they were allowed.
	windowFraction = 0.95
)

// nodeAllowance returns the decaying allowance of one node: retries per request, and
// further retries per second. nodes is the number of nodes that share the budget. While
// it is unknown (0), only the node's own requests allow retries.
func (b Budget) nodeAllowance(nodes int) (ratio, perSecond float64) {
	if nodes <= 0 {
		return b.Ratio * slackFraction, 0
	}
	window := max(b.Window, retry.BudgetWindow)
	perSecond = b.Slack * slackFraction / float64(nodes) / window.Seconds()
	return b.Ratio * slackFraction, perSecond
}

// nodeWindowLimit returns the limit of one node within any retry.BudgetWindow: retries
// per request, and further retries.
func (b Budget) nodeWindowLimit(nodes int) (ratio, slack float64) {
	if nodes <= 0 {
		return b.Ratio * windowFraction, 0
	}
	window := max(b.Window, retry.BudgetWindow)
	return b.Ratio * windowFraction, b.Slack * windowFraction / float64(nodes) * float64(retry.BudgetWindow) / float64(window)
}

// Metrics counts events and measures durations by name.
type Metrics interface {
	// Add adds n to a counter.
	Add(name string, n int64)
	// ObserveDuration records a duration.
	ObserveDuration(name string, d time.Duration)
	// Timer returns ObserveDuration bound to one name, for durations that are recorded often.
	Timer(name string) func(d time.Duration)
}
