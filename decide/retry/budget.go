package retry

import (
	"math"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/outcome"
)

// BudgetWindow is the time over which retries are compared with first attempts.
// It is the time constant of the exponential decay of both counts, and the
// length of the window of LimitWindow.
const BudgetWindow = 10 * time.Second

// newRequestFraction is the fraction of the budget available to all kinds but
// BrokenStream where loans are not enabled. The rest is reserved for BrokenStream.
const newRequestFraction = 0.6

// maxReasons is the maximum number of reasons with a counter of their own.
// Further reasons share the counter of the empty reason.
const maxReasons = 64

// Stats counts the retries that Budget.Allow was asked for with one reason.
type Stats struct {
	Allowed, Denied uint64
}

// Grant is how a retry was granted.
type Grant int

const (
	// Denied means that the retry was not granted.
	Denied Grant = iota
	// Own is a retry of the node's own budget.
	Own
	// Borrowed is a retry that another node has lent.
	Borrowed
)

// Holding is a retry that a request has taken.
type Holding struct {
	Grant Grant
	// At is when it was taken or last renewed.
	At time.Time
	// Until is the end of the validity of a borrowed retry.
	Until time.Time
}

// Budget is the retry budget of one service on one node. It keeps retries from
// overloading a failing service. Averaged over BudgetWindow, it allows at most ratio
// retries per first attempt, plus a minimum rate for services with few requests. Retries
// of every Kind count, but each Kind leaves a part of the budget to more urgent ones.
//
// Where many nodes share one limit and engines fail together, some nodes need many times
// the retries of others. SetLoans then replaces the average by the limit of the window, and
// lets nodes lend each other what they do not use.
//
// It is not safe for concurrent use.
type Budget struct {
	ratio, minRate float64
	// firstAttempts and retries are exponentially decayed counts, as of last.
	firstAttempts float64
	retries       float64
	last          time.Time
	stats         map[outcome.Reason]Stats
	// windowLimited reports whether LimitWindow applies.
	windowLimited                      bool
	windowRatio, windowSlack           float64
	windowFirstAttempts, windowRetries window
	// terms determine the part of the limit that is granted and lent, nil for all of it.
	terms *Terms
	// loansEnabled reports whether SetLoans enabled loans. reserve applies then, and
	// borrowed holds the retries that other nodes have lent.
	loansEnabled bool
	reserve      reserve
	borrowed     []loan
}

// NewBudget returns a Budget with the given policy.
func NewBudget(policy fleet.RetryPolicy) *Budget {
	b := &Budget{stats: make(map[outcome.Reason]Stats), reserve: loanReserve}
	b.SetPolicy(policy)
	return b
}

// SetPolicy changes the ratio and the minimum rate, in retries per second, and
// keeps the counts. Negative values count as zero.
func (b *Budget) SetPolicy(policy fleet.RetryPolicy) {
	b.ratio = max(policy.BudgetRatio, 0)
	b.minRate = max(policy.BudgetMin, 0)
}

// LimitWindow also limits the retries in any single BudgetWindow to ratio per
// first attempt in it, plus slack. The decaying counts alone allow twice their
// limit in one window: the whole allowance at once, and as much again while the
// counts decay.
func (b *Budget) LimitWindow(ratio, slack float64) {
	b.windowLimited, b.windowRatio, b.windowSlack = true, max(ratio, 0), max(slack, 0)
}

// SetTerms sets which part of the limit of the window is granted and lent, all of it before the
// first call. Borrowed retries are not affected. See Succession.
func (b *Budget) SetTerms(t Terms) { b.terms = &t }

// LendsMoreAfterNotice reports whether the budget may lend more once the process has given notice.
func (b *Budget) LendsMoreAfterNotice(now time.Time) bool {
	return b.terms != nil && !b.terms.IsStarting(now) && !now.Before(b.terms.FullUntil)
}

// part returns the part of the limit of the window that is granted and lent.
func (b *Budget) part(now time.Time) float64 {
	if b.terms == nil {
		return 1
	}
	return b.terms.part(now)
}

// WantsNotice reports whether the process should give notice that it grants its whole limit, since
// it has used a large part of what it grants without.
func (b *Budget) WantsNotice(now time.Time) bool {
	limit, used := b.windowState(now)
	return b.terms != nil && limit > 0 && b.terms.wantNotice(now, used/limit)
}

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(now time.Time) {
	b.decay(now)
	b.firstAttempts++
	b.windowFirstAttempts.add(now)
}

// Available reports whether Allow would grant a retry of the given kind now. It
// does not consume the budget.
func (b *Budget) Available(now time.Time, kind Kind) bool { return b.Covers(now, Claim{Kind: kind}) }

// Covers reports whether Take would grant a retry for the claim now. It does not
// consume the budget.
func (b *Budget) Covers(now time.Time, claim Claim) bool {
	return b.usableLoan(now, claim) >= 0 || b.ownCovers(now, claim)
}

// ownCovers reports whether the node's own budget has a retry for the claim.
func (b *Budget) ownCovers(now time.Time, claim Claim) bool {
	b.decay(now)
	if b.lends() {
		return b.windowAllows(now, b.reserve.fraction(claim))
	}
	fraction := claim.Kind.budgetFraction()
	return b.retries+1 <= b.allowance()*fraction && b.windowAllows(now, fraction)
}

// allowance returns the limit of the decaying count of retries.
func (b *Budget) allowance() float64 {
	return b.ratio*b.firstAttempts + b.minRate*BudgetWindow.Seconds()
}

// windowAllows reports whether one more retry stays within the given fraction of
// the limit set by LimitWindow.
func (b *Budget) windowAllows(now time.Time, fraction float64) bool {
	if !b.windowLimited {
		return true
	}
	limit, used := b.windowState(now)
	return used+1 <= limit*min(fraction, b.part(now))
}

// windowState returns the limit set by LimitWindow and the retries that count towards
// it, including those lent to other nodes.
func (b *Budget) windowState(now time.Time) (limit, used float64) {
	b.windowFirstAttempts.advance(now)
	b.windowRetries.advance(now)
	return b.windowRatio*float64(b.windowFirstAttempts.sum) + b.windowSlack, float64(b.windowRetries.sum)
}

// Allow consumes one retry if the budget permits one of the given kind, and reports
// whether it does. It counts the decision under reason.
func (b *Budget) Allow(now time.Time, reason outcome.Reason, kind Kind) bool {
	return b.Take(now, reason, Claim{Kind: kind}) != Denied
}

// Take consumes one retry if the budget permits one for the claim, and returns how it was
// granted. Borrowed retries are used first, since they expire. It counts the decision
// under reason.
func (b *Budget) Take(now time.Time, reason outcome.Reason, claim Claim) Grant {
	return b.Hold(now, reason, claim).Grant
}

// Hold is Take for a request that may wait before it is sent. It has to call Renew when it is sent.
func (b *Budget) Hold(now time.Time, reason outcome.Reason, claim Claim) Holding {
	h := Holding{At: now}
	if until, found := b.takeBorrowed(now, claim); found {
		h.Grant, h.Until = Borrowed, until
	} else if b.ownCovers(now, claim) {
		h.Grant = Own
		b.retries++
		b.windowRetries.add(now)
	}
	b.countDecision(reason, h.Grant != Denied)
	return h
}

// Renew reports whether a retry that was taken before a wait may be used now. An own retry counts as
// of now from then on: it would otherwise leave the window BudgetWindow after it was taken, and in a
// BudgetWindow that begins after that and before its use the node could use its limit and this retry.
// It ends once it has left the window, and a borrowed one with its loan.
func (b *Budget) Renew(now time.Time, h *Holding) bool {
	switch {
	case h.Grant == Own && now.Sub(h.At) < BudgetWindow:
		b.windowRetries.move(h.At, now)
		h.At = now
		return true
	case h.Grant == Borrowed:
		return now.Before(h.Until)
	}
	return false
}

// Usage describes the window of a budget.
type Usage struct {
	// Used counts the retries of the window, including those lent to other nodes.
	Used int
	// Limit is how many retries the window allows in all under the present Terms, 0 if
	// LimitWindow was not called.
	Limit float64
}

// Usage returns the state of the window.
func (b *Budget) Usage(now time.Time) Usage {
	limit, used := b.windowState(now)
	return Usage{Used: int(used), Limit: limit * b.part(now)}
}

// Stats returns a copy of the counters by reason.
func (b *Budget) Stats() map[outcome.Reason]Stats {
	out := make(map[outcome.Reason]Stats, len(b.stats))
	for reason, s := range b.stats {
		out[reason] = s
	}
	return out
}

// decay reduces the counts by the exponential decay since the last call.
func (b *Budget) decay(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / BudgetWindow.Seconds())
	b.firstAttempts *= factor
	b.retries *= factor
	b.last = now
}

// countDecision counts one result of Allow.
func (b *Budget) countDecision(reason outcome.Reason, allowed bool) {
	if _, seen := b.stats[reason]; !seen && len(b.stats) >= maxReasons {
		reason = ""
	}
	s := b.stats[reason]
	if allowed {
		s.Allowed++
	} else {
		s.Denied++
	}
	b.stats[reason] = s
}
