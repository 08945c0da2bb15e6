package claim

import (
	"errors"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// forwarding returns a simulation in which all VMs prefer the first one.
func forwarding(t *testing.T, vms int) (s *sim, preferred, origin *vm) {
	s = newSim(t, vms, Settings{Shards: 1})
	s.prefer = func(*vm) *vm { return s.vms[0] }
	return s, s.vms[0], s.vms[1]
}

// deliverOnlyMessage delivers the only message in transit.
func (s *sim) deliverOnlyMessage() {
	s.t.Helper()
	if len(s.messages) != 1 {
		s.t.Fatalf("%d messages in transit, want 1", len(s.messages))
	}
	s.deliverMessage(0, false)
}

// commit lets a VM make its write, after a read if it needs one.
func (s *sim) commit(v *vm, f networkFault) {
	s.t.Helper()
	s.tick(defaultBatchWindow)
	if _, ok := v.open[0].(Read); ok {
		s.deliverCall(v, 0, faultNone)
	}
	s.deliverCall(v, 0, f)
}

func TestPreferredCommitsForOthers(t *testing.T) {
	s, preferred, origin := forwarding(t, 3)
	first, second := s.claim(origin, "k1", nil), s.claim(s.vms[2], "k2", nil)
	own := s.claim(preferred, "k3", nil)
	s.deliverMessage(0, false)
	s.deliverMessage(0, false)
	s.commit(preferred, faultNone)
	s.deliverMessage(0, false)
	s.deliverMessage(0, false)
	for _, request := range []ids.Request{first, second, own} {
		s.wantResult(request, router.ClaimWon)
	}
	if s.revision != 1 || origin.Counts().Writes != 0 || preferred.Counts().Served != 2 {
		t.Errorf("%d writes; %+v; %+v", s.revision, origin.Counts(), preferred.Counts())
	}
	s.settle(s.holders["k1"][0])
	s.release(s.holders["k2"][0])
	s.runPending()
	s.tick(defaultBatchWindow)
	s.runPending()
	s.checkEnd()
	if s.revision != 2 {
		t.Errorf("%d writes, want 2", s.revision)
	}
}

func TestRefusedForwardIsCommittedLocally(t *testing.T) {
	s, _, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	s.messages[0].answer = &ForwardAnswer{Kind: ForwardRefused}
	s.deliverOnlyMessage()
	s.commit(origin, faultNone)
	s.wantResult(request, router.ClaimWon)
}

func TestUnansweredForwardIsCommittedLocally(t *testing.T) {
	s, _, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	s.dropMessage(0)
	s.tick(99 * time.Millisecond)
	if len(origin.open) > 0 {
		t.Fatal("committed locally before the forward's deadline")
	}
	s.tick(time.Millisecond)
	s.commit(origin, faultNone)
	s.wantResult(request, router.ClaimWon)
}

func TestPreferredDiesAfterItsWrite(t *testing.T) {
	s, preferred, origin := forwarding(t, 3)
	request := s.claim(origin, "k1", nil)
	s.deliverOnlyMessage()
	s.commit(preferred, faultAnswerLost)
	preferred.open = nil
	rival := s.claim(s.vms[2], "k1", nil)
	s.dropMessage(0)
	s.tick(100 * time.Millisecond)
	s.vms = s.vms[1:]
	s.finish()
	s.wantResult(request, router.ClaimWon)
	s.wantResult(rival, router.ClaimTaken)
	s.release(s.held()[0])
	s.finish()
	s.wantResult(s.claimAndFinish(origin, "k1"), router.ClaimWon)
}

func TestLateForwardIsNotCommitted(t *testing.T) {
	s, preferred, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	late := s.messages[0]
	s.dropMessage(0)
	s.tick(100 * time.Millisecond)
	s.commit(origin, faultNone)
	s.wantResult(request, router.ClaimWon)
	s.settle(s.held()[0])
	s.finish()
	op := late.forward.Op
	op.Deadline = late.until.Add(preferred.skew)
	var refused *ExpiredError
	if _, err := preferred.Serve(s.clock(preferred), op); !errors.As(err, &refused) {
		t.Errorf("got %v, want an *ExpiredError", err)
	}
	// Even with a later deadline, the operation must not change a claim that is
	// done.
	op.Deadline = s.clock(preferred).Add(time.Second)
	if _, err := preferred.Serve(s.clock(preferred), op); err != nil {
		t.Fatal(err)
	}
	s.serving[op.Nonce] = late
	s.finish()
	s.checkEnd()
}

func TestUncertainClaimIsReleasedOverTheOtherVMsWrite(t *testing.T) {
	s, preferred, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	s.deliverOnlyMessage()
	s.tick(defaultBatchWindow)
	s.deliverCall(preferred, 0, faultNone)
	// The preferred VM's write is still in transit when the origin's claim
	// reaches its deadline.
	s.deliverCall(preferred, 0, faultLate)
	s.messages = nil
	s.tick(100 * time.Millisecond)
	s.tick(defaultBatchWindow)
	s.deliverCall(origin, 0, faultFailed)
	s.tick(200 * time.Millisecond)
	s.wantResult(request, router.ClaimUncertain)
	s.prefer = nil
	s.quiesce()
	if entries := s.entries(); len(entries) != 0 {
		t.Errorf("the claim is still stored: %v", entries)
	}
}

func TestOwnLostWriteDoesNotResolveTheOtherVMs(t *testing.T) {
	s, preferred, origin := forwarding(t, 2)
	s.prefer = nil
	s.claimAndFinish(origin, "k2")
	s.claimAndFinish(preferred, "k3")
	s.prefer = func(*vm) *vm { return preferred }
	request := s.claim(origin, "k1", nil)
	s.deliverOnlyMessage()
	// The preferred VM's write is based on a version that the origin has not
	// seen.
	s.commit(preferred, faultLate)
	s.messages = nil
	s.tick(100 * time.Millisecond)
	s.tick(defaultBatchWindow)
	s.deliverCall(origin, 0, faultRequestLost)
	s.deliverCall(origin, 0, faultFailed)
	s.tick(200 * time.Millisecond)
	s.wantResult(request, router.ClaimUncertain)
	s.prefer = nil
	s.quiesce()
	if _, stands := s.entries()["k1"]; stands {
		t.Error("the claim is still stored")
	}
}

// The preferred VM writes a claim but loses the answer, and the origin commits the claim
// after the deadline. The preferred VM must not release it.
func TestClaimReturnedToItsOriginIsNotReleasedByThePreferredVM(t *testing.T) {
	s, preferred, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	s.deliverOnlyMessage()
	s.commit(preferred, faultAnswerLost)
	s.messages = nil
	s.tick(100 * time.Millisecond)
	s.finish()
	s.wantResult(request, router.ClaimWon)
	s.checkEnd()
	if preferred.Pending() != 0 {
		t.Errorf("%d pending", preferred.Pending())
	}
}

func TestEarlierAttemptDoesNotReplaceALaterOne(t *testing.T) {
	s := newSim(t, 1, Settings{Shards: 1})
	v := s.vms[0]
	request := s.claimAndFinish(v, "k1")
	record := s.holders["k1"][0].record
	record.Attempt = 2
	s.holders["k1"] = nil
	s.awaiting[request] = "claim"
	s.submit(v, Op{Kind: Claim, Record: record, Nonce: "second"})
	s.finish()
	record.Attempt = 1
	op := Op{Kind: Claim, Record: record, Nonce: "late", Deadline: s.clock(v).Add(time.Second)}
	if _, err := v.Serve(s.clock(v), op); err != nil {
		t.Fatal(err)
	}
	s.serving["late"] = message{from: v, to: v}
	s.finish()
	if got := s.entries()["k1"]; got.Attempt != 2 {
		t.Errorf("the store has %+v", got)
	}
}

func TestServeRefuses(t *testing.T) {
	g := New(Settings{Shards: 1, MaxForwards: 2})
	op := Op{Kind: Settle, Nonce: "a", Record: router.ClaimRecord{Account: "a", Key: "k", Request: "r"}, Deadline: epoch.Add(time.Second)}
	if _, err := g.Serve(epoch, op); err != nil {
		t.Fatal(err)
	}
	var repeated *RepeatedError
	if _, err := g.Serve(epoch, op); !errors.As(err, &repeated) {
		t.Errorf("got %v, want a *RepeatedError", err)
	}
	var missing *OpError
	op.Nonce = ""
	if _, err := g.Serve(epoch, op); !errors.As(err, &missing) {
		t.Errorf("got %v, want an *OpError", err)
	}
	op.Nonce = "b"
	if _, err := g.Serve(epoch, op); err != nil {
		t.Fatal(err)
	}
	var full *QueueFullError
	op.Nonce = "c"
	if _, err := g.Serve(epoch, op); !errors.As(err, &full) {
		t.Errorf("got %v, want a *QueueFullError", err)
	}
	// Once the earlier operations have expired, there is room again.
	op.Deadline = epoch.Add(2 * time.Second)
	if _, err := g.Serve(epoch.Add(time.Second), op); err != nil {
		t.Error(err)
	}
}

func TestOlderReadIsNotUsed(t *testing.T) {
	s := newSim(t, 2, Settings{Shards: 1, CacheBytes: 1})
	v := s.vms[0]
	s.claimAndFinish(v, "k1")
	old := s.objects[Prefix+"0"]
	s.claimAndFinish(v, "k2")
	rival := s.claim(v, "k2", nil)
	s.tick(defaultBatchWindow)
	// A lagging replica returns the object as it was before the last write, in
	// which k2 is still free.
	v.open = nil
	s.execute(v, v.Answer(s.clock(v), Answer{Kind: AnswerObject, Object: old}))
	if len(v.open) > 0 {
		t.Fatalf("accepted an object of version %d after %d: %#v", old.Version, s.revision, v.open)
	}
	s.finish()
	s.wantResult(rival, router.ClaimTaken)
	s.checkEnd()
}

func TestCountsAreNamedOnce(t *testing.T) {
	seen := make(map[string]bool)
	Counts{}.Each(func(name string, _ uint64) {
		if seen[name] {
			t.Errorf("counter %s is listed twice", name)
		}
		seen[name] = true
	})
	g := New(Settings{Shards: 1})
	g.counts.Writes = 3
	g.Counts().Each(func(name string, count uint64) {
		if (name == "writes") != (count == 3) {
			t.Errorf("counter %s is %d", name, count)
		}
	})
}
