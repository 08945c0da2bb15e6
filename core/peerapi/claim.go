package peerapi

import (
	"time"

	"mimosaarch.example/core/ids"
)

// MethodClaim hands an operation on an idempotency key to the node that
// commits its shard: Claim -> ClaimReply. Calls of one connection may be
// answered in another order than they came.
const MethodClaim = "claim"

// Bounds of claims.
const (
	// MaxClaimRemaining bounds Claim.RemainingNs.
	MaxClaimRemaining = 10 * time.Second
	// MaxClockAge bounds Claim.ClockAgeNs. Two clocks drift apart by less
	// than one part in ClockDrift.
	MaxClockAge       = 10 * time.Second
	ClockDriftDivisor = 1000
)

// Kinds of operations in a Claim.
const (
	ClaimTake    = "claim"
	ClaimRelease = "release"
	ClaimSettle  = "settle"
)

// Claim is one operation on an idempotency key.
type Claim struct {
	// Kind is ClaimTake, ClaimRelease or ClaimSettle.
	Kind string `json:"kind"`
	// Shard is the sender's number for the key's shard.
	Shard int `json:"shard"`
	// Nonce tells this operation from any other.
	Nonce  string      `json:"nonce"`
	Record ClaimRecord `json:"record"`
	// Over is an earlier claim that may be replaced; nil for none.
	Over *ClaimRecord `json:"over,omitempty"`
	// RetentionNs is how long the key is remembered; 0 stands for the
	// receiver's setting.
	RetentionNs int64 `json:"retention_ns,omitempty"`
	// ClockNs is the receiver's clock as of its last reply on this
	// connection, and ClockAgeNs the sender's time since that came. So the
	// receiver knows a time, by its own clock, before which the message was
	// not sent. ClockNs is 0 when there was no reply yet.
	ClockNs    int64 `json:"clock_ns,omitempty"`
	ClockAgeNs int64 `json:"clock_age_ns,omitempty"`
	// RemainingNs is the time, from the sending on, after which the receiver
	// must not start to write the operation.
	RemainingNs int64 `json:"remaining_ns"`
}

// ClaimRecord names a key and its holder. It has the fields of
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
	// ClaimDone: the operation is committed. A ClaimTake was won unless Prior
	// tells that the key was taken.
	ClaimDone = "done"
	// ClaimRefused: the node did not commit the operation and never will.
	ClaimRefused = "refused"
	// ClaimUncertain: the node may have committed the operation.
	ClaimUncertain = "unsure"
	// ClaimNoClock: refused, since the message did not bring the clock. It
	// may be sent again with that of the reply.
	ClaimNoClock = "no_clock"
)

// ClaimReply tells what came of an operation.
type ClaimReply struct {
	State string `json:"state"`
	// Prior is the claim that stands, when a ClaimTake found the key taken.
	Prior *ClaimRecord `json:"prior,omitempty"`
	// ClockNs is the node's clock when it replied, from 1; its zero has no
	// meaning.
	ClockNs int64 `json:"clock_ns"`
}

// Validate gives an error as Digest.Validate does.
func (m *Claim) Validate() error {
	var c checker
	switch m.Kind {
	case ClaimTake, ClaimRelease, ClaimSettle:
	default:
		c.fail("kind", "not known")
	}
	c.least("shard", int64(m.Shard), 0)
	c.name("nonce", m.Nonce)
	c.claimRecord("record", &m.Record)
	if m.Over != nil {
		c.claimRecord("over", m.Over)
	}
	c.least("retention_ns", m.RetentionNs, 0)
	c.least("clock_ns", m.ClockNs, 0)
	c.span("clock_age_ns", m.ClockAgeNs, MaxClockAge)
	c.span("remaining_ns", m.RemainingNs, MaxClaimRemaining)
	return c.err
}

// Validate gives an error as Digest.Validate does.
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
	c.least("clock_ns", r.ClockNs, 1)
	return c.err
}

// claimRecord checks a record.
func (c *checker) claimRecord(field string, r *ClaimRecord) {
	c.name(field+".account", string(r.Account))
	c.name(field+".key", r.Key)
	c.name(field+".request", string(r.Request))
	for _, text := range []string{r.Fingerprint, string(r.VM), string(r.Upstream), r.Epoch, r.State} {
		c.size(field, len(text), MaxNameBytes)
	}
	c.least(field+".attempt", int64(r.Attempt), 0)
}

// span checks a time of at least 0 and at most a bound.
func (c *checker) span(field string, ns int64, bound time.Duration) {
	c.least(field, ns, 0)
	if ns > int64(bound) {
		c.fail(field, "above "+bound.String())
	}
}
