package configfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/fleet"
)

// watcher calls the platform, one call at a time: first a list, then watches.
type watcher struct {
	feed *Feed
	rand *rand.Rand
	// revision is the revision up to which all changes are known.
	revision int64
	// lastList is when the last complete list arrived. Zero makes the next call a list.
	lastList time.Time
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

// step makes the next call.
func (w *watcher) step(ctx context.Context) error {
	if w.lastList.IsZero() || time.Since(w.lastList) >= w.feed.settings.RelistInterval {
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
	w.lastList = time.Now()
	return w.deliver(ctx, platformReply{content: reply, isList: true})
}

// watch waits up to wait for changes; with 0 it returns those that exist already. After
// a second failure in a row the next call is a list, because the platform may no longer
// have the changes since then.
func (w *watcher) watch(ctx context.Context, wait time.Duration) error {
	start := time.Now()
	reply, err := w.feed.platform.Watch(ctx, fleet.ConfigPrefix, w.revision, wait)
	if err != nil {
		if w.failures > 0 {
			w.lastList = time.Time{}
		}
		return err
	}
	if len(reply.Objects) == 0 && time.Since(start) < wait/2 {
		return &EarlyWatchEndError{}
	}
	return w.deliver(ctx, platformReply{content: reply})
}

// EarlyWatchEndError reports that a watch ended without changes in less than half of its
// wait. It counts as a failure, so that the backoff prevents a tight loop of calls.
type EarlyWatchEndError struct{}

// Error implements error.
func (e *EarlyWatchEndError) Error() string { return "a watch ended early without changes" }

// deliver passes an answer to the owner. The known revision never decreases.
func (w *watcher) deliver(ctx context.Context, item platformReply) error {
	w.revision = max(w.revision, item.content.Revision)
	return w.feed.replies.Put(ctx, item)
}

// pause waits after a failure, for half of the backoff and a random part of the other
// half.
func (w *watcher) pause(ctx context.Context) {
	backoff := w.feed.settings.BackoffMin
	for i := 1; i < w.failures && backoff < w.feed.settings.BackoffMax; i++ {
		backoff *= 2
	}
	half := min(backoff, w.feed.settings.BackoffMax) / 2
	sleep(ctx, half+time.Duration(w.rand.Int64N(int64(half)+1)))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
