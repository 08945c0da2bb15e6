package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

// simStore is a store with a configuration, whose other objects only move the revision. It keeps
// its whole history.
type simStore struct {
	epoch, number int64
	config        *routing.Config
	// writtenAt is the number of the latest change of the configuration.
	writtenAt int64
}

// simAnswer is a response of a simStore to a list or a watch of the configuration.
type simAnswer struct {
	epoch, number int64
	// gone is true for a watch from a number that the store does not have.
	gone bool
	// config is nil for a watch without a change.
	config *routing.Config
}

func (s *simStore) list() simAnswer {
	return simAnswer{epoch: s.epoch, number: s.number, config: s.config}
}

func (s *simStore) watch(since int64) simAnswer {
	a := simAnswer{epoch: s.epoch, number: s.number, gone: since > s.number}
	if s.writtenAt > since {
		a.config = s.config
	}
	return a
}

func (s *simStore) write(config *routing.Config) {
	s.number++
	s.config, s.writtenAt = config, s.number
}

// simNode is a Node whose calls are made by the test, one step at a time.
type simNode struct {
	*Node
	source *sharedSource[routing.Config]
	// clientEpoch is the epoch that the client of the store knows.
	clientEpoch int64
	// listed is true once the node follows the configuration, from the revision since.
	listed bool
	since  revision.Revision
	// pending is the response to the call under way, a list or a watch from the revision from.
	// superseded is true if the client learns of a later epoch before it arrives.
	pending    *simAnswer
	from       revision.Revision
	superseded bool
	// update is the answer of the peer asked last, until it arrives.
	update *relay.Update
	asked  roster.Member
	// version is the highest version that was active.
	version int64
}

func newSimNode(name string) *simNode {
	n := &simNode{Node: New(Settings{VM: ids.VM(name), Zone: "z"}, testPorts, zerolog.Nop())}
	n.source = n.sharedConfigs().(*sharedSource[routing.Config])
	return n
}

// learn is what the client of the store does with the epoch of a response. It reports whether
// the response counts.
func (n *simNode) learn(epoch int64) bool {
	if epoch > n.clientEpoch {
		n.superseded = n.superseded || n.pending != nil && n.clientEpoch != 0
		n.clientEpoch = epoch
		n.ObserveEpoch(epoch)
	}
	return epoch == n.clientEpoch
}

// call lets the store execute the node's next call: a list, or a watch from where it is.
func (n *simNode) call(s *simStore) {
	if n.pending != nil {
		return
	}
	answer := s.list()
	if n.listed {
		if n.clientEpoch > n.since.Epoch {
			n.listed = false
			return
		}
		answer = s.watch(n.since.Number)
	}
	n.pending, n.from, n.superseded = &answer, n.since, false
}

// receive delivers the response to the call under way.
func (n *simNode) receive() {
	a := n.pending
	if a == nil {
		return
	}
	superseded := n.superseded
	n.pending = nil
	counts := n.learn(a.epoch) && !superseded
	switch {
	case n.listed && (superseded || a.gone && counts || a.epoch > n.from.Epoch && counts):
		n.listed = false
	case !counts, n.listed && a.epoch < n.from.Epoch:
		// The response is dropped.
	case !n.listed:
		list := listwatch.List[routing.Config]{Items: []routing.Config{*a.config}, Revision: revision.Revision{Epoch: a.epoch, Number: a.number}}
		n.configs.Listed(list)
		n.since, n.listed = list.Revision, true
	default:
		changes := listwatch.Changes[routing.Config]{Revision: revision.Revision{Epoch: a.epoch, Number: a.number}}
		if a.config != nil {
			changes.Events = append(changes.Events, listwatch.Event[routing.Config]{Put: a.config})
		}
		n.follow(changes)
	}
}

// follow is what a listwatch.Follower does with changes.
func (n *simNode) follow(changes listwatch.Changes[routing.Config]) {
	if len(changes.Events) > 0 || changes.Revision.After(n.since) {
		n.configs.Changed(changes)
	}
	n.since = revision.Latest(n.since, changes.Revision)
}

// ask makes a peer answer the node's request for an update.
func (n *simNode) ask(peer *simNode) {
	if n == peer || !n.listed {
		return
	}
	n.asked = roster.Member{Name: peer.settings.VM}
	req := n.source.request(n.asked.Name)
	req.Epoch = n.source.epoch()
	update := peer.currentUpdate(req)
	n.update = &update
}

// hear delivers the peer's answer: to a node that follows the peer, or to one that watches the
// store meanwhile.
func (n *simNode) hear(watches bool) {
	u := n.update
	if u == nil {
		return
	}
	n.update = nil
	n.source.observeEpoch(u.Epoch)
	if watches {
		n.source.apply(n.asked.Name, *u, boottime.Now())
		return
	}
	if n.pending != nil || !n.listed || u.Epoch < n.source.epoch() {
		return
	}
	n.follow(listwatch.Changes[routing.Config]{Revision: revision.Latest(n.since, n.source.apply(n.asked.Name, *u, boottime.Now()))})
}

// simFleet is a store, its operator and nodes.
type simFleet struct {
	store simStore
	nodes []*simNode
	// copies are the contents from which the store may be restored.
	copies []simStore
	// last is the operator's last configuration.
	last *routing.Config
	rand *rand.Rand
}

func newSimFleet(seed uint64, size int) *simFleet {
	f := &simFleet{rand: rand.New(rand.NewPCG(seed, 1)), store: simStore{epoch: 1, number: 100}}
	f.publish(10)
	for i := range size {
		f.nodes = append(f.nodes, newSimNode(fmt.Sprint("vm-", i)))
		f.nodes[i].call(&f.store)
		f.nodes[i].receive()
	}
	return f
}

// publish writes a configuration with a content of its own.
func (f *simFleet) publish(version int64) {
	f.last = &routing.Config{Version: version, Services: []routing.Service{{Name: ids.Service(fmt.Sprint("s", f.rand.Uint32()))}}}
	f.store.write(f.last)
}

// restore lets the store return from a copy. The operator writes the last version again, in some
// cases with another content, and further versions or other changes may follow at once.
func (f *simFleet) restore() {
	from := f.copies[f.rand.IntN(len(f.copies))]
	from.epoch = f.store.epoch + 1
	f.store = from
	f.copies = nil
	f.other()
	if f.rand.IntN(2) == 0 {
		f.publish(f.last.Version)
	} else {
		f.store.write(f.last)
	}
	if f.rand.IntN(2) == 0 {
		f.publish(f.last.Version + 2)
	}
	f.other()
}

// other makes up to five changes of other objects.
func (f *simFleet) other() { f.store.number += int64(f.rand.IntN(6)) }

// step makes a random step.
func (f *simFleet) step(t *testing.T) {
	n := f.nodes[f.rand.IntN(len(f.nodes))]
	switch f.rand.IntN(16) {
	case 0:
		f.copies = append(f.copies, f.store)
	case 1:
		if len(f.copies) > 0 {
			f.restore()
		}
	case 2:
		f.publish(f.last.Version + int64(1+f.rand.IntN(3)))
	case 3:
		f.other()
	case 4:
		*n = *newSimNode(string(n.settings.VM))
	case 5: // a lease, a claim or a list of another kind
		n.learn(f.store.epoch)
	case 6: // a call that is lost
		n.pending = nil
	case 7, 8, 9:
		n.call(&f.store)
	case 10, 11:
		n.receive()
	case 12, 13:
		n.ask(f.nodes[f.rand.IntN(len(f.nodes))])
	default:
		n.hear(f.rand.IntN(2) == 0)
	}
	for _, n := range f.nodes {
		version, _ := n.configs.version()
		if version < n.version {
			t.Errorf("%s goes back from version %d to %d", n.settings.VM, n.version, version)
		}
		n.version = version
	}
}

// settle lets the nodes of reach call the store, and all ask each other, until nothing is under
// way.
func (f *simFleet) settle(reach []*simNode) {
	for range 6 {
		for _, n := range reach {
			n.receive()
			n.call(&f.store)
			n.receive()
		}
		for _, n := range f.nodes {
			n.pending = nil
			for _, peer := range f.nodes {
				n.hear(false)
				n.ask(peer)
				n.hear(false)
			}
		}
	}
}

// Guards against nodes that stay with an older configuration, or with another content of the
// newest version, after some order of restorations, writes, calls and responses.
func TestAllNodesAgreeOnTheConfigurationAfterRestorations(t *testing.T) {
	const seeds, steps, size = 2000, 80, 3
	for seed := range uint64(seeds) {
		f := newSimFleet(seed, size)
		for range steps {
			f.step(t)
		}
		// Nodes that have not listed yet need the store. Of the others one is enough.
		var reach []*simNode
		for i, n := range f.nodes {
			if i == 0 || !n.listed {
				reach = append(reach, n)
			}
		}
		f.settle(reach)
		for _, n := range f.nodes {
			active := n.configs.newest.Load()
			if active == nil || active.config.Version != f.last.Version || active.config.Services[0] != f.last.Services[0] {
				t.Errorf("seed %d: %s is not at version %d of epoch %d, but at %+v", seed, n.settings.VM, f.last.Version, f.store.epoch, active)
			}
		}
		if t.Failed() {
			return
		}
	}
}
