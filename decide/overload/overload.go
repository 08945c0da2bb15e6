// Package overload decides whether a node accepts more work while it lacks processor time.
//
// A node measures how long work waits for the processor. While the waits take up much of the
// time, a Limiter limits the requests in progress: it lowers the limit below their current
// number until the waits are short again, and then raises it step by step. Requests above the
// limit are better left to other nodes, before they are read. A limit on the requests in progress
// follows the load more closely than one on the rate, because streams load the processor for
// seconds after they were accepted.
//
// A Limiter must be used by one goroutine at a time and reads no clock.
package overload

import (
	"math"
	"time"
)

const (
	// averagingTime is the time constant of the average of the waits.
	averagingTime = 250 * time.Millisecond
	// maxSampleWeight bounds the time for which one sample counts. A single long wait, as after
	// a suspension of the process, is no overload.
	maxSampleWeight = 50 * time.Millisecond
	// overloadedShare and relievedShare are shares of the time that work waits. From the first on,
	// the limit falls, and below the second, it rises.
	overloadedShare = 0.25
	relievedShare   = 0.125
	// adjustInterval is the least time between two changes of the limit.
	adjustInterval = 250 * time.Millisecond
	// decreaseFactor and increaseFactor change the limit.
	decreaseFactor = 0.8
	increaseFactor = 1.1
	// MinLimit is the lowest limit. Fewer requests do not take up the processor of a node; if
	// work waits nevertheless, the reason is another one.
	MinLimit = 32
	// nearLimit is the fraction of the limit from which on the requests in progress show that it
	// can rise.
	nearLimit = 0.8
	// releaseAfter is how long the requests in progress must stay below nearLimit until the limit
	// is removed.
	releaseAfter = 5 * time.Second
)

// Sample is one measurement of the wait for the processor.
type Sample struct {
	// Wait is how long a goroutine that was ready to run waited for a processor.
	Wait time.Duration
	// Elapsed is the time since the previous sample.
	Elapsed time.Duration
	// Active is the number of requests in progress.
	Active int
}

// Change says what a sample changed.
type Change int

// Changes.
const (
	// Unchanged means that a limit is still in force, or still none.
	Unchanged Change = iota
	// Limited means that a limit has come into force.
	Limited
	// Released means that the limit has been removed.
	Released
)

// Limiter limits the requests in progress on one node. The zero value has no limit.
type Limiter struct {
	// waitShare is the average share of the time that work waits for the processor, 0 to 1.
	waitShare float64
	// limit is the highest number of requests in progress, 0 for no limit.
	limit int
	// sinceAdjusted is the time since limit last changed, sinceNear since Active was last near it.
	sinceAdjusted, sinceNear time.Duration
}

// Limit returns the highest number of requests in progress, 0 for no limit.
func (l *Limiter) Limit() int { return l.limit }

// WaitShare returns the average share of the time that work waits for the processor, 0 to 1.
func (l *Limiter) WaitShare() float64 { return l.waitShare }

// Observe applies a sample.
func (l *Limiter) Observe(s Sample) Change {
	l.average(s)
	l.sinceAdjusted += s.Elapsed
	l.sinceNear += s.Elapsed
	if float64(s.Active) >= nearLimit*float64(l.limit) {
		l.sinceNear = 0
	}
	switch {
	case l.waitShare >= overloadedShare:
		return l.lower(s.Active)
	case l.limit == 0:
		return Unchanged
	case l.sinceNear >= releaseAfter:
		l.limit = 0
		return Released
	case l.waitShare < relievedShare && l.sinceNear == 0 && l.sinceAdjusted >= adjustInterval:
		l.setLimit(int(math.Ceil(increaseFactor * float64(l.limit))))
	}
	return Unchanged
}

// average updates waitShare.
func (l *Limiter) average(s Sample) {
	if s.Elapsed <= 0 {
		return
	}
	share := min(s.Wait.Seconds()/s.Elapsed.Seconds(), 1)
	weight := min(s.Elapsed, maxSampleWeight).Seconds() / averagingTime.Seconds()
	l.waitShare += (share - l.waitShare) * (1 - math.Exp(-weight))
}

// lower sets the limit below the requests in progress, unless it has changed just before.
func (l *Limiter) lower(active int) Change {
	if l.limit > 0 && l.sinceAdjusted < adjustInterval {
		return Unchanged
	}
	first := l.limit == 0
	lower := max(int(decreaseFactor*float64(active)), MinLimit)
	if !first {
		lower = min(lower, l.limit)
	}
	l.setLimit(lower)
	if first {
		return Limited
	}
	return Unchanged
}

// setLimit changes the limit.
func (l *Limiter) setLimit(limit int) {
	l.limit = limit
	l.sinceAdjusted = 0
}
