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

// CutOffError tells that a planned stop ran out of time.
type CutOffError struct {
	// Requests were still in flight.
	Requests int
}

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("stopped with %d requests in flight", e.Requests)
}

// listen opens a TCP port.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return l, nil
}
