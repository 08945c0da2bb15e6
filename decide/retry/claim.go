package retry

import (
	"cmp"
	"fmt"
)

// Kind is the kind of request that asks for a retry. It determines how much of the
// budget the request may use.
type Kind int

const (
	// NewRequest is a request that was refused, or any other whose response has not
	// begun and that is not an UnansweredStream. It may use only a part of the budget.
	NewRequest Kind = iota
	// BrokenStream is a stream that has begun and breaks off without the retry. It
	// may use the whole budget.
	BrokenStream
	// UnansweredStream is a stream that may have run and may be resumed, but whose
	// response has not begun. Without the retry its caller gets an error that leaves
	// open whether the request ran. Without loans it has the same part of the budget as
	// a NewRequest.
	UnansweredStream
)

// kindNames are the names of kinds, indexed by Kind.
var kindNames = [...]string{"new_request", "broken_stream", "unanswered_stream"}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// UnknownKindError reports the name of a kind that does not exist.
type UnknownKindError struct{ Name string }

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown kind of retry %q", e.Name) }

// MarshalText implements encoding.TextMarshaler. The text is the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is an
// *UnknownKindError.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, name := range kindNames {
		if name == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return &UnknownKindError{string(text)}
}

// budgetFraction returns the fraction of the budget that the kind may use without
// loans.
func (k Kind) budgetFraction() float64 {
	if k == BrokenStream {
		return 1
	}
	return newRequestFraction
}

// Claim describes a request that asks for a retry.
type Claim struct {
	Kind Kind
	// Class is the rank of the request's class among the classes of the
	// configuration, 0 for the most urgent one.
	Class int
}

// rank returns the position of the claim's kind, 0 for the most urgent.
func (c Claim) rank() int {
	switch c.Kind {
	case BrokenStream:
		return 0
	case UnansweredStream:
		return 1
	}
	return 2
}

// Compare orders claims by urgency: a negative result means that c comes before
// other. The kind counts first, then the class.
func (c Claim) Compare(other Claim) int {
	return cmp.Or(cmp.Compare(c.rank(), other.rank()), cmp.Compare(c.Class, other.Class))
}

// reserve sets the parts of the window limit, in percent, that claims may use where loans
// are enabled. What a claim may not use is left to more urgent ones.
type reserve struct {
	// kinds are the parts of the most urgent class, indexed by Claim.rank.
	kinds [3]int
	// classStep is subtracted for each class before the claim's own, at most maxSteps
	// times, so that a class never comes after a less urgent kind.
	classStep, maxSteps int
}

// loanReserve is the reserve of budgets with loans. Larger reserves deny more retries while
// the fleet still has some; without reserves streams under way break off at 1.2 times the
// fleet's limit. docs/design/retry-budget.md compares them.
var loanReserve = reserve{kinds: [3]int{100, 90, 80}, classStep: 3, maxSteps: 2}

// fraction returns the fraction of the window limit that a claim may use.
func (r reserve) fraction(c Claim) float64 {
	return float64(r.kinds[c.rank()]-r.classStep*min(max(c.Class, 0), r.maxSteps)) / 100
}
