// Package listwatch follows a collection of objects in a store: it lists the collection
// once and then watches it for changes.
//
// After a failure the Follower resumes the watch from the last revision it has seen. It
// lists again only if the store no longer has the changes since then, because lists by
// many nodes would be most of the store's load after an outage. Watches have a limited
// wait, so a broken connection is detected within one wait.
package listwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/revision"
)

// RevisionGoneError reports that the store no longer has the changes since a revision.
type RevisionGoneError struct{ Since revision.Revision }

// Error implements error.
func (e *RevisionGoneError) Error() string {
	return "the store no longer has the changes since revision " + e.Since.String()
}

// List holds all objects of a collection as of Revision.
type List[T any] struct {
	Items []T
	// Malformed holds the objects that exist but cannot be decoded.
	Malformed []Removal
	Revision  revision.Revision
}

// Removal reports that the named object was removed at Revision, or that it cannot be
// decoded since then.
type Removal struct {
	Name     string
	Revision revision.Revision
	// Malformed is the reason why an existing object cannot be decoded, or nil if the
	// object was removed.
	Malformed error
}

// Event is one change. Put is the new state of an object; if Put is nil, Removed names
// the object that is gone.
type Event[T any] struct {
	Put     *T
	Removed Removal
}

// Changes holds the changes up to Revision, in order.
type Changes[T any] struct {
	Events   []Event[T]
	Revision revision.Revision
}

// Source reads one collection of a store.
type Source[T any] interface {
	// List returns the collection. If stale is set, the result may be some seconds old,
	// which costs the store less. The revision of the list matches its content, so a
	// watch from that revision returns every later change.
	List(ctx context.Context, stale bool) (List[T], error)
	// Watch waits up to wait for changes after the revision since. It returns a
	// *RevisionGoneError if the collection must be listed again: the store has dropped
	// its history, or was restored from an older copy.
	Watch(ctx context.Context, since revision.Revision, wait time.Duration) (Changes[T], error)
}

// Sink receives the state of the collection. All methods are called from one goroutine.
type Sink[T any] interface {
	Listed(list List[T])
	// Changed may have no events if only the revision has advanced.
	Changed(changes Changes[T])
	// Failed is called after each failed call to the store. Recovered is called when the
	// store answers again, before Listed or Changed.
	Failed(err error)
	Recovered()
}

// Options configures a Follower. Zero values select the defaults.
type Options struct {
	// Name is the name of the collection in logs.
	Name string
	// WatchWait is how long one watch waits for a change. It bounds how long a broken
	// connection can hide changes. Default 3s.
	WatchWait time.Duration
	// BatchDelay is the delay before the next watch after a change, so that many changes
	// arrive in one answer. Default 100ms.
	BatchDelay time.Duration
	// Backoff is the delay after the first failure. It doubles with each further one, up
	// to MaxBackoff. Defaults 100ms and 800ms.
	Backoff, MaxBackoff time.Duration
	// Log gets a line when the store becomes unreachable and when it is back.
	Log zerolog.Logger
	// Seed seeds the random source that spreads retries.
	Seed uint64
}

// Defaults of Options.
const (
	defaultWatchWait  = 3 * time.Second
	defaultBatchDelay = 100 * time.Millisecond
	defaultBackoff    = 100 * time.Millisecond
	defaultMaxBackoff = 800 * time.Millisecond
)

// Follower follows one collection. Create it with New and start it with Run.
type Follower[T any] struct {
	source       Source[T]
	sink         Sink[T]
	opts         Options
	rand         *rand.Rand
	disconnected bool
	failures     int
}

// New returns a Follower that reads source and notifies sink.
func New[T any](source Source[T], sink Sink[T], o Options) *Follower[T] {
	setDefault(&o.WatchWait, defaultWatchWait)
	setDefault(&o.BatchDelay, defaultBatchDelay)
	setDefault(&o.Backoff, defaultBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	return &Follower[T]{source: source, sink: sink, opts: o, rand: rand.New(rand.NewPCG(o.Seed, seedStream))}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x6c697374

// setDefault sets *d to value unless it is positive.
func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Run follows the collection until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	// The watch that follows returns the changes that a stale list lacks.
	stale := true
	for ctx.Err() == nil {
		list, err := f.source.List(ctx, stale)
		if err != nil {
			f.backOff(ctx, err)
			continue
		}
		f.succeeded()
		f.sink.Listed(list)
		f.follow(ctx, list.Revision)
		// The store may no longer have the changes since the revision of a stale list.
		stale = false
	}
}

// follow watches the collection from a revision until ctx ends or the store no longer
// has the changes since that revision.
func (f *Follower[T]) follow(ctx context.Context, since revision.Revision) {
	for ctx.Err() == nil {
		changes, err := f.source.Watch(ctx, since, f.opts.WatchWait)
		var gone *RevisionGoneError
		if errors.As(err, &gone) {
			f.opts.Log.Info().Str("event", "history_lost").Str("kind", f.opts.Name).Stringer("revision", since).Send()
			return
		}
		if err != nil {
			f.backOff(ctx, err)
			continue
		}
		f.succeeded()
		if len(changes.Events) > 0 || changes.Revision.After(since) {
			f.sink.Changed(changes)
		}
		if len(changes.Events) > 0 {
			every.Sleep(ctx, f.opts.BatchDelay)
		}
		since = revision.Latest(since, changes.Revision)
	}
}

// backOff reports a failed call and waits before the next one.
func (f *Follower[T]) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.disconnected {
		f.opts.Log.Warn().Str("event", "store_lost").Str("kind", f.opts.Name).Err(err).Send()
	}
	f.disconnected = true
	f.sink.Failed(err)
	wait := backoff.Exponential(f.opts.Backoff, f.opts.MaxBackoff, f.failures)
	f.failures++
	every.Sleep(ctx, wait/2+time.Duration(f.rand.Int64N(int64(wait))))
}

// succeeded resets the backoff, and reports the recovery if the last call had failed.
func (f *Follower[T]) succeeded() {
	f.failures = 0
	if !f.disconnected {
		return
	}
	f.disconnected = false
	f.opts.Log.Info().Str("event", "store_back").Str("kind", f.opts.Name).Send()
	f.sink.Recovered()
}
