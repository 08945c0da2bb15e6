package platform

import (
	"errors"
	"fmt"

	"mimosaarch.example/core/platformapi"
)

// AddressError tells that a setting is no IP address with a port.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("platform address %q: want an IP address and a port", e.Address)
}

// ConflictError tells that a conditional update was refused: the object had
// another version. The update certainly had no effect.
type ConflictError struct {
	// Current is the object as it stands; Version 0 means that it does not
	// exist.
	Current platformapi.Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s is at version %d", e.Current.Key, e.Current.Version)
}

// NotFoundError tells that there is no such object.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return "no object " + e.Key }

// UnavailableError tells that a call brought no usable answer.
type UnavailableError struct {
	// Kind is the call that failed.
	Kind Kind
	// MayHaveTakenEffect is true when a write left and was not settled.
	MayHaveTakenEffect bool
	// Status is the HTTP status of the answer; 0 means that none came.
	Status int
	// Cause is the failure of the transport; nil when an answer came.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform %s: %v", e.Kind, e.Cause)
	}
	return fmt.Sprintf("platform %s: status %d", e.Kind, e.Status)
}

// Unwrap gives the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RefusedError tells that the platform refused a call; it had no effect.
type RefusedError struct {
	Kind Kind
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused %s: status %d", e.Kind, e.Status)
}

// InvalidError tells that an answer does not parse or is not one to the
// call. A write may have taken effect.
type InvalidError struct {
	Kind Kind
	// Detail tells what is wrong with it.
	Detail string
	// Cause is the decoder's error; may be nil.
	Cause error
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("platform %s: invalid answer: %s", e.Kind, e.Detail)
}

// Unwrap gives the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// TooLargeError tells that a value is larger than platformapi.MaxValueBytes, or an
// answer larger than the client takes.
type TooLargeError struct {
	Kind Kind
	// Size is the value's, in bytes; 0 for an answer.
	Size int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("platform %s: too large (%d bytes)", e.Kind, e.Size)
}

// MayHaveTakenEffect reports whether a failed write may stand, or may yet
// come to stand, in the store. It is false for a nil error.
func MayHaveTakenEffect(err error) bool {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.MayHaveTakenEffect
	}
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Kind.writes()
	}
	return false
}
