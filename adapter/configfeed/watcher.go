package configfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/fleet"
)

// watcher is the goroutine that calls the platform: a list first, then a
// watch after another. One call is open at a time.
type watcher struct {
	feed *Feed
	rand *rand.Rand
	// after is the revision up to which changes are known.
	after int64
	// listedAt is when the last whole list came; zero asks for one.
	listedAt time.Time
	failures int
}

// run calls the platform until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			w.failures = 0
			continue
		}
		w.feed.settings.OnError(err)
		w.failures++
		w.pause(ctx)
	}
}

// step makes one call.
func (w *watcher) step(ctx context.Context) error {
	if w.listedAt.IsZero() || time.Since(w.listedAt) >= w.feed.settings.RelistInterval {
		return w.list(ctx)
	}
	if !w.feed.settings.ShouldWatch() {
		sleep(ctx, w.feed.settings.PollInterval)
		return w.watch(ctx, 0)
	}
	return w.watch(ctx, w.feed.settings.WatchWait)
}

// list reads all objects.
func (w *watcher) list(ctx context.Context) error {
	reply, err := w.feed.platform.List(ctx, fleet.ConfigPrefix)
	if err != nil {
		return err
	}
	w.listedAt = time.Now()
	return w.hand(ctx, listed{reply: reply, whole: true})
}

// watch waits for changes; a wait of 0 asks for those there are. A failure asks for a new list when the platform
// has answered: it may no longer know the changes since then.
func (w *watcher) watch(ctx context.Context, wait time.Duration) error {
	start := time.Now()
	reply, err := w.feed.platform.Watch(ctx, fleet.ConfigPrefix, w.after, wait)
	if err != nil {
		if w.failures > 0 {
			w.listedAt = time.Time{}
		}
		return err
	}
	if len(reply.Objects) == 0 && time.Since(start) < wait/2 {
		return &EarlyWatchEndError{}
	}
	return w.hand(ctx, listed{reply: reply})
}

// EarlyWatchEndError tells that a watch ended without changes long before its time;
// the next one has to wait, or the calls would never cease.
type EarlyWatchEndError struct{}

// Error implements error.
func (e *EarlyWatchEndError) Error() string { return "a watch ended early without changes" }

// hand passes an answer to the owner. A revision never goes back.
func (w *watcher) hand(ctx context.Context, item listed) error {
	w.after = max(w.after, item.reply.Revision)
	return w.feed.lists.Put(ctx, item)
}

// pause waits after a failure: half of the backoff and a random part of the
// other half.
func (w *watcher) pause(ctx context.Context) {
	backoff := w.feed.settings.BackoffMin
	for i := 1; i < w.failures && backoff < w.feed.settings.BackoffMax; i++ {
		backoff *= 2
	}
	half := min(backoff, w.feed.settings.BackoffMax) / 2
	sleep(ctx, half+time.Duration(w.rand.Int64N(int64(half)+1)))
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
