package retry

import "time"

// Sharers is the number of nodes among which a limit of the fleet is divided. It follows the list of
// nodes at once when nodes are added. When nodes leave, the number falls only after StartHold, since
// what they have granted is used up to LoanValidity after that and counts for BudgetWindow. A list
// that is incomplete for a shorter time, as after the store was restored, has no effect.
//
// The zero value has no nodes. A Sharers is not safe for concurrent use.
type Sharers struct {
	listed int
	// earlier holds greater numbers that were listed within StartHold, in falling order, and thus
	// in the order of their ends.
	earlier []sharers
}

// sharers is a number of nodes that counts until a time.
type sharers struct {
	nodes int
	until time.Time
}

// SetListed sets the number of nodes in the list.
func (s *Sharers) SetListed(now time.Time, nodes int) {
	s.end(now)
	if nodes < s.listed {
		s.drop(s.listed)
		s.earlier = append(s.earlier, sharers{s.listed, now.Add(StartHold)})
	}
	s.drop(nodes)
	s.listed = nodes
}

// drop removes the earlier numbers that are not greater than nodes.
func (s *Sharers) drop(nodes int) {
	for len(s.earlier) > 0 && s.earlier[len(s.earlier)-1].nodes <= nodes {
		s.earlier = s.earlier[:len(s.earlier)-1]
	}
}

// Count returns the number of nodes among which the limit is divided now.
func (s *Sharers) Count(now time.Time) int {
	s.end(now)
	if len(s.earlier) > 0 {
		return s.earlier[0].nodes
	}
	return s.listed
}

// end removes the earlier numbers that count no longer.
func (s *Sharers) end(now time.Time) {
	for len(s.earlier) > 0 && !now.Before(s.earlier[0].until) {
		s.earlier = s.earlier[1:]
	}
}
