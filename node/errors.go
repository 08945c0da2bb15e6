package node

import (
	"fmt"
	"net"
)

// ListenError tells that an address could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// DrainIncompleteError tells that a planned stop ran out of time.
type DrainIncompleteError struct {
	// Requests were still in flight.
	Requests int
}

// Error implements error.
func (e *DrainIncompleteError) Error() string {
	return fmt.Sprintf("stopped with %d requests in flight", e.Requests)
}

// NotReadyError tells that the node did not become ready in time.
type NotReadyError struct{ Cause error }

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// NoDigestError tells that the decision loop gave no digest in time.
type NoDigestError struct{ Cause error }

// Error implements error.
func (e *NoDigestError) Error() string { return "no digest: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *NoDigestError) Unwrap() error { return e.Cause }

// NoStatusError tells that a duty gave no status in time.
type NoStatusError struct{ Cause error }

// Error implements error.
func (e *NoStatusError) Error() string { return "no status: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *NoStatusError) Unwrap() error { return e.Cause }

// listen opens a TCP port.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return l, nil
}
