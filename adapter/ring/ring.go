// Package ring joins goroutines by bounded first-in-first-out rings. A full
// ring is a typed refusal or a wait bounded by a context, never an unbounded
// wait.
package ring

import (
	"context"
	"fmt"
)

// FullError tells that a ring had no room.
type FullError struct {
	// Name is the ring's name.
	Name string
	// Capacity is the most items it holds.
	Capacity int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %s is full (%d items)", e.Name, e.Capacity)
}

// WaitError tells that a context ended before a ring had room.
type WaitError struct {
	// Name is the ring's name.
	Name string
	// Cause is the context's error.
	Cause error
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("ring %s had no room in time: %v", e.Name, e.Cause)
}

// Unwrap gives the context's error.
func (e *WaitError) Unwrap() error { return e.Cause }

// Ring is a bounded queue of T. Any goroutine may call any method.
type Ring[T any] struct {
	name  string
	items chan T
}

// New makes a ring of the given capacity; a capacity below 1 is taken as 1.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, max(capacity, 1))}
}

// Offer puts v in the ring at once, or gives a *FullError.
func (r *Ring[T]) Offer(v T) error {
	select {
	case r.items <- v:
		return nil
	default:
		return &FullError{Name: r.name, Capacity: cap(r.items)}
	}
}

// Put waits for room until ctx ends; then it gives a *WaitError and v is not
// in the ring.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return &WaitError{Name: r.name, Cause: ctx.Err()}
	}
}

// Out gives the channel to take items from. It is never closed.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len is the count of items held now.
func (r *Ring[T]) Len() int { return len(r.items) }
