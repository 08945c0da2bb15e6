package configfeed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/router"
)

func profile(version int) (key, value string) {
	return fleet.ProfilePrefix + "p", fmt.Sprintf("kind: profile\nname: p\ndeadline: %dms\n", version)
}

// harness is a running Feed with the last configuration that it passed to its sink.
type harness struct {
	*Feed
	platform   *fakePlatform
	mu         sync.Mutex
	config     *router.Config
	errorCount int
}

// run runs a test with a Feed in virtual time.
func run(t *testing.T, test func(ctx context.Context, t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &harness{platform: newFakePlatform()}
		settings := Settings{RingCapacity: 2, OnError: func(error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.errorCount++
		}}
		h.Feed = New(h.platform, func(c *router.Config) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.config = c
		}, settings)
		test(ctx, t, h)
		cancel()
		synctest.Wait()
	})
}

// deadline returns the deadline of the active profile in milliseconds, or 0 if there
// is no such profile.
func (h *harness) deadline() int64 {
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil {
		return 0
	}
	return h.config.Profiles["p"].Deadline.D().Milliseconds()
}

func TestListThenWatch(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, h *harness) {
		h.platform.write(profile(1))
		go h.Run(ctx)
		if got := h.deadline(); got != 1 {
			t.Fatalf("after the list: %d", got)
		}
		h.platform.write(profile(2))
		if got := h.deadline(); got != 2 {
			t.Fatalf("after the watch: %d", got)
		}
		h.platform.write(fleet.ProfilePrefix+"p", "")
		if got := h.deadline(); got != 0 {
			t.Fatalf("after the deletion: %d", got)
		}
		status, err := h.Status(ctx)
		if err != nil || status.Revision != 3 || !status.LastContact.Equal(time.Now()) || len(status.Versions) != 1 {
			t.Fatalf("%+v, %v", status, err)
		}
		if h.platform.lists != 1 {
			t.Fatalf("%d lists", h.platform.lists)
		}
	})
}

func TestNodeWithoutThePlatformFollowsItsPeers(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, h *harness) {
		h.platform.setDown(true)
		go h.Run(ctx)
		key, value := profile(7)
		if err := h.Offer([]platformapi.Object{{Key: key, Version: 7, Value: []byte(value)}}); err != nil {
			t.Fatal(err)
		}
		if got := h.deadline(); got != 7 {
			t.Fatalf("got %d, want the relayed 7", got)
		}
		objects, err := h.Newer(ctx, nil, 1)
		summary, err2 := h.Summary(ctx)
		if err := errors.Join(err, err2); err != nil || len(objects) != 1 || summary[0] != (configorder.KeyVersion{Key: key, Version: 7, Active: 7}) {
			t.Fatalf("%v %v %v", objects, summary, err)
		}
		// The platform has a later version when it is reachable again.
		for range 8 {
			h.platform.write(profile(8))
		}
		h.platform.setDown(false)
		advance(defaultBackoffMax)
		if got := h.deadline(); got != 8 {
			t.Fatalf("got %d, want 8", got)
		}
	})
}

func TestOutageCausesFewCalls(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, h *harness) {
		h.platform.setDown(true)
		go h.Run(ctx)
		advance(time.Minute)
		synctest.Wait()
		// After the first few calls, at least half of the longest backoff lies between
		// two calls.
		if most := 10 + int(time.Minute/(defaultBackoffMax/2)); h.platform.failed > most || h.platform.failed < 10 {
			t.Fatalf("%d calls in a minute", h.platform.failed)
		}
	})
}

func TestNewListFindsChangesTheWatchMissed(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, h *harness) {
		h.platform.dropsChanges = true
		h.platform.write(profile(1))
		go h.Run(ctx)
		synctest.Wait()
		h.platform.write(profile(2))
		advance(defaultRelistInterval + defaultWatchWait)
		if got := h.deadline(); got != 2 {
			t.Fatalf("got %d, want 2", got)
		}
	})
}

func TestInvalidObjectKeepsTheLastGood(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, h *harness) {
		h.platform.write(profile(1))
		go h.Run(ctx)
		synctest.Wait()
		h.platform.write(fleet.ProfilePrefix+"p", "kind: profile")
		if got := h.deadline(); got != 1 || h.errorCount != 1 {
			t.Fatalf("got %d with %d errors", got, h.errorCount)
		}
	})
}

func TestFullRingRefuses(t *testing.T) {
	h := New(newFakePlatform(), func(*router.Config) {}, Settings{RingCapacity: 1})
	var full *ring.FullError
	if err := errors.Join(h.Offer(nil), h.Offer(nil)); !errors.As(err, &full) {
		t.Fatalf("got %v, want a *ring.FullError", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var stopped *StoppedError
	if _, err := h.Status(ctx); !errors.As(err, &stopped) {
		t.Fatalf("got %v, want a *StoppedError", err)
	}
}

// advance lets virtual time pass.
func advance(d time.Duration) { <-time.After(d) }

// A node must not watch while another node of the zone does, but poll at its interval.
// It must watch as soon as ShouldWatch returns true.
func TestNodeThatDoesNotWatchPolls(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T, h *harness) {
		var watches atomic.Bool
		h.Feed.settings.ShouldWatch = watches.Load
		h.platform.write(profile(1))
		go h.Run(ctx)
		synctest.Wait()
		h.platform.write(profile(2))
		if got := h.deadline(); got != 1 {
			t.Fatalf("a node that does not watch got the change at once: %d", got)
		}
		advance(defaultPollInterval)
		if got := h.deadline(); got != 2 {
			t.Fatalf("after the poll: %d", got)
		}
		watches.Store(true)
		advance(defaultPollInterval)
		h.platform.write(profile(3))
		if got := h.deadline(); got != 3 {
			t.Fatalf("a watching node did not get the change at once: %d", got)
		}
	})
}
