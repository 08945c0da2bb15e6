package peer

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// ListenError reports that the Service could not listen on its address.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for peers on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// DialError reports that no connection to a peer could be opened.
type DialError struct {
	Address string
	// Handshake is true if the TCP connection was opened but the TLS handshake
	// failed.
	Handshake bool
	Cause     error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// CallError reports that a call to a peer failed or returned an invalid reply.
type CallError struct {
	Method string
	Cause  error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call peer method %s: %v", e.Method, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// UnknownPeerError reports that the address of a VM is not known.
type UnknownPeerError struct{ VM ids.VM }

// Error implements error.
func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("address of peer %s is not known", e.VM)
}
