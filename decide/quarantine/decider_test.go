package quarantine

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

// fleetSizes are the numbers of nodes of simulated fleets.
var fleetSizes = []int{1, 9, 85, 295}

// Guards against a request that crashes engines without end because its repeats arrive at
// many nodes, beside others that are lost with it.
func TestRequestThatCrashesEnginesThroughManyNodes(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes {
		crashes, messages, largest := 0, 0, 0
		const seeds = 6
		for seed := range uint64(seeds) {
			f := newSimFleet(t, n, seed)
			f.play(2, 300)
			f.play(12, 300, "poison")
			f.check("repeated", 6, "poison")
			crashes += len(f.crashes["poison"])
			messages += f.messages
			largest = max(largest, f.largest)
		}
		t.Logf("%d nodes: %.1f engines crashed, %d messages, the largest of %d events", n, float64(crashes)/seeds, messages/seeds, largest)
	}
}

func TestVerdictsAreBounded(t *testing.T) {
	dec := NewDecider()
	isRefused := func(ms int, fp Fingerprint) bool {
		refused, _, _ := dec.Check(at(ms), simService, fp, Role{Alone: true, Keeper: true})
		return refused
	}
	for i := range 2 * maxVerdicts {
		dec.AddVerdict(at(0), Verdict{Fingerprint: Fingerprint(fmt.Sprint(i)), For: time.Minute})
	}
	if len(dec.verdicts) != maxVerdicts {
		t.Errorf("%d verdicts are kept", len(dec.verdicts))
	}
	if isRefused(120_000, "0") {
		t.Error("a verdict applies after it has expired")
	}
	dec.AddVerdict(at(120_000), Verdict{Fingerprint: "late", For: time.Minute})
	if !isRefused(120_000, "late") || len(dec.verdicts) != 1 {
		t.Errorf("%d verdicts are kept after the old ones expired", len(dec.verdicts))
	}
}

// Guards against suspects that are never announced because there are too many at once.
func TestAllSuspectsAreAnnouncedInBoundedReports(t *testing.T) {
	const suspects = 3 * maxAnnounced
	dec := NewDecider()
	for u := range 3 {
		var runs []Run
		for i := range suspects {
			if u < 2 || i == suspects-1 {
				runs = append(runs, Run{Fingerprint: Fingerprint(fmt.Sprintf("s%03d", i)), Began: at(1000*u - 100)})
			}
		}
		dec.RecordDeath(at(1000*u), at(1000*u), simService, ids.Upstream(fmt.Sprint(u)), "", runs)
	}
	told := make(map[Fingerprint]bool)
	role := func(ids.Service) Role { return Role{Keeper: true} }
	for ms := 2000; ms < 4000; ms += 10 {
		for i, report := range dec.Review(at(ms), role).Announcements {
			if len(told) == 0 && i == 0 && report.Events[0].Fingerprint != "s191" {
				t.Errorf("the first one announced is %s, want the one blamed for three upstreams", report.Events[0].Fingerprint)
			}
			if len(report.Events) > DefaultMaxEvents {
				t.Errorf("announcement of %d events", len(report.Events))
			}
			for _, e := range report.Events {
				told[e.Fingerprint] = true
			}
		}
	}
	if len(told) != suspects {
		t.Errorf("%d of %d suspects announced", len(told), suspects)
	}
}

// failEngines ends the engines from one index to another, pause ms apart.
func (f *simFleet) failEngines(from, to, pause int) {
	for i := from; i < to; i++ {
		f.after(fleetStep+(i-from)*pause, func() { f.crash(f.engines[i]) })
	}
}

// Guards against a request that is not recognized because it crashes engines after its first
// event, comes seldom, or comes many times at once.
func TestRequestThatCrashesEnginesInOtherWays(t *testing.T) {
	t.Parallel()
	ways := []struct {
		what                             string
		seconds, interval, delay, copies int
		mostCrashes                      int
	}{
		{"after its first event", 14, 300, eventlessTime + 20, 1, 12},
		{"after its first event, each 1.7 s", 20, 1700, eventlessTime + 20, 1, 8},
		{"after its first event, each 30 s", 150, 30_000, eventlessTime + 20, 1, 8},
		{"each 2 s", 20, 2000, usualCrashDelay, 1, 6},
		{"each 30 s", 150, 30_000, usualCrashDelay, 1, 6},
		{"twenty at once", 14, 1000, usualCrashDelay, 20, 8},
	}
	for _, w := range ways {
		for _, n := range fleetSizes[:3] {
			crashes := 0
			const seeds = 2
			for seed := range uint64(seeds) {
				f := newSimFleet(t, n, 500+seed)
				f.crashDelay = w.delay
				f.play(2, 300)
				f.play(w.seconds, w.interval, slices.Repeat([]Fingerprint{"poison"}, w.copies)...)
				f.check(w.what, w.mostCrashes, "poison")
				crashes += len(f.crashes["poison"])
			}
			t.Logf("%s, %d nodes: %.1f engines crashed", w.what, n, float64(crashes)/seeds)
		}
	}
}

// Guards against verdicts that depend on nodes that are killed, frozen, cut off or not heard.
func TestRequestThatCrashesEnginesBesideFaultsOfNodes(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *simFleet){
		"first two keepers frozen": func(f *simFleet) {
			for _, k := range f.keepers[:2] {
				f.nodes[k].frozenUntil = f.now + 4000
			}
		},
		"first keeper killed after the first crash": func(f *simFleet) {
			f.after(400, func() {
				k := f.nodes[f.keepers[0]]
				k.decider, k.reviewAt, k.frozenUntil = NewDecider(), 0, math.MaxInt
			})
		},
		"lists of nodes differ for a second": func(f *simFleet) {
			f.otherKeepers, f.differUntil = f.keepersWithout(f.keepers), f.now+1000
		},
		"a fifth of the messages lost": func(f *simFleet) { f.lossRate = 0.2 },
		"a zone cut off":               func(f *simFleet) { f.cutZone = "z1" },
		"nodes restart in turn": func(f *simFleet) {
			for i := range f.nodes {
				f.after(1+i*3000/len(f.nodes), func() { f.restart(i) })
			}
		},
		"all nodes killed at once": func(f *simFleet) {
			f.after(1500, func() {
				for i := range f.nodes {
					f.nodes[i].decider, f.nodes[i].reviewAt = NewDecider(), 0
				}
			})
		},
	}
	for what, fault := range faults {
		for _, n := range fleetSizes[1:] {
			for seed := range uint64(2) {
				f := newSimFleet(t, n, 100+seed)
				f.play(2, 300)
				fault(f)
				f.play(12, 300, "poison")
				f.check(what, 10, "poison")
			}
		}
	}
}

// Guards against a request that crashes engines again because all nodes have been killed and
// nobody knows of it.
func TestRequestThatCrashesEnginesAfterAllNodesRestart(t *testing.T) {
	for _, n := range fleetSizes[1:3] {
		for seed := range uint64(2) {
			f := newSimFleet(t, n, 100+seed)
			f.play(2, 300)
			f.after(8000, f.restartAll)
			f.play(12, 300, "poison")
			f.check("all nodes killed long after", 10, "poison")
		}
	}
}

// Guards against verdicts that other crashes hide: those of a rack, and of other requests
// that crash engines.
func TestRequestThatCrashesEnginesBesideOtherCrashes(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes {
		for seed := range uint64(2) {
			f := newSimFleet(t, n, 200+seed)
			f.play(2, 300)
			f.failEngines(10, 20, 0)
			f.play(12, 300, "poison")
			f.check("beside a rack that fails", 10, "poison")

			f = newSimFleet(t, n, 300+seed)
			f.play(2, 300)
			f.play(14, 400, "poison", "venom", "toxin")
			f.check("three at once", 10, "poison", "venom", "toxin")
		}
	}
}

// Guards against verdicts that fail while a share of all requests crashes engines: others begin
// at other moments, and each comes again.
func TestShareOfRequestsThatCrashEngines(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes[:2] {
		for _, share := range []int{2, 5} {
			for seed := range uint64(2) {
				f := newSimFleet(t, n, 600+seed)
				f.play(2, 300)
				var deadly []Fingerprint
				for i := range share {
					deadly = append(deadly, Fingerprint(fmt.Sprint("deadly-", i)))
					f.play(1, 400, deadly...)
				}
				f.play(8, 400, deadly...)
				f.check(fmt.Sprint(share, " requests"), 10, deadly...)
			}
		}
	}
}

// Guards against the quarantine of requests that crash nothing while many engines fail, also
// of one that many callers send.
func TestInnocentRequestsOnFailingEngines(t *testing.T) {
	t.Parallel()
	for _, n := range fleetSizes[:3] {
		for _, pause := range []int{0, 40, 150} {
			for seed := range uint64(2) {
				f := newSimFleet(t, n, 400+seed)
				for round := range 3 {
					for end := f.now + 3000; f.now < end; {
						f.start(f.rng.IntN(n), "popular", 0, false)
						f.step(0.35)
					}
					f.failEngines(11*round, 11*(round+1), pause)
				}
				f.play(4, 300)
				f.check(fmt.Sprintf("engines fail %d ms apart", pause), 0)
			}
		}
	}
}
