package retry

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Guards against other decisions where there are no loans. The digest is that of the decisions
// of commit 4a4c9af0, before there were any. A kind that it did not know was a new request.
func TestBudgetWithoutLoansDecidesAsBefore(t *testing.T) {
	const formerDecisions = 0xddc016039cd4941
	digest, rng, now := fnv.New64a(), rand.New(rand.NewPCG(1, 2)), time.Unix(1000, 0)
	for range 200 {
		b := NewBudget(fleet.RetryPolicy{BudgetRatio: 0.12, BudgetMin: 3 * rng.Float64()})
		b.LimitWindow(0.19, 30*rng.Float64())
		for range 500 {
			now = now.Add(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
			if rng.IntN(2) == 0 {
				b.RecordFirst(now)
				continue
			}
			granted := byte(0)
			if b.Allow(now, outcome.UpstreamLost, Kind(rng.IntN(4))) {
				granted = 1
			}
			_, _ = digest.Write([]byte{granted}) // never fails
		}
	}
	if got := digest.Sum64(); got != formerDecisions {
		t.Errorf("digest of the decisions %#x, before there were loans %#x", got, uint64(formerDecisions))
	}
}

// Guards against a lender that uses its budget again while retries that it has lent are in
// the same window: they may be used up to the end of the loan's validity.
func TestLentRetriesCountAtTheEndOfTheLoan(t *testing.T) {
	lender, borrower := newLoanBudget(10), newLoanBudget(0)
	claim := Claim{Kind: BrokenStream}
	lentAt := time.Unix(1000, 0)
	granted := lender.Lend(lentAt, claim, 10)
	if granted != 5 {
		t.Fatalf("%d retries lent, want half of 10", granted)
	}
	borrower.Borrowed(lentAt, claim, granted)
	usedAt := lentAt.Add(LoanValidity - time.Millisecond)
	for range granted {
		if borrower.Take(usedAt, outcome.UpstreamLost, claim) != Borrowed {
			t.Fatal("a loan cannot be used before its end")
		}
	}
	for range 5 {
		if lender.Take(usedAt, outcome.UpstreamLost, claim) != Own {
			t.Fatal("the lender cannot use what it has not lent")
		}
	}
	if end := usedAt.Add(BudgetWindow); lender.Take(end, outcome.UpstreamLost, claim) != Denied {
		t.Errorf("the lender uses what it has lent while the loan is in the window")
	}
}

// newLoanBudget returns a budget with loans and a constant limit in each window.
func newLoanBudget(limit float64) *Budget {
	b := NewBudget(fleet.RetryPolicy{})
	b.LimitWindow(0, limit)
	b.SetLoans(true)
	return b
}

// Guards against loans that are used for other requests, which the lender would have
// refused, or after their end.
func TestLoanIsForItsKindAndClass(t *testing.T) {
	sent := time.Unix(1000, 0)
	for _, test := range []struct {
		claim Claim
		after time.Duration
		want  Grant
	}{
		{Claim{NewRequest, 1}, LoanValidity - 1, Borrowed},
		{Claim{NewRequest, 0}, 0, Borrowed},
		{Claim{NewRequest, 2}, 0, Denied},
		{Claim{BrokenStream, 1}, 0, Denied},
		{Claim{NewRequest, 1}, LoanValidity, Denied},
	} {
		b := newLoanBudget(0)
		b.Borrowed(sent, Claim{NewRequest, 1}, 1)
		now := sent.Add(test.after)
		if got := b.Take(now, outcome.UpstreamBusy, test.claim); got != test.want {
			t.Errorf("%+v after %v: %v, want %v", test.claim, test.after, got, test.want)
		}
		if b.Covers(now, test.claim) {
			t.Errorf("%+v after %v: the loan covers a second retry", test.claim, test.after)
		}
	}
}

// Guards against calls without end to nodes that have no retries or do not answer, and against
// nodes that all ask the same one first.
func TestLendersArePausedAndRotated(t *testing.T) {
	now, claim := time.Unix(1000, 0), Claim{Kind: UnansweredStream, Class: 1}
	l := NewLenders("a", 4)
	l.Set([]Lender{{"d", "b"}, {"c", "a"}, {"b", "a"}, {"a", "a"}})
	expect := func(after time.Duration, claim Claim, want ids.VM) {
		t.Helper()
		if got, _ := l.Next(now.Add(after), "s", claim); got != want {
			t.Errorf("after %v %+v: asks %q, want %q", after, claim, got, want)
		}
	}
	expect(0, claim, "b") // the start follows from the seed
	expect(0, claim, "c")
	expect(0, claim, "a")
	l.Silent(now, "b")
	l.Empty(now, "s", claim, "c")
	l.Empty(now, "s", claim, "a")
	expect(0, claim, "d")
	expect(0, Claim{Kind: NewRequest}, "d")
	expect(0, Claim{Kind: UnansweredStream}, "c") // more urgent
	expect(emptyPause, claim, "a")
	expect(emptyPause, claim, "c")
	expect(silentPause, claim, "a")
	expect(silentPause, claim, "b")
	l.Unmet(now, "s", claim)
	expect(needPause-1, claim, "")
	expect(needPause-1, Claim{Kind: BrokenStream, Class: 9}, "c")
	expect(needPause, claim, "d")
}

// Guards against less urgent requests that use up what is reserved for more urgent ones, on
// the node itself and through loans.
func TestMoreUrgentClaimsHaveAReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	var order []Claim
	for _, kind := range []Kind{BrokenStream, UnansweredStream, NewRequest} {
		for class := range 3 {
			order = append(order, Claim{kind, class})
		}
	}
	b, last := newLoanBudget(100), 0
	for _, claim := range slices.Backward(order) {
		for b.Take(now, outcome.UpstreamLost, claim) == Own {
			last++
		}
		if want := int(100*loanReserve.fraction(claim) + 0.5); last != want {
			t.Errorf("%d retries after all of %+v, want %d", last, claim, want)
		}
		if lent := b.Lend(now, claim, 100); lent != 0 {
			t.Errorf("%d retries lent to %+v", lent, claim)
		}
	}
	if last != 100 {
		t.Errorf("the most urgent claims leave %d of 100 retries unused", 100-last)
	}
}

// Guards against retries that exceed the limit of a window because requests waited between the
// grant and the send, so that the window of the grant had passed before that of the send.
func TestRetryThatWaitsCountsWhenItIsSent(t *testing.T) {
	claim, grantedAt := Claim{Kind: BrokenStream}, time.Unix(1000, 0)
	sentAt := grantedAt.Add(300 * time.Millisecond)
	b := newLoanBudget(10)
	for range 10 {
		if b.Take(grantedAt, outcome.UpstreamBusy, claim) != Own {
			t.Fatal("the budget does not grant its limit")
		}
	}
	for range 10 {
		if !b.Renew(sentAt, &Holding{Grant: Own, At: grantedAt}) {
			t.Fatal("an own retry is not valid after a wait")
		}
	}
	for now := sentAt; now.Before(sentAt.Add(BudgetWindow)); now = now.Add(10 * time.Millisecond) {
		if b.Covers(now, claim) {
			t.Fatalf("a further retry is granted %v after the sends", now.Sub(sentAt))
		}
	}
	borrower := newLoanBudget(0)
	borrower.Borrowed(grantedAt, claim, 1)
	held := borrower.Hold(grantedAt, outcome.UpstreamBusy, claim)
	if held.Grant != Borrowed || !borrower.Renew(sentAt, &held) || borrower.Renew(grantedAt.Add(LoanValidity), &held) {
		t.Errorf("a loan that ends after %v is not valid until then", held.Until.Sub(grantedAt))
	}
}
