// Package configfeed keeps a node's configuration up to date from the
// platform and from what peers relay. One goroutine watches the platform,
// one owns the configuration; bounded rings join them. Without the platform
// the feed lives on what peers relay.
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

// Status tells what a Feed holds.
type Status struct {
	configorder.Status
	// Versions lists what is known, by key.
	Versions []configorder.KeyVersion
	// Revision is the platform's newest one heard of; 0 if none.
	Revision int64
	// LastContact is when the platform last answered; zero if it never did.
	LastContact time.Time
	// Relayed counts changes that came from peers first.
	Relayed uint64
	// Rejected counts objects refused: older ones, invalid ones and those
	// without room.
	Rejected uint64
}

// StoppedError tells that a Feed has stopped, or that a question to it was
// given up.
type StoppedError struct{ Cause error }

// Error implements error.
func (e *StoppedError) Error() string { return "configuration feed: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }

// Feed gathers configuration. Make it with New, and let Run run.
type Feed struct {
	platform Platform
	settings Settings
	sink     func(*router.Config)
	lists    *ring.Ring[listed]
	offers   *ring.Ring[[]platformapi.Object]
	asks     *ring.Ring[func(*owner)]
}

// listed is one answer of the platform.
type listed struct {
	reply platformapi.ListReply
	// whole is true for a list, false for changes.
	whole bool
}

// New makes a Feed. sink gets each new configuration, from one goroutine; it
// must not call the Feed, and must not keep the goroutine long.
func New(platform Platform, sink func(*router.Config), settings Settings) *Feed {
	settings = settings.withDefaults()
	return &Feed{
		platform: platform,
		settings: settings,
		sink:     sink,
		lists:    ring.New[listed]("config lists", 1),
		offers:   ring.New[[]platformapi.Object]("config offers", settings.RingCapacity),
		asks:     ring.New[func(*owner)]("config questions", settings.RingCapacity),
	}
}

// Run feeds the sink until ctx ends. It is called once.
func (f *Feed) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { f.watcher().run(ctx) })
	newOwner(f).run(ctx)
	wait.Wait()
}

// watcher makes the goroutine that calls the platform.
func (f *Feed) watcher() *watcher {
	return &watcher{feed: f, rand: rand.New(rand.NewPCG(f.settings.Seed, 0))}
}

// Offer hands over objects that a peer relayed. Any goroutine may call it. A
// *ring.FullError refuses them; the peer's next relay brings them again.
func (f *Feed) Offer(objects []platformapi.Object) error { return f.offers.Offer(objects) }

// Status tells what the Feed holds. Any goroutine may call it while Run runs;
// the error is a *StoppedError when ctx ended first.
func (f *Feed) Status(ctx context.Context) (Status, error) {
	return ask(ctx, f, (*owner).report)
}

// Summary lists what the Feed holds, for a peer. Called as Status is.
func (f *Feed) Summary(ctx context.Context) ([]configorder.KeyVersion, error) {
	return ask(ctx, f, func(o *owner) []configorder.KeyVersion { return o.store.Summary() })
}

// Newer gives the objects that a peer with this summary lacks, up to maxBytes
// of values; but at least one. Called as Status is.
func (f *Feed) Newer(ctx context.Context, theirs []configorder.KeyVersion, maxBytes int) ([]platformapi.Object, error) {
	return ask(ctx, f, func(o *owner) []platformapi.Object { return o.store.Newer(theirs, maxBytes) })
}

// Digest is equal on nodes that hold the same versions. Called as Status is.
func (f *Feed) Digest(ctx context.Context) (uint64, error) {
	return ask(ctx, f, func(o *owner) uint64 { return o.store.Digest() })
}

// ask puts a question to the owner's goroutine and waits for the answer.
func ask[T any](ctx context.Context, f *Feed, question func(*owner) T) (T, error) {
	answer := make(chan T, 1)
	err := f.asks.Put(ctx, func(o *owner) { answer <- question(o) })
	if err == nil {
		select {
		case value := <-answer:
			return value, nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	var none T
	return none, &StoppedError{Cause: err}
}
