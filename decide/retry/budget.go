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

// maxReasons is the maximum number of reasons with a counter of their own.
// Further reasons share the counter of the empty reason.
const maxReasons = 64

// Stats counts the retries that Budget.Allow was asked for with one reason.
type Stats struct {
	Allowed, Denied uint64
}

// Budget is the retry budget of one service. It keeps retries from overloading a
// failing service. Averaged over BudgetWindow, it allows at most ratio retries
// per first attempt, plus a minimum rate for services with few requests. It is
// not safe for concurrent use.
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

// Available reports whether Allow would grant a retry now. It does not consume
// the budget.
func (b *Budget) Available(now time.Time) bool { return b.AvailableWithin(now, 1) }

// AvailableWithin reports whether a retry would be granted if only the given
// fraction of the budget, 0 to 1, existed. Less important retries thus leave the
// rest of the budget to others. It does not consume the budget.
func (b *Budget) AvailableWithin(now time.Time, fraction float64) bool {
	b.decay(now)
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

// Allow consumes one retry if the budget permits it and reports whether it does.
// It counts the decision under reason.
func (b *Budget) Allow(now time.Time, reason outcome.Reason) bool {
	allowed := b.Available(now)
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
