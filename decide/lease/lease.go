// Package lease decides who holds a lease that is kept in one object of the
// platform's store.
//
// The object names the holder, the term and the lease's duration. Every
// judgement is by the node's own monotonic clock; no times of day are stored
// or compared:
//
//   - The holder counts the duration from before its write was sent. So its
//     lease lapses no later than for anybody who saw the write's effect.
//   - Anybody else waits a whole duration, and a margin for clocks that run at
//     unlike rates, from when it first saw a version. Only if that version
//     still stands does its conditional update take the lease over.
//   - A write whose answer was lost is settled by reading the object back: each
//     write has an id of its own.
//
// A term begins with each takeover, also with the same holder's after a lapse.
// The version of its first write is the fencing number of the term: since the
// store's versions only grow, a later term has a higher one.
//
// The package is pure. A Lease is not safe for concurrent use. The same
// events and seed give the same commands.
package lease

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"
)

// Options set up a Lease. Holder is required; zero values of the rest stand
// for the defaults.
type Options struct {
	// Holder names this process: unique across VMs and restarts.
	Holder string
	// Duration is the lease's. Default 15s.
	Duration time.Duration
	// Margin is waited on top of another holder's duration. Default a tenth
	// of the Duration.
	Margin time.Duration
	// ReadInterval is the time between two reads while another holds the lease.
	// Default a quarter of the Duration.
	ReadInterval time.Duration
	// RetryMin is the wait after a call that failed; it doubles with each
	// further one up to RetryMax. Defaults a twentieth and a half of the
	// Duration: a store that was away answers the first call within half a
	// lease of its return, and meanwhile it gets a few calls of each candidate
	// instead of five a second.
	RetryMin, RetryMax time.Duration
	// StaleReads allows reads some seconds old while another holds the lease,
	// for stores where these are cheaper. A takeover is no later by that.
	StaleReads bool
	// Seed starts the random source that spreads calls.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultDuration = 15 * time.Second
	marginPart      = 10
	readPart        = 4
	retryPart       = 20
	retryMostPart   = 2
	// renewPart: a lease is renewed once a third of it has passed.
	renewPart = 3
)

// maxUnsettled bounds the writes without answer that are remembered.
const maxUnsettled = 8

// withDefaults fills in unset options.
func (o Options) withDefaults() Options {
	o.Duration = cmp.Or(o.Duration, DefaultDuration)
	o.Margin = cmp.Or(o.Margin, o.Duration/marginPart)
	o.ReadInterval = cmp.Or(o.ReadInterval, o.Duration/readPart)
	o.RetryMin = cmp.Or(o.RetryMin, o.Duration/retryPart)
	o.RetryMax = cmp.Or(o.RetryMax, o.Duration/retryMostPart)
	return o
}

// Record is the value of a lease object.
type Record struct {
	// Holder is empty when the lease was given back.
	Holder string `json:"holder"`
	// Term counts the takeovers, from 1.
	Term int64 `json:"term"`
	// DurationNs is the lease's duration, in nanoseconds.
	DurationNs int64 `json:"duration_ns"`
	// Change is the id of the write.
	Change string `json:"change"`
}

// maxDuration is the longest lease that is believed: twenty times the longest
// that a holder here asks for, so that a duration in another unit or of another
// writer does not hold up all orders.
const maxDuration = 5 * time.Minute

// sound reports whether a holder can have written the record.
func (r Record) sound() bool {
	return r.Term > 0 && r.DurationNs > 0 && r.Duration() <= maxDuration
}

// Duration gives the lease's duration.
func (r Record) Duration() time.Duration { return time.Duration(r.DurationNs) }

// Command is a call to the platform. Exactly one Answer follows each, and no
// other command comes before it.
type Command interface {
	fmt.Stringer
	isCommand()
}

// Read asks for the object.
type Read struct {
	// Stale tells that an answer some seconds old will do: it only spares
	// needless writes, since each write is conditional.
	Stale bool
}

// Write asks for a conditional update.
type Write struct {
	Record Record
	// IfMatch is the version that must stand; 0: the object must not exist.
	IfMatch int64
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
	return fmt.Sprintf("write holder %q term %d change %s if %d", w.Record.Holder, w.Record.Term, w.Record.Change, w.IfMatch)
}

func (Read) isCommand()  {}
func (Write) isCommand() {}

// Answer is what came of a command.
type Answer struct {
	Kind AnswerKind
	// Version and Record are the object's, with Found.
	Version int64
	Record  Record
}

// AnswerKind is a kind of Answer.
type AnswerKind int

// Kinds of Answer.
const (
	// Found: the object as it was read, written, or as it stood in the way
	// of a write.
	Found AnswerKind = iota
	// Absent: there is no such object.
	Absent
	// Lost: the call may have taken effect, or may yet.
	Lost
	// Failed: the call had no effect and will have none.
	Failed
	// Unreadable: the object's value is no Record; Version is set.
	Unreadable
)

// Status is what may be said of the lease at one time.
type Status struct {
	// Held tells that this process holds the lease, for Left from then on.
	Held bool
	Left time.Duration
	// Fence is the term's fencing number.
	Fence int64
	// Since is when this process learned of its term.
	Since time.Time
}

// Lease is one process's view of a lease. Make it with New.
type Lease struct {
	opts Options
	rand *rand.Rand
	// wanted is false once the lease is given up.
	wanted bool

	// known tells that the object was read; version is 0 when it is absent.
	known   bool
	version int64
	record  Record
	// seen is when this version was first seen.
	seen time.Time

	// busy tells that a command is under way; stale that it is a stale read.
	busy  bool
	stale bool
	// next is when the next call may be made; unsettled writes are read
	// back before another is made.
	next   time.Time
	settle bool
	// failures counts the calls without effect or answer since the last answer.
	failures int
	writes   []sent
	changes  int

	// term, fence, since and until are of this process's own term.
	term  int64
	fence int64
	since time.Time
	until time.Time
}

// sent is a write of this process that may yet be found in the object.
type sent struct {
	change string
	term   int64
	at     time.Time
}

// New makes a view that wants the lease.
func New(opts Options) *Lease {
	opts = opts.withDefaults()
	return &Lease{
		opts:   opts,
		rand:   rand.New(rand.NewPCG(opts.Seed, seedStream)),
		wanted: true,
	}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x6c65617365

// State tells whether the lease is held at now. Read the clock just before
// each use and ask again.
func (l *Lease) State(now time.Time) Status {
	left := l.until.Sub(now)
	if l.term == 0 || left <= 0 {
		return Status{}
	}
	return Status{Held: true, Left: left, Fence: l.fence, Since: l.since}
}

// LastTerm tells of the own term after its lease has run out, as long as nobody
// else is known to have taken it over. Only duties whose every step is fenced
// may go by it, while the store cannot be asked: Left is 0.
func (l *Lease) LastTerm() Status {
	if l.term == 0 || !l.wanted {
		return Status{}
	}
	return Status{Held: true, Fence: l.fence, Since: l.since}
}
