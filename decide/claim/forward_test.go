package claim

import (
	"errors"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// forwarding is a fleet in which the first VM is preferred.
func forwarding(t *testing.T, vms int) (s *sim, preferred, origin *vm) {
	s = newSim(t, vms, Settings{Shards: 1})
	s.prefer = func(*vm) *vm { return s.vms[0] }
	return s, s.vms[0], s.vms[1]
}

// passOn lets the one message on its way arrive.
func (s *sim) passOn() {
	s.t.Helper()
	if len(s.messages) != 1 {
		s.t.Fatalf("%d messages on their way, want 1", len(s.messages))
	}
	s.carry(0, false)
}

// commit lets a VM make its write, after the read if it needs one.
func (s *sim) commit(v *vm, f fate) {
	s.t.Helper()
	s.tick(defaultWindow)
	if _, ok := v.open[0].(Read); ok {
		s.deliver(v, 0, fateOK)
	}
	s.deliver(v, 0, f)
}

func TestPreferredCommitsForOthers(t *testing.T) {
	s, preferred, origin := forwarding(t, 3)
	first, second := s.claim(origin, "k1", nil), s.claim(s.vms[2], "k2", nil)
	own := s.claim(preferred, "k3", nil)
	s.carry(0, false)
	s.carry(0, false)
	s.commit(preferred, fateOK)
	s.carry(0, false)
	s.carry(0, false)
	for _, request := range []ids.Request{first, second, own} {
		s.want(request, router.ClaimWon)
	}
	if s.revision != 1 || origin.Counts().Writes != 0 || preferred.Counts().Served != 2 {
		t.Errorf("%d writes; %+v; %+v", s.revision, origin.Counts(), preferred.Counts())
	}
	s.settle(s.holders["k1"][0])
	s.release(s.holders["k2"][0])
	s.calm()
	s.tick(defaultWindow)
	s.calm()
	s.checkEnd()
	if s.revision != 2 {
		t.Errorf("%d writes, want 2", s.revision)
	}
}

func TestRefusedForwardIsCommittedHere(t *testing.T) {
	s, _, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	s.messages[0].answer = &ForwardAnswer{Kind: ForwardRefused}
	s.passOn()
	s.commit(origin, fateOK)
	s.want(request, router.ClaimWon)
}

func TestSilentForwardIsTakenBack(t *testing.T) {
	s, _, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	s.drop(0)
	s.tick(99 * time.Millisecond)
	if len(origin.open) > 0 {
		t.Fatal("taken back before the other VM's time was over")
	}
	s.tick(time.Millisecond)
	s.commit(origin, fateOK)
	s.want(request, router.ClaimWon)
}

func TestPreferredDiesAfterItsWrite(t *testing.T) {
	s, preferred, origin := forwarding(t, 3)
	request := s.claim(origin, "k1", nil)
	s.passOn()
	s.commit(preferred, fateAnswerLost)
	preferred.open = nil
	rival := s.claim(s.vms[2], "k1", nil)
	s.drop(0)
	s.tick(100 * time.Millisecond)
	s.vms = s.vms[1:]
	s.finish()
	s.want(request, router.ClaimWon)
	s.want(rival, router.ClaimTaken)
	s.release(s.held()[0])
	s.finish()
	s.want(s.claimAndFinish(origin, "k1"), router.ClaimWon)
}

func TestLateForwardIsNotCommitted(t *testing.T) {
	s, preferred, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	late := s.messages[0]
	s.drop(0)
	s.tick(100 * time.Millisecond)
	s.commit(origin, fateOK)
	s.want(request, router.ClaimWon)
	s.settle(s.held()[0])
	s.finish()
	op := late.forward.Op
	op.Deadline = late.until.Add(preferred.skew)
	var refused *ExpiredError
	if _, err := preferred.Serve(s.clock(preferred), op); !errors.As(err, &refused) {
		t.Errorf("got %v, want a *ExpiredError", err)
	}
	// Even one that is not known to be late leaves what is done.
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
	s.passOn()
	s.tick(defaultWindow)
	s.deliver(preferred, 0, fateOK)
	// The write of the preferred VM is on its way while the origin gives up.
	s.deliver(preferred, 0, fateLate)
	s.messages = nil
	s.tick(100 * time.Millisecond)
	s.tick(defaultWindow)
	s.deliver(origin, 0, fateFailed)
	s.tick(200 * time.Millisecond)
	s.want(request, router.ClaimUncertain)
	s.prefer = nil
	s.settleDown()
	if entries := s.entries(); len(entries) != 0 {
		t.Errorf("the claim stands: %v", entries)
	}
}

func TestOwnLostWriteDoesNotSettleTheOtherVMs(t *testing.T) {
	s, preferred, origin := forwarding(t, 2)
	s.prefer = nil
	s.claimAndFinish(origin, "k2")
	s.claimAndFinish(preferred, "k3")
	s.prefer = func(*vm) *vm { return preferred }
	request := s.claim(origin, "k1", nil)
	s.passOn()
	// The preferred VM's write is built on a version that the origin has not
	// seen.
	s.commit(preferred, fateLate)
	s.messages = nil
	s.tick(100 * time.Millisecond)
	s.tick(defaultWindow)
	s.deliver(origin, 0, fateRequestLost)
	s.deliver(origin, 0, fateFailed)
	s.tick(200 * time.Millisecond)
	s.want(request, router.ClaimUncertain)
	s.prefer = nil
	s.settleDown()
	if _, stands := s.entries()["k1"]; stands {
		t.Error("the claim stands")
	}
}

func TestGivenBackClaimIsNotReleasedByThePreferred(t *testing.T) {
	s, preferred, origin := forwarding(t, 2)
	request := s.claim(origin, "k1", nil)
	s.passOn()
	s.commit(preferred, fateAnswerLost)
	s.messages = nil
	s.tick(100 * time.Millisecond)
	s.finish()
	s.want(request, router.ClaimWon)
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
	s.due[request] = "claim"
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
	// Room comes back once the time of the others is over.
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
	s.tick(defaultWindow)
	// A replica that lags answers with the object before the last write: k2
	// would look free.
	v.open = nil
	s.take(v, v.Answer(s.clock(v), Answer{Kind: AnswerObject, Object: old}))
	if len(v.open) > 0 {
		t.Fatalf("went on with an object of version %d after %d: %#v", old.Version, s.revision, v.open)
	}
	s.finish()
	s.want(rival, router.ClaimTaken)
	s.checkEnd()
}

func TestCountsAreNamedOnce(t *testing.T) {
	seen := make(map[string]bool)
	Counts{}.Each(func(name string, _ uint64) {
		if seen[name] {
			t.Errorf("%s comes twice", name)
		}
		seen[name] = true
	})
	g := New(Settings{Shards: 1})
	g.counts.Writes = 3
	g.Counts().Each(func(name string, count uint64) {
		if (name == "writes") != (count == 3) {
			t.Errorf("%s is %d", name, count)
		}
	})
}
