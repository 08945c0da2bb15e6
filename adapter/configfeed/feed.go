// Package configfeed keeps a node's configuration up to date with objects from the
// platform and from peers. One goroutine calls the platform and another owns the
// configuration; bounded queues connect them. While the platform is unreachable, the
// configuration still follows the objects that peers relay.
package configfeed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/router"
)

// Platform is the part of the platform's client that a Feed needs.
type Platform interface {
	List(ctx context.Context, prefix string) (platformapi.ListReply, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platformapi.ListReply, error)
}

// Status describes the configuration that a Feed holds and where it came from.
type Status struct {
	configorder.Status
	// Versions holds the version of each known key.
	Versions []configorder.KeyVersion
	// Revision is the newest revision that the platform has reported, or 0 if none.
	Revision int64
	// LastContact is when the platform last answered, or zero if it never has.
	LastContact time.Time
	// Relayed counts the batches of objects from peers that changed the configuration.
	Relayed uint64
	// Rejected counts the rejected objects: those that are older than the known version,
	// invalid, or beyond the capacity of the store.
	Rejected uint64
}

// StoppedError reports that the context of a query ended before the Feed answered it.
type StoppedError struct{ Cause error }

// Error implements error.
func (e *StoppedError) Error() string { return "configuration feed: " + e.Cause.Error() }

// Unwrap returns the error of the context.
func (e *StoppedError) Unwrap() error { return e.Cause }

// Feed collects the configuration. Create it with New and start it with Run.
type Feed struct {
	platform Platform
	settings Settings
	sink     func(*router.Config)
	replies  *ring.Ring[platformReply]
	offered  *ring.Ring[[]platformapi.Object]
	queries  *ring.Ring[func(*owner)]
}

// platformReply is one answer of the platform.
type platformReply struct {
	content platformapi.ListReply
	// isList is true if the reply has all objects, and false if it has changes only.
	isList bool
}

// New returns a Feed. It passes each new configuration to sink, always from the same
// goroutine. sink must return quickly and must not call the Feed.
func New(platform Platform, sink func(*router.Config), settings Settings) *Feed {
	settings = settings.withDefaults()
	return &Feed{
		platform: platform,
		settings: settings,
		sink:     sink,
		replies:  ring.New[platformReply]("config lists", 1),
		offered:  ring.New[[]platformapi.Object]("config offers", settings.RingCapacity),
		queries:  ring.New[func(*owner)]("config questions", settings.RingCapacity),
	}
}

// Run updates the configuration until ctx ends. Call it once.
func (f *Feed) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { f.newWatcher().run(ctx) })
	newOwner(f).run(ctx)
	wait.Wait()
}

// newWatcher returns the watcher that calls the platform.
func (f *Feed) newWatcher() *watcher {
	return &watcher{feed: f, rand: rand.New(rand.NewPCG(f.settings.Seed, 0))}
}

// Offer passes on objects that a peer relayed. Any goroutine may call it. A
// *ring.FullError means that the objects were dropped; the peer's next relay includes
// them again.
func (f *Feed) Offer(objects []platformapi.Object) error { return f.offered.Offer(objects) }

// Status returns the state of the Feed. Any goroutine may call it while Run runs. The
// error is a *StoppedError if ctx ended first.
func (f *Feed) Status(ctx context.Context) (Status, error) {
	return query(ctx, f, (*owner).snapshot)
}

// Summary returns the version of each key that the Feed holds, to send to a peer. The
// error is the same as for Status.
func (f *Feed) Summary(ctx context.Context) ([]configorder.KeyVersion, error) {
	return query(ctx, f, func(o *owner) []configorder.KeyVersion { return o.store.Summary() })
}

// Newer returns the objects that a peer with the given summary lacks. The values have up
// to maxBytes in total, but at least one object is returned. The error is the same as
// for Status.
func (f *Feed) Newer(ctx context.Context, theirs []configorder.KeyVersion, maxBytes int) ([]platformapi.Object, error) {
	return query(ctx, f, func(o *owner) []platformapi.Object { return o.store.Newer(theirs, maxBytes) })
}

// Digest returns a hash that is equal on nodes with the same versions. The error is the
// same as for Status.
func (f *Feed) Digest(ctx context.Context) (uint64, error) {
	return query(ctx, f, func(o *owner) uint64 { return o.store.Digest() })
}

// query runs a function in the owner's goroutine and returns its result.
func query[T any](ctx context.Context, f *Feed, run func(*owner) T) (T, error) {
	result := make(chan T, 1)
	err := f.queries.Put(ctx, func(o *owner) { result <- run(o) })
	if err == nil {
		select {
		case value := <-result:
			return value, nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	var none T
	return none, &StoppedError{Cause: err}
}
