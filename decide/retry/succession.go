package retry

import "time"

// StartHold is how long a process grants no retries after the last moment at which another
// process may have granted those that it would grant. They stay in a window for BudgetWindow,
// and lent ones may be used for LoanValidity first.
const StartHold = BudgetWindow + LoanValidity

// Succession decides from when on a process that has started grants retries.
//
// The retries that a service receives are limited over all processes, also those that have
// ended. A process gets requests that another one got before: its predecessor on the node, or
// those nodes that were there before a new one. They may have granted all retries that these
// requests and the shares of the slack allow. If the predecessor stopped as planned it has
// handed over its window, and the process continues it. Otherwise the process grants nothing
// until such retries have left the window, and borrows meanwhile: of a predecessor that
// was killed nobody knows what it has granted, least of all if others were killed with it.
type Succession struct {
	startedAt time.Time
	options   SuccessionOptions
	// joining is true from the first attempt to write the entry on, and joined once it was
	// written.
	joining, joined bool
}

// SuccessionOptions configures a Succession.
type SuccessionOptions struct {
	// FirstStart is true if the whole fleet starts for the first time, so that no process has
	// granted retries before.
	FirstStart bool
	// ListSpread is how long it takes at most until all nodes know a node that has joined.
	// FirstListSpread is the same in a fleet whose nodes start together.
	ListSpread, FirstListSpread time.Duration
}

// NewSuccession returns the succession of a process that starts now.
func NewSuccession(now time.Time, o SuccessionOptions) *Succession {
	return &Succession{startedAt: now, options: o}
}

// Joining records that the process begins to add its entry to the list of nodes. An entry that
// it reads later may be its own.
func (s *Succession) Joining() { s.joining = true }

// Listed returns from when on the process grants retries if the list of nodes has an entry of
// its node, and false if that does not follow because the entry may be its own.
func (s *Succession) Listed() (from time.Time, decided bool) {
	if s.joining {
		return time.Time{}, false
	}
	return s.startedAt.Add(StartHold), true
}

// Joined returns from when on the process grants retries once its entry was written, and false
// if it has been written before. replaced reports whether it replaced an entry of an earlier
// process, and adopted is what that has handed over, nil if nothing.
func (s *Succession) Joined(now time.Time, replaced bool, adopted *Handover) (from time.Time, decided bool) {
	if s.joined {
		return time.Time{}, false
	}
	s.joined = true
	longest := now.Add(s.options.ListSpread + StartHold)
	switch {
	case adopted != nil && adopted.heldUntil().After(longest):
		// The VM has restarted, and with it the clock.
		return longest, true
	case adopted != nil:
		return adopted.heldUntil(), true
	case replaced:
		return s.startedAt.Add(StartHold), true
	case s.options.FirstStart:
		return now.Add(s.options.FirstListSpread), true
	}
	return longest, true
}
