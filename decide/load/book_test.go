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

// epoch is the time tests start at.
var epoch = time.Unix(1e9, 0)

// at gives a time in milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// lagged makes a report of engine "e" that is half a second old.
func lagged(running int) engineapi.LoadReport {
	return engineapi.LoadReport{Engine: "e", Epoch: "1", Slots: 16, Running: running, TokensPerSecond: 100, AgeMs: 500}
}

// take gives a book a report and fails the test on an error.
func take(t *testing.T, b *Estimator, ms int, r engineapi.LoadReport) {
	t.Helper()
	if err := b.ApplyReport(at(ms), r, at(ms)); err != nil {
		t.Fatal(err)
	}
}

// expect checks the estimate of engine "e".
func expect(t *testing.T, b *Estimator, ms int, want float64) {
	t.Helper()
	if got := b.Estimate(at(ms), "e").InFlight; math.Abs(got-want) > 1e-9 {
		t.Errorf("at %d ms: %v in flight, want %v", ms, got, want)
	}
}

func TestSendsBeforeAndAfterTheReportCountOnce(t *testing.T) {
	b := New(Settings{})
	for range 3 {
		_ = b.RequestStarted(at(0), "e")
	}
	_ = b.ApplyPeerDigest(at(0), "peer", map[ids.Upstream]int{"e": 2})
	_ = b.RequestStarted(at(800), "e")
	// Measured at 500: our 3, the peer's 2, and 4 of senders not heard of.
	take(t, b, 1000, lagged(9))
	expect(t, b, 1000, 3+1+2+4)
	b.RequestEnded(at(1100), "e")
	_ = b.ApplyPeerDigest(at(1200), "peer", map[ids.Upstream]int{"e": 7})
	expect(t, b, 1200, 3+7+4)
	_ = b.ApplyPeerDigest(at(1400), "peer", nil)
	expect(t, b, 1400, 3+4)
	est := b.Estimate(at(1500), "e")
	want := Estimate{InFlight: 7, OwnInFlight: 3, ReportedRunning: 9, Slots: 16, Rate: 100, Epoch: "1", Age: time.Second, HasReport: true}
	if diff := cmp.Diff(want, est); diff != "" {
		t.Error(diff)
	}
}

func TestReportCannotHideWorkAccountedFor(t *testing.T) {
	b := New(Settings{})
	for range 5 {
		_ = b.RequestStarted(at(0), "e")
	}
	take(t, b, 1000, lagged(0))
	expect(t, b, 1000, 5)
}

func TestPeerGoneKeepsItsWorkUntilReportsTell(t *testing.T) {
	b := New(Settings{})
	_ = b.ApplyPeerDigest(at(0), "peer", map[ids.Upstream]int{"e": 6})
	take(t, b, 600, lagged(6))
	b.RemovePeer(at(1000), "peer")
	expect(t, b, 1000, 6)
	take(t, b, 1200, lagged(6)) // measured while the peer was still heard
	expect(t, b, 1200, 6)
	for ms := 1600; ms < 6000; ms += 200 {
		take(t, b, ms, lagged(0))
	}
	if got := b.Estimate(at(6000), "e").InFlight; got > 0.1 {
		t.Errorf("%v still in flight", got)
	}
}

func TestNewPeerIsNotCountedTwice(t *testing.T) {
	b := New(Settings{})
	take(t, b, 600, lagged(6))
	expect(t, b, 600, 6)
	_ = b.ApplyPeerDigest(at(700), "peer", map[ids.Upstream]int{"e": 4})
	expect(t, b, 700, 6)
}

func TestOldReportsAndOldEpochs(t *testing.T) {
	b := New(Settings{})
	take(t, b, 1000, lagged(8))
	take(t, b, 900, lagged(2))
	expect(t, b, 1000, 8)
	restarted := lagged(0)
	restarted.Epoch, restarted.Leaving = "2", true
	take(t, b, 1200, restarted)
	expect(t, b, 1200, 0)
	b.PollFailed(at(1300), "e")
	if est := b.Estimate(at(1300), "e"); est.Epoch != "2" || !est.Leaving || est.Failures != 1 {
		t.Errorf("%+v", est)
	}
}

func TestBadReportsChangeNothing(t *testing.T) {
	b := New(Settings{})
	take(t, b, 1000, lagged(8))
	before := b.Estimate(at(1000), "e")
	for field, spoil := range map[string]func(*engineapi.LoadReport){
		"slots":             func(r *engineapi.LoadReport) { r.Slots = -1 },
		"running":           func(r *engineapi.LoadReport) { r.Running = -1 },
		"age_ms":            func(r *engineapi.LoadReport) { r.AgeMs = -1 },
		"tokens_per_second": func(r *engineapi.LoadReport) { r.TokensPerSecond = math.NaN() },
	} {
		r := lagged(1)
		spoil(&r)
		var typed *ReportError
		if err := b.ApplyReport(at(1000), r, at(1000)); !errors.As(err, &typed) || typed.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
	if diff := cmp.Diff(before, b.Estimate(at(1000), "e")); diff != "" {
		t.Error(diff)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	b := New(Settings{MaxUpstreams: 3, MaxPeers: 1})
	_ = b.ApplyPeerDigest(at(0), "peer", map[ids.Upstream]int{"a": 1, "b": 1})
	var full *FullError
	if err := b.ApplyPeerDigest(at(0), "other", map[ids.Upstream]int{"a": 1}); !errors.As(err, &full) {
		t.Errorf("second peer: %v", err)
	}
	_ = b.RequestStarted(at(0), "c")
	if err := b.RequestStarted(at(0), "d"); !errors.As(err, &full) || b.UpstreamCount() != 3 {
		t.Errorf("fourth upstream: %v, %d kept", err, b.UpstreamCount())
	}
	take(t, New(Settings{}), 0, lagged(0))
	b.Forget("c")
	if own := b.Estimate(at(0), "c").OwnInFlight; own != 1 {
		t.Errorf("forgetting lost %d of 1 in flight", 1-own)
	}
	b.RequestEnded(at(1), "c")
	_ = b.ApplyPeerDigest(at(1), "peer", map[ids.Upstream]int{"a": 0})
	if b.UpstreamCount() != 0 {
		t.Errorf("%d upstreams kept of none", b.UpstreamCount())
	}
}

// herd lets 9 VMs send to whichever of 30 equal engines seems least loaded,
// with reports 500 ms late and digests each 200 ms. It gives the largest
// count in flight at an engine over the mean, averaged over time.
func herd(own, peers bool) float64 {
	const vms, engines, spell, runs = 9, 30, 1000, 300
	rng := rand.New(rand.NewPCG(1, 1))
	var running [engines]int
	var ends [10000][][2]int
	books := make([]*Estimator, vms)
	for k := range books {
		books[k] = New(Settings{})
	}
	var late [500][engines]int
	sum, samples := 0.0, 0
	for ms := range len(ends) - 2*spell {
		now := at(ms)
		for _, end := range ends[ms] {
			running[end[1]]--
			if own {
				books[end[0]].RequestEnded(now, name(end[1]))
			}
		}
		for e := range engines {
			if (ms+e*7)%200 == 0 && ms >= len(late) {
				for _, b := range books {
					_ = b.ApplyReport(now, engineapi.LoadReport{Engine: string(name(e)), Running: late[ms%len(late)][e], AgeMs: 500}, now)
				}
			}
		}
		late[ms%len(late)] = running
		for k, b := range books {
			if peers && (ms+k*20)%200 == 0 {
				counts := map[ids.Upstream]int{}
				b.CopyOwnCounts(counts)
				for j := range books {
					if j != k {
						_ = books[j].ApplyPeerDigest(now, ids.VM(fmt.Sprint(k)), counts)
					}
				}
			}
		}
		if rng.IntN(spell) < runs {
			k := rng.IntN(vms)
			e := least(books[k], now, engines, rng.IntN(engines))
			running[e]++
			end := ms + spell/2 + rng.IntN(spell)
			ends[end] = append(ends[end], [2]int{k, e})
			if own {
				_ = books[k].RequestStarted(now, name(e))
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

func name(e int) ids.Upstream { return ids.Upstream(fmt.Sprint("engine-", e)) }

// least gives the engine that seems least loaded, the first from a random start.
func least(b *Estimator, now time.Time, engines, start int) int {
	best, fewest := 0, math.Inf(1)
	for k := range engines {
		e := (start + k) % engines
		if n := b.Estimate(now, name(e)).InFlight; n < fewest {
			best, fewest = e, n
		}
	}
	return best
}

func TestOwnAndPeerCountsStopTheHerd(t *testing.T) {
	reports, own, all := herd(false, false), herd(true, false), herd(true, true)
	t.Logf("fullest engine over the mean: by reports %.2f, and own counts %.2f, and peers' %.2f", reports, own, all)
	if all > 1.6 || own < 1.1*all || reports < 1.5*own {
		t.Error("own and peers' counts don't keep engines even")
	}
}

func BenchmarkEstimate(b *testing.B) {
	book := New(Settings{})
	_ = book.ApplyReport(epoch, lagged(3), epoch)
	b.ReportAllocs()
	for b.Loop() {
		book.Estimate(epoch, "e")
	}
}
