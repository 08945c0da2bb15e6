package upstream

import (
	"fmt"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// AddressError is returned for an upstream address that is not an IP address and
// port.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string { return fmt.Sprintf("%q is no IP address and port", e.Address) }

// TooLargeError is returned when a response or one event of a stream exceeds
// LimitBytes.
type TooLargeError struct{ LimitBytes int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer exceeds %d bytes", e.LimitBytes) }

// UnframedError is returned for a response whose end is marked neither by a length
// nor by a last chunk: a complete one cannot be distinguished from a truncated one.
type UnframedError struct{}

// Error implements error.
func (*UnframedError) Error() string { return "answer ends only with its connection" }

// StatusError is returned when an engine answers a control call with a status other
// than 200. Code is that of its Refusal, or empty if it sent none.
type StatusError struct {
	Status int
	Code   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d %s", e.Status, e.Code) }

// CallError is returned when a control call got no response. Cause is the error of
// the address, the connection or the exchange.
type CallError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call of %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// InvalidReplyError is returned when the reply to a control call does not parse or
// lacks a required field.
type InvalidReplyError struct{ Cause error }

// Error implements error.
func (e *InvalidReplyError) Error() string { return fmt.Sprintf("nonsense answer: %v", e.Cause) }

// Unwrap returns the error of the JSON decoder, or nil if the reply lacked a field.
func (e *InvalidReplyError) Unwrap() error { return e.Cause }

// failure is the reason why an attempt ended without a complete response. A nil
// *failure means that it has not failed.
type failure struct {
	reason     outcome.Reason
	detail     string
	upstream   ids.Upstream
	retryAfter time.Duration
	// abandoned reports that this node gave up the attempt, not the upstream.
	abandoned bool
}

// newFailure returns a failure with the text of err as its detail; err may be nil.
func newFailure(reason outcome.Reason, err error) *failure {
	if err == nil {
		return &failure{reason: reason}
	}
	return &failure{reason: reason, detail: err.Error()}
}
