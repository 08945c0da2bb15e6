package ledger

import (
	"fmt"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
)

// StepsError reports that the steps of a token do not cover each layer exactly
// once, in order, on the engines of the chain. Stage is the index of the first
// wrong step and Got that step. Got is zero if the number of steps is wrong.
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

// RepeatedError reports that a token was received twice.
type RepeatedError struct{ Index, Next int }

// Error implements error.
func (e *RepeatedError) Error() string {
	return fmt.Sprintf("token %d came again, token %d is next", e.Index, e.Next)
}

// SkippedError reports that token Want is missing: either a token arrived that
// is too far ahead for the reorder buffer, or the end marker arrived. Got is the
// index of the token that arrived or, at the end marker, of the first buffered
// one.
type SkippedError struct{ Want, Got int }

// Error implements error.
func (e *SkippedError) Error() string {
	return fmt.Sprintf("token %d is missing before token %d", e.Want, e.Got)
}

// CountError reports that the end marker's token count, Got, differs from the
// count of delivered tokens, Want.
type CountError struct{ Want, Got int }

// Error implements error.
func (e *CountError) Error() string {
	return fmt.Sprintf("end marker counts %d tokens, %d came", e.Got, e.Want)
}

// StaleError reports that an end marker belongs to another attempt.
type StaleError struct{ Want, Got ids.Attempt }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("end marker of attempt %d in attempt %d", e.Got, e.Want)
}

// EndedError reports that a token or end marker arrived after the end marker.
type EndedError struct{ Tokens int }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("the attempt has ended after token count %d", e.Tokens)
}
