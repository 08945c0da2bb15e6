package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func upstream(i int) ids.Upstream { return ids.Upstream(fmt.Sprint("e", i)) }

func newTestTracker(members int) *Tracker {
	t := New(Options{})
	list := make([]ids.Upstream, members)
	for i := range list {
		list[i] = upstream(i)
	}
	t.SetMembers(t0, "drafts", list)
	return t
}

func wantState(t *testing.T, tr *Tracker, now time.Time, id ids.Upstream, want State) {
	t.Helper()
	if got := tr.State(now, id); got != want {
		t.Fatalf("at %v: %s is %v, want %v", now.Sub(t0), id, got, want)
	}
}

func TestEjectionByReason(t *testing.T) {
	for _, row := range []struct {
		reason outcome.Reason
		want   int // consecutive failures that eject; 0 means never
	}{
		{outcome.ConnectFailed, 2},
		{outcome.UpstreamLost, 3},
		{outcome.StageFailed, 3},
		{outcome.UpstreamStalled, 2},
		{outcome.UpstreamBusy, 0},
		{outcome.UpstreamRefused, 0},
		{outcome.Cancelled, 0},
	} {
		tr := newTestTracker(10)
		ejectedAfter := 0
		for i := 1; i <= 20 && ejectedAfter == 0; i++ {
			tr.Failure(at(i*50), "e0", row.reason)
			if tr.State(at(i*50), "e0") == Ejected {
				ejectedAfter = i
			}
		}
		if ejectedAfter != row.want {
			t.Errorf("%s: ejected after %d, want %d", row.reason, ejectedAfter, row.want)
		}
	}
}

func TestLossesFromOneNetworkFaultCountOnce(t *testing.T) {
	tr := newTestTracker(10)
	for range 20 {
		tr.Failure(t0, "e0", outcome.UpstreamLost)
	}
	wantState(t, tr, t0, "e0", Up)
}

func TestSuccessResetsConsecutiveFailures(t *testing.T) {
	tr := newTestTracker(10)
	for i := range 12 {
		tr.Failure(at(i*100), "e0", outcome.StageFailed)
		tr.Failure(at(i*100+30), "e0", outcome.StageFailed)
		tr.Success(at(i*100+60), "e0")
		wantState(t, tr, at(i*100+60), "e0", Up)
	}
}

func TestHalfOpenLetsOneTrialThroughAndReturnIsSlow(t *testing.T) {
	tr := newTestTracker(10)
	eject := func(ms int) {
		tr.Failure(at(ms), "e0", outcome.ConnectFailed)
		tr.Failure(at(ms), "e0", outcome.ConnectFailed)
	}
	eject(0)
	wantState(t, tr, at(999), "e0", Ejected)
	wantState(t, tr, at(1000), "e0", HalfOpen)
	if got := tr.Weight(at(1000), "e0"); got != trialWeight {
		t.Fatalf("weight %.2f without a running trial, so none would ever start", got)
	}
	if !tr.TryTrial(at(1000), "e0") || tr.TryTrial(at(1001), "e0") || tr.Weight(at(1001), "e0") != 0 {
		t.Fatal("a half-open upstream did not get exactly one trial")
	}
	tr.Failure(at(1100), "e0", outcome.ConnectFailed)
	wantState(t, tr, at(3000), "e0", Ejected) // the second ejection is twice as long
	wantState(t, tr, at(3100), "e0", HalfOpen)
	if !tr.TryTrial(at(3100), "e0") {
		t.Fatal("no trial after the second ejection")
	}
	if !tr.TryTrial(at(3100).Add(trialTimeout), "e0") {
		t.Fatal("a trial without a result blocks the next one")
	}
	tr.Success(at(9000), "e0")
	wantState(t, tr, at(9000), "e0", Returning)
	start, half, end := tr.Weight(at(9000), "e0"), tr.Weight(at(11500), "e0"), tr.Weight(at(14000), "e0")
	if start != initialReturnWeight || half < 0.5 || half > 0.6 || end != 1 {
		t.Errorf("weights during the return: %.2f, %.2f, %.2f", start, half, end)
	}
	wantState(t, tr, at(14000), "e0", Up)
	now := at(14000)
	for i := range 8 { // the duration of ejections is bounded
		eject(int(now.Sub(t0) / time.Millisecond))
		now = now.Add(maxEjectMultiple * DefaultEjectFor)
		if tr.State(now, "e0") != HalfOpen {
			t.Fatalf("ejection %d is longer than %d times the first", i, maxEjectMultiple)
		}
	}
}

func TestFloorIsKept(t *testing.T) {
	tr := newTestTracker(10)
	tr.SetPolicy("drafts", fleet.HealthPolicy{FloorPercent: 50})
	for i := range 10 {
		for range 5 {
			tr.Failure(t0, upstream(i), outcome.ConnectFailed)
		}
	}
	used := 0
	for i := range 10 {
		if w := tr.Weight(t0, upstream(i)); w > 0 {
			used++
			if w > floorWeight {
				t.Errorf("%s is kept in use by the floor at weight %.2f", upstream(i), w)
			}
		}
	}
	if used != 5 {
		t.Errorf("%d of 10 in use, want the floor of 5", used)
	}
}

func TestStallBlamesTheConnectionFirst(t *testing.T) {
	tr := newTestTracker(10)
	for i := range 10 { // one connection stalls after another, but others make progress
		tr.Stall(at(i*1000), "e0")
		wantState(t, tr, at(i*1000), "e0", Up)
		tr.Progress(at(i*1000+500), "e0")
	}
	tr.Stall(at(10000), "e0")
	tr.Stall(at(10010), "e0")
	wantState(t, tr, at(10010), "e0", Ejected)

	tr.ReportReceived(at(0), "e1")
	tr.Stall(at(2000), "e1") // its reports have stopped as well
	wantState(t, tr, at(2000), "e1", Ejected)
}

func TestFrozenUpstreamIsEjectedAfterMissedReports(t *testing.T) {
	tr := newTestTracker(10)
	tr.ReportReceived(t0, "e0")
	for i := 1; i <= 3; i++ {
		wantState(t, tr, at(i*500), "e0", Up)
		tr.ReportMissed(at(i*500), "e0")
	}
	wantState(t, tr, at(1500), "e0", Ejected)
}

// With one dead engine among 30 and a request every 20 ms, the engine is ejected within two
// seconds, and few requests are sent to it.
func TestDeadEngineIsEjectedQuickly(t *testing.T) {
	tr := newTestTracker(30)
	rng := rand.New(rand.NewPCG(1, 1))
	sent := 0
	for ms := 0; ms < 5000; ms += 20 {
		now := at(ms)
		pick := upstream(rng.IntN(30))
		if rng.Float64() >= tr.Weight(now, pick) {
			continue
		}
		tr.TryTrial(now, pick)
		if pick != "e7" {
			tr.Success(now, pick)
			continue
		}
		sent++
		tr.Failure(now, pick, outcome.ConnectFailed)
		if sent == 2 && ms >= 2000 {
			t.Errorf("still in use after %d ms", ms)
		}
	}
	if sent < 2 || sent > 6 {
		t.Errorf("%d requests were sent to the dead engine, want 2 to 6", sent)
	}
}

func TestOutlierOfSuccessRateIsEjected(t *testing.T) {
	tr := newTestTracker(10)
	ejected := false
	for i := range 200 {
		now := at(i * 20)
		for e := range 10 {
			if e == 3 && i%2 == 0 { // every other attempt fails, so never two in a row
				tr.Failure(now, upstream(e), outcome.StageFailed)
				continue
			}
			tr.Success(now, upstream(e))
		}
		ejected = ejected || tr.State(now, "e3") == Ejected
		wantState(t, tr, now, "e4", Up)
	}
	if !ejected {
		t.Error("an upstream that fails every other attempt is not ejected")
	}
}

// Peers behind a network partition report all upstreams as ejected. That alone ejects none
// here, but one failure is then enough, until the upstream makes progress.
func TestPeerEjectionsAloneDoNotEject(t *testing.T) {
	tr := newTestTracker(10)
	for i := range 10 {
		for vm := range 8 {
			tr.PeerState(t0, ids.VM(fmt.Sprint(vm)), upstream(i), Ejected)
		}
		if got := tr.Weight(t0, upstream(i)); got != peerEjectedWeight {
			t.Fatalf("weight %.2f with peers' ejections only, want %.2f", got, peerEjectedWeight)
		}
	}
	tr.Failure(at(1), "e0", outcome.UpstreamLost)
	wantState(t, tr, at(1), "e0", Ejected)
	tr.Success(at(1), "e1")
	tr.Failure(at(2), "e1", outcome.UpstreamLost)
	wantState(t, tr, at(2), "e1", Up)
	if got := tr.Weight(t0.Add(peerStateTTL), "e2"); got != 1 {
		t.Errorf("weight %.2f after the peers' ejections have expired, want 1", got)
	}
}

func TestLeavingUpstreamGetsNoWorkUntilCleared(t *testing.T) {
	tr := newTestTracker(3)
	tr.Epoch(t0, "e0", "one")
	tr.SetLeaving("e0", true)
	tr.Success(t0, "e0")
	tr.PeerState(t0, "vm", "e0", Up)
	tr.Epoch(at(1), "e0", "two")
	tr.SetMembers(at(1), "drafts", []ids.Upstream{"e0", "e1", "e2"})
	wantState(t, tr, at(1), "e0", Leaving)
	if tr.Weight(at(1), "e0") != 0 || tr.TryTrial(at(1), "e0") {
		t.Error("a leaving upstream gets work")
	}
	tr.SetLeaving("e0", false)
	wantState(t, tr, at(2), "e0", Up)
	tr.SetLeaving("e0", true)
	tr.SetMembers(at(4), "drafts", []ids.Upstream{"e1", "e2"})
	wantState(t, tr, at(4), "e0", Unknown)
	tr.SetMembers(at(5), "drafts", []ids.Upstream{"e0", "e1", "e2"})
	wantState(t, tr, at(5), "e0", Returning)
}

func TestRestartedUpstreamIsTriedAtOnce(t *testing.T) {
	tr := newTestTracker(10)
	tr.Epoch(t0, "e0", "one")
	tr.Failure(t0, "e0", outcome.ConnectFailed)
	tr.Failure(t0, "e0", outcome.ConnectFailed)
	tr.Epoch(at(100), "e0", "two")
	wantState(t, tr, at(100), "e0", HalfOpen)
}

func TestLinks(t *testing.T) {
	tr := newTestTracker(4)
	step := func(from, ms int, latency time.Duration, to ids.Upstream) {
		for i := range 20 {
			tr.LinkLatency(at(from+i*ms), "e0", to, latency)
		}
	}
	step(0, 10, time.Millisecond, "e1")
	step(0, 10, 100*time.Millisecond, "e2")
	if tr.LinkWeight(at(200), "e0", "e1") != 1 || tr.LinkWeight(at(200), "e0", "e2") != 1 {
		t.Error("a link with its usual latency does not have full weight")
	}
	step(200, 10, 10*time.Millisecond, "e1")
	if got := tr.LinkWeight(at(400), "e0", "e1"); got > 0.15 {
		t.Errorf("weight %.2f of a link with ten times its usual latency", got)
	}
	if got := tr.LinkWeight(at(60_000), "e0", "e1"); got < 0.9 {
		t.Errorf("weight %.2f of a slow link that was unused for a minute, so it would never be tried again", got)
	}
	step(60_000, 10, time.Millisecond, "e1")
	if got := tr.LinkWeight(at(60_200), "e0", "e1"); got != 1 {
		t.Errorf("weight %.2f of a link that recovered", got)
	}
	for range linkFailuresToEject {
		tr.LinkFailure(t0, "e2", "e3")
	}
	if got := tr.LinkWeight(t0, "e2", "e3"); got != minLinkWeight {
		t.Errorf("weight %.2f of a failed link", got)
	}
	if got := tr.LinkWeight(at(1000), "e2", "e3"); got != trialLinkWeight {
		t.Errorf("weight %.2f of a failed link that is half-open", got)
	}
	tr.LinkSuccess(at(1000), "e2", "e3")
	if got := tr.LinkWeight(at(6000), "e2", "e3"); got != 1 {
		t.Errorf("weight %.2f after the return", got)
	}
	tr.SetMembers(at(6000), "drafts", nil)
	if len(tr.links) != 0 || len(tr.members) != 0 {
		t.Errorf("%d links and %d members are left", len(tr.links), len(tr.members))
	}
}

func BenchmarkWeight(b *testing.B) {
	for _, n := range []int{30, 210} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			tr := newTestTracker(n)
			names := make([]ids.Upstream, n)
			for i := range names {
				names[i] = upstream(i)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				tr.Weight(t0, names[i%n])
				i++
			}
		})
	}
}

// Guards against work for an upstream that asks for a rest, and against a rest that a later
// refusal or a success shortens. After the rest the upstream returns slowly.
func TestRestingUpstreamGetsNoWork(t *testing.T) {
	tr := newTestTracker(2)
	tr.Rest(at(0), "e0", 3*time.Second)
	tr.Rest(at(100), "e0", time.Second)
	tr.Success(at(200), "e0")
	for _, ms := range []int{0, 1200, 2999} {
		wantState(t, tr, at(ms), "e0", Resting)
		if w := tr.Weight(at(ms), "e0"); w != 0 {
			t.Errorf("weight %v after %d ms", w, ms)
		}
	}
	wantState(t, tr, at(3000), "e0", Returning)
	if w := tr.Weight(at(3100), "e0"); w <= 0 || w > 0.2 {
		t.Errorf("weight %v at the end of the rest", w)
	}
	wantState(t, tr, at(9000), "e0", Up)
	tr.Rest(at(9000), "e0", 1000*time.Hour)
	wantState(t, tr, at(9000).Add(maxRest), "e0", Returning)
}
