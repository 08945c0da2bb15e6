package node

import (
	"fmt"
	"net"
)

// ListenError is returned when a listener cannot be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the underlying network error.
func (e *ListenError) Unwrap() error { return e.Cause }

// DrainIncompleteError is returned when the node stopped before all requests in
// flight had ended.
type DrainIncompleteError struct {
	// Requests is the number of requests that were still in flight.
	Requests int
}

// Error implements error.
func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("stopped with %d requests in flight", e.Requests)
}

// NotReadyError is returned when the node did not become ready before the
// context ended.
type NotReadyError struct{ Cause error }

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Cause.Error() }

// Unwrap returns the error of the context.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// NoDigestError is returned when the decision loop did not provide a digest
// before the context ended.
type NoDigestError struct{ Cause error }

// Error implements error.
func (e *NoDigestError) Error() string { return "no digest: " + e.Cause.Error() }

// Unwrap returns the error of the context.
func (e *NoDigestError) Unwrap() error { return e.Cause }

// NoStatusError is returned when the decision loop or the configuration feed
// did not provide its status in time.
type NoStatusError struct{ Cause error }

// Error implements error.
func (e *NoStatusError) Error() string { return "no status: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *NoStatusError) Unwrap() error { return e.Cause }

// listen opens a TCP listener. The error is a *ListenError.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return l, nil
}
