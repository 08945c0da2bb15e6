package member

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// Command is an action or a notification for the owner of a Members.
type Command interface {
	fmt.Stringer
	isCommand()
}

// Send requests that the node's digest of this round be sent to a peer.
type Send struct {
	// VM is empty for a seed address whose VM is not known.
	VM      ids.VM
	Address string
}

// StateChanged reports the new state of a peer.
type StateChanged struct {
	VM    ids.VM
	State State
}

// PeerGone reports that the data in a peer's digests is no longer valid.
type PeerGone struct {
	VM     ids.VM
	Reason GoneReason
}

// GoneReason is the reason why a peer is gone.
type GoneReason int

// Reasons of PeerGone.
const (
	// Silent means that no message of the peer has arrived for GoneAfter cycles. It may
	// still run behind a network partition, so its share of a limit must not be given to
	// other nodes.
	Silent GoneReason = iota
	// Restarted means that the peer has a new process, so that the digests of the
	// earlier one are invalid.
	Restarted
	// Delisted means that the peer is silent and missing from the platform's list. It
	// follows Silent if the list changes after the peer became Gone.
	Delisted
	// Forgotten means that an unlisted peer has been silent for ForgetAfter.
	Forgotten
)

// goneReasonNames holds the name of each GoneReason.
var goneReasonNames = [...]string{"silent", "restarted", "delisted", "forgotten"}

// String implements fmt.Stringer.
func (r GoneReason) String() string {
	if r < 0 || int(r) >= len(goneReasonNames) {
		return fmt.Sprintf("reason(%d)", int(r))
	}
	return goneReasonNames[r]
}

// String implements fmt.Stringer.
func (c Send) String() string { return fmt.Sprintf("send %s at %s", c.VM, c.Address) }

// String implements fmt.Stringer.
func (c StateChanged) String() string { return fmt.Sprintf("%s is %s", c.VM, c.State) }

// String implements fmt.Stringer.
func (c PeerGone) String() string { return fmt.Sprintf("%s gone: %s", c.VM, c.Reason) }

func (Send) isCommand()         {}
func (StateChanged) isCommand() {}
func (PeerGone) isCommand()     {}

// StaleError reports a digest that is a duplicate or older than one already accepted.
type StaleError struct {
	VM   ids.VM
	Boot string
	Seq  uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("digest %d of %s, boot %s, is not new", e.Seq, e.VM, e.Boot)
}

// SelfError reports a message whose sender has the node's own name.
type SelfError struct {
	VM ids.VM
	// Boot identifies the sender's process. If it differs from the node's own, two
	// processes use the same name.
	Boot string
}

// Error implements error.
func (e *SelfError) Error() string {
	return fmt.Sprintf("peer %s, boot %s, has this node's name", e.VM, e.Boot)
}

// FullError reports a message of an unknown peer when MaxPeers peers are known.
type FullError struct{ Limit int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("already %d peers", e.Limit)
}
