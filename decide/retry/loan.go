package retry

import (
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// LoanValidity is how long a borrower may use a loan, from the time at which it sent
// the request.
const LoanValidity = 500 * time.Millisecond

// lendFraction is the fraction of its remaining budget that a node lends at once. The
// rest is for its own requests.
const lendFraction = 0.5

// LoanRequest asks another node for retries of a service.
type LoanRequest struct {
	Service ids.Service `json:"service"`
	// Borrower is the node that asks. It is empty in requests of nodes with an earlier version.
	Borrower ids.VM `json:"borrower,omitempty"`
	// Retries is how many retries are asked for.
	Retries int `json:"retries"`
	// Kind and Class are those of the Claim for which the retries are.
	Kind  Kind `json:"kind"`
	Class int  `json:"class"`
}

// Claim returns the claim for which the retries are.
func (r LoanRequest) Claim() Claim { return Claim{Kind: r.Kind, Class: r.Class} }

// LoanReply answers a LoanRequest.
type LoanReply struct {
	// Granted is how many retries the borrower may use, at most LoanRequest.Retries.
	Granted int `json:"granted"`
}

// loan holds the borrowed retries that are left of one loan.
type loan struct {
	claim   Claim
	retries int
	// until is the end of the loan's validity.
	until time.Time
}

// SetLoans sets whether the budget takes part in loans at all times. If so, and LimitWindow was
// called, the limit of the window is the only one.
//
// Loans keep the sum of all nodes' limits. In any BudgetWindow ending at T, let S be
// the retries that are used in it and that node i has granted, to its own requests or
// as loans. The size of S is at most the limit of node i:
//
//   - Let g be the time of the latest grant in S. A retry is used after its grant, so
//     g <= T.
//   - Node i counts a retry of its own at the time of use u (Renew moves it there after a
//     wait, during which it is in the window as well), and a lent one at the end of the
//     loan's validity e. The borrower measures the validity from the time at
//     which it sent the request, and the lender from the later time at which it
//     grants it, so u <= e.
//   - All retries in S are used after T-BudgetWindow, so they are counted at times after
//     T-BudgetWindow >= g-BudgetWindow. A window drops counts only by whole buckets that
//     ended BudgetWindow ago, and keeps counts of up to LoanValidity ahead. So at g it
//     contains the whole of S, including the loans that have not ended.
//   - The grant at g was within the limit, so S is as well.
//
// Each retry belongs to one such S, so all processes together use at most the sum of their
// limits. An answer that is lost, a request that is repeated, and a loan that is not
// used only waste retries. The clocks of two nodes need not agree, but only run at the same
// rate over LoanValidity.
//
// The processes of one node keep its limit together. A successor with the windows of its
// predecessor (Adopt) is the same process to the proof: nothing is granted between HandOver and
// Adopt. For any other, what its predecessor has granted is used up to LoanValidity after its
// start, so that within StartHold from then it may share a BudgetWindow with the successor's
// own grants. These are at most startPart of the limit, and only if the predecessor's are at most
// usualPart: the predecessor gives notice before it grants more, the notice holds until StartHold
// after that, and it was not in its first StartHold itself. Else the successor grants nothing.
//
// A node that leaves keeps its part of the fleet's limits until its retries have left all windows
// (Sharers). A send that is late after Renew, by the network or a process that stands still, is not
// covered, nor are requests that move to another node after retries were granted for them; the part of
// the fleet's limit that no node gets is left for these.
func (b *Budget) SetLoans(enabled bool) { b.loansEnabled = enabled }

// lends reports whether loans are in force.
func (b *Budget) lends() bool { return b.loansEnabled && b.windowLimited }

// Lend grants another node up to n retries for a claim and returns how many, 0 if
// LimitWindow was not called. The borrower may use them for LoanValidity
// from its request. They count at the end of that time. Where loans are not enabled, nodes whose
// own budgets are held may ask all the same.
func (b *Budget) Lend(now time.Time, claim Claim, n int) int {
	if !b.windowLimited {
		return 0
	}
	b.decay(now)
	granted := min(n, int(math.Floor(b.spare(now, claim))))
	if granted <= 0 {
		return 0
	}
	b.retries += float64(granted)
	b.windowRetries.addAt(now, now.Add(LoanValidity), granted)
	return granted
}

// spare returns how many retries the budget may lend for a claim.
func (b *Budget) spare(now time.Time, claim Claim) float64 {
	limit, used := b.windowState(now)
	limit *= b.part(now)
	if b.loansEnabled {
		return min((limit-used)*lendFraction, limit*b.reserve.fraction(claim)-used)
	}
	fraction, allowance := claim.Kind.budgetFraction(), b.allowance()
	return min((limit-used)*lendFraction, limit*fraction-used, (allowance-b.retries)*lendFraction, allowance*fraction-b.retries)
}

// Borrowed adds retries that another node has granted for a claim, in answer to a request
// that was sent at the given time.
func (b *Budget) Borrowed(sent time.Time, claim Claim, retries int) {
	if retries > 0 {
		b.borrowed = append(b.borrowed, loan{claim: claim, retries: retries, until: sent.Add(LoanValidity)})
	}
}

// usableLoan returns the index of a loan that may be used for a claim: one for the same
// kind, and for the same class or a less urgent one. It returns -1 if there is none. Loans
// that have ended are dropped.
func (b *Budget) usableLoan(now time.Time, claim Claim) int {
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l loan) bool { return l.retries == 0 || !now.Before(l.until) })
	return slices.IndexFunc(b.borrowed, func(l loan) bool {
		return l.claim.rank() == claim.rank() && claim.Class <= l.claim.Class
	})
}

// takeBorrowed uses one borrowed retry for a claim. It returns the end of its validity, and
// whether there was one.
func (b *Budget) takeBorrowed(now time.Time, claim Claim) (until time.Time, found bool) {
	i := b.usableLoan(now, claim)
	if i < 0 {
		return time.Time{}, false
	}
	b.borrowed[i].retries--
	return b.borrowed[i].until, true
}

// MostUrgent returns the most urgent of the claims that wait for a loan, and how many of
// them are equal to it. These are asked for first, in one request. claims is not empty.
func MostUrgent(claims []Claim) (most Claim, n int) {
	most = slices.MinFunc(claims, Claim.Compare)
	for _, c := range claims {
		if c == most {
			n++
		}
	}
	return most, n
}
