// Package lease implements a lease that is stored in one object of the
// platform's store, so that at most one process at a time performs a task.
//
// The object contains the holder, the term and the duration of the lease. All
// decisions use the process's own monotonic clock; no times of day are stored or
// compared:
//
//   - The holder counts the duration from before its write was sent. Its lease
//     therefore ends no later than for any process that saw the write's effect.
//   - Any other process waits for a whole duration from when it first saw a
//     version, plus a margin for clocks that run at different rates. Its
//     conditional update then takes the lease over only if that version is still
//     current.
//   - A write whose answer was lost is resolved by reading the object: each write
//     has a unique ID.
//
// A new term begins with each takeover, and also when a holder acquires its own
// lease again after it expired. The fencing token of a term is that of the object's
// version at the first write of the term. Versions only increase, so later terms have
// higher tokens.
//
// A store that is restored from an older copy begins a new epoch of its versions. It
// may have forgotten the lease, or name an earlier holder. A term therefore ends when
// its holder learns of a new epoch, and nobody acquires the lease until a whole duration
// has passed since they learned of it. Only a process whose lease would still be valid
// may do so before: no other can have acquired it.
//
// The package is pure: it does no I/O and reads no clock. The same events and
// seed lead to the same commands. A Lease is not safe for concurrent use.
package lease

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/revision"
)

// Options configure a Lease. Holder is required; other zero fields take their
// defaults.
type Options struct {
	// Holder identifies this process. It must be unique across VMs and restarts.
	Holder string
	// Duration is the duration of the lease. Default 15s.
	Duration time.Duration
	// Margin is the time to wait in addition to another holder's duration.
	// Default a tenth of Duration.
	Margin time.Duration
	// ReadInterval is the maximum time between reads while another process holds
	// the lease. Default a quarter of Duration.
	ReadInterval time.Duration
	// RetryMin is the maximum wait after a failed call. It doubles with each
	// further failure up to RetryMax. The defaults are a twentieth and a half of
	// Duration: after an outage of the store, the first call succeeds within
	// half a Duration, and during the outage each candidate makes a few calls
	// instead of five per second.
	RetryMin, RetryMax time.Duration
	// StaleReads allows reads that are some seconds old while another process
	// holds the lease, for stores in which these are cheaper. They do not delay
	// a takeover.
	StaleReads bool
	// Seed seeds the random source of the jitter.
	Seed uint64
}

// Defaults of Options. Divisors are relative to Options.Duration.
const (
	DefaultDuration     = 15 * time.Second
	marginDivisor       = 10
	readIntervalDivisor = 4
	retryMinDivisor     = 20
	retryMaxDivisor     = 2
	// A lease is renewed once a third of its duration has passed.
	renewDivisor = 3
)

// maxUnresolvedWrites is the maximum number of writes with unknown outcome that
// are remembered.
const maxUnresolvedWrites = 8

// withDefaults returns the options with defaults in unset fields.
func (o Options) withDefaults() Options {
	o.Duration = cmp.Or(o.Duration, DefaultDuration)
	o.Margin = cmp.Or(o.Margin, o.Duration/marginDivisor)
	o.ReadInterval = cmp.Or(o.ReadInterval, o.Duration/readIntervalDivisor)
	o.RetryMin = cmp.Or(o.RetryMin, o.Duration/retryMinDivisor)
	o.RetryMax = cmp.Or(o.RetryMax, o.Duration/retryMaxDivisor)
	return o
}

// Record is the content of a lease object.
type Record struct {
	// Holder is the process that holds the lease. It is empty if the lease was
	// released.
	Holder string `json:"holder"`
	// Term is the number of the term, from 1.
	Term int64 `json:"term"`
	// DurationNs is the duration of the lease in nanoseconds.
	DurationNs int64 `json:"duration_ns"`
	// Change is the unique ID of the write.
	Change string `json:"change"`
}

// maxDuration is the longest duration that is accepted from a record. It is
// twenty times the longest that holders use, so that a record with another unit
// or from another writer does not block all orders for long.
const maxDuration = 5 * time.Minute

// valid reports whether a holder can have written the record.
func (r Record) valid() bool {
	return r.Term > 0 && r.DurationNs > 0 && r.Duration() <= maxDuration
}

// Duration returns the duration of the lease.
func (r Record) Duration() time.Duration { return time.Duration(r.DurationNs) }

// Command is a call to the platform. It is answered by exactly one Answer,
// before which no other Command is issued.
type Command interface {
	fmt.Stringer
	isCommand()
}

// Read requests the object.
type Read struct {
	// Stale reports that an object some seconds old is sufficient. All writes
	// are conditional, so a stale read can at worst cause a write that fails.
	Stale bool
}

// Write requests a conditional update of the object.
type Write struct {
	Record Record
	// IfMatch is the version that the object must have; the number 0 means that the
	// object must not exist. The write must not be sent to a store that is known to be
	// in another epoch, in which the same number stands for another version.
	IfMatch revision.Revision
}

// String implements fmt.Stringer.
func (r Read) String() string {
	if r.Stale {
		return "read stale"
	}
	return "read"
}

// String implements fmt.Stringer.
func (w Write) String() string {
	return fmt.Sprintf("write holder %q term %d change %s if %s", w.Record.Holder, w.Record.Term, w.Record.Change, w.IfMatch)
}

func (Read) isCommand()  {}
func (Write) isCommand() {}

// Answer is the outcome of a Command.
type Answer struct {
	Kind AnswerKind
	// Version and Record are the object's. They are set if Kind is Found. If Kind is
	// Absent, Version contains only the epoch.
	Version revision.Revision
	Record  Record
}

// AnswerKind is the type of an Answer.
type AnswerKind int

// Types of answers.
const (
	// Found: the object as it was read or written, or as it is after a failed
	// condition of a write.
	Found AnswerKind = iota
	// Absent: the object does not exist.
	Absent
	// Lost: the outcome is unknown. The call may have taken effect or may still
	// do so.
	Lost
	// Failed: the call had no effect and never will.
	Failed
	// Unreadable: the object's content is not a Record. Version is set.
	Unreadable
)

// Status is the state of the lease at one time.
type Status struct {
	// Held reports whether this process holds the lease. Left is how long it
	// does so if the lease is not renewed.
	Held bool
	Left time.Duration
	// Fence is the fencing token of the term.
	Fence int64
	// Since is when this process learned that its term began.
	Since time.Time
}

// Lease is the state of a lease as one process knows it. Create it with New.
type Lease struct {
	opts Options
	rand *rand.Rand
	// candidate is false after Resign.
	candidate bool

	// epoch is the latest epoch of the store that is known, and epochSince when it
	// became known. epochSince is zero if the store does not report epochs.
	epoch      int64
	epochSince time.Time
	// heldUntil is when the last term of this process in an earlier epoch would have
	// expired. No other process can have acquired the lease before.
	heldUntil time.Time
	// highestTerm is the highest term that was seen in earlier epochs.
	highestTerm int64

	// known reports whether the object was read in the epoch. The number of version is
	// 0 if it does not exist.
	known   bool
	version revision.Revision
	record  Record
	// versionSeenAt is when the current version was first seen.
	versionSeenAt time.Time

	// callOpen reports whether a command awaits its answer, and staleRead
	// whether that command is a stale read.
	callOpen  bool
	staleRead bool
	// nextCallAt is the earliest time of the next call. mustRead reports that
	// the object must be read before the next write.
	nextCallAt time.Time
	mustRead   bool
	// failures is the number of calls that were lost or failed since the last
	// other answer.
	failures   int
	writes     []sentWrite
	writeCount int

	// term, fence, since and until describe the term of this process. term is 0
	// if it has none.
	term  int64
	fence int64
	since time.Time
	until time.Time
}

// sentWrite is a write of this process that may still appear in the object.
type sentWrite struct {
	change string
	term   int64
	at     time.Time
}

// New returns a Lease that is a candidate and has not read the object.
func New(opts Options) *Lease {
	opts = opts.withDefaults()
	return &Lease{
		opts:      opts,
		rand:      rand.New(rand.NewPCG(opts.Seed, seedStream)),
		candidate: true,
	}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x6c65617365

// Version returns the version of the object as far as this process knows it, or zero.
func (l *Lease) Version() revision.Revision { return l.version }

// State returns whether the lease is held at now. Callers must read the clock
// and call State right before each action that depends on the lease.
func (l *Lease) State(now time.Time) Status {
	left := l.until.Sub(now)
	if l.term == 0 || left <= 0 {
		return Status{}
	}
	return Status{Held: true, Left: left, Fence: l.fence, Since: l.since}
}

// LastTerm returns the term of this process, even if its lease has expired, as
// long as no other process is known to have taken the lease over. It may only be
// used while the store is unreachable, and only for tasks in which every action
// is protected by the fencing token. Left is 0.
func (l *Lease) LastTerm() Status {
	if l.term == 0 || !l.candidate {
		return Status{}
	}
	return Status{Held: true, Fence: l.fence, Since: l.since}
}
