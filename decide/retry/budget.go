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

// newRequestFraction is the fraction of the budget available to NewRequest. The
// rest is reserved for BrokenStream.
const newRequestFraction = 0.6

// Kind is the kind of request that asks for a retry. It determines how much of the
// budget the request may use.
type Kind int

const (
	// NewRequest is a request whose response has not begun. It may use only a part
	// of the budget.
	NewRequest Kind = iota
	// BrokenStream is a stream that has begun and breaks off without the retry. It
	// may use the whole budget.
	BrokenStream
)

// kindNames are the names of kinds, indexed by Kind.
var kindNames = [...]string{"new_request", "broken_stream"}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// budgetFraction returns the fraction of the budget that the kind may use.
func (k Kind) budgetFraction() float64 {
	if k == BrokenStream {
		return 1
	}
	return newRequestFraction
}

// maxReasons is the maximum number of reasons with a counter of their own.
// Further reasons share the counter of the empty reason.
const maxReasons = 64

// Stats counts the retries that Budget.Allow was asked for with one reason.
type Stats struct {
	Allowed, Denied uint64
}

// Budget is the retry budget of one service. It keeps retries from overloading a
// failing service. Averaged over BudgetWindow, it allows at most ratio retries
// per first attempt, plus a minimum rate for services with few requests. Retries of
// either Kind count, but a NewRequest leaves a part of the budget to a BrokenStream.
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
}

// NewBudget returns a Budget with the given policy.
func NewBudget(policy fleet.RetryPolicy) *Budget {
	b := &Budget{stats: make(map[outcome.Reason]Stats)}
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

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(now time.Time) {
	b.decay(now)
	b.firstAttempts++
	b.windowFirstAttempts.add(now)
}

// Available reports whether Allow would grant a retry of the given kind now. It
// does not consume the budget.
func (b *Budget) Available(now time.Time, kind Kind) bool {
	b.decay(now)
	fraction := kind.budgetFraction()
	allowance := b.ratio*b.firstAttempts + b.minRate*BudgetWindow.Seconds()
	return b.retries+1 <= allowance*fraction && b.windowAllows(now, fraction)
}

// windowAllows reports whether one more retry stays within the given fraction of
// the limit set by LimitWindow.
func (b *Budget) windowAllows(now time.Time, fraction float64) bool {
	if !b.windowLimited {
		return true
	}
	b.windowFirstAttempts.advance(now)
	b.windowRetries.advance(now)
	limit := b.windowRatio*float64(b.windowFirstAttempts.sum) + b.windowSlack
	return float64(b.windowRetries.sum)+1 <= limit*fraction
}

// Allow consumes one retry if the budget permits one of the given kind, and reports
// whether it does. It counts the decision under reason.
func (b *Budget) Allow(now time.Time, reason outcome.Reason, kind Kind) bool {
	allowed := b.Available(now, kind)
	if allowed {
		b.retries++
		b.windowRetries.add(now)
	}
	b.countDecision(reason, allowed)
	return allowed
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
