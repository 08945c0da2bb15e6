package upstream

import (
	"fmt"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// AddressError tells that an address is not an IP number and port.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string { return fmt.Sprintf("%q is no IP address and port", e.Address) }

// TooLargeError tells that an answer or a part of it is larger than allowed.
type TooLargeError struct{ LimitBytes int }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer exceeds %d bytes", e.LimitBytes) }

// UnframedError tells that an answer's end is not marked by a length or a
// last chunk, so that a whole one cannot be told from a truncated one.
type UnframedError struct{}

// Error implements error.
func (*UnframedError) Error() string { return "answer ends only with its connection" }

// StatusError tells that an engine answered a control call with a status
// other than 200. Code is its Refusal's, empty when it sent none.
type StatusError struct {
	Status int
	Code   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d %s", e.Status, e.Code) }

// CallError tells that a control call failed for Cause on its way.
type CallError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call of %s: %v", e.Address, e.Cause) }

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// InvalidReplyError tells that an engine answered a control call with nonsense.
type InvalidReplyError struct{ Cause error }

// Error implements error.
func (e *InvalidReplyError) Error() string { return fmt.Sprintf("nonsense answer: %v", e.Cause) }

// Unwrap gives the cause; may be nil.
func (e *InvalidReplyError) Unwrap() error { return e.Cause }

// failure is why an attempt ended without a whole answer. A nil *failure
// means that it has not failed.
type failure struct {
	reason     outcome.Reason
	detail     string
	upstream   ids.Upstream
	retryAfter time.Duration
	// abandoned tells that this side gave the work up, not the upstream.
	abandoned bool
}

// fail makes a failure out of an error; nil gives no detail.
func fail(reason outcome.Reason, err error) *failure {
	if err == nil {
		return &failure{reason: reason}
	}
	return &failure{reason: reason, detail: err.Error()}
}
