// Package platformapi defines the messages of the platform's HTTP protocol:
// versioned objects, conditional writes and watches, and the list of VMs.
//
//	GET    /v1/objects/{key}                 -> Object, or 404 NotFound
//	PUT    /v1/objects/{key}   If-Match: v   body: value -> Object, or 412 Conflict with the current Object
//	DELETE /v1/objects/{key}   If-Match: v   -> Object (Deleted true), or 412
//	GET    /v1/list?prefix=P                 -> ListReply
//	GET    /v1/watch?prefix=P&after=R&wait_ms=W -> ListReply of changes above revision R; empty after W
//	GET    /v1/vms?after=R                   -> VMList; without VMs when its revision is not above R
//
// If-Match: 0 means that the object must not exist; without If-Match the write is
// unconditional. Versions come from one counter of the store, so they increase
// across all keys. The version of an object is the revision of the store at its
// last write. A value has at most MaxValueBytes bytes.
package platformapi

// Paths of the protocol.
const (
	ObjectsPath = "/v1/objects/"
	ListPath    = "/v1/list"
	WatchPath   = "/v1/watch"
	VMsPath     = "/v1/vms"
)

// MaxValueBytes limits the value of an object.
const MaxValueBytes = 1 << 20

// IfMatch is the header with the version that a conditional write expects.
const IfMatch = "If-Match"

// Object is one stored object. Deleted marks the last version of a deleted object.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ListReply holds objects and the revision of the store when they were read.
type ListReply struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Roles of a VM.
const (
	RoleEntry  = "entry"
	RoleEngine = "engine"
	RolePlain  = "plain"
)

// States of a VM.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one entry of the list of VMs. The list lags behind the actual state of the
// VMs.
type VM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	State   string `json:"state"`
	// Service is the service that an engine or plain upstream belongs to.
	Service string `json:"service,omitempty"`
	// PeerAddress is where an entry VM accepts calls from its peers.
	PeerAddress string `json:"peer_address,omitempty"`
}

// VMList is the list of VMs. Revision increases with each change.
type VMList struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
}
