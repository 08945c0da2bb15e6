package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func isQuarantined(b *Detector, ms int, fp Fingerprint) bool {
	yes, _ := b.Quarantined(at(ms), fp)
	return yes
}

func TestSecondUpstreamQuarantines(t *testing.T) {
	b := New(Options{})
	b.RecordDeath(at(0), "e1", "a", []Fingerprint{"bad", "x1", "x2"})
	b.RecordDeath(at(100), "e1", "a", []Fingerprint{"bad"}) // the same death
	b.RecordDeath(at(200), "e1", "b", []Fingerprint{"bad"}) // the same upstream
	if isQuarantined(b, 5000, "bad") {
		t.Fatal("quarantined for one upstream")
	}
	b.RecordDeath(at(5000), "e2", "a", []Fingerprint{"bad", "x3"})
	if n, hold := b.Suspected(at(5000), "bad"); n != 2 || !hold.Equal(at(6000)) || isQuarantined(b, 5000, "bad") {
		t.Errorf("%d upstreams, hold until %v: peers must have time to report", n, hold)
	}
	yes, until := b.Quarantined(at(6000), "bad")
	if !yes || !until.Equal(at(5000).Add(DefaultDuration)) {
		t.Errorf("Quarantined = %v until %v", yes, until)
	}
	if isQuarantined(b, 6000, "x1") || isQuarantined(b, 6000, "x3") {
		t.Error("an innocent request is quarantined")
	}
	if yes, _ := b.Quarantined(until, "bad"); yes {
		t.Error("quarantine does not end")
	}
}

func TestInnocentRetriedBesideTheCulpritIsSpared(t *testing.T) {
	b := New(Options{})
	b.RecordDeath(at(0), "e1", "a", []Fingerprint{"bad", "unlucky", "x1"})
	b.RecordDeath(at(300), "e2", "a", []Fingerprint{"bad", "unlucky", "x2"})
	if isQuarantined(b, 2000, "unlucky") || isQuarantined(b, 2000, "bad") {
		t.Fatal("a suspect is quarantined despite similar scores")
	}
	_, first := b.Suspected(at(2000), "bad")
	_, second := b.Suspected(at(2000), "unlucky")
	if !first.IsZero() || !second.Equal(at(300).Add(maxTieWaitFactor*DefaultPeerWait)) {
		t.Errorf("wait until %v and %v: suspects with similar scores must run one after another", first, second)
	}
	b.RecordSuccess(at(2500), "unlucky")
	if isQuarantined(b, 2500, "unlucky") || !isQuarantined(b, 2500, "bad") {
		t.Error("after the success of one suspect, only the other must be quarantined")
	}
}

func TestPopularRequestIsClearedBySuccess(t *testing.T) {
	b := New(Options{})
	for i := range 6 { // the popular request is in flight at every death and succeeds in between
		b.RecordDeath(at(i*1000), ids.Upstream(fmt.Sprint(i)), "a", []Fingerprint{"popular", "x"})
		b.RecordSuccess(at(i*1000+500), "popular")
	}
	if isQuarantined(b, 9000, "popular") || !isQuarantined(b, 9000, "x") {
		t.Error("want x, which never succeeded, and not the popular request")
	}
}

func TestRackFailureBlamesNobody(t *testing.T) {
	b := New(Options{})
	for i := range 10 { // one request of each death is retried and is in flight at the next
		fps := []Fingerprint{Fingerprint(fmt.Sprint("r", i)), Fingerprint(fmt.Sprint("r", i+1)), Fingerprint(fmt.Sprint("own", i))}
		if i%3 == 0 { // equal requests on four of ten upstreams
			fps = append(fps, "r0")
		}
		b.RecordDeath(at(i*100), ids.Upstream(fmt.Sprint(i)), "a", fps)
	}
	for i := range 11 {
		if isQuarantined(b, 5000, Fingerprint(fmt.Sprint("r", i))) {
			t.Errorf("r%d is quarantined after a rack failure", i)
		}
	}
}

// Guards against the quarantine of a request that was in flight on all upstreams of a rack,
// also if peers report their part of it.
func TestRunsThatBeganBeforeADeathCountWithIt(t *testing.T) {
	a, b := New(Options{PeerWait: -1}), New(Options{PeerWait: -1})
	for i := range 10 {
		det := []*Detector{a, b}[i%2]
		det.RecordDeathAt(at(1000+i), at(1000+i), ids.Upstream(fmt.Sprint(i)), "a", []Run{{Fingerprint: "popular", Began: at(600 + 10*i)}})
	}
	a.MergeDigest(at(1050), "b", b.Digest(at(1040)))
	if f := a.Assess(at(2000), "popular"); f.Ruling != Unsuspected || f.Upstreams != 1 || f.Deaths != 10 {
		t.Errorf("%+v", f)
	}
	b.RecordDeathAt(at(1500), at(1450), "next", "a", []Run{{Fingerprint: "popular", Began: at(1200)}})
	a.MergeDigest(at(1510), "b", b.Digest(at(1505)))
	if f := a.Assess(at(2000), "popular"); f.Ruling != Refuse || f.Upstreams != 2 {
		t.Errorf("after a run that began later: %+v", f)
	}
}

func TestRelaysCountOnce(t *testing.T) {
	a, b, c := New(Options{}), New(Options{}), New(Options{})
	a.RecordDeath(at(0), "e1", "x", []Fingerprint{"bad"})
	for i := range 20 { // digests are relayed in both directions
		b.MergeDigest(at(i*100), "a", a.Digest(at(i*100)))
		c.MergeDigest(at(i*100), "b", b.Digest(at(i*100)))
		a.MergeDigest(at(i*100), "c", c.Digest(at(i*100)))
	}
	if n, _ := c.Suspected(at(2000), "bad"); n != 1 {
		t.Errorf("one death counts as %d", n)
	}
	b.RecordDeath(at(2000), "e2", "x", []Fingerprint{"bad"})
	c.MergeDigest(at(2100), "b", b.Digest(at(2100)))
	if !isQuarantined(c, 4000, "bad") {
		t.Error("deaths reported by two peers are not combined at a third")
	}
	a.RecordSuccess(at(5000), "bad") // has not recorded the second death
	a.MergeDigest(at(5100), "c", c.Digest(at(5100)))
	if n, _ := a.Suspected(at(5100), "bad"); n != 0 {
		t.Errorf("a late report of an earlier death is blamed despite a later success: %d", n)
	}
	c.MergeDigest(at(5200), "a", a.Digest(at(5200)))
	if isQuarantined(c, 5200, "bad") {
		t.Error("a peer's success does not clear the fingerprint")
	}
	for range 3 { // an old digest must change nothing
		c.MergeDigest(at(5300), "b", b.Digest(at(5300)))
	}
	if isQuarantined(c, 5300, "bad") {
		t.Error("relayed blame undoes a success")
	}
}

func TestBounds(t *testing.T) {
	b := New(Options{MaxDeaths: 8, MaxInFlight: 4, MaxEvents: 10})
	for i := range 100 {
		var fps []Fingerprint
		for j := range 20 {
			fps = append(fps, Fingerprint(fmt.Sprint(i, "-", j)))
		}
		b.RecordDeath(at(i), ids.Upstream(fmt.Sprint(i)), "a", fps)
		for _, fp := range fps {
			for k := range 3 {
				b.RecordSuccess(at(i), fp+Fingerprint(fmt.Sprint(k)))
			}
		}
		if n := len(b.Digest(at(i))); n > 10 {
			t.Fatalf("digest of %d events", n)
		}
	}
	if len(b.deaths) > 8 || len(b.byID) > 8 || len(b.suspects) > 32 || len(b.successes) > maxSuccesses {
		t.Errorf("%d deaths, %d suspects, %d successes", len(b.deaths), len(b.suspects), len(b.successes))
	}
	b.dropOldDeaths(at(0).Add(time.Hour))
	if len(b.deaths)+len(b.byID)+len(b.suspects) != 0 {
		t.Error("old deaths are kept")
	}
}

const (
	simEngines  = 30
	simVMs      = 9
	simInFlight = 20
	simStep     = 10
	simLength   = 20_000
	poison      = Fingerprint("poison")
)

// run is one request on an engine, sent through a VM.
type run struct {
	fp       Fingerprint
	vm, ends int
}

// fleet simulates engines that die when the poison request runs on them. All
// other requests that are cut off by a death are retried at once.
type fleet struct {
	rng       *rand.Rand
	detectors [simVMs]*Detector
	engines   [simEngines][]run
	downUntil [simEngines]int
	epoch     [simEngines]int
	hold      bool // retries wait until the time that Suspected returns
	serial    int

	deaths, innocents int
}

// place starts a run on a random engine that is up.
func (f *fleet) place(now int, r run) {
	engine := f.rng.IntN(simEngines)
	for f.downUntil[engine] > now {
		engine = f.rng.IntN(simEngines)
	}
	f.engines[engine] = append(f.engines[engine], r)
}

// mustWait reports whether a request has to wait before it starts.
func (f *fleet) mustWait(now int, r run) bool {
	_, until := f.detectors[r.vm].Suspected(at(now), r.fp)
	return f.hold && at(now).Before(until)
}

// newInnocent returns a run of a request that does not crash engines.
func (f *fleet) newInnocent(now int) run {
	f.serial++
	fp := Fingerprint(fmt.Sprint("r", f.serial))
	if f.rng.IntN(20) == 0 {
		fp = "popular"
	}
	return run{fp: fp, vm: f.rng.IntN(simVMs), ends: now + 500 + f.rng.IntN(4000)}
}

// killEngine ends an engine and returns the runs that this cut off.
func (f *fleet) killEngine(now, engine int) []run {
	f.deaths++
	cut := f.engines[engine]
	for vm, b := range f.detectors {
		var own []Fingerprint
		for _, r := range cut {
			if r.vm == vm {
				own = append(own, r.fp)
			}
		}
		b.RecordDeath(at(now), ids.Upstream(fmt.Sprint(engine)), fmt.Sprint(f.epoch[engine]), own)
	}
	f.engines[engine] = nil
	f.epoch[engine]++
	f.downUntil[engine] = now + 3000
	return cut
}

// exchangeDigests sends the digest of each VM to all others.
func (f *fleet) exchangeDigests(now int) {
	for i, b := range f.detectors {
		events := b.Digest(at(now))
		for j, peer := range f.detectors {
			if i != j {
				peer.MergeDigest(at(now), ids.VM(fmt.Sprint(i)), events)
			}
		}
	}
}

// simulate runs a fleet in which a caller sends the poison request five times
// with up to four attempts each. The fleet counts the dead engines and the
// innocent requests that are refused.
func simulate(seed uint64, hold bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), hold: hold}
	for i := range f.detectors {
		f.detectors[i] = New(Options{})
	}
	sends, attempts, vm, next := 0, 0, 0, 5000
	var again []run
	for now := 0; now < simLength; now += simStep {
		if now%250 == 0 {
			f.exchangeDigests(now)
		}
		for engine := range f.engines {
			if f.downUntil[engine] > now || len(f.engines[engine]) >= simInFlight {
				continue
			}
			if r := f.newInnocent(now); !f.mustWait(now, r) {
				f.engines[engine] = append(f.engines[engine], r)
			}
		}
		if next >= 0 && now >= next && sends < 5 { // the caller, or its VM, sends the poison
			if attempts == 0 {
				vm = f.rng.IntN(simVMs)
			}
			yes, _ := f.detectors[vm].Quarantined(at(now), poison)
			switch {
			case yes || attempts == 4:
				sends, attempts, next = sends+1, 0, now+2000
			case f.mustWait(now, run{fp: poison, vm: vm}):
			default:
				attempts, next = attempts+1, -1
				f.place(now, run{fp: poison, vm: vm, ends: now + 100 + f.rng.IntN(200)})
			}
		}
		var retry []run
		for _, r := range again {
			if yes, _ := f.detectors[r.vm].Quarantined(at(now), r.fp); yes {
				f.innocents++
				continue
			}
			if f.mustWait(now, r) {
				retry = append(retry, r)
				continue
			}
			r.ends = now + 500 + f.rng.IntN(4000)
			f.place(now, r)
		}
		for engine := range f.engines {
			kept := f.engines[engine][:0]
			dies := false
			for _, r := range f.engines[engine] {
				switch {
				case r.ends > now:
					kept = append(kept, r)
				case r.fp == poison:
					kept = append(kept, r)
					dies = true
				default:
					f.detectors[r.vm].RecordSuccess(at(now), r.fp)
				}
			}
			f.engines[engine] = kept
			if !dies {
				continue
			}
			for _, r := range f.killEngine(now, engine) {
				if r.fp == poison {
					next = now + 20
					continue
				}
				retry = append(retry, r)
			}
		}
		again = retry
	}
	return f
}

// Innocent requests must not be refused. If requests do not wait as Suspected
// asks, one more upstream dies before the count alone is sufficient.
func TestPoisonStopsAndInnocentsAreSpared(t *testing.T) {
	t.Parallel()
	for _, hold := range []bool{false, true} {
		worst, sum, innocents := 0, 0, 0
		const seeds = 12
		for seed := range uint64(seeds) {
			f := simulate(seed, hold)
			worst = max(worst, f.deaths)
			sum += f.deaths
			innocents += f.innocents
		}
		t.Logf("hold %v, %d runs: engines dead %.2f on average, %d at most; innocent requests refused: %d",
			hold, seeds, float64(sum)/seeds, worst, innocents)
		bound := DefaultThreshold + certainExtraUpstreams
		if hold {
			bound = DefaultThreshold + 1
		}
		if worst > bound || innocents != 0 {
			t.Errorf("hold %v: %d engines died, %d innocent requests refused", hold, worst, innocents)
		}
	}
}

func BenchmarkQuarantined(b *testing.B) {
	f := simulate(1, true)
	for _, fp := range []Fingerprint{poison, "stranger"} {
		b.Run(string(fp), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.detectors[0].Quarantined(at(simLength), fp)
			}
		})
	}
}
