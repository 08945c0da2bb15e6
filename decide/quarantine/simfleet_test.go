package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

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
	decider *Decider
	// process counts the starts of the node, and delivery holds what the keepers have of it.
	process  int
	delivery Delivery
	// retryAt is when keepers that did not take a report are looked for, in ms, 0 for never.
	retryAt int
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
	// keepers holds the indexes of the nodes that keep the evidence. Until differUntil, every
	// second node has a list of nodes that lacks some, and takes otherKeepers for them.
	keepers, otherKeepers []int
	differUntil           int
	engines               []*simEngine
	nextID                int
	serial                int
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
	// recorded holds the records of nodes in the store, by index.
	recorded map[int]Record
	// messages counts calls between nodes, and largest the most events of one of them.
	messages, largest int
	// reportTimes holds the times of the reports from a node to a keeper, in ms, and reportBytes is
	// the size of all of them.
	reportTimes map[[2]int][]int
	reportBytes int
	// parts holds the parts of the prompts of requests. Requests with badPart crash engines,
	// and are counted as if they were all the same.
	parts   map[Fingerprint][]Fingerprint
	badPart Fingerprint
	// served counts the requests that were served.
	served int
}

// newSimFleet returns a fleet of n nodes.
func newSimFleet(t *testing.T, n int, seed uint64) *simFleet {
	f := &simFleet{t: t, crashDelay: usualCrashDelay, rng: rand.New(rand.NewPCG(seed, uint64(n))), later: make(map[int][]func()), reportTimes: make(map[[2]int][]int), crashes: make(map[Fingerprint][]int), sends: make(map[Fingerprint][]int), parts: make(map[Fingerprint][]Fingerprint), recorded: make(map[int]Record)}
	for i := range n {
		f.nodes = append(f.nodes, &simNode{Peer: Peer{VM: ids.VM(fmt.Sprint("vm-", i)), Zone: ids.Zone(fmt.Sprint("z", i%3))}, decider: NewDecider(), process: 1})
	}
	for _, n := range f.nodes {
		n.decider = f.newDecider()
	}
	f.keepers = f.keepersWithout(nil)
	for range fleetEngines {
		f.nextID++
		f.engines = append(f.engines, &simEngine{id: f.nextID})
	}
	return f
}

// newDecider returns the Decider of a node that starts.
func (f *simFleet) newDecider() *Decider {
	d := NewDecider()
	d.SetNodes(len(f.nodes))
	return d
}

// keepersWithout returns the keepers in a list that lacks some nodes.
func (f *simFleet) keepersWithout(missing []int) []int {
	var peers []Peer
	for i, node := range f.nodes {
		if !slices.Contains(missing, i) {
			peers = append(peers, node.Peer)
		}
	}
	var keepers []int
	for _, vm := range Keepers(simService, peers) {
		keepers = append(keepers, slices.IndexFunc(f.nodes, func(n *simNode) bool { return n.VM == vm }))
	}
	return keepers
}

// keepersOf returns the keepers by the list that a node has.
func (f *simFleet) keepersOf(i int) []int {
	if i%2 == 1 && f.now < f.differUntil {
		return f.otherKeepers
	}
	return f.keepers
}

// after calls do some ms later.
func (f *simFleet) after(ms int, do func()) {
	at := (f.now + ms + fleetStep - 1) / fleetStep * fleetStep
	f.later[at] = append(f.later[at], do)
}

// role returns the role of a node.
func (f *simFleet) role(i int) Role {
	rank := slices.Index(f.keepersOf(i), i)
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

// callTimeout is how long it takes until a node knows that a call has failed, in ms.
const callTimeout = 1000

// call is send for a message whose sender learns whether it has been delivered.
func (f *simFleet) call(from, to, events int, deliver func(*simNode), failed func()) {
	delivered := false
	f.send(from, to, events, func(n *simNode) {
		delivered = true
		deliver(n)
	})
	f.after(callTimeout, func() {
		if !delivered {
			failed()
		}
	})
}

// report sends a report to the keepers, or all evidence to those that may lack some.
func (f *simFleet) report(i int, r Report) {
	for _, k := range f.keepersOf(i) {
		if k != i {
			f.reportTo(i, k, r)
		}
	}
}

// reportTo is report for one keeper.
func (f *simFleet) reportTo(i, k int, r Report) {
	n, keeper := f.nodes[i], string(f.nodes[k].VM)
	content := n.delivery.Next(at(f.now), keeper)
	switch content {
	case Nothing:
		return
	case Whole:
		r = n.decider.Evidence(at(f.now), r.Service)
	}
	if len(r.Events) == 0 {
		return
	}
	process := n.process
	f.reportTimes[[2]int{i, k}] = append(f.reportTimes[[2]int{i, k}], f.now)
	f.reportBytes += sizeOf(f.t, r)
	f.call(i, k, len(r.Events), func(to *simNode) {
		to.decider.AddReport(at(f.now), r)
		if n.process == process && n.delivery.Delivered(keeper, fmt.Sprint(to.process), content) {
			f.reportTo(i, k, r)
		}
	}, func() {
		if n.process == process {
			n.delivery.Failed(at(f.now), keeper)
			n.retryAt = f.now + 1
		}
	})
}

// sizeOf returns the size of a report on the wire, in bytes.
func sizeOf(t *testing.T, r Report) int {
	t.Helper()
	encoded, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return len(encoded)
}

// retryReports sends a node's evidence to keepers that did not take an earlier report.
func (f *simFleet) retryReports(i int) {
	n := f.nodes[i]
	if n.retryAt == 0 || n.retryAt > f.now {
		return
	}
	n.retryAt = 0
	for _, k := range f.keepersOf(i) {
		due, next := n.delivery.Retry(at(f.now), []string{string(f.nodes[k].VM)})
		if at := int(next.Sub(t0).Milliseconds()) + 1; !next.IsZero() && (n.retryAt == 0 || at < n.retryAt) {
			n.retryAt = at
		}
		if due {
			f.reportTo(i, k, Report{Service: simService})
		}
	}
}

// touch makes the review of a node due.
func (f *simFleet) touch(n *simNode) { n.reviewAt = f.now }

// exchange lets a node report and review.
func (f *simFleet) exchange(i int) {
	n := f.nodes[i]
	if n.frozenUntil > f.now {
		return
	}
	for _, r := range n.decider.TakeReports(at(f.now)) {
		f.report(i, r)
		f.touch(n)
	}
	f.retryReports(i)
	if n.reviewAt == 0 || n.reviewAt > f.now {
		return
	}
	n.reviewAt = 0
	actions := n.decider.Review(at(f.now), func(ids.Service) Role { return f.role(i) })
	if !actions.Next.IsZero() {
		n.reviewAt = int(actions.Next.Sub(t0).Milliseconds()) + fleetStep
	}
	for to := range f.nodes {
		if to == i {
			continue
		}
		for _, a := range actions.Announcements {
			f.send(i, to, len(a.Events), func(to *simNode) { to.decider.AddReport(at(f.now), a) })
		}
		for _, v := range actions.Verdicts {
			f.send(i, to, len(v.Evidence), func(to *simNode) { to.decider.AddVerdict(at(f.now), v) })
		}
	}
}

// restart starts a node anew, which then asks another one for what it knows.
func (f *simFleet) restart(i int) {
	n := f.nodes[i]
	n.decider, n.reviewAt = f.newDecider(), 0
	n.process++
	n.delivery = Delivery{}
	for to := range f.nodes {
		if to == i || !f.reaches(i, to) || f.nodes[to].frozenUntil > f.now {
			continue
		}
		reports, verdicts := f.nodes[to].decider.Knowledge(at(f.now))
		for _, r := range reports {
			n.decider.AddReport(at(f.now), r)
		}
		for _, v := range verdicts {
			n.decider.AddVerdict(at(f.now), v)
		}
		return
	}
}

// recordInterval is how often a node compares its record in the store, and recordTime how long a
// write takes, in ms.
const (
	recordInterval = 200
	recordTime     = 50
)

// record makes a node write its record to the store if it has changed.
func (f *simFleet) record(i int) {
	n := f.nodes[i]
	if f.now%recordInterval != 0 || n.frozenUntil > f.now {
		return
	}
	r := n.decider.Record(at(f.now), at(f.now).UnixMilli(), func(ids.Service) Role { return f.role(i) })
	if !f.recorded[i].Covers(r) {
		f.after(recordTime, func() { f.recorded[i] = r })
	}
}

// restartAll kills all nodes and starts them anew. Each knows only what is in the store.
func (f *simFleet) restartAll() {
	for _, n := range f.nodes {
		n.decider, n.reviewAt = f.newDecider(), 0
		n.process++
		n.delivery = Delivery{}
		for _, r := range f.recorded {
			for _, v := range r.Recall(at(f.now).UnixMilli()) {
				n.decider.AddVerdict(at(f.now), v)
			}
		}
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
	marks := append([]Fingerprint{fp}, f.parts[fp]...)
	for _, mark := range marks {
		if f.check1(node, mark, r) {
			if !crashes {
				n.refused++
			}
			return
		}
	}
	for _, mark := range marks {
		if until := n.decider.HoldUntil(at(f.now), simService, mark, r, draw); !until.IsZero() {
			f.after(int(until.Sub(at(f.now)).Milliseconds())+1, func() { f.startOrHold(node, fp, runs, crashes, draw) })
			return
		}
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
		f.sends[f.culprit(fp)] = append(f.sends[f.culprit(fp)], f.now)
	}
	e.runs = append(e.runs, run)
}

// check1 reports whether a node refuses requests with a fingerprint. It tells the others of a
// new verdict.
func (f *simFleet) check1(node int, fp Fingerprint, r Role) bool {
	n := f.nodes[node]
	refused, _, verdict := n.decider.Check(at(f.now), simService, fp, r)
	if verdict != nil {
		f.touch(n)
		for to := range f.nodes {
			if to != node {
				f.send(node, to, len(verdict.Evidence), func(to *simNode) { to.decider.AddVerdict(at(f.now), *verdict) })
			}
		}
	}
	return refused
}

// culprit returns the fingerprint under which a request that crashes engines is counted.
func (f *simFleet) culprit(fp Fingerprint) Fingerprint {
	if slices.Contains(f.parts[fp], f.badPart) {
		return f.badPart
	}
	return fp
}

// crash ends an engine. Nodes record what they have lost before an event came, and send it
// again.
func (f *simFleet) crash(e *simEngine) {
	lost := make(map[int][]Run)
	began, id := f.now, ids.Upstream(fmt.Sprint(e.id))
	for _, r := range e.runs {
		started := f.now-r.began >= eventlessTime
		lost[r.node] = append(lost[r.node], Run{Fingerprint: r.fp, Began: at(r.began), Started: started})
		if !f.recordLived(r) {
			for _, part := range f.parts[r.fp] {
				lost[r.node] = append(lost[r.node], Run{Fingerprint: part, Began: at(r.began), Started: started, Via: r.fp})
			}
		}
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
			n.decider.RecordDeath(at(f.now), at(began), simService, id, "", runs)
			f.touch(n)
		})
	}
	f.nextID++
	e.id, e.runs, e.downUntil, e.upSince = f.nextID, nil, f.now+restartTime, f.now+restartTime
}

// recordLived records that the parts of a request's prompt have crashed no engine, if it has
// written for long enough, and reports whether it has.
func (f *simFleet) recordLived(r simRun) bool {
	firstEvent := r.began + eventlessTime
	if at(f.now).Sub(at(firstEvent)) < LivedTime {
		return false
	}
	n := f.nodes[r.node]
	n.decider.RecordLived(at(firstEvent), simService, f.parts[r.fp])
	f.touch(n)
	return true
}

// step plays one step.
func (f *simFleet) step(requestsPerStep float64) {
	for _, do := range f.later[f.now] {
		do()
	}
	delete(f.later, f.now)
	for range int(requestsPerStep + f.rng.Float64()) {
		f.serial++
		fp := Fingerprint(fmt.Sprint("r", f.serial))
		if f.badPart != "" {
			f.parts[fp] = f.soundParts()
		}
		f.start(f.rng.IntN(len(f.nodes)), fp, 0, false)
	}
	for _, e := range f.engines {
		if i := slices.IndexFunc(e.runs, func(r simRun) bool { return r.crashAt > 0 && f.now >= r.crashAt }); i >= 0 {
			culprit := f.culprit(e.runs[i].fp)
			f.crashes[culprit] = append(f.crashes[culprit], f.now)
			f.crash(e)
			continue
		}
		e.runs = slices.DeleteFunc(e.runs, func(r simRun) bool {
			served := f.now-r.began >= servedTime
			if served {
				f.served++
				f.nodes[r.node].decider.RecordSuccess(at(f.now), simService, r.fp)
				f.recordLived(r)
				f.touch(f.nodes[r.node])
			}
			return served
		})
	}
	for i := range f.nodes {
		f.exchange(i)
		f.record(i)
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
