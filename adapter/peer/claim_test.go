package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// claimNode is a testNode that commits claims with a function of the test.
type claimNode struct {
	*testNode
	serve func(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer
}

func (n claimNode) ServeClaim(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer {
	return n.serve(ctx, shard, op)
}

// claimPair starts node b, which commits claims with serve, and node a. It
// returns a and its ClaimForwarder once the nodes have exchanged digests.
func claimPair(t *testing.T, serve func(context.Context, int, claim.Op) claim.ForwardAnswer) (*testNode, *ClaimForwarder) {
	b := start(t, "b", "z1", func(o *Options) { o.Source = claimNode{o.Source.(*testNode), serve} })
	a := startWithSeed(t, "a", "z1", b, nil)
	a.digestFrom(t, "b")
	b.digestFrom(t, "a")
	return a, NewClaimForwarder(t.Context(), a.Service)
}

// newForward returns a Forward of a claim that must end within the given time.
func newForward(vm ids.VM, left time.Duration) claim.Forward {
	record := router.ClaimRecord{
		Account: "acc", Key: "k", Fingerprint: "f", Request: "r", VM: "a", Upstream: "u",
		Attempt: 2, Epoch: "e", State: router.ClaimHeld,
	}
	over := record
	over.Request = "earlier"
	op := claim.Op{Kind: claim.Claim, Record: record, Nonce: "n", Over: &over, Retention: time.Hour}
	return claim.Forward{ID: 1, VM: vm, Shard: 7, Op: op, Until: time.Now().Add(left)}
}

// forwardUntil calls Forward with a context that ends at f.Until.
func forwardUntil(t *testing.T, c *ClaimForwarder, f claim.Forward) claim.ForwardAnswer {
	ctx, cancel := context.WithDeadline(t.Context(), f.Until)
	defer cancel()
	return c.Forward(ctx, f)
}

func TestForwardCarriesOperationAndAnswer(t *testing.T) {
	prior := router.ClaimRecord{Account: "acc", Key: "k", Fingerprint: "g", Request: "p", VM: "c", Upstream: "u", Attempt: 1, State: router.ClaimDone}
	answers := map[string]claim.ForwardAnswer{
		"won":     {Kind: claim.ForwardDone},
		"taken":   {Kind: claim.ForwardDone, Result: router.ClaimTaken, Prior: prior},
		"refused": {Kind: claim.ForwardRefused},
		"unsure":  {Kind: claim.ForwardUncertain},
	}
	var next claim.ForwardAnswer
	var got claim.Op
	var shard int
	a, claims := claimPair(t, func(_ context.Context, s int, op claim.Op) claim.ForwardAnswer {
		got, shard = op, s
		return next
	})
	for name, want := range answers {
		next = want
		f := newForward("b", 5*time.Second)
		if diff := cmp.Diff(want, forwardUntil(t, claims, f)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if got.Deadline.After(f.Until) {
			t.Errorf("the peer's deadline is %v, %v after the sender's", got.Deadline, got.Deadline.Sub(f.Until))
		}
		if got.Deadline.Before(f.Until.Add(-time.Second)) {
			t.Errorf("the peer's deadline is %v before the sender's", f.Until.Sub(got.Deadline))
		}
		got.Deadline = time.Time{}
		if diff := cmp.Diff(fmt.Sprintf("%+v", f.Op.Record), fmt.Sprintf("%+v", got.Record)); diff != "" {
			t.Error(diff)
		}
		if *got.Over != *f.Op.Over || got.Nonce != "n" || got.Retention != time.Hour || got.Kind != claim.Claim || shard != 7 {
			t.Errorf("%s: got %+v of shard %d", name, got, shard)
		}
	}
	if sent := a.count(ClaimsSent); sent != int64(len(answers)) {
		t.Errorf("%d operations sent", sent)
	}
}

func TestForwardsDoNotWaitForEachOther(t *testing.T) {
	both := make(chan struct{}, 2)
	release := make(chan struct{})
	_, claims := claimPair(t, func(context.Context, int, claim.Op) claim.ForwardAnswer {
		both <- struct{}{}
		<-release
		return claim.ForwardAnswer{Kind: claim.ForwardDone}
	})
	answers := make(chan claim.ForwardAnswer, 2)
	for range 2 {
		go func() { answers <- forwardUntil(t, claims, newForward("b", 5*time.Second)) }()
	}
	<-both
	<-both
	close(release)
	for range 2 {
		if got := <-answers; got.Kind != claim.ForwardDone {
			t.Errorf("got %+v", got)
		}
	}
}

func TestDelayedClaimKeepsDeadlineOfSender(t *testing.T) {
	m := encodeClaim(newForward("b", time.Second))
	m.ClockNs, m.ClockAgeNs, m.RemainingNs = clockNow(), int64(time.Second), int64(100*time.Millisecond)
	op, ok := decodeClaimOp(m)
	if !ok {
		t.Fatal("the clock was not accepted")
	}
	// The message was sent a second after the clock reading, with 100 ms left.
	// However late it is decoded, its deadline is 1.1 s after the reading, less
	// the allowance for clock drift.
	begin := clockStart.Add(time.Duration(m.ClockNs - 1))
	if got := op.Deadline.Sub(begin); got > 1100*time.Millisecond || got < 1098*time.Millisecond {
		t.Errorf("the deadline is %v after the clock reading", got)
	}
	for _, clock := range []int64{0, clockNow() + int64(time.Hour)} {
		m.ClockNs = clock
		if _, ok := decodeClaimOp(m); ok {
			t.Errorf("clock %d was accepted", clock)
		}
	}
}

func TestSilentOrUnknownVMIsAvoided(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	_, claims := claimPair(t, func(context.Context, int, claim.Op) claim.ForwardAnswer {
		<-hang
		return claim.ForwardAnswer{}
	})
	shard := 0
	for ; ; shard++ {
		if vm, ok := claims.Preferred(shard); ok && vm == "b" {
			break
		}
	}
	if got := forwardUntil(t, claims, newForward("b", 100*time.Millisecond)); got.Kind != claim.ForwardUncertain {
		t.Errorf("silent VM: got %+v", got)
	}
	if vm, ok := claims.Preferred(shard); ok {
		t.Errorf("%s is preferred though it did not answer", vm)
	}
	if got := forwardUntil(t, claims, newForward("x", time.Second)); got.Kind != claim.ForwardRefused {
		t.Errorf("unknown VM: got %+v", got)
	}
}

func TestNodeWithoutServerRefuses(t *testing.T) {
	b := start(t, "b", "z1", nil)
	a := startWithSeed(t, "a", "z1", b, nil)
	a.digestFrom(t, "b")
	claims := NewClaimForwarder(t.Context(), a.Service)
	if got := forwardUntil(t, claims, newForward("b", 5*time.Second)); got.Kind != claim.ForwardRefused {
		t.Errorf("got %+v", got)
	}
}

func TestNodesAgreeOnPreferredAndShareShards(t *testing.T) {
	var list []platformapi.VM
	var services []*ClaimForwarder
	const count = 9
	for i := range count {
		list = append(list, platformapi.VM{
			ID: fmt.Sprint("vm-", i), Zone: "z", Role: platformapi.RoleEntry, PeerAddress: fmt.Sprint("127.0.0.1:", 1000+i),
		})
	}
	for i := range count {
		s, err := New(Options{VM: ids.VM(list[i].ID), Zone: "z", Listen: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.members.ApplyVMList(time.Now(), platformapi.VMList{Revision: 1, VMs: list})
		services = append(services, NewClaimForwarder(t.Context(), s))
	}
	shares := make(map[ids.VM]int)
	const shards = 256
	for shard := range shards {
		vm, _ := services[0].Preferred(shard)
		shares[vm]++
		for i, c := range services {
			got, other := c.Preferred(shard)
			if got != vm || other != (got != ids.VM(list[i].ID)) {
				t.Fatalf("%s names %s (another: %v) for shard %d, others %s", list[i].ID, got, other, shard, vm)
			}
			if !other && !c.service.servesShard(shard) {
				t.Fatalf("%s does not serve its shard %d", got, shard)
			}
		}
	}
	for vm, share := range shares {
		if share < shards/count/3 || share > shards/count*3 {
			t.Errorf("%s has %d of %d shards", vm, share, shards)
		}
	}
	serving := 0
	for _, c := range services {
		if c.service.servesShard(0) {
			serving++
		}
	}
	if serving != maxServingRanks {
		t.Errorf("%d VMs serve shard 0, want %d", serving, maxServingRanks)
	}
}
