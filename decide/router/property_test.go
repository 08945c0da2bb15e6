package router

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The same interleavings in every run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// world plays the adapters around a Router and checks its promises.
type world struct {
	t        *rapid.T
	script   *script
	arrived  map[ids.Request]RequestArrived
	finished map[ids.Request]*Finish
	// flying holds the attempt in flight of each request.
	flying map[ids.Request]Send
	// mayHaveRun marks requests of which some attempt is not proved not run.
	mayHaveRun map[ids.Request]bool
	// claiming and releasing hold the questions to the platform.
	claiming  map[ids.Request]Claim
	won       map[ids.Request]ids.Attempt
	releasing map[ids.Request]bool
	asking    map[ids.Request]bool
}

// step feeds one event and checks each command.
func (w *world) step(ev Event) {
	for _, c := range w.script.router.Step(w.script.now, ev) {
		w.check(c)
	}
}

// check checks one command against what has happened.
func (w *world) check(c Command) {
	switch c := c.(type) {
	case Send:
		w.checkSend(c)
	case Claim:
		w.claiming[c.ID] = c
	case Release:
		w.releasing[c.ID] = true
	case CancelStream:
		w.asking[c.ID] = true
	case Finish:
		w.checkFinish(c)
	}
}

// checkSend fails when a request may run twice.
func (w *world) checkSend(c Send) {
	if _, twice := w.flying[c.ID]; twice {
		w.t.Fatalf("%s: two attempts in flight", c.ID)
	}
	a := w.arrived[c.ID]
	mayRepeat := a.IdempotencyKey == "" && a.Method != "POST"
	if c.Resume == nil && !mayRepeat && w.mayHaveRun[c.ID] {
		w.t.Fatalf("%s: sent again although it may have run", c.ID)
	}
	if c.Resume == nil && a.IdempotencyKey != "" && w.won[c.ID] != c.Attempt {
		w.t.Fatalf("%s: attempt %d sent without its claim", c.ID, c.Attempt)
	}
	w.flying[c.ID] = c
}

// checkFinish fails on a second answer and on an untrue "not run".
func (w *world) checkFinish(c Finish) {
	if w.finished[c.ID] != nil {
		w.t.Fatalf("%s: answered twice", c.ID)
	}
	w.finished[c.ID] = &c
	if c.Err == nil || c.Err.Outcome != outcome.NotRun {
		return
	}
	flying, inFlight := w.flying[c.ID]
	if w.mayHaveRun[c.ID] || (inFlight && flying.Resume == nil) {
		w.t.Fatalf("%s: not_run %s although it may have run", c.ID, c.Err.Reason)
	}
}

// arrive begins a request of a random kind.
func (w *world) arrive() {
	id := ids.Request(fmt.Sprintf("r%d", len(w.arrived)))
	kinds := []func(*RequestArrived){
		nil, withKey, booking,
		func(a *RequestArrived) { booking(a); withKey(a) },
		func(a *RequestArrived) { booking(a); a.Method, a.Path = "GET", "/slots" },
	}
	ev := arrive(id, rapid.SampledFrom(kinds).Draw(w.t, "kind"))
	w.arrived[id] = ev
	w.step(ev)
}

// endings are the ways an attempt can end.
var endings = []struct {
	phase  outcome.Phase
	reason outcome.Reason
}{
	{outcome.Finished, ""},
	{outcome.NotSent, outcome.ConnectFailed},
	{outcome.Refused, outcome.UpstreamBusy},
	{outcome.Refused, outcome.UpstreamRefused},
	{outcome.Refused, outcome.Cancelled},
	{outcome.MaybeSent, outcome.UpstreamLost},
	{outcome.MaybeSent, outcome.UpstreamStalled},
	{outcome.Started, outcome.UpstreamLost},
	{outcome.Started, outcome.StageFailed},
	{outcome.Started, outcome.LedgerViolation},
	{outcome.Started, outcome.Cancelled},
}

// rejoinEndings are the ways an attempt that only rejoins can end.
var rejoinEndings = []struct {
	phase  outcome.Phase
	reason outcome.Reason
}{
	{outcome.Finished, ""},
	{outcome.MaybeSent, outcome.ConnectFailed},
	{outcome.MaybeSent, outcome.UpstreamRefused},
	{outcome.Started, outcome.UpstreamLost},
}

// end ends a random attempt in flight.
func (w *world) end() {
	if len(w.flying) == 0 {
		return
	}
	sent := w.flying[rapid.SampledFrom(sortedKeys(w.flying)).Draw(w.t, "attempt")]
	delete(w.flying, sent.ID)
	ways := endings
	if sent.Resume != nil {
		ways = rejoinEndings
	}
	way := rapid.SampledFrom(ways).Draw(w.t, "ending")
	if sent.Resume == nil && !way.phase.ProvesNotRun() {
		w.mayHaveRun[sent.ID] = true
	}
	w.step(AttemptEnded{
		ID: sent.ID, Attempt: sent.Attempt, Phase: way.phase, Reason: way.reason, Upstream: sent.Chain[0].ID,
	})
}

// answerClaim answers a random claim.
func (w *world) answerClaim() {
	if len(w.claiming) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(w.claiming)).Draw(w.t, "claim")
	c := w.claiming[id]
	delete(w.claiming, id)
	results := []ClaimResult{ClaimWon, ClaimTaken, ClaimFailed, ClaimUncertain}
	ev := ClaimEnded{ID: id, Result: rapid.SampledFrom(results).Draw(w.t, "result")}
	switch ev.Result {
	case ClaimWon:
		w.won[id] = c.Record.Attempt
	case ClaimTaken:
		ev.Prior = prior(func(p *ClaimRecord) {
			p.State = rapid.SampledFrom([]ClaimState{ClaimHeld, ClaimDone}).Draw(w.t, "state")
			p.VM = rapid.SampledFrom([]ids.VM{"vm-2", "dead"}).Draw(w.t, "vm")
		})
	}
	w.step(ev)
}

// answerRest answers a random release or question for a cancelled stream.
func (w *world) answerRest() {
	if len(w.releasing) > 0 {
		id := rapid.SampledFrom(sortedKeys(w.releasing)).Draw(w.t, "release")
		delete(w.releasing, id)
		w.step(ClaimReleased{ID: id, Confirmed: rapid.Bool().Draw(w.t, "confirmed")})
	}
	if len(w.asking) > 0 {
		id := rapid.SampledFrom(sortedKeys(w.asking)).Draw(w.t, "ask")
		delete(w.asking, id)
		state := rapid.SampledFrom([]string{engineapi.CancelNotStarted, engineapi.CancelFinished}).Draw(w.t, "state")
		w.step(StreamCancelled{ID: id, Answered: true, Reply: engineapi.CancelReply{State: state, Epoch: "e-head-1"}})
	}
}

// pass lets a random time pass.
func (w *world) pass() {
	d := rapid.SampledFrom([]time.Duration{TickInterval, time.Second, 11 * time.Second}).Draw(w.t, "time")
	w.script.now = w.script.now.Add(d)
	w.step(Tick{})
}

// leave makes a random caller go away.
func (w *world) leave() {
	if len(w.arrived) > 0 {
		w.step(CallerGone{ID: rapid.SampledFrom(sortedKeys(w.arrived)).Draw(w.t, "gone")})
	}
}

// settle answers everything until nothing is in flight.
func (w *world) settle() {
	for range 200 {
		w.end()
		w.answerClaim()
		w.answerRest()
		w.script.now = w.script.now.Add(12 * time.Second)
		w.step(Tick{})
	}
}

func TestPromisesOverInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, script: newScript(), arrived: make(map[ids.Request]RequestArrived),
			finished: make(map[ids.Request]*Finish), flying: make(map[ids.Request]Send),
			mayHaveRun: make(map[ids.Request]bool), claiming: make(map[ids.Request]Claim),
			won: make(map[ids.Request]ids.Attempt), releasing: make(map[ids.Request]bool), asking: make(map[ids.Request]bool),
		}
		actions := []func(){w.arrive, w.arrive, w.end, w.end, w.answerClaim, w.answerRest, w.pass, w.leave}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		}
		w.settle()
		for id := range w.arrived {
			if w.finished[id] == nil {
				t.Fatalf("%s was never answered", id)
			}
		}
		if n := w.script.router.Requests(); n != 0 {
			t.Fatalf("%d requests are held for ever", n)
		}
		for id, u := range w.script.router.upstreams {
			if len(u.running) != 0 {
				t.Fatalf("%s still counts %d requests", id, len(u.running))
			}
		}
	})
}
