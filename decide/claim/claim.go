// Package claim implements claims on idempotency keys, so that at most one
// request runs for each key across all VMs. A VM claims a key through
// conditional updates of objects in the platform's store. Keys are hashed to
// shards, and each shard is one object. A VM has at most one update per shard in
// flight; operations that arrive in the meantime are batched into the next one.
//
// Correctness depends only on the conditional update: a claim is won only if the
// platform confirmed its write, or if a later read found the claim's nonce in
// the object. A write whose answer was lost may still take effect until the
// object's version changes, so its operations stay unresolved until a newer
// version is seen.
//
// Clocks of different VMs are never compared. Each entry carries a lower bound
// of its age. A VM adds the time for which it has known the entry itself and
// keeps the highest value. Entries are therefore never dropped early. They are
// dropped late by the time for which no VM had the shard in memory.
//
// The package is pure: it does no I/O and reads no clock. A Group is not safe
// for concurrent use.
package claim

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// Kind is the type of an operation.
type Kind int

// Types of operations.
const (
	// Claim takes a key if it is free, held by the same request, or held by the
	// claim in Op.Over.
	Claim Kind = iota
	// Release frees a key that the request holds and has not marked as done.
	Release
	// Settle marks the request's claim as done. The key stays taken for its
	// retention.
	Settle
)

// Op is an operation on one key.
type Op struct {
	Kind Kind
	// Record identifies the key by Account and Key, and the holder by Request.
	Record router.ClaimRecord
	// Nonce is a random value that is unique to this operation. It is required
	// for a Claim and for every operation that another VM commits.
	Nonce string
	// Over is an existing claim that this Claim may replace, or nil. It matches
	// by key, Request and Attempt, and only while it is not done. The caller
	// must know that the replaced claim's request has not run and never will.
	Over *router.ClaimRecord
	// Retention is how long the key is remembered after the operation. Zero
	// means Settings.Retention.
	Retention time.Duration
	// Deadline limits the wait for the result of a Claim or Release. Zero means
	// no limit.
	Deadline time.Time
	// remote marks an operation that is committed for another VM.
	remote bool
}

// Command is a call for the adapter to make or a result for it to pass on.
type Command interface{ isCommand() }

// Read requests a shard's object. The adapter must return exactly one Answer.
type Read struct {
	Shard int
	Key   string
}

// Write requests a conditional update of a shard's object. The adapter must call
// the platform at most once and return exactly one Answer.
type Write struct {
	Shard int
	Key   string
	Value []byte
	// IfMatch is the version that the object must have; 0 means that the object
	// must not exist.
	IfMatch int64
}

// Ended is the final result of a Claim. After ClaimUncertain the Group releases
// the claim in the background.
type Ended struct {
	Op     Op
	Result router.ClaimResult
	// Prior is the existing claim if Result is ClaimTaken. Its Fingerprint
	// equals the operation's if the two requests match. Otherwise it is a value
	// that no request has.
	Prior router.ClaimRecord
	// Full is true if Result is ClaimFailed because the shard's object has no
	// room.
	Full bool
}

// Released reports that a Release took effect or was unnecessary. If Confirmed
// is false, the Release has not finished by its deadline, or too many operations
// wait for the shard, and it continues in the background.
type Released struct {
	Op        Op
	Confirmed bool
}

// InvalidValue reports a shard object that cannot be decoded or was written for
// another number of shards. Claims of that shard fail, and the object is never
// overwritten.
type InvalidValue struct {
	Shard int
	Err   *ValueError
}

func (Read) isCommand()         {}
func (Write) isCommand()        {}
func (Ended) isCommand()        {}
func (Released) isCommand()     {}
func (InvalidValue) isCommand() {}

// request returns the request that the operation belongs to.
func (o Op) request() ids.Request { return o.Record.Request }
