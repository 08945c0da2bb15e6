package member

import (
	"fmt"

	"mimosaarch.example/core/ids"
)

// Command is one thing for the owner of a Members to do or to know.
type Command interface {
	fmt.Stringer
	isCommand()
}

// Send asks to send the node's digest of this round to a peer.
type Send struct {
	// VM is empty for a seed whose name is not known.
	VM      ids.VM
	Address string
}

// StateChanged tells that a peer is in another state.
type StateChanged struct {
	VM    ids.VM
	State State
}

// PeerGone tells that a peer's figures no longer stand.
type PeerGone struct {
	VM     ids.VM
	Reason GoneReason
}

// GoneReason tells why a peer is gone.
type GoneReason int

// Reasons of PeerGone.
const (
	// Silent: not heard from for long. It may work on behind a cut, so what
	// it holds of a shared limit must not be given to others.
	Silent GoneReason = iota
	// Restarted: its process began anew, and what it told before is void.
	Restarted
	// Delisted: silent, and the platform's list no longer has it; it follows
	// Silent when the list changes later.
	Delisted
	// Forgotten: silent for very long and on no list.
	Forgotten
)

// whyNames are indexed by Why.
var whyNames = [...]string{"silent", "restarted", "delisted", "forgotten"}

// String implements fmt.Stringer.
func (w GoneReason) String() string {
	if w < 0 || int(w) >= len(whyNames) {
		return fmt.Sprintf("why(%d)", int(w))
	}
	return whyNames[w]
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

// StaleError refuses a digest that is repeated or older than one taken.
type StaleError struct {
	VM   ids.VM
	Boot string
	Seq  uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("digest %d of %s, boot %s, is not new", e.Seq, e.VM, e.Boot)
}

// SelfError refuses a message under the node's own name.
type SelfError struct {
	VM ids.VM
	// Boot is the sender's. One that isn't the node's own tells that two
	// processes use one name.
	Boot string
}

// Error implements error.
func (e *SelfError) Error() string {
	return fmt.Sprintf("peer %s, boot %s, has this node's name", e.VM, e.Boot)
}

// FullError refuses a peer beyond MaxPeers.
type FullError struct{ Limit int }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("already %d peers", e.Limit)
}
