package claim

import "fmt"

// QueueFullError refuses a Claim, since too many wait for its shard. The operation
// was not taken.
type QueueFullError struct{ Shard int }

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("too many claims wait for shard %d", e.Shard)
}

// OpError refuses an operation that lacks a part.
type OpError struct{ Missing string }

// Error implements error.
func (e *OpError) Error() string { return "claim operation without " + e.Missing }

// ValueError tells that a shard's value can't be used.
type ValueError struct {
	// Cause is the decoder's error; nil when the value was made for another
	// number of shards.
	Cause error
	// Shards is the number it was made for.
	Shards int
}

// Error implements error.
func (e *ValueError) Error() string {
	if e.Cause != nil {
		return "claim shard: " + e.Cause.Error()
	}
	return fmt.Sprintf("claim shard: made for %d shards", e.Shards)
}

// Unwrap gives the cause.
func (e *ValueError) Unwrap() error { return e.Cause }

// FormatError tells that a shard's value is not well-formed.
type FormatError struct {
	// Format is the one that the value names.
	Format uint64
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("not well-formed (format %d)", e.Format) }

// ExpiredError refuses an operation of another VM whose time is over.
type ExpiredError struct{}

// Error implements error.
func (e *ExpiredError) Error() string { return "the claim operation came too late" }

// RepeatedError refuses an operation of another VM that came before.
type RepeatedError struct{}

// Error implements error.
func (e *RepeatedError) Error() string { return "the claim operation came before" }
