package claim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/router"
)

// wantResult fails the test unless the request's claim ended with the given
// result.
func (s *sim) wantResult(request ids.Request, want router.ClaimResult) {
	s.t.Helper()
	if got, ok := s.results[request]; !ok || got != want {
		s.t.Fatalf("result of %s is %v (known: %v), want %v", request, got, ok, want)
	}
}

// claimAndFinish claims a key, runs the simulation until the claim has ended,
// and returns its request.
func (s *sim) claimAndFinish(v *vm, key string) ids.Request {
	request := s.claim(v, key, nil)
	s.finish()
	return request
}

func TestLostAnswerIsReadBackByNonce(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1})
	request := s.claim(s.vms[0], "k1", nil)
	s.tick(defaultBatchWindow)
	s.deliverCall(s.vms[0], 0, faultNone)
	s.deliverCall(s.vms[0], 0, faultAnswerLost)
	if _, ended := s.results[request]; ended {
		t.Fatal("the claim ended before its lost answer was settled")
	}
	s.deliverCall(s.vms[0], 0, faultNone)
	s.wantResult(request, router.ClaimWon)
	if s.revision != 1 {
		t.Errorf("%d writes, want 1", s.revision)
	}
}

func TestUncertainClaimIsReleasedThoughItsWriteComesLate(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1})
	v := s.vms[0]
	request := s.claim(v, "k1", nil)
	s.tick(defaultBatchWindow)
	s.deliverCall(v, 0, faultNone)
	s.deliverCall(v, 0, faultLate)
	s.deliverCall(v, 0, faultFailed)
	s.tick(300 * time.Millisecond)
	s.wantResult(request, router.ClaimUncertain)
	s.quiesce()
	if entries := s.entries(); len(entries) != 0 {
		t.Errorf("the claim is still stored: %v", entries)
	}
}

func TestPlatformOutOfReachFailsClaims(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1})
	v := s.vms[0]
	request := s.claim(v, "k1", nil)
	for range 30 {
		s.tick(10 * time.Millisecond)
		for len(v.open) > 0 {
			s.deliverCall(v, 0, faultFailed)
		}
	}
	s.wantResult(request, router.ClaimFailed)
	if v.Pending() != 0 || v.Counts().Reads > 8 {
		t.Errorf("%d pending, %+v", v.Pending(), v.Counts())
	}
}

func TestClaimsShareWrites(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1})
	v := s.vms[0]
	for i := range 100 {
		s.claim(v, fmt.Sprint(i), nil)
	}
	s.tick(defaultBatchWindow)
	s.deliverCall(v, 0, faultNone)
	for i := range 50 {
		s.claim(v, fmt.Sprint(100+i), nil)
	}
	s.finish()
	want := Counts{Reads: 1, Writes: 2, Won: 150}
	if diff := cmp.Diff(want, v.Counts()); diff != "" {
		t.Error(diff)
	}
}

func TestSettlementsWaitForOtherOperations(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1})
	v := s.vms[0]
	s.claimAndFinish(v, "k1")
	s.settle(s.held()[0])
	s.tick(defaultSettleWindow - 2*defaultBatchWindow)
	if len(v.open) > 0 {
		t.Fatalf("the settlement did not wait for other operations: %#v", v.open)
	}
	s.claim(v, "k2", nil)
	s.tick(defaultBatchWindow)
	s.runPending()
	if s.revision != 2 || v.Pending() != 0 {
		t.Fatalf("%d writes, %d pending", s.revision, v.Pending())
	}
	s.settle(s.held()[0])
	s.tick(defaultSettleWindow)
	s.runPending()
	s.checkEnd()
}

func TestTakenReportsExistingClaim(t *testing.T) {
	s := newSim(t, 2, Settings{Shards: 1})
	first := s.claimAndFinish(s.vms[0], "k1")
	s.settle(s.held()[0])
	s.finish()
	op := Op{Kind: Claim, Nonce: "x", Record: router.ClaimRecord{Account: "a", Key: "k1", Request: "other", Fingerprint: "g"}}
	over := router.ClaimRecord{Account: "a", Key: "k1", Request: first, Attempt: 1}
	op.Over = &over
	s.awaiting["other"] = "claim"
	s.submit(s.vms[1], op)
	s.finish()
	prior := s.priors[len(s.priors)-1]
	want := router.ClaimRecord{Account: "a", Key: "k1", Fingerprint: digestOf("f").String(), Request: first, Attempt: 1, State: router.ClaimDone}
	if diff := cmp.Diff(want, prior); diff != "" {
		t.Error(diff)
	}
	s.wantResult("other", router.ClaimTaken)
	s.claimAndFinish(s.vms[1], "k1")
	want.Fingerprint = "f"
	if diff := cmp.Diff(want, s.priors[len(s.priors)-1]); diff != "" {
		t.Errorf("with the same fingerprint: %s", diff)
	}
}

func TestNewerAttemptReplacesItsOwnClaim(t *testing.T) {
	s := newSim(t, 2, Settings{Shards: 1})
	request := s.claimAndFinish(s.vms[0], "k1")
	old := s.holders["k1"][0].record
	record := old
	record.Attempt, record.Upstream = 2, "engine-2"
	s.holders["k1"] = nil
	s.awaiting[request] = "claim"
	s.submit(s.vms[0], Op{Kind: Claim, Record: record, Nonce: "second"})
	s.finish()
	s.wantResult(request, router.ClaimWon)
	if got := s.entries()["k1"]; got.Attempt != 2 || got.Upstream != "engine-2" {
		t.Errorf("the store has %+v", got)
	}
	late := s.claim(s.vms[1], "k1", &old)
	s.finish()
	s.wantResult(late, router.ClaimTaken)
}

func TestFullShardFailsClaims(t *testing.T) {
	// 270 bytes hold three entries and the strings they share.
	const maxBytes = 270
	s := newSim(t, 1, Settings{Shards: 1, MaxBytes: maxBytes})
	v := s.vms[0]
	var requests []ids.Request
	for _, key := range simKeys {
		requests = append(requests, s.claim(v, key, nil))
	}
	fourth := s.claim(v, "k4", nil)
	s.finish()
	s.wantResult(fourth, router.ClaimFailed)
	if got := len(s.objects[Prefix+"0"].Value); got > maxBytes || v.Counts().Full == 0 {
		t.Errorf("value of %d bytes, %+v", got, v.Counts())
	}
	s.wantResult(requests[0], router.ClaimWon)
	s.release(s.held()[0])
	s.finish()
	s.wantResult(s.claimAndFinish(v, "k4"), router.ClaimWon)
}

func TestRetentionComparesNoClocks(t *testing.T) {
	s := newSim(t, 3, Settings{Shards: 1, Retention: time.Hour})
	first, second, third := s.vms[0], s.vms[1], s.vms[2]
	s.claimAndFinish(first, "k1")
	s.settle(s.held()[0])
	s.finish()
	s.tick(40 * time.Minute)
	// The second VM's clock is far ahead, and it reads the entry for the first
	// time.
	s.wantResult(s.claimAndFinish(second, "k1"), router.ClaimTaken)
	s.tick(40 * time.Minute)
	s.wantResult(s.claimAndFinish(second, "k1"), router.ClaimTaken)
	// The second VM's write includes the age that it has observed, which the
	// third VM then reads.
	s.claimAndFinish(second, "k2")
	s.wantResult(s.claimAndFinish(third, "k1"), router.ClaimTaken)
	s.tick(25 * time.Minute)
	s.holders["k1"] = nil
	s.wantResult(s.claimAndFinish(third, "k1"), router.ClaimWon)
}

func TestKnownAgeIsKeptAfterAWriteOfAnotherVM(t *testing.T) {
	s := newSim(t, 3, Settings{Shards: 1, Retention: time.Hour})
	s.claimAndFinish(s.vms[0], "k1")
	s.settle(s.held()[0])
	s.finish()
	s.claimAndFinish(s.vms[1], "k2")
	s.tick(40 * time.Minute)
	// The third VM reads the entry for the first time and writes the shard.
	s.claimAndFinish(s.vms[2], "k3")
	s.tick(25 * time.Minute)
	s.holders["k1"] = nil
	s.wantResult(s.claimAndFinish(s.vms[1], "k1"), router.ClaimWon)
}

// A read that finds no object does not prove that a released claim is gone: a lagging
// replica may have answered. The release ends only once a write has proved it.
func TestAbsenceIsProvedByAWrite(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1, CacheBytes: 1})
	v := s.vms[0]
	request := s.claimAndFinish(v, "k1")
	s.release(s.held()[0])
	s.tick(defaultBatchWindow)
	// A lagging replica reports that the object does not exist.
	v.open = nil
	s.execute(v, v.Answer(s.clock(v), Answer{Kind: AnswerNotFound}))
	if s.awaiting[request] != "release" {
		t.Fatal("released although only a read reported the object missing")
	}
	s.finish()
	s.checkEnd()
}

func TestUnknownConflictIsRead(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1})
	v := s.vms[0]
	request := s.claim(v, "k1", nil)
	s.tick(defaultBatchWindow)
	s.deliverCall(v, 0, faultNone)
	v.open = nil
	s.execute(v, v.Answer(s.clock(v), Answer{Kind: AnswerConflict, Object: platformapi.Object{Version: -1}}))
	if _, ok := v.open[0].(Read); !ok {
		t.Fatalf("got %#v, want a Read", v.open[0])
	}
	s.finish()
	s.wantResult(request, router.ClaimWon)
}

func TestInvalidValueIsNotOverwritten(t *testing.T) {
	for _, text := range invalidValues() {
		g := New(Settings{Shards: 1})
		op := Op{Kind: Claim, Nonce: "n", Record: router.ClaimRecord{Account: "a", Key: "k", Request: "r"}, Deadline: epoch.Add(time.Second)}
		if _, err := g.Submit(epoch, op); err != nil {
			t.Fatal(err)
		}
		g.Tick(epoch.Add(defaultBatchWindow))
		now := epoch.Add(defaultBatchWindow)
		commands := g.Answer(now, Answer{Object: platformapi.Object{Version: 5, Value: []byte(text)}})
		if _, ok := commands[0].(InvalidValue); !ok || len(commands) != 1 {
			t.Errorf("%q: got %#v, want an InvalidValue", text, commands)
		}
		commands = g.Tick(epoch.Add(time.Second))
		if ended, ok := commands[0].(Ended); !ok || ended.Result != router.ClaimFailed || len(commands) != 1 {
			t.Errorf("%q: got %#v, want a failed claim", text, commands)
		}
	}
}

func TestQueuesAreBounded(t *testing.T) {
	g := New(Settings{Shards: 1, MaxQueue: 2, MaxBackground: 1})
	record := router.ClaimRecord{Account: "a", Key: "k", Request: "r"}
	claim := Op{Kind: Claim, Record: record, Nonce: "n"}
	_, err1 := g.Submit(epoch, claim)
	_, err2 := g.Submit(epoch, claim)
	_, err3 := g.Submit(epoch, claim)
	var full *QueueFullError
	if err1 != nil || err2 != nil || !errors.As(err3, &full) {
		t.Errorf("got %v, %v, %v", err1, err2, err3)
	}
	for range 2 {
		commands, err := g.Submit(epoch, Op{Kind: Release, Record: record})
		if released, ok := commands[0].(Released); err != nil || !ok || released.Confirmed {
			t.Errorf("got %#v, %v", commands, err)
		}
	}
	if g.Pending() != 3 || g.Counts().Abandoned != 1 {
		t.Errorf("%d pending, %+v", g.Pending(), g.Counts())
	}
}

func TestIncompleteOpsAreRefused(t *testing.T) {
	whole := Op{Kind: Claim, Nonce: "n", Record: router.ClaimRecord{Account: "a", Key: "k", Request: "r"}}
	for _, clearField := range []func(*Op){
		func(op *Op) { op.Nonce = "" },
		func(op *Op) { op.Record.Account = "" },
		func(op *Op) { op.Record.Key = "" },
		func(op *Op) { op.Record.Request = "" },
	} {
		op := whole
		clearField(&op)
		var missing *OpError
		if _, err := New(Settings{}).Submit(epoch, op); !errors.As(err, &missing) {
			t.Errorf("%+v: got %v, want an *OpError", op, err)
		}
	}
}
