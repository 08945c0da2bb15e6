package retry

import (
	"math"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/outcome"
)

// BudgetWindow is the time over which first attempts and retries are weighed
// against each other; older ones fade exponentially.
const BudgetWindow = 10 * time.Second

// maxReasons bounds the reasons counted apart; further ones are counted
// under the empty reason.
const maxReasons = 64

// Stats counts the retries asked for under one reason.
type Stats struct {
	Allowed, Denied uint64
}

// Budget bounds the retries of one service, so that a failing service is not
// buried by them: over BudgetWindow at most ratio retries for each first
// attempt, plus a least rate that holds when there are few first attempts.
// Not safe for concurrent use.
type Budget struct {
	ratio, least float64
	firsts       float64
	retries      float64
	last         time.Time
	stats        map[outcome.Reason]Stats
	// bounded tells that the counts of the last window are bounded too.
	bounded                     bool
	windowRatio, windowSlack    float64
	windowFirsts, windowRetries window
}

// NewBudget makes a Budget under a policy.
func NewBudget(policy fleet.RetryPolicy) *Budget {
	b := &Budget{stats: make(map[outcome.Reason]Stats)}
	b.SetPolicy(policy)
	return b
}

// SetPolicy changes the ratio and the least rate; what was counted stays.
// Negative values count as zero.
func (b *Budget) SetPolicy(policy fleet.RetryPolicy) {
	b.ratio = max(policy.BudgetRatio, 0)
	b.least = max(policy.BudgetMin, 0)
}

// LimitWindow bounds what is allowed in any BudgetWindow to ratio retries for each first
// attempt in it and slack more. The fading allowance alone grants what it holds at once
// and, used up all the while, the same again in the window after.
func (b *Budget) LimitWindow(ratio, slack float64) {
	b.bounded, b.windowRatio, b.windowSlack = true, max(ratio, 0), max(slack, 0)
}

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(now time.Time) {
	b.fade(now)
	b.firsts++
	b.windowFirsts.add(now)
}

// Available reports whether Allow would grant a retry now. It takes nothing.
func (b *Budget) Available(now time.Time) bool { return b.AvailableWithin(now, 1) }

// AvailableWithin is Available within a part of the allowance, 0 to 1, so that
// retries which matter less leave the rest to those that matter more.
func (b *Budget) AvailableWithin(now time.Time, part float64) bool {
	b.fade(now)
	allowance := b.ratio*b.firsts + b.least*BudgetWindow.Seconds()
	return b.retries+1 <= allowance*part && b.inWindow(now, part)
}

// inWindow reports whether one more retry keeps to a part of the bound of a window.
func (b *Budget) inWindow(now time.Time, part float64) bool {
	if !b.bounded {
		return true
	}
	b.windowFirsts.advance(now)
	b.windowRetries.advance(now)
	most := b.windowRatio*float64(b.windowFirsts.sum) + b.windowSlack
	return float64(b.windowRetries.sum)+1 <= most*part
}

// Allow takes one retry from the budget and counts the answer under reason.
func (b *Budget) Allow(now time.Time, reason outcome.Reason) bool {
	allowed := b.Available(now)
	if allowed {
		b.retries++
		b.windowRetries.add(now)
	}
	b.count(reason, allowed)
	return allowed
}

// Stats gives a copy of the counts of each reason seen.
func (b *Budget) Stats() map[outcome.Reason]Stats {
	out := make(map[outcome.Reason]Stats, len(b.stats))
	for reason, s := range b.stats {
		out[reason] = s
	}
	return out
}

// fade weighs down what was counted before now.
func (b *Budget) fade(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / BudgetWindow.Seconds())
	b.firsts *= keep
	b.retries *= keep
	b.last = now
}

// count notes one answer of Allow.
func (b *Budget) count(reason outcome.Reason, allowed bool) {
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
