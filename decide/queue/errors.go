package queue

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// Scope tells which bound refused an item.
type Scope string

// Scopes of a FullError.
const (
	ScopeQueue   Scope = "queue"
	ScopeAccount Scope = "account"
)

// FullError refuses an item for want of room.
type FullError struct {
	Scope Scope
	// Waiting counts the requests within the scope, Limit is its bound then.
	Waiting, Limit int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s full: %d of %d waiting", e.Scope, e.Waiting, e.Limit)
}

// DuplicateError refuses a request that waits already.
type DuplicateError struct{ ID ids.Request }

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %s waits already", e.ID)
}
