package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1e9, 0)

// at returns the time ms milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// delayedReport returns a load report of engine "e" that is 500 ms old.
func delayedReport(running int) engineapi.LoadReport {
	return engineapi.LoadReport{Engine: "e", Epoch: "1", Slots: 16, Running: running, TokensPerSecond: 100, AgeMs: 500}
}

// mustApply applies a load report at time at(ms). It fails the test on an error.
func mustApply(t *testing.T, est *Estimator, ms int, r engineapi.LoadReport) {
	t.Helper()
	if err := est.ApplyReport(at(ms), r, at(ms)); err != nil {
		t.Fatal(err)
	}
}

// checkInFlight checks the estimated requests in flight at engine "e" at time at(ms).
func checkInFlight(t *testing.T, est *Estimator, ms int, want float64) {
	t.Helper()
	if got := est.Estimate(at(ms), "e").InFlight; math.Abs(got-want) > 1e-9 {
		t.Errorf("at %d ms: %v in flight, want %v", ms, got, want)
	}
}

func TestSendsBeforeAndAfterTheReportCountOnce(t *testing.T) {
	est := New(Settings{})
	for range 3 {
		_ = est.RequestStarted(at(0), "e")
	}
	_ = est.ApplyPeerDigest(at(0), "peer", map[ids.Upstream]int{"e": 2})
	_ = est.RequestStarted(at(800), "e")
	// Measured at 500 ms: 3 requests of this VM, 2 of the peer and 4 of other senders.
	mustApply(t, est, 1000, delayedReport(9))
	checkInFlight(t, est, 1000, 3+1+2+4)
	est.RequestEnded(at(1100), "e")
	_ = est.ApplyPeerDigest(at(1200), "peer", map[ids.Upstream]int{"e": 7})
	checkInFlight(t, est, 1200, 3+7+4)
	_ = est.ApplyPeerDigest(at(1400), "peer", nil)
	checkInFlight(t, est, 1400, 3+4)
	got := est.Estimate(at(1500), "e")
	want := Estimate{InFlight: 7, OwnInFlight: 3, ReportedRunning: 9, Slots: 16, Rate: 100, Epoch: "1", Age: time.Second, HasReport: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestReportCannotHideCountedRequests(t *testing.T) {
	est := New(Settings{})
	for range 5 {
		_ = est.RequestStarted(at(0), "e")
	}
	mustApply(t, est, 1000, delayedReport(0))
	checkInFlight(t, est, 1000, 5)
}

func TestRemovedPeerKeepsItsLoadUntilReportsCorrectIt(t *testing.T) {
	est := New(Settings{})
	_ = est.ApplyPeerDigest(at(0), "peer", map[ids.Upstream]int{"e": 6})
	mustApply(t, est, 600, delayedReport(6))
	est.RemovePeer(at(1000), "peer")
	checkInFlight(t, est, 1000, 6)
	mustApply(t, est, 1200, delayedReport(6)) // measured before the peer was removed
	checkInFlight(t, est, 1200, 6)
	for ms := 1600; ms < 6000; ms += 200 {
		mustApply(t, est, ms, delayedReport(0))
	}
	if got := est.Estimate(at(6000), "e").InFlight; got > 0.1 {
		t.Errorf("%v requests still in flight, want none", got)
	}
}

func TestNewPeerIsNotCountedTwice(t *testing.T) {
	est := New(Settings{})
	mustApply(t, est, 600, delayedReport(6))
	checkInFlight(t, est, 600, 6)
	_ = est.ApplyPeerDigest(at(700), "peer", map[ids.Upstream]int{"e": 4})
	checkInFlight(t, est, 700, 6)
}

// A report that was measured before the last one must be ignored, and a report of a new
// epoch must replace what was known of the earlier process.
func TestOldReportsAndOldEpochs(t *testing.T) {
	est := New(Settings{})
	mustApply(t, est, 1000, delayedReport(8))
	mustApply(t, est, 900, delayedReport(2))
	checkInFlight(t, est, 1000, 8)
	restarted := delayedReport(0)
	restarted.Epoch, restarted.Leaving = "2", true
	mustApply(t, est, 1200, restarted)
	checkInFlight(t, est, 1200, 0)
	est.PollFailed(at(1300), "e")
	if got := est.Estimate(at(1300), "e"); got.Epoch != "2" || !got.Leaving || got.FailedPolls != 1 {
		t.Errorf("estimate %+v", got)
	}
}

func TestBadReportsChangeNothing(t *testing.T) {
	est := New(Settings{})
	mustApply(t, est, 1000, delayedReport(8))
	before := est.Estimate(at(1000), "e")
	for field, invalidate := range map[string]func(*engineapi.LoadReport){
		"slots":             func(r *engineapi.LoadReport) { r.Slots = -1 },
		"running":           func(r *engineapi.LoadReport) { r.Running = -1 },
		"age_ms":            func(r *engineapi.LoadReport) { r.AgeMs = -1 },
		"tokens_per_second": func(r *engineapi.LoadReport) { r.TokensPerSecond = math.NaN() },
	} {
		r := delayedReport(1)
		invalidate(&r)
		var typed *ReportError
		if err := est.ApplyReport(at(1000), r, at(1000)); !errors.As(err, &typed) || typed.Field != field {
			t.Errorf("%s: error %v, want a *ReportError", field, err)
		}
	}
	if diff := cmp.Diff(before, est.Estimate(at(1000), "e")); diff != "" {
		t.Error(diff)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	est := New(Settings{MaxUpstreams: 3, MaxPeers: 1})
	_ = est.ApplyPeerDigest(at(0), "peer", map[ids.Upstream]int{"a": 1, "b": 1})
	var full *FullError
	if err := est.ApplyPeerDigest(at(0), "other", map[ids.Upstream]int{"a": 1}); !errors.As(err, &full) {
		t.Errorf("second peer: error %v, want a *FullError", err)
	}
	_ = est.RequestStarted(at(0), "c")
	if err := est.RequestStarted(at(0), "d"); !errors.As(err, &full) || est.UpstreamCount() != 3 {
		t.Errorf("fourth upstream: error %v, %d upstreams kept", err, est.UpstreamCount())
	}
	mustApply(t, New(Settings{}), 0, delayedReport(0))
	est.Forget("c")
	if own := est.Estimate(at(0), "c").OwnInFlight; own != 1 {
		t.Errorf("Forget removed %d of 1 requests in flight", 1-own)
	}
	est.RequestEnded(at(1), "c")
	_ = est.ApplyPeerDigest(at(1), "peer", map[ids.Upstream]int{"a": 0})
	if est.UpstreamCount() != 0 {
		t.Errorf("%d upstreams kept, want none", est.UpstreamCount())
	}
}

// maxToMeanLoad simulates 9 VMs that send each request to whichever of 30 equal engines
// seems least loaded, with load reports that arrive 500 ms late and digests every 200 ms.
// own and peers select whether the VMs count their own requests and exchange digests. It
// returns the largest number of requests in flight at an engine divided by the mean of
// all engines, averaged over time.
func maxToMeanLoad(own, peers bool) float64 {
	const vms, engines, meanDurationMs, arrivalsPerS = 9, 30, 1000, 300
	rng := rand.New(rand.NewPCG(1, 1))
	var running [engines]int
	var ends [10000][][2]int
	estimators := make([]*Estimator, vms)
	for k := range estimators {
		estimators[k] = New(Settings{})
	}
	var delayed [500][engines]int
	sum, samples := 0.0, 0
	for ms := range len(ends) - 2*meanDurationMs {
		now := at(ms)
		for _, end := range ends[ms] {
			running[end[1]]--
			if own {
				estimators[end[0]].RequestEnded(now, name(end[1]))
			}
		}
		for e := range engines {
			if (ms+e*7)%200 == 0 && ms >= len(delayed) {
				for _, est := range estimators {
					_ = est.ApplyReport(now, engineapi.LoadReport{Engine: string(name(e)), Running: delayed[ms%len(delayed)][e], AgeMs: 500}, now)
				}
			}
		}
		delayed[ms%len(delayed)] = running
		for k, est := range estimators {
			if peers && (ms+k*20)%200 == 0 {
				counts := map[ids.Upstream]int{}
				est.CopyOwnCounts(counts)
				for j := range estimators {
					if j != k {
						_ = estimators[j].ApplyPeerDigest(now, ids.VM(fmt.Sprint(k)), counts)
					}
				}
			}
		}
		if rng.IntN(meanDurationMs) < arrivalsPerS {
			k := rng.IntN(vms)
			e := leastLoaded(estimators[k], now, engines, rng.IntN(engines))
			running[e]++
			end := ms + meanDurationMs/2 + rng.IntN(meanDurationMs)
			ends[end] = append(ends[end], [2]int{k, e})
			if own {
				_ = estimators[k].RequestStarted(now, name(e))
			}
		}
		if ms > 3000 {
			most, all := 0, 0
			for _, n := range running {
				most, all = max(most, n), all+n
			}
			sum += float64(most) * engines / float64(all)
			samples++
		}
	}
	return sum / float64(samples)
}

// name returns the name of engine number e.
func name(e int) ids.Upstream { return ids.Upstream(fmt.Sprint("engine-", e)) }

// leastLoaded returns the number of the engine with the lowest estimate, the first
// of several counted from start.
func leastLoaded(est *Estimator, now time.Time, engines, start int) int {
	best, fewest := 0, math.Inf(1)
	for k := range engines {
		e := (start + k) % engines
		if n := est.Estimate(now, name(e)).InFlight; n < fewest {
			best, fewest = e, n
		}
	}
	return best
}

// With delayed load reports only, all VMs send to the same engine until its next report
// shows the load (thundering herd). Own counts and peer digests must prevent that.
func TestOwnAndPeerCountsStopTheHerd(t *testing.T) {
	reports, own, all := maxToMeanLoad(false, false), maxToMeanLoad(true, false), maxToMeanLoad(true, true)
	t.Logf("largest load over the mean: %.2f with reports only, %.2f with own counts, %.2f with peer digests", reports, own, all)
	if all > 1.6 || own < 1.1*all || reports < 1.5*own {
		t.Error("own counts and peer digests do not keep the load of engines even")
	}
}

func BenchmarkEstimate(b *testing.B) {
	est := New(Settings{})
	_ = est.ApplyReport(epoch, delayedReport(3), epoch)
	b.ReportAllocs()
	for b.Loop() {
		est.Estimate(epoch, "e")
	}
}
