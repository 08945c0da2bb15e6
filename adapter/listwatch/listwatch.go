// Package listwatch follows a collection of objects in a store that is listed
// once and then watched for changes.
//
// After a failure the follower watches on from where it was; it lists again only
// where the store has forgotten the history in between: lists of many nodes after an
// outage would be most of its load. Waits are bounded, so that a connection which went
// silent is noticed within one wait.
package listwatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/every"
)

// RevisionGoneError tells that the store no longer has the changes since a revision.
type RevisionGoneError struct{ Since int64 }

// Error implements error.
func (e *RevisionGoneError) Error() string {
	return fmt.Sprintf("the store has forgotten the changes since revision %d", e.Since)
}

// List is a whole collection as of Revision.
type List[T any] struct {
	Items []T
	// Malformed names the objects that are there but cannot be read.
	Malformed []Removal
	Revision  int64
}

// Removal tells that the object of a name was removed at Revision, or can no
// longer be read since then.
type Removal struct {
	Name     string
	Revision int64
	// Malformed tells why an object that is still there cannot be read, nil for
	// one that was removed.
	Malformed error
}

// Event is one change: Put is set, or else Removed is.
type Event[T any] struct {
	Put     *T
	Removed Removal
}

// Changes are the changes up to Revision, in order.
type Changes[T any] struct {
	Events   []Event[T]
	Revision int64
}

// Source is one collection of a store.
type Source[T any] interface {
	// List reads the collection, as of now or, where it may be stale, as of some
	// seconds ago, which is cheaper. Its Revision is that of what it holds, so that
	// a watch from there tells the rest.
	List(ctx context.Context, stale bool) (List[T], error)
	// Watch waits, for at most the given time, until something changed after a
	// revision. A *HistoryError means that a list is needed.
	Watch(ctx context.Context, since int64, wait time.Duration) (Changes[T], error)
}

// Sink takes what the store says. One goroutine calls it.
type Sink[T any] interface {
	Listed(list List[T])
	// Changed may have no events, where only the revision went on.
	Changed(changes Changes[T])
	// Failed tells that the store does not answer; it is called after each
	// failed call. Recovered tells that it answers again, before what it tells.
	Failed(err error)
	Recovered()
}

// Options set up a Follower. Zero values stand for the defaults.
type Options struct {
	// Name is the collection's, for logs.
	Name string
	// WatchWait is how long one watch waits. Default 3s: a silent connection must
	// be noticed before what it hides is needed.
	WatchWait time.Duration
	// BatchDelay is the least time between two watches, so that many changes come
	// in one answer. Default 100ms.
	BatchDelay time.Duration
	// Backoff is the wait after a first failure; it doubles up to MaxBackoff.
	// Defaults 100ms and 800ms.
	Backoff, MaxBackoff time.Duration
	// Log takes a line when the store is lost and when it is back.
	Log zerolog.Logger
	// Seed starts the random source that spreads calls.
	Seed uint64
}

// Defaults of Options.
const (
	defaultWait       = 3 * time.Second
	defaultPause      = 100 * time.Millisecond
	defaultBackoff    = 100 * time.Millisecond
	defaultMaxBackoff = 800 * time.Millisecond
)

// Follower follows one collection. Make it with New, and let Run run.
type Follower[T any] struct {
	source Source[T]
	sink   Sink[T]
	opts   Options
	rand   *rand.Rand
	lost   bool
	fails  int
}

// New makes a Follower.
func New[T any](source Source[T], sink Sink[T], o Options) *Follower[T] {
	setDefault(&o.WatchWait, defaultWait)
	setDefault(&o.BatchDelay, defaultPause)
	setDefault(&o.Backoff, defaultBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	return &Follower[T]{source: source, sink: sink, opts: o, rand: rand.New(rand.NewPCG(o.Seed, seedStream))}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x6c697374

// setDefault fills in an unset duration.
func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	// What a stale list is behind, the watch from its revision tells at once.
	stale := true
	for ctx.Err() == nil {
		list, err := f.source.List(ctx, stale)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.answered()
		f.sink.Listed(list)
		f.follow(ctx, list.Revision)
		// A stale list may be older than the history that is left.
		stale = false
	}
}

// follow watches on from a revision until the history after it is forgotten.
func (f *Follower[T]) follow(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		changes, err := f.source.Watch(ctx, revision, f.opts.WatchWait)
		var history *RevisionGoneError
		if errors.As(err, &history) {
			f.opts.Log.Info().Str("event", "history_lost").Str("kind", f.opts.Name).Int64("revision", revision).Send()
			return
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.answered()
		if len(changes.Events) > 0 || changes.Revision > revision {
			f.sink.Changed(changes)
		}
		if len(changes.Events) > 0 {
			every.Sleep(ctx, f.opts.BatchDelay)
		}
		revision = max(revision, changes.Revision)
	}
}

// failed notes a failure and waits.
func (f *Follower[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.lost {
		f.opts.Log.Warn().Str("event", "store_lost").Str("kind", f.opts.Name).Err(err).Send()
	}
	f.lost = true
	f.sink.Failed(err)
	wait := backoff.Exponential(f.opts.Backoff, f.opts.MaxBackoff, f.fails)
	f.fails++
	every.Sleep(ctx, wait/2+time.Duration(f.rand.Int64N(int64(wait))))
}

// answered notes that the store answers.
func (f *Follower[T]) answered() {
	f.fails = 0
	if !f.lost {
		return
	}
	f.lost = false
	f.opts.Log.Info().Str("event", "store_back").Str("kind", f.opts.Name).Send()
	f.sink.Recovered()
}
