package queue

import (
	"time"
)

// retrySpread is the largest jitter that RetryAfter adds to the expected wait, as a
// fraction of it.
const retrySpread = 1.0

// WouldMiss reports whether an item would miss its deadline if it were queued now,
// and if so the delay after which the caller should retry. The estimate uses the
// work ahead of the item, the drain rate and the service time; while the drain rate
// is unknown, only the service time. The item is not queued. A miss counts the
// caller as one that will retry.
func (q *Queue) WouldMiss(now time.Time, item Item) (bool, time.Duration) {
	if !q.Misses(now, item) {
		return false, 0
	}
	return true, q.RetryAfter(now)
}

// Misses is WouldMiss without the retry delay; a miss counts no caller.
func (q *Queue) Misses(now time.Time, item Item) bool {
	item = normalize(item)
	q.drain.advance(now)
	return q.missesDeadline(now.Add(q.drainTime(q.workAhead(item))), item)
}

// RetryAfter returns the delay after which a refused caller should retry: the time
// to drain the queue and the callers refused before, plus random jitter so that
// callers don't retry all at once. It lies between RetryMin and RetryMax.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	base := q.RetryBase(now)
	spread := time.Duration(retrySpread * q.rng.Float64() * float64(base))
	return min(base+spread, max(q.opts.RetryMax, q.opts.RetryMin))
}

// RetryBase is RetryAfter without the jitter, for callers that add their own. It lies
// between RetryMin and half of RetryMax, and counts a caller that will retry.
func (q *Queue) RetryBase(now time.Time) time.Duration {
	q.drain.advance(now)
	wait := q.drainTime(q.waitingCost + q.addRetry(now)*q.drain.meanCost)
	longest := time.Duration(float64(q.opts.RetryMax) / (1 + retrySpread))
	return min(max(wait, q.opts.RetryMin), max(longest, q.opts.RetryMin))
}

// Rate returns the rate at which the queue drains.
func (q *Queue) Rate() Rate { return q.drain.rate(q.serviceTime) }

// workAhead returns the cost that would be served before an item. It ignores future
// arrivals in higher classes and the aging of lower ones.
func (q *Queue) workAhead(item Item) float64 {
	total := q.classOf(item.Priority).workAhead(item)
	for p := item.Priority + 1; p <= MaxPriority; p++ {
		total += q.classOf(p).cost
	}
	return total
}

// drainTime returns the time to serve the given cost; zero if the drain rate is
// unknown.
func (q *Queue) drainTime(cost float64) time.Duration {
	rate := q.Rate().Cost
	if rate <= 0 || cost <= 0 {
		return 0
	}
	seconds := min(cost/rate, q.opts.RetryMax.Seconds()*maxWaitFactor)
	return time.Duration(seconds * float64(time.Second))
}

// maxWaitFactor limits drainTime to this multiple of RetryMax, so that the
// conversion to a duration cannot overflow.
const maxWaitFactor = 1000

// addRetry counts one more refused caller that will retry. It returns the number of
// refused callers before it that the drain rate has not yet made room for.
func (q *Queue) addRetry(now time.Time) float64 {
	rate := q.Rate().Items
	if rate <= 0 {
		q.retries = 0
		return 0
	}
	if elapsed := now.Sub(q.retriesAt); elapsed > 0 {
		q.retries = max(q.retries-rate*elapsed.Seconds(), 0)
		q.retriesAt = now
	}
	before := q.retries
	q.retries = min(q.retries+1, rate*q.opts.RetryMax.Seconds())
	return before
}
