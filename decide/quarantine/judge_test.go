package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// fleetEngines is the number of engines of the simulated fleet. All requests begin at
	// the firstEngines of them that have been up for longest.
	fleetEngines = 33
	firstEngines = 3
	// fleetStep is the time between two steps of the simulation, in ms.
	fleetStep = 5
	// eventlessTime is how long a request runs before its first event, in ms, and
	// servedTime how long until it is served.
	eventlessTime = 300
	servedTime    = 1500
	// usualCrashDelay is the least time until a run crashes its engine, in ms.
	usualCrashDelay = 70
	// restartTime is how long an engine that has crashed is down, in ms.
	restartTime = 3000
	// retryPause is the time from the loss of a run until the node has confirmed the
	// crash and sends the request again, in ms.
	retryPause = 35
	// maxRuns is how often a node sends a request.
	maxRuns = 2
	// lateAfter is the time after the third crash from which on further sends count as
	// late, in ms. lateAllowed is how many may come.
	lateAfter   = 4000
	lateAllowed = 3
)

// simService is the service of all simulated requests.
const simService = ids.Service("s")

// simNode is a node of the simulated fleet.
type simNode struct {
	Peer
	judge *Judge
	// reviewAt is when the next review is due, in ms, 0 for none.
	reviewAt int
	// frozenUntil is the time until which the node stands still, in ms.
	frozenUntil int
	// refused counts the refusals of requests that do not crash engines.
	refused int
}

// simRun is a request on an engine.
type simRun struct {
	fp          Fingerprint
	node        int
	began, runs int
	// crashAt is when the run crashes the engine, in ms, 0 for never.
	crashAt int
}

// simEngine is one engine process.
type simEngine struct {
	id        int
	downUntil int
	upSince   int
	runs      []simRun
}

// simFleet is a fleet of nodes in three zones, in front of engines that crash when some
// requests run on them.
type simFleet struct {
	t     *testing.T
	rng   *rand.Rand
	now   int
	nodes []*simNode
	// keepers holds the indexes of the nodes that keep the evidence.
	keepers []int
	engines []*simEngine
	nextID  int
	serial  int
	// later holds what happens at later times.
	later map[int][]func()
	// crashDelay is the least time until a run crashes its engine, in ms.
	crashDelay int
	// lossRate is the fraction of messages that are lost.
	lossRate float64
	// cutZone is a zone whose nodes reach only each other, empty for none.
	cutZone ids.Zone
	// crashes holds the times of the crashes that each request has caused, sends those of
	// its sends, in ms.
	crashes, sends map[Fingerprint][]int
	// messages counts calls between nodes, and largest the most events of one of them.
	messages, largest int
}

// newSimFleet returns a fleet of n nodes.
func newSimFleet(t *testing.T, n int, seed uint64) *simFleet {
	f := &simFleet{t: t, crashDelay: usualCrashDelay, rng: rand.New(rand.NewPCG(seed, uint64(n))), later: make(map[int][]func()), crashes: make(map[Fingerprint][]int), sends: make(map[Fingerprint][]int)}
	for i := range n {
		f.nodes = append(f.nodes, &simNode{Peer: Peer{VM: ids.VM(fmt.Sprint("vm-", i)), Zone: ids.Zone(fmt.Sprint("z", i%3))}, judge: NewJudge()})
	}
	peers := make([]Peer, n)
	for i, node := range f.nodes {
		peers[i] = node.Peer
	}
	for _, vm := range Keepers(simService, peers) {
		f.keepers = append(f.keepers, slices.IndexFunc(peers, func(p Peer) bool { return p.VM == vm }))
	}
	for range fleetEngines {
		f.nextID++
		f.engines = append(f.engines, &simEngine{id: f.nextID})
	}
	return f
}

// after calls do some ms later.
func (f *simFleet) after(ms int, do func()) {
	at := (f.now + ms + fleetStep - 1) / fleetStep * fleetStep
	f.later[at] = append(f.later[at], do)
}

// role returns the role of a node.
func (f *simFleet) role(i int) Role {
	rank := slices.Index(f.keepers, i)
	return Role{Alone: len(f.nodes) == 1, Keeper: rank >= 0, Rank: max(rank, 0)}
}

// reaches reports whether a node reaches another one.
func (f *simFleet) reaches(from, to int) bool {
	return f.cutZone == "" || (f.nodes[from].Zone == f.cutZone) == (f.nodes[to].Zone == f.cutZone)
}

// send delivers a message from one node to another after a while.
func (f *simFleet) send(from, to, events int, deliver func(*simNode)) {
	f.messages++
	f.largest = max(f.largest, events)
	if !f.reaches(from, to) || f.rng.Float64() < f.lossRate {
		return
	}
	f.after(5+f.rng.IntN(55), func() {
		if n := f.nodes[to]; n.frozenUntil <= f.now {
			deliver(n)
			f.touch(n)
		}
	})
}

// touch makes the review of a node due.
func (f *simFleet) touch(n *simNode) { n.reviewAt = f.now }

// exchange lets a node report and review.
func (f *simFleet) exchange(i int) {
	n := f.nodes[i]
	if n.frozenUntil > f.now {
		return
	}
	for _, r := range n.judge.TakeReports(at(f.now)) {
		for _, k := range f.keepers {
			if k != i {
				f.send(i, k, len(r.Events), func(to *simNode) { to.judge.AddReport(at(f.now), r) })
			}
		}
		f.touch(n)
	}
	if n.reviewAt == 0 || n.reviewAt > f.now {
		return
	}
	n.reviewAt = 0
	actions := n.judge.Review(at(f.now), func(ids.Service) Role { return f.role(i) })
	if !actions.Next.IsZero() {
		n.reviewAt = int(actions.Next.Sub(t0).Milliseconds()) + fleetStep
	}
	for to := range f.nodes {
		if to == i {
			continue
		}
		for _, a := range actions.Announcements {
			f.send(i, to, len(a.Events), func(to *simNode) { to.judge.AddReport(at(f.now), a) })
		}
		for _, v := range actions.Verdicts {
			f.send(i, to, len(v.Evidence), func(to *simNode) { to.judge.AddVerdict(at(f.now), v) })
		}
	}
}

// restart starts a node anew, which then asks another one for what it knows.
func (f *simFleet) restart(i int) {
	n := f.nodes[i]
	n.judge, n.reviewAt = NewJudge(), 0
	for to := range f.nodes {
		if to == i || !f.reaches(i, to) || f.nodes[to].frozenUntil > f.now {
			continue
		}
		reports, verdicts := f.nodes[to].judge.Knowledge(at(f.now))
		for _, r := range reports {
			n.judge.AddReport(at(f.now), r)
		}
		for _, v := range verdicts {
			n.judge.AddVerdict(at(f.now), v)
		}
		return
	}
}

// start sends a request through a node, if it may run there.
func (f *simFleet) start(node int, fp Fingerprint, runs int, crashes bool) {
	f.startOrHold(node, fp, runs, crashes, f.rng.Float64())
}

// startOrHold is start for a request with a random number.
func (f *simFleet) startOrHold(node int, fp Fingerprint, runs int, crashes bool, draw float64) {
	n := f.nodes[node]
	if n.frozenUntil > f.now {
		return
	}
	r := f.role(node)
	refused, _, verdict := n.judge.Convict(at(f.now), simService, fp, r)
	if verdict != nil {
		f.touch(n)
		for to := range f.nodes {
			if to != node {
				f.send(node, to, len(verdict.Evidence), func(to *simNode) { to.judge.AddVerdict(at(f.now), *verdict) })
			}
		}
	}
	if refused {
		if !crashes {
			n.refused++
		}
		return
	}
	if until := n.judge.HoldUntil(at(f.now), simService, fp, r, draw); !until.IsZero() {
		f.after(int(until.Sub(at(f.now)).Milliseconds())+1, func() { f.startOrHold(node, fp, runs, crashes, draw) })
		return
	}
	var first []*simEngine
	for _, e := range f.engines {
		if e.downUntil <= f.now {
			first = append(first, e)
		}
	}
	if len(first) == 0 {
		return
	}
	slices.SortStableFunc(first, func(x, y *simEngine) int { return x.upSince - y.upSince })
	e := first[f.rng.IntN(min(firstEngines, len(first)))]
	run := simRun{fp: fp, node: node, began: f.now, runs: runs + 1}
	if crashes {
		run.crashAt = f.now + f.crashDelay + f.rng.IntN(40)
		f.sends[fp] = append(f.sends[fp], f.now)
	}
	e.runs = append(e.runs, run)
}

// crash ends an engine. Nodes record what they have lost before an event came, and send it
// again.
func (f *simFleet) crash(e *simEngine) {
	lost := make(map[int][]Run)
	began, id := f.now, ids.Upstream(fmt.Sprint(e.id))
	for _, r := range e.runs {
		lost[r.node] = append(lost[r.node], Run{Fingerprint: r.fp, Began: at(r.began), Started: f.now-r.began >= eventlessTime})
		if r.runs < maxRuns {
			f.after(retryPause, func() { f.start(r.node, r.fp, r.runs, r.crashAt > 0) })
		}
	}
	for i := range f.nodes {
		runs := lost[i]
		delay := retryPause - fleetStep
		if len(runs) == 0 {
			delay = restartTime // the registry drops the engine
		}
		f.after(delay, func() {
			n := f.nodes[i]
			n.judge.RecordDeath(at(f.now), at(began), simService, id, "", runs)
			f.touch(n)
		})
	}
	f.nextID++
	e.id, e.runs, e.downUntil, e.upSince = f.nextID, nil, f.now+restartTime, f.now+restartTime
}

// step plays one step.
func (f *simFleet) step(requestsPerStep float64) {
	for _, do := range f.later[f.now] {
		do()
	}
	delete(f.later, f.now)
	for range int(requestsPerStep + f.rng.Float64()) {
		f.serial++
		f.start(f.rng.IntN(len(f.nodes)), Fingerprint(fmt.Sprint("r", f.serial)), 0, false)
	}
	for _, e := range f.engines {
		if i := slices.IndexFunc(e.runs, func(r simRun) bool { return r.crashAt > 0 && f.now >= r.crashAt }); i >= 0 {
			f.crashes[e.runs[i].fp] = append(f.crashes[e.runs[i].fp], f.now)
			f.crash(e)
			continue
		}
		e.runs = slices.DeleteFunc(e.runs, func(r simRun) bool {
			served := f.now-r.began >= servedTime
			if served {
				f.nodes[r.node].judge.RecordSuccess(at(f.now), simService, r.fp)
				f.touch(f.nodes[r.node])
			}
			return served
		})
	}
	for i := range f.nodes {
		f.exchange(i)
	}
	f.now += fleetStep
}

// play plays some seconds, in which each poison request arrives at a random node every
// interval ms.
func (f *simFleet) play(seconds, interval int, poisons ...Fingerprint) {
	for end := f.now + 1000*seconds; f.now < end; {
		if f.now%interval == 0 {
			for _, fp := range poisons {
				f.start(f.rng.IntN(len(f.nodes)), fp, 0, true)
			}
		}
		f.step(0.35)
	}
}

// late returns the number of sends of a request later than lateAfter after its third crash.
func (f *simFleet) late(fp Fingerprint) int {
	crashes := f.crashes[fp]
	if len(crashes) < 3 {
		return 0
	}
	n := 0
	for _, sent := range f.sends[fp] {
		if sent > crashes[2]+lateAfter {
			n++
		}
	}
	return n
}

// refused returns how many requests that crash nothing were refused.
func (f *simFleet) refused() int {
	n := 0
	for _, node := range f.nodes {
		n += node.refused
	}
	return n
}

// check fails the test if a poison request was sent too often or others were refused.
func (f *simFleet) check(what string, mostCrashes int, poisons ...Fingerprint) {
	f.t.Helper()
	for _, fp := range poisons {
		if late := f.late(fp); late > lateAllowed {
			f.t.Errorf("%s, %d nodes: %s was sent %d times more than %d ms after its third crash, allowed %d", what, len(f.nodes), fp, late, lateAfter, lateAllowed)
		}
		if n := len(f.crashes[fp]); n > mostCrashes {
			f.t.Errorf("%s, %d nodes: %s crashed %d engines, at most %d wanted", what, len(f.nodes), fp, n, mostCrashes)
		}
	}
	if n := f.refused(); n > 0 {
		f.t.Errorf("%s, %d nodes: %d requests that crash nothing were refused", what, len(f.nodes), n)
	}
}

// fleetSizes are the numbers of nodes of simulated fleets.
var fleetSizes = []int{1, 9, 85, 295}

// Guards against a request that crashes engines without end because its repeats arrive at
// many nodes, beside others that are lost with it.
func TestRequestThatCrashesEnginesThroughManyNodes(t *testing.T) {
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
	j := NewJudge()
	isRefused := func(ms int, fp Fingerprint) bool {
		refused, _, _ := j.Convict(at(ms), simService, fp, Role{Alone: true, Keeper: true})
		return refused
	}
	for i := range 2 * maxVerdicts {
		j.AddVerdict(at(0), Verdict{Fingerprint: Fingerprint(fmt.Sprint(i)), For: time.Minute})
	}
	if len(j.verdicts) != maxVerdicts {
		t.Errorf("%d verdicts are kept", len(j.verdicts))
	}
	if isRefused(120_000, "0") {
		t.Error("a verdict applies after it has expired")
	}
	j.AddVerdict(at(120_000), Verdict{Fingerprint: "late", For: time.Minute})
	if !isRefused(120_000, "late") || len(j.verdicts) != 1 {
		t.Errorf("%d verdicts are kept after the old ones expired", len(j.verdicts))
	}
}

// Guards against suspects that are never announced because there are too many at once.
func TestAllSuspectsAreAnnouncedInBoundedReports(t *testing.T) {
	const suspects = 3 * maxAnnounced
	j := NewJudge()
	for u := range 3 {
		var runs []Run
		for i := range suspects {
			if u < 2 || i == suspects-1 {
				runs = append(runs, Run{Fingerprint: Fingerprint(fmt.Sprintf("s%03d", i)), Began: at(1000*u - 100)})
			}
		}
		j.RecordDeath(at(1000*u), at(1000*u), simService, ids.Upstream(fmt.Sprint(u)), "", runs)
	}
	told := make(map[Fingerprint]bool)
	role := func(ids.Service) Role { return Role{Keeper: true} }
	for ms := 2000; ms < 4000; ms += 10 {
		for i, report := range j.Review(at(ms), role).Announcements {
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
	faults := map[string]func(f *simFleet){
		"first two keepers frozen": func(f *simFleet) {
			for _, k := range f.keepers[:2] {
				f.nodes[k].frozenUntil = f.now + 4000
			}
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
					f.nodes[i].judge, f.nodes[i].reviewAt = NewJudge(), 0
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
			f.after(8000, func() {
				for i := range f.nodes {
					f.nodes[i].judge, f.nodes[i].reviewAt = NewJudge(), 0
				}
			})
			f.play(12, 300, "poison")
			f.check("all nodes killed long after", 10, "poison")
		}
	}
}

// Guards against verdicts that other crashes hide: those of a rack, and of other requests
// that crash engines.
func TestRequestThatCrashesEnginesBesideOtherCrashes(t *testing.T) {
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

// Guards against the quarantine of requests that crash nothing while many engines fail, also
// of one that many callers send.
func TestInnocentRequestsOnFailingEngines(t *testing.T) {
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
