// Package claim commits claims of idempotency keys through the platform's
// conditional updates. Keys hash to shards, one object each; a shard has one
// update in flight, and the operations that come meanwhile share the next.
//
// Safety rests on the conditional update alone: a claim is won only by a
// write that the platform confirmed, or that was found standing by its nonce.
// A write whose answer was lost may yet arrive as long as the object's version
// has not moved; its operations are settled only by a newer version.
//
// No clock is compared between VMs. An entry carries its age as a lower bound:
// each VM adds the time for which it has known the entry itself, and keeps the
// highest figure. So an entry is never dropped early; it is dropped late by
// the time in which no VM held the shard.
//
// The package is pure. A Group is not safe for concurrent use.
package claim

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// Kind is the kind of an operation.
type Kind int

// Kinds of operations.
const (
	// Claim takes a key, if it is free, held by the same request, or held by
	// the claim in Op.Over.
	Claim Kind = iota
	// Release gives up a key that the request holds and has not settled.
	Release
	// Settle marks the request's claim as done; the key stays taken for its
	// retention.
	Settle
)

// Op is one operation on a key.
type Op struct {
	Kind Kind
	// Record names the key by its Account and Key, and the holder by its
	// Request.
	Record router.ClaimRecord
	// Nonce tells this operation from any other; random. Needed for Claim
	// and for what is forwarded.
	Nonce string
	// Over is a held claim that a Claim may replace; nil for none. It is
	// matched by key, Request and Attempt. The caller must have proof that
	// its request did not run and never will.
	Over *router.ClaimRecord
	// Retention is how long the key is remembered after the operation; zero
	// stands for the Settings' value.
	Retention time.Duration
	// Deadline ends the wait for a Claim or Release; zero means none.
	Deadline time.Time
	// remote marks an operation of another VM.
	remote bool
}

// Command is one thing for the adapter to do or to pass on.
type Command interface{ isCommand() }

// Read asks for a shard's object. The adapter gives exactly one Answer.
type Read struct {
	Shard int
	Key   string
}

// Write asks for a conditional update of a shard's object. The adapter gives
// exactly one Answer, after one call at most.
type Write struct {
	Shard   int
	Key     string
	Value   []byte
	IfMatch int64
}

// Ended tells what came of a Claim; the last word to it. After ClaimUncertain
// the Group goes on to release the claim.
type Ended struct {
	Op     Op
	Result router.ClaimResult
	// Prior is the claim that stands, for ClaimTaken. Its Fingerprint is the
	// operation's if that is the same, else one that no request has.
	Prior router.ClaimRecord
	// Full is true for ClaimFailed because the shard had no room.
	Full bool
}

// Released tells that a Release took effect or was not needed; or, with
// Confirmed false, that its deadline came and it goes on by itself.
type Released struct {
	Op        Op
	Confirmed bool
}

// InvalidValue reports a shard's object that can't be used. Its claims fail; the
// object is never overwritten.
type InvalidValue struct {
	Shard int
	Err   *ValueError
}

func (Read) isCommand()     {}
func (Write) isCommand()    {}
func (Ended) isCommand()    {}
func (Released) isCommand() {}
func (InvalidValue) isCommand()  {}

// request is the holder an operation is for.
func (o Op) request() ids.Request { return o.Record.Request }
