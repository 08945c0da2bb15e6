package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// Times of the calls by which nodes learn, as their callers bound them.
const (
	step         = 25 * time.Millisecond
	watchWait    = 3 * time.Second
	watchSlack   = 400 * time.Millisecond
	peerSilent   = PeerPollWait + PeerReadTimeout
	dialSilent   = 150 * time.Millisecond
	backoffFirst = 100 * time.Millisecond
	backoffMost  = 800 * time.Millisecond
	askEvery     = 200 * time.Millisecond
	// callSilent bounds a call that does not wait.
	callSilent = 1200 * time.Millisecond
)

// slowBy is how late a slow node answers its peers.
const slowBy = 500 * time.Millisecond

// fault is what is wrong with a node.
type fault int

const (
	sound fault = iota
	// killed: its process is gone, connections are refused.
	killed
	// frozen: it stands still, and calls to it hang.
	frozen
	// cut: it reaches neither the store nor peers.
	cut
	// unheard: its calls to the store hang, peers reach it.
	unheard
	// rejected: the store refuses its calls.
	rejected
	// silenced: the connection of a call under way went silent, new ones work.
	silenced
	// slow: it answers its peers late.
	slow
	// alone: it reaches the store, and no peer.
	alone
	// partial: the store refuses its calls about the last collection.
	partial
	faults
)

// String implements fmt.Stringer.
func (f fault) String() string {
	return [...]string{"sound", "killed", "frozen", "cut", "unheard", "rejected", "silenced", "slow", "alone", "partial"}[f]
}

// reachesStore reports whether the store serves a node with the fault.
func (f fault) reachesStore() bool { return f == sound || f == silenced || f == slow || f == alone }

// collections are what each node follows side by side, by one view of the fleet.
const collections = 2

// vm is one node.
type vm struct {
	roster *Roster
	member Member
	fault  fault
	// follows are what it learns of each collection.
	follows [collections]*learner
	probe   Probe
	// probing tells that a probe is under way.
	probing, silent bool
}

// newVM makes a node that learned each collection's version at a moment.
func newVM(m Member, members []Member, version int, heard time.Duration) *vm {
	n := &vm{roster: knowing(m, members).Roster, member: m}
	for i := range n.follows {
		n.follows[i] = &learner{selector: n.roster.Selector(), version: version, heard: heard}
	}
	return n
}

// learner follows one collection, with the call that it has under way.
type learner struct {
	selector *Selector
	version  int
	// heard is when the store last answered on the way to here, over hops.
	heard time.Duration
	hops  int

	calling bool
	way     Source
	peer    *vm
	began   time.Duration
	// unreached: the peer did not take the connection. silent: it went silent.
	unreached, silent bool
	// readyAt is when the peer had its answer, zero before.
	readyAt time.Duration
	// asides is the question beside a watch, nil for none.
	asides *question
	// searched is since when peers are asked in vain.
	searched time.Duration
	pause    time.Duration
	fails    int
	lost     bool
	asked    time.Duration
}

// question is one to a peer.
type question struct {
	peer           *vm
	began, readyAt time.Duration
	unreached      bool
}

// world is a fleet and its store.
type world struct {
	now     time.Duration
	version int
	away    bool
	nodes   []*vm
	byName  map[ids.VM]*vm
	rand    *rand.Rand
	calls   int
	// one has nodes learn from one source each, without probes: a fault to be found.
	one bool
}

// newWorld makes a fleet that knows the first version.
func newWorld(members []Member, seed uint64) *world {
	w := &world{version: 1, rand: rand.New(rand.NewPCG(seed, 1)), byName: make(map[ids.VM]*vm)}
	for _, m := range members {
		n := newVM(m, members, 1, 0)
		for _, l := range n.follows {
			// Calls of many nodes begin at many moments.
			l.pause = time.Duration(w.rand.Int64N(int64(time.Second)))
		}
		w.nodes = append(w.nodes, n)
		w.byName[m.Name] = n
	}
	return w
}

// time gives the clock of the roster.
func (w *world) time() time.Time { return start.Add(w.now) }

// run goes on for a while.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, n := range w.nodes {
			if n.fault == killed || n.fault == frozen {
				continue
			}
			w.beat(n)
			for i := range n.follows {
				w.turn(n, i)
			}
		}
	}
}

// turn lets one follower of a node do what is due.
func (w *world) turn(n *vm, i int) {
	l := n.follows[i]
	if l.lost && w.now-l.asked >= askEvery {
		l.asked = w.now
		if p := w.nodes[w.rand.IntN(len(w.nodes))]; reachable(n, p) {
			l.version = max(l.version, p.follows[i].version)
		}
	}
	if !l.calling && w.now >= l.pause {
		if l.searched == 0 {
			l.searched = w.now
		}
		w.call(n, l)
	}
	switch {
	case !l.calling:
	case l.way == Store:
		w.watch(n, i)
	default:
		w.ask(n, l, l.peer.follows[i])
	}
}

// beat sends a probe, and looks whether the last one was answered.
func (w *world) beat(n *vm) {
	hears := n.fault.reachesStore() || n.fault == rejected || n.fault == partial
	if n.probing {
		took := w.time().Sub(n.probe.sentAt)
		switch {
		case hears && !w.away:
			n.probe.Answered(w.time())
			n.probing = false
			w.silent(n, false)
			for _, l := range n.follows {
				if l.calling && l.way == Store && n.fault != rejected {
					l.heard, l.hops = w.now, 0
				}
			}
		case took >= callSilent:
			n.probing = false
		case took >= n.probe.Timeout():
			w.silent(n, true)
		}
	}
	atStore := n.silent
	for _, l := range n.follows {
		atStore = atStore || l.calling && l.way == Store
	}
	if atStore && !w.one && !n.probing && w.time().Sub(n.probe.sentAt) >= ProbeInterval {
		n.probe.Sent(w.time())
		n.probing = true
	}
}

// silent notes whether the store answers a node; its watches end where it does not.
func (w *world) silent(n *vm, silent bool) {
	n.silent = silent
	n.roster.SetStoreUnresponsive(silent)
	for _, l := range n.follows {
		if silent && l.calling && l.way == Store {
			w.failed(l)
		}
	}
}

// reachable reports whether a peer answers a node.
func reachable(n, p *vm) bool {
	away := func(f fault) bool { return f == cut || f == alone }
	return n != p && !away(n.fault) && !away(p.fault) && p.fault != killed && p.fault != frozen
}

// call begins the next call of a follower.
func (w *world) call(n *vm, l *learner) {
	if w.one {
		l.selector.turn = 0
	}
	way, m := l.selector.Next(w.time())
	l.calling, l.way, l.began = true, way, w.now
	l.unreached, l.silent, l.readyAt = false, false, 0
	if way == Store {
		w.toStore(n, l)
		return
	}
	l.peer = w.named(m)
	l.unreached = !reachable(n, l.peer)
}

// named gives the node of a member.
func (w *world) named(m Member) *vm {
	return w.byName[m.Name]
}

// toStore begins a watch of the store.
func (w *world) toStore(n *vm, l *learner) {
	l.asides = nil
	if n.silent {
		w.failed(l)
		return
	}
	w.calls++
}

// watch looks whether a watch of the store ends.
func (w *world) watch(n *vm, i int) {
	l := n.follows[i]
	took, wait := w.now-l.began, n.roster.WatchWait(watchWait)
	switch {
	case n.fault == cut || n.fault == unheard || l.silent:
		if took >= wait+watchSlack {
			w.failed(l)
			return
		}
	case w.away || n.fault == rejected || n.fault == partial && i == collections-1:
		w.failed(l)
		return
	case w.version > l.version || took >= wait:
		l.version, l.heard, l.hops = w.version, w.now, 0
		l.selector.StoreAnswered(w.time())
		w.answered(l)
		return
	}
	if !w.one {
		w.askBeside(n, i)
	}
}

// askBeside has one that waits at the store ask the watchers meanwhile.
func (w *world) askBeside(n *vm, i int) {
	l := n.follows[i]
	q := l.asides
	if q == nil {
		if m, ok := l.selector.NextDuringWatch(w.time()); ok {
			p := w.named(m)
			l.asides = &question{peer: p, began: w.now, unreached: !reachable(n, p)}
		}
		return
	}
	took, p := w.now-q.began, q.peer.follows[i]
	if !reachable(n, q.peer) {
		if q.peer.fault == killed || took >= peerSilent || q.unreached && took >= dialSilent {
			n.roster.MarkUnreachable(w.time(), q.peer.member.Name)
			l.asides = nil
		}
		return
	}
	if q.readyAt == 0 && (p.version > l.version || took >= PeerPollWait || p.lost) {
		q.readyAt = w.now
	}
	if q.readyAt == 0 || q.peer.fault == slow && w.now-q.readyAt < slowBy {
		if took >= peerSilent {
			n.roster.MarkUnreachable(w.time(), q.peer.member.Name)
			l.asides = nil
		}
		return
	}
	n.roster.MarkReachable(q.peer.member.Name)
	l.version, l.asides = max(l.version, p.version), nil
}

// ask looks whether a question to a peer, that follows as p does, ends.
func (w *world) ask(n *vm, l, p *learner) {
	took := w.now - l.began
	if !reachable(n, l.peer) || l.silent {
		w.unanswered(l, took)
		return
	}
	if l.readyAt == 0 && (p.version > l.version || took >= PeerPollWait || p.lost) {
		l.readyAt = w.now
	}
	if l.readyAt == 0 || l.peer.fault == slow && w.now-l.readyAt < slowBy {
		if took >= peerSilent {
			w.unanswered(l, took)
		}
		return
	}
	age := w.now - p.heard
	if p.lost || !Fresh(age, p.hops) {
		l.selector.PeerStale(w.time(), l.peer.member.Name)
		w.inVain(l)
		return
	}
	l.selector.PeerFresh(l.peer.member.Name)
	l.version, l.heard, l.hops = max(l.version, p.version), p.heard, p.hops+1
	w.answered(l)
}

// unanswered ends a question to a peer that does not answer, once its time is over.
func (w *world) unanswered(l *learner, took time.Duration) {
	if l.peer.fault != killed && took < peerSilent && (!l.unreached || took < dialSilent) {
		return
	}
	l.selector.PeerFailed(w.time(), l.peer.member.Name, took)
	w.inVain(l)
}

// inVain ends a question that brought nothing.
func (w *world) inVain(l *learner) {
	l.calling = false
	if l.selector.SearchExhausted(w.time(), start.Add(l.searched)) {
		w.failed(l)
	}
}

// answered ends a call with news of the store.
func (w *world) answered(l *learner) {
	l.calling, l.lost, l.fails, l.searched = false, false, 0, 0
}

// failed ends a call without.
func (w *world) failed(l *learner) {
	l.calling, l.lost, l.searched = false, true, 0
	wait := min(backoffFirst<<min(l.fails, 10), backoffMost)
	l.fails++
	l.pause = w.now + wait/2 + time.Duration(w.rand.Int64N(int64(wait)))
}

// set gives a node a fault. A process that was killed comes back knowing nothing.
func (w *world) set(n *vm, f fault) {
	if n.fault == killed && f != killed {
		*n = *newVM(n.member, n.roster.members, 0, -time.Hour)
	}
	n.fault = f
	if f == silenced {
		n.follows[w.rand.IntN(collections)].silent = true
	}
}

// late gives how many nodes lack the newest version of something, of those that counts
// holds for.
func (w *world) late(counts func(fault) bool) []string {
	var names []string
	for _, n := range w.nodes {
		for i, l := range n.follows {
			if l.version < w.version && counts(n.fault) {
				names = append(names, fmt.Sprintf("%s (%s, collection %d)", n.member.Name, n.fault, i))
			}
		}
	}
	return names
}

// learns reports whether a node with a fault can learn, from the store or its peers.
func learns(f fault) bool { return f != killed && f != frozen && f != cut }

// small makes a fleet of twelve nodes in three zones.
func small() []Member {
	return slices.Concat(zone("a", 4), zone("b", 4), zone("c", 4))
}

// sizes are fleets of 4, 12, 50 and 295 nodes.
func sizes() [][]Member {
	fifty := slices.Concat(zone("a", 10), zone("b", 10), zone("c", 10), zone("d", 10), zone("e", 10))
	return [][]Member{slices.Concat(zone("a", 2), zone("b", 2)), small(), fifty, fleet()}
}

// places gives nodes of all places in a fleet: of the first zones the first ones, which
// others learn from, and of the first and the last zone the last one, which nobody does.
func places(members []Member) []int {
	var out []int
	for i, m := range members {
		first := slices.IndexFunc(members, func(o Member) bool { return o.Zone == m.Zone })
		last := i+1 == len(members) || members[i+1].Zone != m.Zone
		if i-first < 3 && m.Zone <= "c" || last && (m.Zone == "a" || i+1 == len(members)) {
			out = append(out, i)
		}
	}
	return out
}
