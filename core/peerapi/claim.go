package peerapi

import (
	"time"

	"mimosaarch.example/core/ids"
)

// MethodClaim forwards an operation on an idempotency key to the node that commits
// operations on its shard: Claim -> ClaimReply. Calls on one connection may be
// answered out of order.
const MethodClaim = "claim"

// Limits of claims.
const (
	// MaxClaimRemaining bounds Claim.RemainingNs.
	MaxClaimRemaining = 10 * time.Second
	// MaxClockAge bounds Claim.ClockAgeNs.
	MaxClockAge = 10 * time.Second
	// ClockDriftDivisor: the clocks of two VMs drift apart by less than elapsed
	// time / ClockDriftDivisor.
	ClockDriftDivisor = 1000
)

// Kinds of operations.
const (
	// ClaimTake claims the key for a request.
	ClaimTake = "claim"
	// ClaimRelease frees a key that the request holds and has not marked as done.
	ClaimRelease = "release"
	// ClaimSettle marks the claim of the request as done; the key stays taken for
	// its retention.
	ClaimSettle = "settle"
)

// Claim is an operation on an idempotency key.
type Claim struct {
	// Kind is ClaimTake, ClaimRelease or ClaimSettle.
	Kind string `json:"kind"`
	// Shard is the number of the shard that the sender computed for the key.
	Shard int `json:"shard"`
	// Nonce distinguishes this operation from all others.
	Nonce  string      `json:"nonce"`
	Record ClaimRecord `json:"record"`
	// Over is an existing claim that the operation may replace; nil for none.
	Over *ClaimRecord `json:"over,omitempty"`
	// RetentionNs is how long the key is remembered, in nanoseconds; 0 stands for
	// the receiver's setting.
	RetentionNs int64 `json:"retention_ns,omitempty"`
	// ClockNs is the receiver's clock in its last reply on this connection, in
	// nanoseconds, or 0 if there was no reply yet. ClockAgeNs is the time since
	// that reply arrived. From both the receiver knows a time on its own clock
	// before which the message was not sent.
	ClockNs    int64 `json:"clock_ns,omitempty"`
	ClockAgeNs int64 `json:"clock_age_ns,omitempty"`
	// RemainingNs is the time, counted from when the message is sent, after which
	// the receiver must not start to write the operation, in nanoseconds.
	RemainingNs int64 `json:"remaining_ns"`
}

// ClaimRecord is a key and the request that holds it. It has the fields of
// router.ClaimRecord.
type ClaimRecord struct {
	Account     ids.Account  `json:"account"`
	Key         string       `json:"key"`
	Fingerprint string       `json:"fingerprint,omitempty"`
	Request     ids.Request  `json:"request"`
	VM          ids.VM       `json:"vm,omitempty"`
	Upstream    ids.Upstream `json:"upstream,omitempty"`
	Attempt     ids.Attempt  `json:"attempt,omitempty"`
	Epoch       string       `json:"epoch,omitempty"`
	State       string       `json:"state,omitempty"`
}

// States of a ClaimReply.
const (
	// ClaimDone: the operation is committed. A ClaimTake has claimed the key unless
	// Prior is set.
	ClaimDone = "done"
	// ClaimRefused: the node did not commit the operation and never will.
	ClaimRefused = "refused"
	// ClaimUncertain: the node may have committed the operation.
	ClaimUncertain = "unsure"
	// ClaimNoClock: refused because the message has no ClockNs. The sender may send
	// it again with the ClockNs of the reply.
	ClaimNoClock = "no_clock"
)

// ClaimReply is the result of an operation.
type ClaimReply struct {
	State string `json:"state"`
	// Prior is the existing claim if a ClaimTake found the key claimed.
	Prior *ClaimRecord `json:"prior,omitempty"`
	// ClockNs is the node's clock when it replied, in nanoseconds, at least 1. Only
	// differences between two values are meaningful.
	ClockNs int64 `json:"clock_ns"`
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (m *Claim) Validate() error {
	var c checker
	switch m.Kind {
	case ClaimTake, ClaimRelease, ClaimSettle:
	default:
		c.fail("kind", "not known")
	}
	c.atLeast("shard", int64(m.Shard), 0)
	c.name("nonce", m.Nonce)
	c.claimRecord("record", &m.Record)
	if m.Over != nil {
		c.claimRecord("over", m.Over)
	}
	c.atLeast("retention_ns", m.RetentionNs, 0)
	c.atLeast("clock_ns", m.ClockNs, 0)
	c.duration("clock_age_ns", m.ClockAgeNs, MaxClockAge)
	c.duration("remaining_ns", m.RemainingNs, MaxClaimRemaining)
	return c.err
}

// Validate returns an *InvalidError or an *OversizeError if the message must not be
// used, and nil otherwise.
func (r *ClaimReply) Validate() error {
	var c checker
	switch r.State {
	case ClaimDone, ClaimRefused, ClaimUncertain, ClaimNoClock:
	default:
		c.fail("state", "not known")
	}
	if r.Prior != nil {
		c.claimRecord("prior", r.Prior)
	}
	c.atLeast("clock_ns", r.ClockNs, 1)
	return c.err
}

// claimRecord checks a record.
func (c *checker) claimRecord(field string, r *ClaimRecord) {
	c.name(field+".account", string(r.Account))
	c.name(field+".key", r.Key)
	c.name(field+".request", string(r.Request))
	for _, text := range []string{r.Fingerprint, string(r.VM), string(r.Upstream), r.Epoch, r.State} {
		c.sizeAtMost(field, len(text), MaxNameBytes)
	}
	c.atLeast(field+".attempt", int64(r.Attempt), 0)
}

// duration checks that a time is from 0 to limit.
func (c *checker) duration(field string, ns int64, limit time.Duration) {
	c.atLeast(field, ns, 0)
	if ns > int64(limit) {
		c.fail(field, "above "+limit.String())
	}
}
