// Package peerapi holds the messages between the nodes of a fleet. They
// travel as JSON-RPC 2.0 calls; either end of a connection may call the other:
//
//	digest   Digest  -> DigestReply   what a node tells its peers, each round
//	pull     Pull    -> PullReply     configuration objects that the caller lacks
//	vms      VMs     -> VMsReply      the newest list of VMs that the node knows
//	explain  Explain -> ExplainReply  what the node recorded of one request
//
// Clocks of VMs need not agree, so messages tell ages, never times of day. An
// age is as of when the message was made.
//
// Each message has a Validate method. A message that it refuses must not
// change the state of its receiver.
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
	// CodeUnknownMethod: there is no such call.
	CodeUnknownMethod Code = -32601
	// CodeBusy: the node had no room for the message; it changed nothing.
	CodeBusy Code = -32000
	// CodeUnknownBase: the node does not hold the digest's base; the caller
	// sends a whole one.
	CodeUnknownBase Code = -32002
	// CodeUnavailable: the node cannot answer the question now.
	CodeUnavailable Code = -32001
)

// Digest is what a node tells its peers in one round. One without a Base is
// whole: what it does not name is zero, absent or unknown. One with a Base
// tells by Figures what became of that earlier, whole digest, and by its other
// fields what is beside that; Whole joins the two. A receiver keeps the newest
// whole digest of each peer and says so by Have.
type Digest struct {
	// VM, Zone and Boot name the sender. Boot is drawn at random at each
	// start of the process.
	VM   ids.VM   `json:"vm"`
	Zone ids.Zone `json:"zone"`
	Boot string   `json:"boot"`
	// Seq grows with each digest of a boot, from 1.
	Seq uint64 `json:"seq"`
	// Address is where the sender takes calls of its peers.
	Address string `json:"address"`
	// Draining tells that the sender takes no new requests.
	Draining bool `json:"draining,omitempty"`
	// ConfigDigest is equal on nodes that hold the same configuration.
	ConfigDigest uint64 `json:"config_digest"`
	// ConfigRevision is the highest revision of the platform heard of.
	ConfigRevision int64 `json:"config_revision"`
	// VMsRevision is that of the newest list of VMs known; 0 means none.
	VMsRevision int64 `json:"vms_revision"`

	// HeldBase is the Seq of the base that the sender holds of the receiver, to
	// which the digest in the reply may refer; 0 means none.
	HeldBase uint64 `json:"have,omitempty"`
	// Base is the Seq of the digest that Figures refer to; 0 means that this
	// one is whole.
	Base uint64 `json:"base,omitempty"`
	// Figures are nil when the digest is whole.
	Figures *Figures `json:"figures,omitempty"`
	// BaseDigest is the base itself, for a receiver that holds another one.
	BaseDigest *Digest `json:"base_digest,omitempty"`

	// InFlight counts the sender's own requests at each upstream; no zeros.
	InFlight map[ids.Upstream]int `json:"in_flight,omitempty"`
	// Usage is the demand of the accounts worth telling.
	Usage []AccountUsage `json:"usage,omitempty"`
	// Quarantine is evidence against requests that crash upstreams.
	Quarantine []QuarantineEvent `json:"quarantine,omitempty"`
	// Health is the sender's view of upstreams that are not simply in use.
	Health []Observation `json:"health,omitempty"`
	// Leaving lists the upstreams that the sender knows to be leaving.
	Leaving []ids.Upstream `json:"leaving,omitempty"`
	// Loads are the newest reports of upstreams.
	Loads []Load `json:"loads,omitempty"`
}

// AccountUsage is one account's demand on one VM. It has the fields of
// limit.AccountUsage and converts to it.
type AccountUsage struct {
	Account ids.Account `json:"account"`
	// Demand is the cost asked for in a second, met or not.
	Demand float64 `json:"demand"`
}

// QuarantineEvent is one piece of evidence against a request.
type QuarantineEvent struct {
	// Kind is a quarantine.Kind.
	Kind        string       `json:"kind"`
	Upstream    ids.Upstream `json:"upstream"`
	Epoch       string       `json:"epoch"`
	Fingerprint string       `json:"fingerprint,omitempty"`
	// AgeNs is the time since the death, in nanoseconds.
	AgeNs int64 `json:"age_ns"`
}

// Observation is the sender's view of one upstream.
type Observation struct {
	Upstream ids.Upstream `json:"upstream"`
	// State is the name of a health.State.
	State string `json:"state"`
}

// Load is an upstream's report of itself.
type Load struct {
	Report engineapi.LoadReport `json:"report"`
	// AgeNs is the time since the report was received, in nanoseconds, on
	// top of the report's own age.
	AgeNs int64 `json:"age_ns"`
	// Relayed is true when the sender did not poll the upstream itself but
	// had the report from a peer. A relayed report is not relayed again.
	Relayed bool `json:"relayed,omitempty"`
}

// DigestReply tells who took a digest, and what the caller may pull.
type DigestReply struct {
	VM             ids.VM   `json:"vm"`
	Zone           ids.Zone `json:"zone"`
	Boot           string   `json:"boot"`
	ConfigDigest   uint64   `json:"config_digest"`
	ConfigRevision int64    `json:"config_revision"`
	VMsRevision    int64    `json:"vms_revision"`
	// HeldBase is the Seq of the base that the replying node holds of the caller;
	// 0 means none.
	HeldBase uint64 `json:"have,omitempty"`
	// Digest is the replying node's newest, so that one call carries both
	// ways; nil before its first round.
	Digest *Digest `json:"digest,omitempty"`
	// KnownPeers lists peers that the replying node hears from, at most MaxKnown;
	// given to callers that have no list of VMs.
	KnownPeers []KnownPeer `json:"known,omitempty"`
}

// KnownPeer is how to reach a peer.
type KnownPeer struct {
	VM      ids.VM   `json:"vm"`
	Zone    ids.Zone `json:"zone"`
	Address string   `json:"address"`
}

// KeyVersion tells what a node has of one configuration object. It has the
// fields of configorder.KeyVersion and converts to it.
type KeyVersion struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Good    int64  `json:"good"`
}

// Pull asks for the configuration objects that the caller lacks.
type Pull struct {
	// Summary is what the caller has.
	Summary []KeyVersion `json:"summary"`
}

// PullReply holds newer objects, at most MaxPullBytes of values but at least
// one object; a caller that lacks more asks again.
type PullReply struct {
	Objects []platformapi.Object `json:"objects"`
}

// VMs asks for the list of VMs.
type VMs struct {
	// AfterRevision is the revision that the caller has.
	AfterRevision int64 `json:"above"`
}

// VMsReply holds the list; its revision is 0 when it is not above the
// caller's.
type VMsReply struct {
	List platformapi.VMList `json:"list"`
}

// Explain asks what the node recorded of a request.
type Explain struct {
	ID ids.Request `json:"request"`
}

// ExplainReply holds the steps recorded, oldest first.
type ExplainReply struct {
	Decisions []Decision `json:"decisions"`
}

// Decision is one step of a request's record.
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
	// WaitNs is the time the request waited before the step, in nanoseconds.
	WaitNs int64 `json:"wait_ns,omitempty"`
}
