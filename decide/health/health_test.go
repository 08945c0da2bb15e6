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

func tracker(members int) *Tracker {
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
		need   int // failures in a row that eject; 0 means never
	}{
		{outcome.ConnectFailed, 2},
		{outcome.UpstreamLost, 3},
		{outcome.StageFailed, 3},
		{outcome.UpstreamStalled, 2},
		{outcome.UpstreamBusy, 0},
		{outcome.UpstreamRefused, 0},
		{outcome.Cancelled, 0},
	} {
		tr := tracker(10)
		ejectedAfter := 0
		for i := 1; i <= 20 && ejectedAfter == 0; i++ {
			tr.Failure(at(i*50), "e0", row.reason)
			if tr.State(at(i*50), "e0") == Ejected {
				ejectedAfter = i
			}
		}
		if ejectedAfter != row.need {
			t.Errorf("%s: ejected after %d, want %d", row.reason, ejectedAfter, row.need)
		}
	}
}

func TestOneCauseOnTheWayCountsOnce(t *testing.T) {
	tr := tracker(10)
	for range 20 {
		tr.Failure(t0, "e0", outcome.UpstreamLost)
	}
	wantState(t, tr, t0, "e0", Up)
}

func TestSuccessBreaksTheRow(t *testing.T) {
	tr := tracker(10)
	for i := range 12 {
		tr.Failure(at(i*100), "e0", outcome.StageFailed)
		tr.Failure(at(i*100+30), "e0", outcome.StageFailed)
		tr.Success(at(i*100+60), "e0")
		wantState(t, tr, at(i*100+60), "e0", Up)
	}
}

func TestHalfOpenLetsOneTrialThroughAndReturnIsSlow(t *testing.T) {
	tr := tracker(10)
	eject := func(ms int) {
		tr.Failure(at(ms), "e0", outcome.ConnectFailed)
		tr.Failure(at(ms), "e0", outcome.ConnectFailed)
	}
	eject(0)
	wantState(t, tr, at(999), "e0", Ejected)
	wantState(t, tr, at(1000), "e0", HalfOpen)
	if got := tr.Weight(at(1000), "e0"); got != trialWeight {
		t.Fatalf("weight %.2f while the trial is free: it would never be taken", got)
	}
	if !tr.TryTrial(at(1000), "e0") || tr.TryTrial(at(1001), "e0") || tr.Weight(at(1001), "e0") != 0 {
		t.Fatal("half-open must let exactly one trial through")
	}
	tr.Failure(at(1100), "e0", outcome.ConnectFailed)
	wantState(t, tr, at(3000), "e0", Ejected) // twice as long
	wantState(t, tr, at(3100), "e0", HalfOpen)
	if !tr.TryTrial(at(3100), "e0") {
		t.Fatal("no trial after the second ejection")
	}
	if !tr.TryTrial(at(3100).Add(trialFor), "e0") {
		t.Fatal("a trial that never settled blocks the next")
	}
	tr.Success(at(9000), "e0")
	wantState(t, tr, at(9000), "e0", Returning)
	start, half, end := tr.Weight(at(9000), "e0"), tr.Weight(at(11500), "e0"), tr.Weight(at(14000), "e0")
	if start != returnWeight || half < 0.5 || half > 0.6 || end != 1 {
		t.Errorf("weights of the return %.2f, %.2f, %.2f", start, half, end)
	}
	wantState(t, tr, at(14000), "e0", Up)
	now := at(14000)
	for i := range 8 { // the length of ejections is bounded
		eject(int(now.Sub(t0) / time.Millisecond))
		now = now.Add(maxEjectFactor * DefaultEjectFor)
		if tr.State(now, "e0") != HalfOpen {
			t.Fatalf("ejection %d is longer than %d times the first", i, maxEjectFactor)
		}
	}
}

func TestFloorIsKept(t *testing.T) {
	tr := tracker(10)
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
				t.Errorf("%s is kept by the floor at weight %.2f", upstream(i), w)
			}
		}
	}
	if used != 5 {
		t.Errorf("%d of 10 in use, want the floor of 5", used)
	}
}

func TestStallBlamesTheConnectionFirst(t *testing.T) {
	tr := tracker(10)
	for i := range 10 { // one connection after another goes silent, others work
		tr.Stall(at(i*1000), "e0")
		wantState(t, tr, at(i*1000), "e0", Up)
		tr.Progress(at(i*1000+500), "e0")
	}
	tr.Stall(at(10000), "e0")
	tr.Stall(at(10010), "e0")
	wantState(t, tr, at(10010), "e0", Ejected)

	tr.ReportReceived(at(0), "e1")
	tr.Stall(at(2000), "e1") // and its reports have stopped
	wantState(t, tr, at(2000), "e1", Ejected)
}

func TestFrozenUpstreamIsFoundByItsSilence(t *testing.T) {
	tr := tracker(10)
	tr.ReportReceived(t0, "e0")
	for i := 1; i <= 3; i++ {
		wantState(t, tr, at(i*500), "e0", Up)
		tr.ReportMissed(at(i*500), "e0")
	}
	wantState(t, tr, at(1500), "e0", Ejected)
}

// A dead engine among 30, requests every 20 ms by weight: it is out of use
// well within two seconds and few requests meet it.
func TestDeadEngineIsLeftQuickly(t *testing.T) {
	tr := tracker(30)
	rng := rand.New(rand.NewPCG(1, 1))
	met := 0
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
		met++
		tr.Failure(now, pick, outcome.ConnectFailed)
		if met == 2 && ms >= 2000 {
			t.Errorf("still in use after %d ms", ms)
		}
	}
	if met < 2 || met > 6 {
		t.Errorf("%d requests met the dead engine", met)
	}
}

func TestOutlierOfSuccessRateIsEjected(t *testing.T) {
	tr := tracker(10)
	ejected := false
	for i := range 200 {
		now := at(i * 20)
		for e := range 10 {
			if e == 3 && i%2 == 0 { // every other attempt: never two in a row
				tr.Failure(now, upstream(e), outcome.StageFailed)
				continue
			}
			tr.Success(now, upstream(e))
		}
		ejected = ejected || tr.State(now, "e3") == Ejected
		wantState(t, tr, now, "e4", Up)
	}
	if !ejected {
		t.Error("an upstream that fails every other attempt stayed in use")
	}
}

// Peers behind a cut say that everything is ejected: nothing is, here; and one
// failure of our own then suffices until the upstream proves itself.
func TestPeersAreEvidenceOnly(t *testing.T) {
	tr := tracker(10)
	for i := range 10 {
		for vm := range 8 {
			tr.PeerState(t0, ids.VM(fmt.Sprint(vm)), upstream(i), Ejected)
		}
		if got := tr.Weight(t0, upstream(i)); got != hintWeight {
			t.Fatalf("weight %.2f on peers' word alone, want %.2f", got, hintWeight)
		}
	}
	tr.Failure(at(1), "e0", outcome.UpstreamLost)
	wantState(t, tr, at(1), "e0", Ejected)
	tr.Success(at(1), "e1")
	tr.Failure(at(2), "e1", outcome.UpstreamLost)
	wantState(t, tr, at(2), "e1", Up)
	if got := tr.Weight(t0.Add(hintFor), "e2"); got != 1 {
		t.Errorf("weight %.2f after the hints have aged, want 1", got)
	}
}

func TestLeavingGetsNothingUntilTakenBack(t *testing.T) {
	tr := tracker(3)
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
	tr := tracker(10)
	tr.Epoch(t0, "e0", "one")
	tr.Failure(t0, "e0", outcome.ConnectFailed)
	tr.Failure(t0, "e0", outcome.ConnectFailed)
	tr.Epoch(at(100), "e0", "two")
	wantState(t, tr, at(100), "e0", HalfOpen)
}

func TestLinks(t *testing.T) {
	tr := tracker(4)
	step := func(from, ms int, latency time.Duration, to ids.Upstream) {
		for i := range 20 {
			tr.LinkLatency(at(from+i*ms), "e0", to, latency)
		}
	}
	step(0, 10, time.Millisecond, "e1")
	step(0, 10, 100*time.Millisecond, "e2")
	if tr.LinkWeight(at(200), "e0", "e1") != 1 || tr.LinkWeight(at(200), "e0", "e2") != 1 {
		t.Error("links that keep to their own normal must have full weight")
	}
	step(200, 10, 10*time.Millisecond, "e1")
	if got := tr.LinkWeight(at(400), "e0", "e1"); got > 0.15 {
		t.Errorf("weight %.2f of a link ten times slower", got)
	}
	if got := tr.LinkWeight(at(60_000), "e0", "e1"); got < 0.9 {
		t.Errorf("weight %.2f of a slow link unused for a minute: it is never tried again", got)
	}
	step(60_000, 10, time.Millisecond, "e1")
	if got := tr.LinkWeight(at(60_200), "e0", "e1"); got != 1 {
		t.Errorf("weight %.2f of a link that recovered", got)
	}
	for range linkFailures {
		tr.LinkFailure(t0, "e2", "e3")
	}
	if got := tr.LinkWeight(t0, "e2", "e3"); got != minLinkWeight {
		t.Errorf("weight %.2f of a failed link", got)
	}
	if got := tr.LinkWeight(at(1000), "e2", "e3"); got != trialLinkWeight {
		t.Errorf("weight %.2f of a failed link due for trials", got)
	}
	tr.LinkSuccess(at(1000), "e2", "e3")
	if got := tr.LinkWeight(at(6000), "e2", "e3"); got != 1 {
		t.Errorf("weight %.2f after the return", got)
	}
	tr.SetMembers(at(6000), "drafts", nil)
	if len(tr.links) != 0 || len(tr.members) != 0 {
		t.Errorf("%d links and %d members left behind", len(tr.links), len(tr.members))
	}
}

func BenchmarkWeight(b *testing.B) {
	for _, n := range []int{30, 210} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			tr := tracker(n)
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
