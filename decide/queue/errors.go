package queue

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// Scope is the limit that an item exceeded.
type Scope string

// Scopes of a FullError: Options.Length, and the limit per account.
const (
	ScopeQueue   Scope = "queue"
	ScopeAccount Scope = "account"
)

// FullError is returned for an item that exceeds a limit of the queue.
type FullError struct {
	Scope Scope
	// Waiting is the number of waiting requests in the scope, Limit the maximum
	// that applied.
	Waiting, Limit int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s full: %d of %d waiting", e.Scope, e.Waiting, e.Limit)
}

// DuplicateError is returned for a request that is already waiting.
type DuplicateError struct{ ID ids.Request }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %s waits already", e.ID)
}
