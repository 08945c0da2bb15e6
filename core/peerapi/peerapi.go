// Package peerapi defines the messages between the nodes of a fleet. They are
// JSON-RPC 2.0 calls; either end of a connection may call the other:
//
//	digest   Digest  -> DigestReply   the state that a node sends its peers in each round
//	pull     Pull    -> PullReply     configuration objects that the caller lacks
//	vms      VMs     -> VMsReply      the newest list of VMs that the node has
//	explain  Explain -> ExplainReply  what the node recorded about one request
//	claim    Claim   -> ClaimReply    an operation on an idempotency key
//
// The clocks of VMs are not synchronized, so messages contain ages instead of times
// of day. An age is as of when the message was created.
//
// Each message has a Validate method. The receiver of a message that it rejects
// must not change its state.
package peerapi

import (
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
)

// Methods of the protocol.
const (
	MethodDigest  = "digest"
	MethodPull    = "pull"
	MethodVMs     = "vms"
	MethodExplain = "explain"
)

// Code is the JSON-RPC error code of a refused call.
type Code int64

// Codes of refused calls.
const (
	// CodeInvalid: the message did not parse or is not valid.
	CodeInvalid Code = -32602
	// CodeUnknownMethod: there is no such method.
	CodeUnknownMethod Code = -32601
	// CodeBusy: the node had no capacity for the message and changed nothing.
	CodeBusy Code = -32000
	// CodeUnknownBase: the node does not hold the base of the digest; the caller
	// must send a full digest.
	CodeUnknownBase Code = -32002
	// CodeUnavailable: the node cannot answer the call at present.
	CodeUnavailable Code = -32001
)

// Digest is the state that a node sends its peers in one round. A digest is either
// full or a delta. In a full one Base is 0, and what it does not contain is zero,
// absent or unknown. A delta refers to an earlier full digest, its base: Figures
// hold the changed values by position in the base, and the other fields what the
// base does not contain. Expand returns the full digest of a delta.
//
// A receiver keeps the newest full digest of each peer as the base and reports its
// Seq in HeldBase.
type Digest struct {
	// VM, Zone and Boot identify the sender. Boot is a random name that changes
	// with each start of the process.
	VM   ids.VM   `json:"vm"`
	Zone ids.Zone `json:"zone"`
	Boot string   `json:"boot"`
	// Seq increases with each digest of a boot, starting at 1.
	Seq uint64 `json:"seq"`
	// Address is where the sender accepts calls from its peers.
	Address string `json:"address"`
	// Draining means that the sender accepts no new requests.
	Draining bool `json:"draining,omitempty"`
	// ConfigDigest is equal on nodes that hold the same configuration.
	ConfigDigest uint64 `json:"config_digest"`
	// ConfigRevision is the highest revision of the platform's objects that the
	// sender has seen.
	ConfigRevision int64 `json:"config_revision"`
	// VMsRevision is the revision of the newest list of VMs that the sender has; 0
	// means none.
	VMsRevision int64 `json:"vms_revision"`

	// HeldBase is the Seq of the base that the sender holds for the receiver; 0
	// means none. The digest in the reply may be a delta from it.
	HeldBase uint64 `json:"have,omitempty"`
	// Base is the Seq of the digest that Figures refer to; 0 means that this digest
	// is full.
	Base uint64 `json:"base,omitempty"`
	// Figures are this digest's values, in the order of the base's entries; nil if
	// the digest is full.
	Figures *Figures `json:"figures,omitempty"`
	// BaseDigest is the base, included for a receiver that does not hold it.
	BaseDigest *Digest `json:"base_digest,omitempty"`

	// InFlight counts the requests that the sender has in flight at each upstream;
	// zeros are omitted.
	InFlight map[ids.Upstream]int `json:"in_flight,omitempty"`
	// Usage is the demand of the accounts with a demand worth sending.
	Usage []AccountUsage `json:"usage,omitempty"`
	// Quarantine is evidence about requests that crash upstreams.
	Quarantine []QuarantineEvent `json:"quarantine,omitempty"`
	// Health is the state of the upstreams that the sender does not consider
	// healthy.
	Health []Observation `json:"health,omitempty"`
	// Leaving lists the upstreams that the sender knows to be leaving.
	Leaving []ids.Upstream `json:"leaving,omitempty"`
	// Loads are the newest load reports of upstreams.
	Loads []Load `json:"loads,omitempty"`
}

// AccountUsage is the demand of one account on one VM. It has the fields of
// limit.AccountUsage and converts to it.
type AccountUsage struct {
	Account ids.Account `json:"account"`
	// Demand is the cost requested per second, whether admitted or not.
	Demand float64 `json:"demand"`
}

// QuarantineEvent is one piece of evidence about requests that crash upstreams.
type QuarantineEvent struct {
	// Kind is a quarantine.Kind.
	Kind        string       `json:"kind"`
	Upstream    ids.Upstream `json:"upstream"`
	Epoch       string       `json:"epoch"`
	Fingerprint string       `json:"fingerprint,omitempty"`
	// AgeNs is the time since the crash, in nanoseconds.
	AgeNs int64 `json:"age_ns"`
	// RanNs is how long the request had been on the upstream, in nanoseconds, 0 if that
	// is not known.
	RanNs int64 `json:"ran_ns,omitempty"`
}

// Observation is the sender's view of one upstream.
type Observation struct {
	Upstream ids.Upstream `json:"upstream"`
	// State is the name of a health.State.
	State string `json:"state"`
}

// Load is the load report of an upstream.
type Load struct {
	Report engineapi.LoadReport `json:"report"`
	// AgeNs is the time since the report was received, in nanoseconds, on
	// top of the report's own age.
	AgeNs int64 `json:"age_ns"`
	// Relayed means that the sender did not poll the upstream but received the
	// report from a peer. A relayed report is not relayed again.
	Relayed bool `json:"relayed,omitempty"`
}

// DigestReply identifies the node that received a digest and says which versions
// the caller may pull.
type DigestReply struct {
	VM             ids.VM   `json:"vm"`
	Zone           ids.Zone `json:"zone"`
	Boot           string   `json:"boot"`
	ConfigDigest   uint64   `json:"config_digest"`
	ConfigRevision int64    `json:"config_revision"`
	VMsRevision    int64    `json:"vms_revision"`
	// HeldBase is the Seq of the base that the replying node holds for the caller;
	// 0 means none.
	HeldBase uint64 `json:"have,omitempty"`
	// Digest is the newest digest of the replying node, so that one call exchanges
	// both; nil before its first round.
	Digest *Digest `json:"digest,omitempty"`
	// KnownPeers lists peers that are alive, at most MaxKnownPeers. It is set for
	// callers that have no list of VMs.
	KnownPeers []KnownPeer `json:"known,omitempty"`
}

// KnownPeer is the address of a peer.
type KnownPeer struct {
	VM      ids.VM   `json:"vm"`
	Zone    ids.Zone `json:"zone"`
	Address string   `json:"address"`
}

// KeyVersion says which versions of one configuration object a node has. It has the
// fields of configorder.KeyVersion and converts to it.
type KeyVersion struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Active  int64  `json:"good"`
}

// Pull requests the configuration objects that the caller lacks.
type Pull struct {
	// Summary lists the versions that the caller has.
	Summary []KeyVersion `json:"summary"`
}

// PullReply holds newer objects: values of at most MaxPullBytes in total, but at
// least one object. A caller that lacks more pulls again.
type PullReply struct {
	Objects []platformapi.Object `json:"objects"`
}

// VMs requests the list of VMs.
type VMs struct {
	// AfterRevision is the revision that the caller has.
	AfterRevision int64 `json:"above"`
}

// VMsReply holds the list. Its revision is 0 if the node has none newer than
// AfterRevision.
type VMsReply struct {
	List platformapi.VMList `json:"list"`
}

// Explain requests what the node recorded about a request.
type Explain struct {
	ID ids.Request `json:"request"`
}

// ExplainReply holds the recorded steps, oldest first.
type ExplainReply struct {
	Decisions []Decision `json:"decisions"`
}

// Decision is one recorded step of a request.
type Decision struct {
	// AgeNs is the time since the step, in nanoseconds.
	AgeNs   int64          `json:"age_ns"`
	ID      ids.Request    `json:"request"`
	Account ids.Account    `json:"account,omitempty"`
	Step    string         `json:"step"`
	Attempt ids.Attempt    `json:"attempt,omitempty"`
	Chain   []ids.Upstream `json:"chain,omitempty"`
	Outcome string         `json:"outcome,omitempty"`
	Reason  string         `json:"reason,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	// WaitNs is how long the request waited before the step, in nanoseconds.
	WaitNs int64 `json:"wait_ns,omitempty"`
}
