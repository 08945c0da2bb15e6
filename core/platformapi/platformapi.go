// Package platformapi holds the messages of the platform's published HTTP
// protocol: objects with versions, conditional updates and watches, and the
// list of VMs.
//
//	GET    /v1/objects/{key}                 -> Object, or 404 NotFound
//	PUT    /v1/objects/{key}   If-Match: v   body: value -> Object, or 412 Conflict with the current Object
//	DELETE /v1/objects/{key}   If-Match: v   -> Object (Deleted true), or 412
//	GET    /v1/list?prefix=P                 -> ListReply
//	GET    /v1/watch?prefix=P&after=R&wait_ms=W -> ListReply of changes above revision R; empty after W
//	GET    /v1/vms?after=R                   -> VMList; without VMs when its revision is not above R
//
// If-Match: 0 means "must not exist". Versions come from one counter of the
// store: they only grow, over all keys, and an object's version is the
// store's revision at its last write. An absent If-Match writes without a
// condition. Values are at most MaxValue bytes.
package platformapi

// Paths of the protocol.
const (
	ObjectsPath = "/v1/objects/"
	ListPath    = "/v1/list"
	WatchPath   = "/v1/watch"
	VMsPath     = "/v1/vms"
)

// MaxValueBytes is the largest value of an object, in bytes.
const MaxValueBytes = 1 << 20

// IfMatch is the header of a conditional update.
const IfMatch = "If-Match"

// Object is one stored object.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ListReply holds objects and the store's revision at the time.
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

// VM is one entry of the list of VMs, which lags behind reality.
type VM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Role    string `json:"role"`
	State   string `json:"state"`
	// Service is the service an engine or plain upstream belongs to.
	Service string `json:"service,omitempty"`
	// PeerAddress is where an entry VM takes calls of its peers.
	PeerAddress string `json:"peer_address,omitempty"`
}

// VMList is the reply to a call for the VMs. Revision grows with each change.
type VMList struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
}
