package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// fleet is a set of Committers that share one platform, in a synctest bubble.
type fleet struct {
	t          *testing.T
	platform   *fakePlatform
	committers []*Committer
	results    []*results
	stop       context.CancelFunc
	stopped    sync.WaitGroup
}

// run starts Committers, runs a test, and stops them.
func run(t *testing.T, count int, test func(t *testing.T, f *fleet)) {
	runWith(t, count, func(int, *Settings) {}, test)
}

// runWith does the same as run, with changed settings.
func runWith(t *testing.T, count int, change func(i int, s *Settings), test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{t: t, platform: &fakePlatform{objects: make(map[string]platformapi.Object)}, stop: cancel}
		for i := range count {
			r := &results{
				ended:    make(map[ids.Request]router.ClaimEnded),
				at:       make(map[ids.Request]time.Time),
				released: make(map[ids.Request]bool),
			}
			settings := Settings{Claim: claim.Settings{Shards: testShards}, MaxPlatformCalls: 3}
			change(i, &settings)
			c := New(f.platform, r, settings)
			f.committers = append(f.committers, c)
			f.results = append(f.results, r)
			f.stopped.Go(func() { c.Run(ctx) })
		}
		test(t, f)
		cancel()
		f.stopped.Wait()
	})
}

// record returns a record of a key and a request.
func record(key, request string) router.ClaimRecord {
	return router.ClaimRecord{Account: "a", Key: key, Request: ids.Request(request), Attempt: 1}
}

// offer submits a command to a Committer.
func (f *fleet) offer(i int, command router.Command) {
	f.t.Helper()
	if err := f.committers[i].Offer(command); err != nil {
		f.t.Fatal(err)
	}
}

// claim submits a claim to a Committer.
func (f *fleet) claim(i int, key, request string) {
	f.t.Helper()
	f.offer(i, router.Claim{ID: ids.Request(request), Record: record(key, request)})
}

// wantResult fails the test unless the claim of a request has ended with the
// given result.
func (f *fleet) wantResult(i int, request string, want router.ClaimResult) {
	f.t.Helper()
	r := f.results[i]
	r.mu.Lock()
	defer r.mu.Unlock()
	if got, ok := r.ended[ids.Request(request)]; !ok || got.Result != want {
		f.t.Fatalf("%s: got %v (ended: %v), want %v", request, got.Result, ok, want)
	}
}

// advance advances the virtual time of the bubble.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestManyClaimsShareFewCalls(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		for i := range 200 {
			f.claim(0, fmt.Sprint("k", i), fmt.Sprint("r", i))
		}
		advance(100 * time.Millisecond)
		for i := range 200 {
			f.wantResult(0, fmt.Sprint("r", i), router.ClaimWon)
		}
		if f.platform.writes != 4 || f.platform.maxOpen != 3 {
			t.Errorf("%d writes, %d concurrent calls", f.platform.writes, f.platform.maxOpen)
		}
		if got := f.committers[0].Counts(); got.Won != 200 {
			t.Errorf("%+v", got)
		}
	})
}

func TestOneOfTwoWins(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		f.claim(0, "k", "r0")
		f.claim(1, "k", "r1")
		advance(200 * time.Millisecond)
		a := f.results[0].ended["r0"]
		b := f.results[1].ended["r1"]
		if a.Result+b.Result != router.ClaimWon+router.ClaimTaken {
			t.Fatalf("%+v and %+v", a, b)
		}
		if a.Prior.Request+b.Prior.Request != "r0" && a.Prior.Request+b.Prior.Request != "r1" {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
}

func TestLostAnswerIsSettledInTime(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		f.platform.setMode(lossy)
		f.claim(0, "k", "r")
		advance(100 * time.Millisecond)
		f.wantResult(0, "r", router.ClaimWon)
		if f.platform.writes != 1 {
			t.Errorf("%d writes", f.platform.writes)
		}
	})
}

func TestOutageFailsClaimsByTheirDeadline(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		f.platform.setMode(down)
		f.claim(0, "k", "r1")
		advance(defaultTimeout)
		f.wantResult(0, "r1", router.ClaimFailed)
		f.platform.setMode(up)
		advance(time.Second)
		f.claim(0, "k", "r2")
		advance(100 * time.Millisecond)
		f.wantResult(0, "r2", router.ClaimWon)
	})
}

func TestSilenceMakesClaimsUncertainAndReleasesThem(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		f.claim(0, "k", "r0")
		advance(100 * time.Millisecond)
		f.offer(0, router.Release{ID: "r0", Record: record("k", "r0")})
		advance(100 * time.Millisecond)
		f.platform.setMode(silent)
		start := time.Now()
		f.claim(0, "k", "r1")
		advance(defaultTimeout)
		f.wantResult(0, "r1", router.ClaimUncertain)
		if took := f.results[0].at["r1"].Sub(start); took != defaultTimeout {
			t.Errorf("claim ended after %v", took)
		}
		if !f.platform.holds("r1", router.ClaimHeld) {
			t.Fatal("the claim was not written before the answer was lost")
		}
		f.platform.setMode(up)
		advance(2 * time.Second)
		if f.platform.holds("r1", router.ClaimHeld) {
			t.Error("the claim was not released")
		}
	})
}

func TestUnconfirmedReleaseIsRetried(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		f.claim(0, "k", "r1")
		advance(100 * time.Millisecond)
		f.platform.setMode(down)
		f.offer(0, router.Release{ID: "r1", Record: record("k", "r1")})
		advance(defaultTimeout)
		if confirmed, reported := f.results[0].released["r1"]; !reported || confirmed {
			t.Fatalf("reported %v, confirmed %v", reported, confirmed)
		}
		f.platform.setMode(up)
		advance(2 * time.Second)
		f.claim(1, "k", "r2")
		advance(100 * time.Millisecond)
		f.wantResult(1, "r2", router.ClaimWon)
		f.offer(1, router.Release{ID: "r2", Record: record("k", "r2")})
		advance(100 * time.Millisecond)
		if !f.results[1].released["r2"] {
			t.Error("the release was not confirmed")
		}
	})
}

func TestStopFinishesSettlements(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		f.claim(0, "k", "r")
		advance(100 * time.Millisecond)
		f.offer(0, router.Settle{ID: "r", Record: record("k", "r")})
		f.stop()
		f.stopped.Wait()
		if !f.platform.holds("r", router.ClaimDone) {
			t.Error("the settlement was lost")
		}
		var stopped *StoppedError
		if err := f.committers[0].Offer(router.Settle{}); !errors.As(err, &stopped) {
			t.Errorf("got %v, want a *StoppedError", err)
		}
	})
}

func TestOfferRefuses(t *testing.T) {
	c := New(&fakePlatform{}, &results{}, Settings{RingCapacity: 1})
	var command *CommandError
	if err := c.Offer(router.Finish{}); !errors.As(err, &command) {
		t.Errorf("got %v, want a *CommandError", err)
	}
	var full *ring.FullError
	if err := errors.Join(c.Offer(router.Settle{}), c.Offer(router.Settle{})); !errors.As(err, &full) {
		t.Errorf("got %v, want a *ring.FullError", err)
	}
}

func TestIncompleteClaimFails(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		f.claim(0, "", "r")
		f.offer(0, router.Release{ID: "r", Record: record("", "r")})
		advance(time.Millisecond)
		f.wantResult(0, "r", router.ClaimFailed)
		if confirmed, reported := f.results[0].released["r"]; !reported || confirmed {
			t.Errorf("reported %v, confirmed %v", reported, confirmed)
		}
	})
}
