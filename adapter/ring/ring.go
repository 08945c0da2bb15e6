// Package ring provides bounded FIFO queues between goroutines. When a queue is full, a
// caller gets an error at once or waits until its context ends. No call waits without a
// bound.
package ring

import (
	"context"
	"fmt"
)

// FullError reports that a ring had no room for an item.
type FullError struct {
	// Name is the name given to New.
	Name string
	// Capacity is the maximum number of items in the ring.
	Capacity int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %s is full (%d items)", e.Name, e.Capacity)
}

// WaitError reports that a context ended before a ring had room for an item.
type WaitError struct {
	// Name is the name given to New.
	Name string
	// Cause is the error of the context.
	Cause error
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("ring %s had no room in time: %v", e.Name, e.Cause)
}

// Unwrap returns the error of the context.
func (e *WaitError) Unwrap() error { return e.Cause }

// Ring is a bounded FIFO queue of T. Its methods may be called from any goroutine.
type Ring[T any] struct {
	name  string
	items chan T
}

// New returns a ring with the given capacity, or with capacity 1 if that is lower. The
// name appears in errors.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, max(capacity, 1))}
}

// Offer adds v to the ring without waiting. It returns a *FullError if there is no room.
func (r *Ring[T]) Offer(v T) error {
	select {
	case r.items <- v:
		return nil
	default:
		return &FullError{Name: r.name, Capacity: cap(r.items)}
	}
}

// Put adds v to the ring and waits for room until ctx ends. If that happens first, it
// returns a *WaitError and does not add v.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return &WaitError{Name: r.name, Cause: ctx.Err()}
	}
}

// Out returns the channel from which items are received. It is never closed.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the current number of items.
func (r *Ring[T]) Len() int { return len(r.items) }
