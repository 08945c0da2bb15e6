package peer

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// ListenError tells that the address could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for peers on %s: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// DialError tells that no connection to a peer could be opened.
type DialError struct {
	Address string
	// Handshake is true when the connection was opened but the certificates
	// were not accepted.
	Handshake bool
	Cause     error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to peer %s: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// CallError tells that a call to a peer brought no valid reply.
type CallError struct {
	Method string
	Cause  error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("call %s of peer: %v", e.Method, e.Cause) }

// Unwrap gives the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// UnknownPeerError tells that no address of a VM is known.
type UnknownPeerError struct{ VM ids.VM }

// Error implements error.
func (e *UnknownPeerError) Error() string { return fmt.Sprintf("no address of peer %s", e.VM) }
