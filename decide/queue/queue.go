// Package queue orders the requests that wait on one node for one service.
//
// Order. Higher priority classes are served first. For each AgeStep that a class
// with waiting requests is not served, its effective priority rises by one; it
// falls back once the class is served. This bounds starvation, while a backlog of
// old low-priority requests cannot overtake all others at once. Within a class,
// accounts share service by weight and cost under start-time fair queueing. An
// account that is alone gets all service, and a large account cannot delay a small
// one by more than one request for each account ahead of it. Start-time fair
// queueing is as fair as deficit round robin but needs no quantum: request costs
// vary by a factor of a thousand, so that any quantum would be either unfair or
// slow. Within an account, the earliest deadline is served first.
//
// Limits. A queue holds at most Length requests. One account holds at most
// PerAccount requests, and at most twice the free capacity, so that a few large
// accounts always leave room for others.
//
// A Queue is not safe for concurrent use. It reads no clock.
package queue

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// MinPriority and MaxPriority bound the priority of an Item. Values outside count as
// the nearest bound.
const (
	MinPriority = -4
	MaxPriority = 4
)

// maxFreeFactor limits the waiting requests of one account to this multiple of the
// free capacity.
const maxFreeFactor = 2

// Item is one waiting request.
type Item struct {
	ID      ids.Request
	Account ids.Account
	// Weight is the account's weight in fair queueing; values below 1 count as 1.
	// The weight of an account's newest item applies to the account.
	Weight int
	// Priority is between MinPriority and MaxPriority; higher is served first.
	Priority int
	// Deadline is the time by which the complete answer is due; zero means none.
	Deadline time.Time
	// Cost is the expected work in tokens; values below 1 count as 1.
	Cost float64
	// Enqueued is the time at which the request began to wait.
	Enqueued time.Time
}

// Queue holds the waiting requests of one service. Its memory is bounded by
// Options.Length. Create it with New.
type Queue struct {
	opts    Options
	rng     *rand.Rand
	classes [MaxPriority - MinPriority + 1]class
	byID    map[ids.Request]*entry
	// waiting is the number of waiting requests by account.
	waiting map[ids.Account]int
	// byDeadline orders the entries of all classes.
	byDeadline entryHeap
	seq        uint64
	// waitingCost is the total cost of the waiting requests.
	waitingCost float64
	// serviceTime is the expected time to serve a request of mean cost; zero if
	// unknown.
	serviceTime time.Duration
	drain       drainMeter
	// retries is the number of refused callers that will retry, less those that the
	// drain rate has made room for, as of retriesAt.
	retries   float64
	retriesAt time.Time
}

// New returns an empty Queue. rng provides the jitter of RetryAfter. It must not be
// nil, and nothing else may use it concurrently with the Queue.
func New(opts Options, rng *rand.Rand) *Queue {
	q := &Queue{
		rng:        rng,
		byID:       make(map[ids.Request]*entry),
		waiting:    make(map[ids.Account]int),
		byDeadline: newEntryHeap(earlierDeadline, setDeadlineIndex),
	}
	for i := range q.classes {
		q.classes[i] = newClass(MinPriority + i)
	}
	q.SetOptions(opts)
	return q
}

// SetOptions changes the limits. A lower limit doesn't remove waiting requests.
func (q *Queue) SetOptions(opts Options) {
	q.opts = withDefaults(opts)
}

// SetServiceTime sets the expected time to serve a request of mean cost. Zero means
// unknown. A request of lower cost is expected to take proportionally less time. One
// of higher cost is not expected to take more, so that no request is refused that
// might have met its deadline.
func (q *Queue) SetServiceTime(expected time.Duration) { q.serviceTime = max(expected, 0) }

// Push adds an item. It returns a *FullError if a limit is reached and a
// *DuplicateError if the request is already waiting; the queue is then unchanged.
func (q *Queue) Push(now time.Time, item Item) error {
	if _, waits := q.byID[item.ID]; waits {
		return &DuplicateError{ID: item.ID}
	}
	if err := q.checkLimits(item.Account); err != nil {
		return err
	}
	q.insert(now, item)
	return nil
}

// PushDisplacing is Push, except that at a limit one item of a lower priority makes room, if
// there is one. It returns that item and whether there was one. An item of the same account
// leaves the numbers of waiting requests as they were, so the limits don't matter. One of
// another account makes room in a full queue as far as the account's limit with one free
// place allows. If the error is not nil, nothing was displaced.
func (q *Queue) PushDisplacing(now time.Time, item Item) (out Item, displaced bool, err error) {
	err = q.Push(now, item)
	var full *FullError
	if !errors.As(err, &full) {
		return Item{}, false, err
	}
	item = normalize(item)
	scope := ScopeAccount
	if full.Scope == ScopeQueue && q.waiting[item.Account] < min(q.opts.PerAccount, maxFreeFactor) {
		scope = ScopeQueue
	}
	if out, displaced = q.Displace(item.Priority, item.Account, scope); !displaced {
		return Item{}, false, err
	}
	q.insert(now, item)
	return out, true, nil
}

// insert adds an item whatever the limits.
func (q *Queue) insert(now time.Time, item Item) {
	q.seq++
	e := &entry{Item: normalize(item), seq: q.seq}
	q.drain.advance(now)
	q.byID[e.ID] = e
	q.waiting[e.Account]++
	q.waitingCost += e.Cost
	q.byDeadline.push(e)
	q.classOf(e.Priority).recordAdded(now, q.opts.KeepAge)
	q.classOf(e.Priority).add(e)
	q.drain.busy = true
}

// Next returns the item to serve next without removing it, or false if nothing waits.
// It doesn't skip items that cannot meet their deadline: call Expired first.
func (q *Queue) Next(now time.Time) (Item, bool) {
	c := q.pick(now)
	if c == nil {
		return Item{}, false
	}
	return c.head().Item, true
}

// Pop removes and returns the item that Next would return. The item counts as in
// flight until Finished is called for it.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	c := q.pick(now)
	if c == nil {
		return Item{}, false
	}
	return q.serve(now, c.head()), true
}

// Take removes a waiting request out of turn. It counts as popped. It returns false if
// the request does not wait.
func (q *Queue) Take(now time.Time, id ids.Request) (Item, bool) {
	e, waits := q.byID[id]
	if !waits {
		return Item{}, false
	}
	return q.serve(now, e), true
}

// serve removes an entry that is served and returns its item.
func (q *Queue) serve(now time.Time, e *entry) Item {
	q.drain.advance(now)
	q.classOf(e.Priority).serve(now, e)
	q.unindex(e)
	q.drain.popped(e.Cost)
	return e.Item
}

// Finished records the end of a popped request for the drain rate. cost is the Cost
// that the request was queued with, so that a consistent error in estimates cancels
// out, or zero if no work was done.
func (q *Queue) Finished(now time.Time, cost float64) { q.drain.finished(now, cost) }

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(id ids.Request) bool {
	e, waits := q.byID[id]
	if !waits {
		return false
	}
	q.discard(e)
	return true
}

// Expired removes and returns the items whose deadline has passed or can no longer be
// met given the expected service time, earliest deadline first.
func (q *Queue) Expired(now time.Time) []Item {
	q.drain.advance(now)
	return q.Unreachable(now, MaxPriority)
}

// Unreachable removes and returns the items of at most a priority whose deadline cannot
// be met if none of them is served before start, earliest deadline first.
func (q *Queue) Unreachable(start time.Time, priority int) []Item {
	horizon := start.Add(q.serviceTime)
	var late []*entry
	q.byDeadline.walk(func(e *entry) bool {
		if e.Deadline.IsZero() || !horizon.After(e.Deadline) {
			return false
		}
		if e.Priority <= priority && q.missesDeadline(start, e.Item) {
			late = append(late, e)
		}
		return true
	})
	slices.SortFunc(late, func(a, b *entry) int { return a.Deadline.Compare(b.Deadline) })
	out := make([]Item, 0, len(late))
	for _, e := range late {
		q.discard(e)
		out = append(out, e.Item)
	}
	return out
}

// Earliest returns the waiting item with the earliest deadline, false if nothing waits.
func (q *Queue) Earliest() (Item, bool) {
	if len(q.byID) == 0 {
		return Item{}, false
	}
	return q.byDeadline.top().Item, true
}

// Displace removes and returns an item to make room for one of a higher priority: the
// newest one of the lowest class below that priority, which must be the account's if
// scope is ScopeAccount. It returns false if there is none.
func (q *Queue) Displace(priority int, account ids.Account, scope Scope) (Item, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		if c.priority >= priority {
			break
		}
		var newest *entry
		for _, e := range c.byAge.items {
			if (scope != ScopeAccount || e.Account == account) && (newest == nil || e.seq > newest.seq) {
				newest = e
			}
		}
		if newest != nil {
			q.discard(newest)
			return newest.Item, true
		}
	}
	return Item{}, false
}

// LenAt returns the number of waiting requests of one priority, between MinPriority and
// MaxPriority.
func (q *Queue) LenAt(priority int) int { return q.classOf(priority).len() }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Waiting returns the number of waiting requests of one account.
func (q *Queue) Waiting(account ids.Account) int { return q.waiting[account] }

// checkLimits returns a *FullError if an account cannot queue another request.
func (q *Queue) checkLimits(account ids.Account) error {
	free := q.opts.Length - len(q.byID)
	if free <= 0 {
		return &FullError{Scope: ScopeQueue, Waiting: len(q.byID), Limit: q.opts.Length}
	}
	limit := min(q.opts.PerAccount, maxFreeFactor*free)
	if have := q.waiting[account]; have >= limit {
		return &FullError{Scope: ScopeAccount, Waiting: have, Limit: limit}
	}
	return nil
}

// pick returns the class to serve next; nil if nothing waits.
func (q *Queue) pick(now time.Time) *class {
	var best *class
	var bestPriority int
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if c.len() == 0 {
			continue
		}
		priority := c.effectivePriority(now, &q.opts)
		if best == nil || priority > bestPriority {
			best, bestPriority = c, priority
		}
	}
	return best
}

// discard removes an entry that is not served.
func (q *Queue) discard(e *entry) {
	q.classOf(e.Priority).remove(e)
	q.unindex(e)
}

// unindex removes an entry from the indexes and totals that span all classes.
func (q *Queue) unindex(e *entry) {
	q.byDeadline.remove(e.deadlineIndex)
	delete(q.byID, e.ID)
	q.waitingCost -= e.Cost
	q.waiting[e.Account]--
	if q.waiting[e.Account] == 0 {
		delete(q.waiting, e.Account)
	}
	if len(q.byID) == 0 {
		q.waitingCost = 0
		q.drain.busy = false
	}
}

// classOf returns the class of a priority, which must be within bounds.
func (q *Queue) classOf(priority int) *class { return &q.classes[priority-MinPriority] }

// missesDeadline reports whether an item that is served from now on is expected to
// miss its deadline.
func (q *Queue) missesDeadline(now time.Time, item Item) bool {
	if item.Deadline.IsZero() {
		return false
	}
	return now.Add(q.expectedTime(item.Cost)).After(item.Deadline)
}

// expectedTime returns the expected time to serve a request of the given cost.
func (q *Queue) expectedTime(cost float64) time.Duration {
	mean := q.drain.meanCost
	if mean <= 0 || cost >= mean {
		return q.serviceTime
	}
	return time.Duration(float64(q.serviceTime) * cost / mean)
}

// normalize returns the item with its fields within bounds.
func normalize(item Item) Item {
	item.Weight = max(item.Weight, 1)
	item.Priority = min(max(item.Priority, MinPriority), MaxPriority)
	if !(item.Cost >= 1) {
		item.Cost = 1
	}
	return item
}
