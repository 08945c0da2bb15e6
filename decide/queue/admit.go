package queue

import (
	"time"
)

// retrySpread widens RetryAfter: callers are told to come back between the
// expected wait and this share more.
const retrySpread = 1.0

// WouldMiss reports whether an item would miss its deadline if it queued now,
// given the work ahead of it, the drain rate and the service time, and if so
// when to come back. While the drain rate is not known, only the service time
// counts. The item need not be queued, and nothing changes but the count of
// callers told to come back.
func (q *Queue) WouldMiss(now time.Time, item Item) (bool, time.Duration) {
	item = normal(item)
	q.drain.advance(now)
	start := now.Add(q.wait(q.ahead(item)))
	if !q.tooLate(start, item) {
		return false, 0
	}
	return true, q.RetryAfter(now)
}

// RetryAfter gives the time after which a refused caller should come back:
// what the queue and the callers refused before take to drain, spread at
// random so that callers do not come back together, within RetryMin and
// RetryMax.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	q.drain.advance(now)
	wait := q.wait(q.cost + q.promise(now)*q.drain.meanCost)
	longest := time.Duration(float64(q.opts.RetryMax) / (1 + retrySpread))
	base := min(max(wait, q.opts.RetryMin), max(longest, q.opts.RetryMin))
	spread := time.Duration(retrySpread * q.rng.Float64() * float64(base))
	return min(base+spread, max(q.opts.RetryMax, q.opts.RetryMin))
}

// Rate gives the rate the queue drains at.
func (q *Queue) Rate() Rate { return q.drain.rate(q.service) }

// ahead gives the work served before an item. What higher classes will yet
// receive, and what aged lower ones take, is not foreseen.
func (q *Queue) ahead(item Item) float64 {
	total := q.classOf(item.Priority).ahead(item)
	for p := item.Priority + 1; p <= MaxPriority; p++ {
		total += q.classOf(p).cost
	}
	return total
}

// wait gives the time to drain work; zero when the rate is not known.
func (q *Queue) wait(cost float64) time.Duration {
	rate := q.Rate().Cost
	if rate <= 0 || cost <= 0 {
		return 0
	}
	seconds := min(cost/rate, q.opts.RetryMax.Seconds()*maxWaitFactor)
	return time.Duration(seconds * float64(time.Second))
}

// maxWaitFactor caps wait, in multiples of RetryMax, against overflow.
const maxWaitFactor = 1000

// promise counts one more caller told to come back, and gives the count of
// those before it whose turn has not come.
func (q *Queue) promise(now time.Time) float64 {
	rate := q.Rate().Items
	if rate <= 0 {
		q.promised = 0
		return 0
	}
	if elapsed := now.Sub(q.promisedAt); elapsed > 0 {
		q.promised = max(q.promised-rate*elapsed.Seconds(), 0)
		q.promisedAt = now
	}
	before := q.promised
	q.promised = min(q.promised+1, rate*q.opts.RetryMax.Seconds())
	return before
}
