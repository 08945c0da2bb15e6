package ledger

import (
	"fmt"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
)

// StepsError tells that a token's steps are not each layer once, in order, by
// the chain's engines. Stage is the position of the first wrong step and Got
// that step; Got is zero when the count of steps is wrong.
type StepsError struct {
	Index  int
	Stage  int
	Got    engineapi.Step
	Layers int
}

// Error implements error.
func (e *StepsError) Error() string {
	return fmt.Sprintf("token %d: wrong step at stage %d of %d layers: engine %q, layers %d to %d",
		e.Index, e.Stage, e.Layers, e.Got.Engine, e.Got.First, e.Got.Last)
}

// RepeatedError tells that a token came a second time.
type RepeatedError struct{ Index, Next int }

// Error implements error.
func (e *RepeatedError) Error() string {
	return fmt.Sprintf("token %d came again, token %d is next", e.Index, e.Next)
}

// SkippedError tells that a token is missing: a later one came that the
// buffer cannot hold, or the end marker came before it.
type SkippedError struct{ Want, Got int }

// Error implements error.
func (e *SkippedError) Error() string {
	return fmt.Sprintf("token %d is missing before token %d", e.Want, e.Got)
}

// CountError tells that the end marker's count differs from the tokens that came out.
type CountError struct{ Want, Got int }

// Error implements error.
func (e *CountError) Error() string {
	return fmt.Sprintf("end marker counts %d tokens, %d came", e.Got, e.Want)
}

// StaleError tells that an end marker belongs to another attempt.
type StaleError struct{ Want, Got ids.Attempt }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("end marker of attempt %d in attempt %d", e.Got, e.Want)
}

// EndedError tells that something came after the end marker.
type EndedError struct{ Tokens int }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("the attempt has ended after token count %d", e.Tokens)
}
