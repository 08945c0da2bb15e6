package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// messageLatency is the one-way latency of a message between Committers.
const messageLatency = 500 * time.Microsecond

// fakePeers connects the Committers of a fleet. Each of them is preferred for a
// part of the shards.
type fakePeers struct {
	self  int
	fleet *[]*Committer
	// refuse, loseRequest and loseAnswer make all forwards fail in that way.
	refuse, loseRequest, loseAnswer atomic.Bool
}

func (p *fakePeers) Preferred(shard int) (ids.VM, bool) {
	first := shard % len(*p.fleet)
	return ids.VM(fmt.Sprint(first)), first != p.self
}

func (p *fakePeers) Forward(ctx context.Context, c claim.Forward) claim.ForwardAnswer {
	if p.refuse.Load() {
		return claim.ForwardAnswer{Kind: claim.ForwardRefused}
	}
	if p.loseRequest.Load() {
		return claim.ForwardAnswer{Kind: claim.ForwardUncertain}
	}
	op := c.Op
	op.Deadline = c.Until
	<-time.After(messageLatency)
	answer := (*p.fleet)[c.Shard%len(*p.fleet)].Serve(ctx, c.Shard, op)
	<-time.After(messageLatency)
	if p.loseAnswer.Load() {
		return claim.ForwardAnswer{Kind: claim.ForwardUncertain}
	}
	return answer
}

// withPeers starts Committers that forward to each other.
func withPeers(t *testing.T, count int, test func(t *testing.T, f *fleet, peers []*fakePeers)) {
	var peers []*fakePeers
	var committers []*Committer
	change := func(i int, s *Settings) {
		p := &fakePeers{self: i, fleet: &committers}
		peers = append(peers, p)
		s.Peers = p
	}
	runWith(t, count, change, func(t *testing.T, f *fleet) {
		committers = f.committers
		test(t, f, peers)
	})
}

func TestPreferredVMCommitsForAll(t *testing.T) {
	withPeers(t, 3, func(t *testing.T, f *fleet, _ []*fakePeers) {
		for i := range 90 {
			f.claim(i%3, fmt.Sprint("k", i), fmt.Sprint("r", i))
		}
		advance(100 * time.Millisecond)
		for i := range 90 {
			f.wantResult(i%3, fmt.Sprint("r", i), router.ClaimWon)
		}
		if f.platform.writes != testShards {
			t.Errorf("%d writes, want one for each shard", f.platform.writes)
		}
		f.offer(0, router.Release{ID: "r0", Record: record("k0", "r0")})
		f.offer(1, router.Settle{ID: "r1", Record: record("k1", "r1")})
		advance(defaultTimeout)
		if f.platform.holds("r0", router.ClaimHeld) || !f.results[0].released["r0"] || !f.platform.holds("r1", router.ClaimDone) {
			t.Error("a release or a settlement was not committed")
		}
		counts := f.committers[0].Counts()
		if counts.ForwardsDone == 0 || counts.Served == 0 || counts.ForwardsRefused+counts.ForwardsSilent > 0 {
			t.Errorf("%+v", counts)
		}
	})
}

func TestClaimsSurviveFailureOfPreferredVM(t *testing.T) {
	inject := map[string]func(*fakePeers){
		"refused":     func(p *fakePeers) { p.refuse.Store(true) },
		"lost":        func(p *fakePeers) { p.loseRequest.Store(true) },
		"answer lost": func(p *fakePeers) { p.loseAnswer.Store(true) },
	}
	for name, inject := range inject {
		t.Run(name, func(t *testing.T) {
			withPeers(t, 2, func(t *testing.T, f *fleet, peers []*fakePeers) {
				for _, p := range peers {
					inject(p)
				}
				for i := range 20 {
					f.claim(0, fmt.Sprint("k", i), fmt.Sprint("r", i))
					f.claim(1, fmt.Sprint("k", i), fmt.Sprint("s", i))
				}
				advance(defaultTimeout)
				for i := range 20 {
					a := f.results[0].ended[ids.Request(fmt.Sprint("r", i))].Result
					b := f.results[1].ended[ids.Request(fmt.Sprint("s", i))].Result
					if a+b != router.ClaimWon+router.ClaimTaken {
						t.Errorf("k%d: %v and %v", i, a, b)
					}
				}
			})
		})
	}
}

func TestServeRefusesAnotherShard(t *testing.T) {
	c := New(&fakePlatform{}, &results{}, Settings{})
	op := claim.Op{Kind: claim.Settle, Nonce: "n", Record: record("k", "r")}
	shard := claim.ShardOf(op.Record, c.shards)
	if got := c.Serve(t.Context(), shard+1, op); got.Kind != claim.ForwardRefused {
		t.Errorf("got %+v", got)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if got := c.Serve(ended, shard, op); got.Kind != claim.ForwardUncertain {
		t.Errorf("got %+v", got)
	}
}

func TestRepeatedServeIsNoRefusal(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		op := claim.Op{Kind: claim.Claim, Nonce: "n", Record: record("k", "r"), Deadline: time.Now().Add(time.Second)}
		var wait sync.WaitGroup
		var kinds [3]claim.ForwardKind
		serve := func(i int, op claim.Op) {
			wait.Go(func() { kinds[i] = f.committers[0].Serve(t.Context(), claim.ShardOf(op.Record, testShards), op).Kind })
		}
		serve(0, op)
		wait.Wait()
		serve(1, op)
		late := op
		late.Nonce = "late"
		late.Deadline = time.Now()
		serve(2, late)
		wait.Wait()
		want := [3]claim.ForwardKind{claim.ForwardDone, claim.ForwardUncertain, claim.ForwardUncertain}
		if kinds != want {
			t.Errorf("got %v, want %v", kinds, want)
		}
	})
}

func TestCountsAreReported(t *testing.T) {
	reported := make(map[string]int64)
	change := func(_ int, s *Settings) {
		s.Count = func(name string, n int64) { reported[name] += n }
	}
	runWith(t, 1, change, func(t *testing.T, f *fleet) {
		f.claim(0, "k", "r")
		advance(100 * time.Millisecond)
		f.claim(0, "k", "s")
		advance(100 * time.Millisecond)
		if reported["won"] != 1 || reported["taken"] != 1 || reported["writes"] != 1 {
			t.Errorf("reported %v, counts %+v", reported, f.committers[0].Counts())
		}
	})
}
