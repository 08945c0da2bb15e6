package retry

import "time"

// StartHold is how long after the end of a process its retries may be in a BudgetWindow: they stay
// in it for BudgetWindow, and lent ones may be used for LoanValidity first.
const StartHold = BudgetWindow + LoanValidity

const (
	// startPart is the part of its limit that a process grants until its predecessor's retries
	// have left the window, if that ended without notice and has granted no more than the rest.
	startPart = 0.4
	// usualPart is the part that other processes grant without a notice in their entries. It
	// leaves startPart to their successors.
	usualPart = 1 - startPart
	// noticeFraction is the fraction of the limit from which on the process gives notice, half
	// of usualPart, so that the notice is written before that is used up.
	noticeFraction = usualPart / 2
	// fullGrant is how long a process grants its whole limit after a notice, and fullRenewal how
	// long before the end of that time it gives the next one.
	fullGrant   = 20 * time.Second
	fullRenewal = 10 * time.Second
)

// Terms are the times that determine which part of its limit a process grants.
type Terms struct {
	// HeldUntil is the time before which it grants nothing, and StartingUntil that before which
	// it grants startPart.
	HeldUntil, StartingUntil time.Time
	// FullUntil is the time before which it grants its whole limit. Later it grants usualPart.
	FullUntil time.Time
}

// Never is later than all times of a node's clock.
var Never = time.Unix(1<<40, 0)

// part returns the part of its limit that the process grants.
func (t Terms) part(now time.Time) float64 {
	switch {
	case now.Before(t.HeldUntil):
		return 0
	case now.Before(t.StartingUntil):
		return startPart
	case now.Before(t.FullUntil):
		return 1
	}
	return usualPart
}

// IsStarting reports whether the process grants less than usual because it has just started.
func (t Terms) IsStarting(now time.Time) bool {
	return now.Before(t.HeldUntil) || now.Before(t.StartingUntil)
}

// wantNotice reports whether the process should give notice, if it has used a fraction of its
// limit.
func (t Terms) wantNotice(now time.Time, used float64) bool {
	return used > noticeFraction && !t.IsStarting(now) && now.Add(fullRenewal).After(t.FullUntil)
}

// Succession decides which part of its limit a process that has started grants.
//
// The retries that a service receives are limited over all processes, also those that have
// ended. A process gets requests that another one got before: its predecessor on the node, or
// those nodes that were there before a new one. They may have granted all retries that these
// requests and the shares of the slack allow. A predecessor that has stopped as planned has
// handed over its windows, and the process continues them. Of any other it is known what its
// entry tells: without a notice it has left startPart. What it may have granted else, nobody is
// certain to know, least of all if all nodes are killed.
type Succession struct {
	startedAt time.Time
	options   SuccessionOptions
	// joining is true from the first attempt to write the entry on, and decided once terms
	// follow from the entry that was replaced.
	joining, decided bool
	terms            Terms
}

// SuccessionOptions configures a Succession.
type SuccessionOptions struct {
	// FirstStart is true if the whole fleet starts for the first time, so that no process has
	// granted retries before.
	FirstStart bool
	// JoinSpread is how long it takes at most until all nodes know a node that has joined.
	// FirstJoinSpread is the same in a fleet whose nodes start together.
	JoinSpread, FirstJoinSpread time.Duration
}

// NewSuccession returns the succession of a process that starts now and grants nothing yet.
func NewSuccession(now time.Time, o SuccessionOptions) *Succession {
	return &Succession{startedAt: now, options: o, terms: Terms{HeldUntil: Never}}
}

// Terms returns the present terms.
func (s *Succession) Terms() Terms { return s.terms }

// Listed sets the terms of a process whose node the list of nodes has, written by an earlier
// process, until the entry is replaced. It reports whether the terms have changed.
func (s *Succession) Listed() bool {
	if s.joining || s.terms.HeldUntil != Never {
		return false
	}
	s.terms.HeldUntil = s.startedAt.Add(StartHold)
	return true
}

// Origin is where the terms of a process come from.
type Origin string

// Origins of terms.
const (
	// FirstStart is the first start of the whole fleet, and NewNode a start on a new node.
	FirstStart Origin = "first_start"
	NewNode    Origin = "new_node"
	// HandedOver is a predecessor that has stopped as planned, and LeftSome one that has ended
	// otherwise without a notice in force.
	HandedOver Origin = "handed_over"
	LeftSome   Origin = "left_some"
	// UsedUp is a predecessor that may have left nothing, and Unknown one of which nothing can
	// be read.
	UsedUp  Origin = "used_up"
	Unknown Origin = "unknown_predecessor"
	// JoinedBefore is an entry that this process has written before.
	JoinedBefore Origin = "joined_before"
)

// Joining returns the terms with which the process replaces an entry, and their origin. replaced is
// false if the list has no entry of the node. previous is what the entry tells, nil if nothing
// that can be read. After HandedOver, the process has to continue the windows of previous. Joined
// has to be called once the entry was written.
func (s *Succession) Joining(now time.Time, replaced bool, previous *Record) (Terms, Origin) {
	s.joining = true
	held := Terms{HeldUntil: s.startedAt.Add(StartHold)}
	switch {
	case s.decided:
		return s.terms, JoinedBefore
	case !replaced && s.options.FirstStart:
		return Terms{HeldUntil: now.Add(s.options.FirstJoinSpread)}, FirstStart
	case !replaced:
		return Terms{HeldUntil: now.Add(s.options.JoinSpread + StartHold)}, NewNode
	case previous == nil || previous.Check() != nil:
		return held, Unknown
	case previous.Stopped:
		return previous.terms(now), HandedOver
	case previous.leavesNothing(now):
		return held, UsedUp
	}
	return Terms{StartingUntil: s.startedAt.Add(StartHold)}, LeftSome
}

// Joined sets the terms of an entry that was written.
func (s *Succession) Joined(t Terms) { s.decided, s.terms = true, t }

// Notice returns the terms after a notice that is written now. Joined has to be called once it was
// written.
func (s *Succession) Notice(now time.Time) Terms {
	t := s.terms
	t.FullUntil = now.Add(fullGrant)
	return t
}
