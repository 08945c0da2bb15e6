// Package revision orders the states of a store whose revision counter can go back.
//
// A store counts its changes. When it is restored from an older copy, the counter
// goes back with the content, and the same numbers are given to other changes. The
// store therefore also counts its restorations: each one begins a new epoch. Only
// the epoch and the number together order what the store says.
package revision

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
)

// Revision is a state in the history of a store. The zero value is before every
// state.
type Revision struct {
	// Epoch is the number of the store's epoch, or 0 if the store does not report one.
	Epoch int64
	// Number is the value of the store's counter of changes within the epoch.
	Number int64
}

// Of returns a revision of a store that reports no epochs.
func Of(number int64) Revision { return Revision{Number: number} }

// Compare orders revisions by epoch, then by number.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is an earlier revision than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether r is a later revision than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Latest returns the later one of two revisions.
func Latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// Layout of a fencing token: the low numberBits bits hold the number, and the next
// epochBits bits the epoch. The epoch is reduced modulo 2^epochBits, so that a store
// that does not count from a small number cannot overflow the token.
const (
	numberBits = 40
	epochBits  = 22
)

// Fence returns the fencing token of a lease that was acquired at the revision. A
// later revision has a higher token, also if the store has forgotten the earlier one.
// Without an epoch the token is the number.
func (r Revision) Fence() int64 {
	return r.Epoch&(1<<epochBits-1)<<numberBits | r.Number
}

// separator is between the epoch and the number in the text of a revision.
const separator = "."

// String returns the number, preceded by the epoch and a dot if there is an epoch.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number, 10)
	if r.Epoch == 0 {
		return number
	}
	return strconv.FormatInt(r.Epoch, 10) + separator + number
}

// SyntaxError reports a text that is not a revision.
type SyntaxError struct {
	Text  string
	Cause error
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return "revision " + strconv.Quote(e.Text) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Cause }

// MarshalJSON implements json.Marshaler. A revision without an epoch is a number,
// any other is its text.
func (r Revision) MarshalJSON() ([]byte, error) {
	if r.Epoch == 0 {
		return strconv.AppendInt(nil, r.Number, 10), nil
	}
	return json.Marshal(r.String())
}

// UnmarshalJSON implements json.Unmarshaler. The error is a *SyntaxError.
func (r *Revision) UnmarshalJSON(data []byte) error {
	text := strings.Trim(string(data), `"`)
	epoch, number, found := strings.Cut(text, separator)
	if !found {
		epoch, number = "0", text
	}
	var parsed Revision
	var err error
	if parsed.Epoch, err = strconv.ParseInt(epoch, 10, 64); err != nil {
		return &SyntaxError{text, err}
	}
	if parsed.Number, err = strconv.ParseInt(number, 10, 64); err != nil {
		return &SyntaxError{text, err}
	}
	*r = parsed
	return nil
}
