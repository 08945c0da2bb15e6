package platform

import (
	"errors"
	"fmt"

	"mimosaarch.example/core/platformapi"
)

// AddressError is returned for an address in Settings that is not an IP address and
// port, or if there is none.
type AddressError struct{ Address string }

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("platform address %q: want an IP address and a port", e.Address)
}

// ConflictError is returned when a conditional write was refused because the object
// had another version. The write had no effect.
type ConflictError struct {
	// Current is the object as stored. Version 0 means that it does not exist,
	// UnknownVersion that the response did not contain it.
	Current platformapi.Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s is at version %d", e.Current.Key, e.Current.Version)
}

// NotFoundError is returned when an object does not exist.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return "no object " + e.Key }

// UnavailableError is returned when a call got no usable response.
type UnavailableError struct {
	// Kind is the kind of the failed call.
	Kind Kind
	// MayHaveTakenEffect is true if a write was sent and its result is unknown.
	MayHaveTakenEffect bool
	// Status is the HTTP status of the response; 0 means that none arrived.
	Status int
	// Cause is the transport error; nil if a response arrived.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform %s: %v", e.Kind, e.Cause)
	}
	return fmt.Sprintf("platform %s: status %d", e.Kind, e.Status)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RefusedError is returned when the platform refused a call with a 4xx status. The
// call had no effect.
type RefusedError struct {
	Kind Kind
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused %s: status %d", e.Kind, e.Status)
}

// InvalidError is returned when a response does not parse or does not belong to the
// call. A write may have taken effect.
type InvalidError struct {
	Kind Kind
	// Detail describes what is wrong with the response.
	Detail string
	// Cause is the decoder's error; may be nil.
	Cause error
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("platform %s: invalid answer: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// TooLargeError is returned for a value larger than platformapi.MaxValueBytes or a
// response larger than Settings.MaxResponseBytes.
type TooLargeError struct {
	Kind Kind
	// Size is the size of the value in bytes; 0 for a response.
	Size int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("platform %s: too large (%d bytes)", e.Kind, e.Size)
}

// MayHaveTakenEffect reports whether a failed write may have been stored or may
// still be. It returns false for a nil error.
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
