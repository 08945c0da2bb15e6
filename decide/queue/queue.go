// Package queue orders the requests that wait on one node for one service.
//
// Order. Priority classes come first, the higher number before the lower. A
// class that has waited without being served rises one class for each
// AgeStep, and falls back once it has been served: this bounds starvation,
// while a backlog of old low-priority requests cannot overtake the rest as a
// whole. Inside a class, accounts share by weight and cost under start-time
// fair queueing: an account alone gets everything, and a large one cannot
// delay a small one by more than one request for each account ahead of it.
// It has the fairness of deficit round robin without a quantum, which costs
// that differ a thousandfold would make either unfair or slow. Inside an
// account the earliest deadline comes first.
//
// Bounds. A queue holds at most Length requests. One account holds at most
// PerAccount, and at most twice the places that are still free, so that a few
// large accounts together always leave room for others.
//
// A Queue is used by one goroutine. It reads no clock.
package queue

import (
	"math/rand/v2"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// Priorities outside these bounds count as the nearest bound.
const (
	MinPriority = -4
	MaxPriority = 4
)

// freeShare bounds an account's places to this multiple of the free ones.
const freeShare = 2

// Item is one waiting request.
type Item struct {
	ID      ids.Request
	Account ids.Account
	// Weight is the account's share; below 1 counts as 1. An account's share
	// is the weight of its newest item.
	Weight int
	// Priority is MinPriority to MaxPriority; higher is served first.
	Priority int
	// Deadline is when the answer has to be whole; zero means never.
	Deadline time.Time
	// Cost is the expected work in tokens; below 1 counts as 1.
	Cost float64
	// Enqueued is when the request began to wait.
	Enqueued time.Time
}

// Queue holds the waiting requests of one service. Its memory is bounded by
// Options.Length.
type Queue struct {
	opts    Options
	rng     *rand.Rand
	classes [MaxPriority - MinPriority + 1]class
	byID    map[ids.Request]*entry
	waiting map[ids.Account]int
	due     entryHeap
	seq     uint64
	cost    float64
	service time.Duration
	drain   drain
	// promised counts callers recently told to come back, less those whose
	// turn has come at the measured rate.
	promised   float64
	promisedAt time.Time
}

// New makes an empty Queue. rng spreads RetryAfter; it must not be nil and is
// used by the caller of the Queue alone.
func New(opts Options, rng *rand.Rand) *Queue {
	q := &Queue{
		rng:     rng,
		byID:    make(map[ids.Request]*entry),
		waiting: make(map[ids.Account]int),
		due:     newEntryHeap(earlierDeadline, placeDue),
	}
	for i := range q.classes {
		q.classes[i] = newClass(MinPriority + i)
	}
	q.SetOptions(opts)
	return q
}

// SetOptions changes the bounds. A shorter length drops nothing that waits.
func (q *Queue) SetOptions(opts Options) {
	q.opts = withDefaults(opts)
}

// SetServiceTime sets the expected time to serve a request of mean cost. Zero
// means not known. A cheaper request is expected to take its share of it, a
// dearer one no more: what is refused for it could not have been served.
func (q *Queue) SetServiceTime(expected time.Duration) { q.service = max(expected, 0) }

// Push adds an item. It refuses with *FullError when there is no room and
// with *DuplicateError when the request waits already; neither changes
// anything.
func (q *Queue) Push(now time.Time, item Item) error {
	if _, waits := q.byID[item.ID]; waits {
		return &DuplicateError{ID: item.ID}
	}
	if err := q.room(item.Account); err != nil {
		return err
	}
	q.seq++
	e := &entry{Item: normal(item), seq: q.seq}
	q.drain.advance(now)
	q.byID[e.ID] = e
	q.waiting[e.Account]++
	q.cost += e.Cost
	q.due.push(e)
	q.classOf(e.Priority).add(e)
	q.drain.busy = true
	return nil
}

// Next gives the item to serve next without removing it. Items that cannot be
// served in time are not passed over: call Expired before.
func (q *Queue) Next(now time.Time) (Item, bool) {
	c := q.pick(now)
	if c == nil {
		return Item{}, false
	}
	return c.head().Item, true
}

// Pop removes and gives the item that Next would give, and counts it as
// being served until Finished.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	c := q.pick(now)
	if c == nil {
		return Item{}, false
	}
	e := c.head()
	q.drain.advance(now)
	c.serve(now, e)
	q.forget(e)
	q.drain.popped(e.Cost)
	return e.Item, true
}

// Finished tells that a popped request has ended. cost is the Cost it was
// queued with, so that estimates that are all too high or too low cancel out,
// or zero if no work was done. It feeds the drain rate.
func (q *Queue) Finished(now time.Time, cost float64) { q.drain.finished(now, cost) }

// Remove takes a request out, and reports whether it waited.
func (q *Queue) Remove(id ids.Request) bool {
	e, waits := q.byID[id]
	if !waits {
		return false
	}
	q.drop(e)
	return true
}

// Expired removes and gives the items whose deadline has passed or can no
// longer be met, given the expected service time; earliest deadline first.
func (q *Queue) Expired(now time.Time) []Item {
	q.drain.advance(now)
	horizon := now.Add(q.service)
	var late []*entry
	q.due.walk(func(e *entry) bool {
		if e.Deadline.IsZero() || !horizon.After(e.Deadline) {
			return false
		}
		if q.tooLate(now, e.Item) {
			late = append(late, e)
		}
		return true
	})
	slices.SortFunc(late, func(a, b *entry) int { return a.Deadline.Compare(b.Deadline) })
	out := make([]Item, 0, len(late))
	for _, e := range late {
		q.drop(e)
		out = append(out, e.Item)
	}
	return out
}

// Len counts the waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Waiting counts the waiting requests of one account.
func (q *Queue) Waiting(account ids.Account) int { return q.waiting[account] }

// room reports why an account cannot queue another request; nil when it can.
func (q *Queue) room(account ids.Account) error {
	free := q.opts.Length - len(q.byID)
	if free <= 0 {
		return &FullError{Scope: ScopeQueue, Waiting: len(q.byID), Limit: q.opts.Length}
	}
	limit := min(q.opts.PerAccount, freeShare*free)
	if have := q.waiting[account]; have >= limit {
		return &FullError{Scope: ScopeAccount, Waiting: have, Limit: limit}
	}
	return nil
}

// pick chooses the class to serve; nil when nothing waits.
func (q *Queue) pick(now time.Time) *class {
	var best *class
	var bestRank int
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if c.len() == 0 {
			continue
		}
		rank := c.rank(now, q.opts.AgeStep)
		if best == nil || rank > bestRank {
			best, bestRank = c, rank
		}
	}
	return best
}

// drop removes an entry that is not served.
func (q *Queue) drop(e *entry) {
	q.classOf(e.Priority).remove(e)
	q.forget(e)
}

// forget removes an entry from what spans the classes.
func (q *Queue) forget(e *entry) {
	q.due.remove(e.dueIndex)
	delete(q.byID, e.ID)
	q.cost -= e.Cost
	q.waiting[e.Account]--
	if q.waiting[e.Account] == 0 {
		delete(q.waiting, e.Account)
	}
	if len(q.byID) == 0 {
		q.cost = 0
		q.drain.busy = false
	}
}

// classOf gives the class of a priority within bounds.
func (q *Queue) classOf(priority int) *class { return &q.classes[priority-MinPriority] }

// tooLate reports whether an item that is served from now on misses its
// deadline.
func (q *Queue) tooLate(now time.Time, item Item) bool {
	if item.Deadline.IsZero() {
		return false
	}
	return now.Add(q.expected(item.Cost)).After(item.Deadline)
}

// expected gives the expected time to serve a request of a cost.
func (q *Queue) expected(cost float64) time.Duration {
	mean := q.drain.meanCost
	if mean <= 0 || cost >= mean {
		return q.service
	}
	return time.Duration(float64(q.service) * cost / mean)
}

// normal brings an item's fields within bounds.
func normal(item Item) Item {
	item.Weight = max(item.Weight, 1)
	item.Priority = min(max(item.Priority, MinPriority), MaxPriority)
	if !(item.Cost >= 1) {
		item.Cost = 1
	}
	return item
}
