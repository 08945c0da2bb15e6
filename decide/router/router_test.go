package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/member"
	"mimosaarch.example/decide/retry"
)

// pastBackoff is longer than any backoff before a retry.
const pastBackoff = 2 * time.Second

// A request that may run more than once must be retried at another upstream after
// a lost connection.
func TestIdempotentGoesElsewhere(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", nil))
	s.expect(t, "send r attempt 1")
	s.ended(outcome.Started, outcome.UpstreamLost)
	first := s.sent[0].Chain[0].ID
	s.expect(t, "resume r attempt 1 of r at "+string(first))
	s.ended(outcome.MaybeSent, outcome.ConnectFailed)
	s.expect(t)
	s.tick(pastBackoff)
	s.expect(t, "send r attempt 3")
	if second := s.sent[2].Chain[0].ID; first == second {
		t.Errorf("both attempts went to %s", first)
	}
	s.ended(outcome.Finished, "")
	s.expect(t, "finish r complete")
	if n := s.router.Requests(); n != 0 {
		t.Errorf("%d requests are still held", n)
	}
}

// A request that may run only once must not be sent again after an attempt that
// may have run it.
func TestUnkeyedBookingIsSentOnce(t *testing.T) {
	for _, test := range []struct {
		phase  outcome.Phase
		reason outcome.Reason
		want   string
	}{
		{outcome.MaybeSent, outcome.UpstreamLost, "finish r unknown upstream_lost"},
		{outcome.MaybeSent, outcome.UpstreamStalled, "finish r unknown upstream_stalled"},
		{outcome.Started, outcome.UpstreamInvalid, "finish r unknown upstream_invalid"},
	} {
		s := newScript()
		s.step(newArrival("r", booking))
		s.expect(t, "send r attempt 1")
		s.ended(test.phase, test.reason)
		s.tick(pastBackoff)
		s.expect(t, test.want)
	}
}

// A request that may run only once must be retried after an attempt that did not
// run it.
func TestBookingRefusedBeforeStartIsRetried(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", booking))
	s.ended(outcome.Refused, outcome.UpstreamRefused)
	s.tick(pastBackoff)
	s.expect(t, "send r attempt 1", "send r attempt 2")
}

// The idempotency key must be claimed before the request is sent.
func TestKeyIsClaimedBeforeTheSend(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", withKey))
	s.expect(t, "claim k for r attempt 1")
	s.step(ClaimEnded{ID: "r", Result: ClaimWon})
	s.expect(t, "send r attempt 1")
	s.ended(outcome.Finished, "")
	s.expect(t, "settle k", "finish r complete")
}

// A request must not be sent without its claim.
func TestClaimThatFailsSendsNothing(t *testing.T) {
	for _, result := range []ClaimResult{ClaimFailed, ClaimUncertain} {
		s := newScript()
		s.step(newArrival("r", withKey))
		s.step(ClaimEnded{ID: "r", Result: result})
		s.tick(pastBackoff)
		s.expect(t, "claim k for r attempt 1", "finish r not_run claim_unavailable")
	}
}

// The claim must be released before the caller is notified that the request was not
// run. Otherwise a repeat could be refused because of the claim.
func TestClaimIsReleasedBeforeNotRunAnswer(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", withKey))
	s.step(ClaimEnded{ID: "r", Result: ClaimWon})
	s.text = nil
	for range 3 {
		s.ended(outcome.Refused, outcome.UpstreamRefused)
		s.tick(pastBackoff)
		s.step(ClaimEnded{ID: "r", Result: ClaimWon})
	}
	s.text = nil
	s.ended(outcome.Refused, outcome.UpstreamRefused)
	s.expect(t, "release k")
	s.step(ClaimReleased{ID: "r", Confirmed: true})
	s.expect(t, "finish r not_run attempts_exhausted")
}

// A request must be answered at its deadline while its claim is pending, and a
// claim won after that must be released.
func TestClaimWonAfterTheDeadline(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", withKey))
	s.tick(11 * time.Second)
	s.expect(t, "claim k for r attempt 1", "finish r not_run deadline_expired")
	s.step(ClaimEnded{ID: "r", Result: ClaimWon})
	s.expect(t, "release k")
}

// prior returns the claim of a request that another VM sent.
func prior(change func(*ClaimRecord)) ClaimRecord {
	record := ClaimRecord{
		Account: "school", Key: "k", Fingerprint: "f", Request: "old", VM: "vm-2",
		Upstream: "head-1", Attempt: 3, Epoch: "e-head-1", State: ClaimHeld,
	}
	if change != nil {
		change(&record)
	}
	return record
}

// A repeat must join the running stream of the earlier request.
func TestRepeatJoinsTheRunningStream(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", withKey))
	s.step(ClaimEnded{ID: "r", Result: ClaimTaken, Prior: prior(nil)})
	s.expect(t, "claim k for r attempt 1", "resume r attempt 3 of old at head-1")
	s.ended(outcome.Finished, "")
	s.expect(t, "finish r complete")
}

// A repeat that cannot join the stream must be answered with the state of the
// earlier request.
func TestRepeatThatCannotJoin(t *testing.T) {
	for _, test := range []struct {
		name   string
		prior  ClaimRecord
		gone   bool
		reason outcome.Reason
		want   string
	}{
		{"other VM works", prior(nil), false, outcome.UpstreamRefused, "finish r running duplicate_running"},
		{"other VM is gone", prior(nil), true, outcome.UpstreamLost, "finish r unknown upstream_lost"},
		{"finished", prior(func(p *ClaimRecord) { p.State = ClaimDone }), true, outcome.UpstreamRefused, "finish r already_run duplicate_done"},
	} {
		s := newScript()
		if test.gone {
			s.step(PeerGone{VM: "vm-2", Reason: member.Silent})
		}
		s.step(newArrival("r", withKey))
		s.step(ClaimEnded{ID: "r", Result: ClaimTaken, Prior: test.prior})
		s.text = nil
		s.ended(outcome.MaybeSent, test.reason)
		s.tick(pastBackoff)
		t.Log(test.name)
		s.expect(t, test.want)
	}
}

// A key that was used for another request must be refused.
func TestKeyOfAnotherRequest(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", withKey))
	other := prior(func(p *ClaimRecord) { p.Fingerprint = "another" })
	s.step(ClaimEnded{ID: "r", Result: ClaimTaken, Prior: other})
	s.expect(t, "claim k for r attempt 1", "finish r not_run key_reused")
}

// A repeat may take over the claim of a request whose VM died before the request
// reached the engine. Only a confirmation from the engine, in the epoch that the
// claim names, allows this.
func TestTakeOver(t *testing.T) {
	for _, test := range []struct {
		reply engineapi.CancelReply
		want  []string
	}{
		{
			engineapi.CancelReply{State: engineapi.CancelNotStarted, Epoch: "e-head-1"},
			[]string{"claim k for r attempt 2 over old"},
		},
		{
			engineapi.CancelReply{State: engineapi.CancelNotStarted, Epoch: "another"},
			[]string{"finish r unknown upstream_lost"},
		},
		{
			engineapi.CancelReply{State: engineapi.CancelStopped, Epoch: "e-head-1"},
			[]string{"finish r unknown upstream_lost"},
		},
	} {
		s := newScript()
		s.step(PeerGone{VM: "vm-2", Reason: member.Silent})
		s.step(newArrival("r", withKey))
		s.step(ClaimEnded{ID: "r", Result: ClaimTaken, Prior: prior(nil)})
		s.ended(outcome.MaybeSent, outcome.UpstreamRefused)
		s.expect(t, "claim k for r attempt 1", "resume r attempt 3 of old at head-1", "cancel stream old at head-1")
		s.step(StreamCancelled{ID: "r", Answered: true, Reply: test.reply})
		s.expect(t, test.want...)
	}
}

// A repeat must join again, once, when the engine says that the earlier request has started.
// Guards against a cancel that stops another caller's stream, and a loop of joins and cancels.
func TestJoinAgainAfterTheEarlierRequestStarted(t *testing.T) {
	s := newScript()
	s.step(PeerGone{VM: "vm-2", Reason: member.Silent})
	s.step(newArrival("r", withKey))
	s.step(ClaimEnded{ID: "r", Result: ClaimTaken, Prior: prior(nil)})
	s.ended(outcome.MaybeSent, outcome.UpstreamRefused)
	s.text = nil
	s.step(StreamCancelled{ID: "r", Answered: true, Reply: engineapi.CancelReply{State: engineapi.CancelStarted, Epoch: "e-head-1"}})
	s.expect(t, "resume r attempt 3 of old at head-1")
	if s.sent[0].Attempt == s.sent[1].Attempt {
		t.Error("the second join has the attempt number of the first, whose end may come later")
	}
	s.ended(outcome.MaybeSent, outcome.UpstreamRefused)
	s.expect(t, "finish r unknown upstream_lost")
}

// A request whose deadline passes while an attempt is in flight must be answered
// at once and its attempt cancelled.
func TestDeadlineInFlightIsAnsweredAtOnce(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", nil))
	s.tick(11 * time.Second)
	s.expect(t, "send r attempt 1", "finish r unknown deadline_expired", "cancel r attempt 1")
	s.ended(outcome.Started, outcome.Cancelled)
	s.tick(pastBackoff)
	s.expect(t)
}

// The attempt of a caller that disconnected must be cancelled, unless the request
// has a claimed key.
func TestCallerGone(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", nil))
	s.step(CallerGone{ID: "r"})
	s.expect(t, "send r attempt 1", "finish r unknown caller_gone", "cancel r attempt 1")
	s.step(newArrival("keyed", withKey))
	s.step(ClaimEnded{ID: "keyed", Result: ClaimWon})
	s.step(CallerGone{ID: "keyed"})
	s.expect(t, "claim k for keyed attempt 1", "send keyed attempt 1")
	s.ended(outcome.Finished, "")
	s.expect(t, "settle k", "finish keyed complete")
}

// A draining node must refuse new requests and finish those it holds.
func TestDrainRefusesNewAndFinishesOld(t *testing.T) {
	s := newScript()
	s.step(newArrival("old", nil))
	s.step(Drain{})
	s.step(newArrival("new", nil))
	s.expect(t, "send old attempt 1", "finish new not_run draining")
	s.ended(outcome.Finished, "")
	s.expect(t, "finish old complete")
	if s.router.Ready() {
		t.Error("a draining node reports ready")
	}
}

func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		change func(*RequestArrived)
		want   outcome.Reason
	}{
		{func(a *RequestArrived) { a.KeySHA256 = "wrong" }, outcome.Unauthorized},
		{func(a *RequestArrived) { a.KeySHA256 = "" }, outcome.Unauthorized},
		{func(a *RequestArrived) { a.Service = "nothing" }, outcome.UnknownService},
		{func(a *RequestArrived) { a.Service = "booking" }, outcome.UnknownService},
		{func(a *RequestArrived) { booking(a); a.Path = "/other" }, outcome.UnknownService},
		{func(a *RequestArrived) { a.Deadline = epoch }, outcome.DeadlineExpired},
	} {
		s := newScript()
		s.step(newArrival("r", test.change))
		s.expect(t, "finish r not_run "+string(test.want))
	}
}

// A leaving upstream must get no new work, whichever source reports that it is
// leaving.
func TestLeaving(t *testing.T) {
	leave := map[string]func(*script){
		"its own word": func(s *script) {
			s.step(LoadReported{At: s.now, Report: engineapi.LoadReport{
				Engine: "head-1", Epoch: "e-head-1", Model: "drafts", First: 0, Last: 3, Slots: 8, TokensPerSecond: 100, Leaving: true,
			}})
		},
		"the operators": func(s *script) {
			config := testConfig()
			drafts := config.Services["drafts"]
			drafts.Leaving = []ids.Upstream{"head-1"}
			config.Services["drafts"] = drafts
			s.step(ConfigReceived{Config: config})
		},
		"a peer's word": func(s *script) {
			s.step(DigestReceived{VM: "vm-2", At: s.now, Digest: Digest{Leaving: []ids.Upstream{"head-1"}}})
		},
		"the list": func(s *script) {
			list := platformapi.VMList{Revision: s.router.vmsRevision + 1}
			for _, u := range sortedKeys(s.router.upstreams) {
				vm := platformapi.VM{ID: string(u), Address: string(u), Zone: "a", Role: platformapi.RoleEngine, Service: "drafts", State: platformapi.StateLive}
				if u == "head-1" {
					vm.State = platformapi.StateLeaving
				}
				list.VMs = append(list.VMs, vm)
			}
			s.step(VMListReceived{List: list})
		},
	}
	for name, tell := range leave {
		s := newScript()
		tell(s)
		s.tick(TickInterval)
		for i := range 12 {
			s.step(newArrival(ids.Request(rune('a'+i)), nil))
		}
		if len(s.sent) == 0 {
			t.Errorf("%s: nothing was sent", name)
		}
		for _, sent := range s.sent {
			if sent.Chain[0].ID == "head-1" {
				t.Errorf("%s: new work went to the leaving engine", name)
				break
			}
		}
	}
}

// A request must wait while the engines that could serve it were just listed and
// have not been polled. It must be refused once warmUpTimeout has passed.
func TestRequestWaitsForEnginesJustListed(t *testing.T) {
	s := &script{router: New(Options{VM: "vm-1", Zone: "a", MaxRequests: 100, Seed: 1}), now: epoch}
	s.step(ConfigReceived{Config: testConfig()})
	s.vms("vm-1")
	s.step(newArrival("early", nil))
	s.expect(t)
	s.load("head-1", 0, 3)
	s.load("tail-1", 4, 7)
	s.tick(TickInterval)
	s.expect(t, "send early attempt 1")

	s = &script{router: New(Options{VM: "vm-1", Zone: "a", MaxRequests: 100, Seed: 1}), now: epoch}
	s.step(ConfigReceived{Config: testConfig()})
	s.vms("vm-1")
	s.tick(2 * warmUpTimeout)
	s.step(newArrival("late", nil))
	s.expect(t, "finish late not_run no_upstream")
}

// A request that was lost at two engines must wait until it is known whether they
// crashed. Sending it to a third engine could crash that one too.
func TestRequestLostTwiceWaitsForCrashConfirmation(t *testing.T) {
	lose := func() *script {
		s := newScript()
		s.step(newArrival("r", nil))
		s.ended(outcome.MaybeSent, outcome.UpstreamLost)
		for len(s.sent) < 2 || s.sent[len(s.sent)-1].Resume != nil {
			if last := s.sent[len(s.sent)-1]; last.Resume != nil && s.router.requests["r"].state == sending {
				s.ended(outcome.MaybeSent, outcome.ConnectFailed)
			}
			s.tick(TickInterval)
		}
		s.ended(outcome.MaybeSent, outcome.UpstreamLost)
		if s.router.requests["r"].state == sending {
			s.ended(outcome.MaybeSent, outcome.ConnectFailed)
		}
		s.text = nil
		return s
	}
	s := lose()
	for range 10 {
		s.tick(crashCheckInterval)
	}
	s.expect(t)

	alive := lose()
	alive.now = alive.now.Add(crashCheckInterval)
	alive.load("head-1", 0, 3)
	alive.load("head-2", 0, 3)
	for range 10 {
		alive.tick(crashCheckInterval)
	}
	if len(alive.text) == 0 {
		t.Error("a request whose engines did not crash was not sent again")
	}

	// A report from before the loss that a slow peer relays is dated after it.
	relayed := lose()
	relayed.now = relayed.now.Add(crashCheckInterval)
	relayed.relayedLoad("head-1", 0, 3, 0)
	relayed.relayedLoad("head-2", 0, 3, 0)
	for range 10 {
		relayed.tick(crashCheckInterval)
	}
	relayed.expect(t)
}

// Guards against a crash that this node does not see because another node polls the engine.
func TestEnginesThatLoseRequestsArePolled(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", nil))
	s.ended(outcome.MaybeSent, outcome.UpstreamLost)
	lost := s.sent[0].Chain[0].ID
	if !slices.Equal(s.polled, []ids.Upstream{lost}) {
		t.Errorf("polled %v, want %s", s.polled, lost)
	}
	s.step(LoadPollFailed{Upstream: lost})
	if deaths := s.router.services["drafts"].quarantine.Assess(s.now, s.router.requests["r"].fingerprint()).Deaths; deaths != 1 {
		t.Errorf("%d crashes are known after the poll failed, want 1", deaths)
	}
}

// Refusals for lack of capacity must not use up the attempts of a request.
func TestBusyIsNoFailure(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", nil))
	for range 6 {
		s.ended(outcome.Refused, outcome.UpstreamBusy)
		s.tick(pastBackoff / 2)
	}
	s.ended(outcome.Finished, "")
	if last := s.text[len(s.text)-1]; last != "finish r complete" {
		t.Errorf("got %q", s.text)
	}
	same := 0
	for i := range 6 {
		if s.sent[i].Chain[0].ID == s.sent[i+1].Chain[0].ID {
			same++
		}
	}
	if same > 4 {
		t.Errorf("the upstream that was just full was chosen again %d of 6 times", same)
	}
}

// The graph of chains must be rebuilt for significant changes in load reports,
// but not for measurement noise.
func TestGraphIsKeptWithinTolerance(t *testing.T) {
	s := newScript()
	tell := func(rate float64, latency time.Duration) {
		s.step(LoadReported{At: s.now, Report: engineapi.LoadReport{
			Engine: "head-1", Epoch: "e-head-1", Model: "drafts", First: 0, Last: 3, Slots: 8, TokensPerSecond: rate,
			Links: []engineapi.Link{{To: "tail-1", LatencyUs: latency.Microseconds()}},
		}})
		s.tick(TickInterval)
	}
	tell(100, time.Millisecond)
	graph := s.router.Graph("drafts")
	tell(110, 900*time.Microsecond)
	if s.router.Graph("drafts") != graph {
		t.Error("the graph was rebuilt for changes within the tolerance")
	}
	tell(130, time.Millisecond)
	slower := s.router.Graph("drafts")
	if slower == graph {
		t.Error("the graph was not rebuilt for a changed rate")
	}
	tell(130, 2*time.Millisecond)
	if s.router.Graph("drafts") == slower {
		t.Error("the graph was not rebuilt for a changed link")
	}
}

// Rejoins that fail must not reduce the number of starts allowed, although each
// lost connection costs one.
func TestRejoinsDoNotUseUpAttempts(t *testing.T) {
	s := newScript()
	s.step(newArrival("r", nil))
	starts := 0
	for range 200 {
		req := s.router.requests["r"]
		if req == nil {
			break
		}
		if req.state != sending {
			s.load("head-1", 0, 3)
			s.load("head-2", 0, 3)
			s.tick(crashCheckInterval)
			continue
		}
		if s.sent[len(s.sent)-1].Resume != nil {
			s.ended(outcome.MaybeSent, outcome.UpstreamRefused)
			continue
		}
		starts++
		s.ended(outcome.Started, outcome.UpstreamLost)
	}
	if most := s.router.services["drafts"].profile.Retry.Attempts; starts != most {
		t.Errorf("%d starts, want the %d allowed: %q", starts, most, s.text)
	}
}

// Retries of new requests must leave a part of the budget to streams that would break
// off in the middle.
func TestNewRequestsLeaveRetriesToBrokenStreams(t *testing.T) {
	s := newScript()
	s.step(newArrival("stream", nil))
	s.expect(t, "send stream attempt 1")
	stream := s.sent[0]
	s.useUpRetriesOfNewRequests(t)
	s.step(AttemptEnded{
		ID: stream.ID, Attempt: stream.Attempt, Phase: outcome.Started, Reason: outcome.StageFailed, Tokens: 3,
	})
	s.tick(pastBackoff)
	s.expect(t, "send stream attempt 2")
	// An attempt that was not sent reports no tokens.
	s.step(AttemptEnded{ID: stream.ID, Attempt: 2, Phase: outcome.NotSent, Reason: outcome.RingFull})
	s.tick(pastBackoff)
	s.expect(t, "send stream attempt 3")
}

// Guards against retries that a plain service keeps back although it has no streams.
func TestPlainRequestsUseTheWholeRetryBudget(t *testing.T) {
	s := newScript()
	s.step(newArrival("plain", booking))
	s.expect(t, "send plain attempt 1")
	if got := s.router.requests["plain"].retryKind(); got != retry.BrokenStream {
		t.Errorf("retries of kind %v, want %v", got, retry.BrokenStream)
	}
}

// useUpRetriesOfNewRequests passes new requests whose attempts fail unsent until one
// of them gets no retry.
func (s *script) useUpRetriesOfNewRequests(t *testing.T) {
	t.Helper()
	const requests = 90
	for i := range requests {
		id := ids.Request(fmt.Sprintf("new-%d", i))
		s.text = nil
		s.step(newArrival(id, nil))
		s.step(AttemptEnded{ID: id, Attempt: 1, Phase: outcome.NotSent, Reason: outcome.RingFull})
		if slices.Contains(s.text, fmt.Sprintf("finish %s not_run retry_budget", id)) {
			s.text = nil
			return
		}
		s.step(CallerGone{ID: id})
	}
	t.Fatalf("%d new requests all got a retry", requests)
}

// Guards against requests to an upstream that has refused one and asked for a rest.
func TestRestOfAnUpstreamIsKept(t *testing.T) {
	const rest = 3 * time.Second
	s := newScript()
	s.step(newArrival("r", nil))
	resting := s.sent[0].Chain[0].ID
	s.step(AttemptEnded{ID: "r", Attempt: 1, Phase: outcome.Refused, Reason: outcome.UpstreamBusy, Upstream: resting, RetryAfter: rest})
	refused := s.now
	for i := 0; s.now.Sub(refused) < rest-pastBackoff; i++ {
		s.tick(pastBackoff)
		s.step(newArrival(ids.Request(fmt.Sprint("next-", i)), nil))
		s.ended(outcome.Finished, "")
	}
	for _, send := range s.sent[1:] {
		if send.Chain[0].ID == resting {
			t.Fatalf("%s was sent to %s, which had asked for %v without requests", send.ID, resting, rest)
		}
	}
	if len(s.sent) < 3 {
		t.Errorf("%d requests were sent", len(s.sent))
	}
}
