package claim

import "fmt"

// QueueFullError rejects an operation because too many operations wait for its
// shard, or too many operations of other VMs are unfinished.
type QueueFullError struct{ Shard int }

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("too many claim operations wait for shard %d", e.Shard)
}

// OpError rejects an operation that lacks a required field.
type OpError struct{ Missing string }

// Error implements error.
func (e *OpError) Error() string { return "claim operation without " + e.Missing }

// ValueError reports that a shard's object cannot be used.
type ValueError struct {
	// Cause is the decoding error. It is nil if the object was written for
	// another number of shards.
	Cause error
	// Shards is the number of shards that the object was written for, if Cause
	// is nil.
	Shards int
}

// Error implements error.
func (e *ValueError) Error() string {
	if e.Cause != nil {
		return "claim shard: " + e.Cause.Error()
	}
	return fmt.Sprintf("claim shard: object was written for %d shards", e.Shards)
}

// Unwrap returns Cause.
func (e *ValueError) Unwrap() error { return e.Cause }

// FormatError reports that a shard's object is malformed or has an unknown
// format.
type FormatError struct {
	// Format is the format number found in the object.
	Format uint64
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("malformed value (format %d)", e.Format) }

// ExpiredError rejects an operation of another VM whose deadline has passed.
type ExpiredError struct{}

// Error implements error.
func (e *ExpiredError) Error() string { return "claim operation arrived after its deadline" }

// RepeatedError rejects an operation of another VM that was received before.
type RepeatedError struct{}

// Error implements error.
func (e *RepeatedError) Error() string { return "claim operation was already received" }
