package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/routing"
)

// Loans borrows retries from other nodes.
type Loans interface {
	// Borrow asks other nodes for retries. It returns how many retries were granted, 0 if
	// no node has answered, and the nodes that were asked. It must be safe for concurrent
	// use.
	Borrow(ctx context.Context, r retry.LoanRequest) (granted int, lenders []ids.VM)
}

// borrowTimeout is how long a request waits for a loan. Two nodes are asked, 20 ms each.
const borrowTimeout = 40 * time.Millisecond

// maxLoanSlack is the share of a node of Budget.Slack, in retries per
// retry.BudgetWindow, below which nodes lend each other retries. Larger shares cover the
// needs of a node, as the fleets of up to nine nodes have shown.
const maxLoanSlack = 15

// Fleets of at most maxSmallFleet nodes with a Budget.Slack of at least smallFleetSlack retries
// per retry.BudgetWindow do not lend, although shares of 14 to 20 nodes may be below
// maxLoanSlack: small fleets are served as before there were loans.
const (
	maxSmallFleet   = 20
	smallFleetSlack = 200
)

// loansOn reports whether nodes lend each other retries. nodes is the number of nodes that
// share the budget, 0 while it is unknown.
func (b Budget) loansOn(nodes int) bool {
	if nodes <= 1 {
		return false
	}
	window := max(b.Window, retry.BudgetWindow)
	slack := b.Slack * float64(retry.BudgetWindow) / float64(window)
	if nodes <= maxSmallFleet && slack >= smallFleetSlack {
		return false
	}
	return slack/float64(nodes) < maxLoanSlack
}

// borrower collects the requests that wait for a loan. For each service one request for a
// loan is in flight at a time, for all requests with the same claim.
type borrower struct {
	picker *picker

	mu sync.Mutex
	// waiting holds the requests for which no loan was asked yet. A service has an entry
	// while a request for a loan is in flight.
	waiting map[ids.Service][]*loanWaiter
}

// loanWaiter is a request that waits for a loan.
type loanWaiter struct {
	claim retry.Claim
	// done is closed once the loan that the request waits for was answered.
	done chan struct{}
}

// newBorrower returns a borrower for the budgets of a picker.
func newBorrower(p *picker) *borrower {
	return &borrower{picker: p, waiting: make(map[ids.Service][]*loanWaiter)}
}

// await waits until a loan for the claim was asked for and answered, until borrowTimeout or
// the end of ctx.
func (b *borrower) await(ctx context.Context, service ids.Service, claim retry.Claim) {
	w := &loanWaiter{claim: claim, done: make(chan struct{})}
	b.add(service, w)
	timer := time.NewTimer(borrowTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	b.remove(service, w)
}

// add adds a waiting request, and starts asking unless a request for a loan is in flight.
func (b *borrower) add(service ids.Service, w *loanWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, inFlight := b.waiting[service]
	b.waiting[service] = append(b.waiting[service], w)
	if !inFlight {
		go b.ask(service)
	}
}

// remove removes a request that no longer waits, so that no loan is asked for it.
func (b *borrower) remove(service ids.Service, w *loanWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting[service], w); i >= 0 {
		b.waiting[service] = slices.Delete(b.waiting[service], i, i+1)
	}
}

// ask asks for loans until no request of the service waits.
func (b *borrower) ask(service ids.Service) {
	for {
		claim, waiters := b.next(service)
		if len(waiters) == 0 {
			return
		}
		b.picker.borrow(service, claim, len(waiters))
		for _, w := range waiters {
			close(w.done)
		}
	}
}

// next removes the waiting requests with the most urgent claim and returns them. If none
// waits, it removes the service.
func (b *borrower) next(service ids.Service) (claim retry.Claim, waiters []*loanWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting[service]) == 0 {
		delete(b.waiting, service)
		return retry.Claim{}, nil
	}
	var claims []retry.Claim
	for _, w := range b.waiting[service] {
		claims = append(claims, w.claim)
	}
	claim, _ = retry.MostUrgent(claims)
	var rest []*loanWaiter
	for _, w := range b.waiting[service] {
		if w.claim == claim {
			waiters = append(waiters, w)
		} else {
			rest = append(rest, w)
		}
	}
	b.waiting[service] = rest
	return claim, waiters
}

// borrow asks other nodes for retries and adds what they grant to the budget of a service.
func (p *picker) borrow(service ids.Service, claim retry.Claim, retries int) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	sent := p.opts.Now()
	granted, lenders := p.opts.Loans.Borrow(ctx, retry.LoanRequest{Service: service, Retries: retries, Kind: claim.Kind, Class: claim.Class})
	answered := p.opts.Now()
	p.mu.Lock()
	p.budget(service).Borrowed(sent, claim, granted)
	p.mu.Unlock()
	if len(lenders) == 0 {
		return
	}
	asked := zerolog.Arr()
	for _, lender := range lenders {
		asked.Str(string(lender))
	}
	p.opts.Metrics.Add("retry_budget.borrowed."+claim.Kind.String(), int64(granted))
	p.opts.Log.Info().Str("event", "retries_borrowed").Str("service", string(service)).Stringer("kind", claim.Kind).Int("class", claim.Class).
		Int("asked", retries).Int("granted", granted).Array("lenders", asked).Dur("took_ms", answered.Sub(sent)).Send()
}

// lend grants another node retries of a service, and returns how many.
func (p *picker) lend(r retry.LoanRequest) int {
	p.mu.Lock()
	b, now := p.budget(r.Service), p.opts.Now()
	granted := b.Lend(now, r.Claim(), r.Retries)
	if granted < r.Retries && b.LendsMoreAfterNotice(now) && p.opts.OnRetryNotice != nil {
		p.opts.OnRetryNotice()
	}
	p.noticeRetries(r.Service)
	p.mu.Unlock()
	if granted > 0 {
		p.opts.Metrics.Add("retry_budget.lent."+r.Kind.String(), int64(granted))
		p.opts.Log.Info().Str("event", "retries_lent").Str("service", string(r.Service)).Str("borrower", string(r.Borrower)).Stringer("kind", r.Kind).Int("class", r.Class).
			Int("asked", r.Retries).Int("granted", granted).Send()
	}
	return granted
}

// takeRetry takes one retry from the budget of a service for a claim. If there is none and
// nodes lend each other retries, it tries once to borrow one.
func (p *picker) takeRetry(ctx context.Context, service ids.Service, reason outcome.Reason, claim retry.Claim) retry.Holding {
	p.borrowFor(ctx, service, claim)
	held := p.holdRetry(service, reason, claim)
	name := "retry_budget.granted."
	if held.Grant == retry.Denied {
		name = "retry_budget.denied."
	}
	p.opts.Metrics.Add(name+claim.Kind.String(), 1)
	return held
}

// RetryEndedError reports a request whose retry is not valid any more when it is to be sent.
type RetryEndedError struct{ Service ids.Service }

// Error implements error.
func (e *RetryEndedError) Error() string {
	return fmt.Sprintf("the loan of a retry for service %q has ended, and no other retry is left", e.Service)
}

// renewRetry makes sure, after a wait, that the request may use a retry if it has been sent
// before. If the loan of its retry has ended, it takes another one. It reports whether the
// request has a retry or needs none.
func (x *exchange) renewRetry(ctx context.Context) bool {
	if x.held.Grant == retry.Denied || x.server.picker.renewRetry(x.service, &x.held) {
		return true
	}
	x.held = x.server.picker.takeRetry(ctx, x.service, outcome.UpstreamBusy, x.retryClaim())
	return x.held.Grant != retry.Denied
}

// borrowFor tries to borrow a retry for a claim if the node has none and may borrow.
func (p *picker) borrowFor(ctx context.Context, service ids.Service, claim retry.Claim) {
	if p.mayBorrow() && !p.covers(service, claim) {
		p.borrower.await(ctx, service, claim)
	}
}

// mayBorrow reports whether the node may ask others for retries: all nodes do, or it grants
// little itself as it has just started.
func (p *picker) mayBorrow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loansOn() || p.opts.Loans != nil && p.nodes > 1 && p.retryTerms != nil && p.retryTerms.IsStarting(p.opts.Now())
}

// loans reports whether nodes lend each other retries at all times.
func (p *picker) loans() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loansOn()
}

// loansOn is loans for a caller that holds mu.
func (p *picker) loansOn() bool { return p.opts.Loans != nil && p.opts.Budget.loansOn(p.nodes) }

// covers reports whether the budget of a service has a retry for a claim.
func (p *picker) covers(service ids.Service, claim retry.Claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).Covers(p.opts.Now(), claim)
}

// retryClaim returns the claim of the request's next retry.
func (x *exchange) retryClaim() retry.Claim {
	claim := retry.Claim{Class: x.class}
	switch {
	case x.responseStarted:
		claim.Kind = retry.BrokenStream
	case x.route.Kind == routing.Streaming && x.mayHaveRun():
		claim.Kind = retry.UnansweredStream
	}
	return claim
}

// switchClaim returns the claim of a stream that stalls and may be sent again. If its chain
// is slow but alive, the stream does not use the last retries, which are reserved for
// streams that would break off. Without loans a dead chain counts as a broken stream.
func (x *exchange) switchClaim(dead bool) retry.Claim {
	claim := retry.Claim{Class: x.class}
	switch {
	case !dead:
	case x.responseStarted || !x.server.picker.loans():
		claim.Kind = retry.BrokenStream
	default:
		claim.Kind = retry.UnansweredStream
	}
	return claim
}

// LendRetries answers another node that asks for retries of a service. A service that is
// not configured has none.
func (s *Server) LendRetries(r retry.LoanRequest) retry.LoanReply {
	table := s.opts.Table()
	if table == nil || table.Service(r.Service) == nil {
		return retry.LoanReply{}
	}
	return retry.LoanReply{Granted: s.picker.lend(r)}
}
