// Package shutdown decides what a node does with requests while it stops as planned: the platform has
// sent it a signal, goes on sending callers for some time, and kills the process after a grace period.
//
// Requests that arrive early in the grace are served, whatever their deadlines. Later ones are served
// if they are sure to be answered before the end, since their own deadlines pass before it; others are
// refused at once, so that their callers can go to another node. What is left at the end is answered
// with what is known of it.
package shutdown

import "time"

const (
	// readinessDelay is how long callers may still be sent to the node after it reports that it is
	// not ready: two readiness checks one second apart, and a slow one.
	readinessDelay = 2300 * time.Millisecond
	// lateAfter is the time from the signal after which requests count as late.
	lateAfter = 3 * time.Second
	// exitMargin is the part of the grace period reserved for answering what is left and exiting.
	exitMargin = 600 * time.Millisecond
	// readMargin is the time before the cut at which reads of requests end, so that their callers
	// are told.
	readMargin = 100 * time.Millisecond
)

// Plan holds the times of one planned stop.
type Plan struct {
	// ListenUntil is when no more connections are accepted, and idle ones are closed.
	ListenUntil time.Time
	// LateAt is the time from which on a request is sent only if its deadline passes before CutAt.
	LateAt time.Time
	// ReadUntil is when the reads of requests end.
	ReadUntil time.Time
	// CutAt is when requests under way are answered as they are.
	CutAt time.Time
}

// NewPlan returns the plan of a stop that was signalled at a time, with a grace period. If the period
// is short, times fall together, and none is after CutAt.
func NewPlan(signalled time.Time, grace time.Duration) Plan {
	cutAfter := max(grace-exitMargin, 0)
	return Plan{
		ListenUntil: signalled.Add(min(readinessDelay, cutAfter)),
		LateAt:      signalled.Add(min(lateAfter, cutAfter)),
		ReadUntil:   signalled.Add(max(cutAfter-readMargin, 0)),
		CutAt:       signalled.Add(cutAfter),
	}
}

// MaySend reports whether a request that has not been sent yet may be sent at a time. A nil plan allows
// it.
func (p *Plan) MaySend(now, deadline time.Time) bool {
	return p == nil || now.Before(p.LateAt) || !deadline.After(p.CutAt)
}
