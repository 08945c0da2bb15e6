package call

import (
	"fmt"
	"time"

	"mimosaarch.example/core/ids"
)

// TokenOrderError reports that a token other than the next one was pushed.
type TokenOrderError struct{ Want, Got int }

// Error implements error.
func (e *TokenOrderError) Error() string {
	return fmt.Sprintf("token %d pushed, token %d is next", e.Got, e.Want)
}

// SlowCallerError reports that the caller took no token for After.
type SlowCallerError struct {
	ID    ids.Request
	After time.Duration
}

// Error implements error.
func (e *SlowCallerError) Error() string {
	return fmt.Sprintf("caller of %s took no token for %v", e.ID, e.After)
}

// FinishedError reports that a token was pushed after the call was finished.
type FinishedError struct{ ID ids.Request }

// Error implements error.
func (e *FinishedError) Error() string {
	return fmt.Sprintf("request %s is finished", e.ID)
}
