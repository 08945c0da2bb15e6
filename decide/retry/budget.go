package retry

import (
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/outcome"
)

// BudgetWindow is the time over which first attempts and retries are weighed
// against each other.
const BudgetWindow = 10 * time.Second

// Attempts are counted by spans of time. Retries count until a whole window after
// the end of theirs, and first attempts no longer than a window after its start,
// so that no window of any start holds more retries than allowed.
const (
	span  = BudgetWindow / spans
	spans = 20
)

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
	// counts are those of the last spans; the one that ends in the present is at
	// the index now modulo their number.
	counts [spans + 1]counted
	now    int64
	// firsts and retries are the sums that weigh against each other.
	firsts, retries int
	stats           map[outcome.Reason]Stats
}

// counted are the attempts of one span of time.
type counted struct{ firsts, retries int }

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

// First counts the first attempt of a request.
func (b *Budget) First(now time.Time) {
	b.advance(now)
	b.counts[b.now%int64(len(b.counts))].firsts++
	b.firsts++
}

// Available reports whether Allow would grant a retry now. It takes nothing.
func (b *Budget) Available(now time.Time) bool { return b.AvailableOf(now, 1) }

// AvailableOf is Available within a part of the allowance, 0 to 1, so that
// retries which matter less leave the rest to those that matter more.
func (b *Budget) AvailableOf(now time.Time, part float64) bool {
	b.advance(now)
	allowance := b.ratio*float64(b.firsts) + b.least*BudgetWindow.Seconds()
	return float64(b.retries+1) <= allowance*part
}

// Allow takes one retry from the budget and counts the answer under reason.
func (b *Budget) Allow(now time.Time, reason outcome.Reason) bool {
	allowed := b.Available(now)
	if allowed {
		b.counts[b.now%int64(len(b.counts))].retries++
		b.retries++
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

// advance goes on to the span of now and drops what is too old. A clock that went
// back counts as standing still.
func (b *Budget) advance(now time.Time) {
	at := now.UnixNano() / int64(span)
	size := int64(len(b.counts))
	if at-b.now >= size {
		b.counts, b.firsts, b.retries, b.now = [spans + 1]counted{}, 0, 0, at
		return
	}
	for b.now < at {
		b.now++
		oldest := &b.counts[b.now%size]
		b.retries -= oldest.retries
		*oldest = counted{}
		b.firsts -= b.counts[(b.now+1)%size].firsts
	}
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
