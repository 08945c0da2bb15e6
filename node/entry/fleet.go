package entry

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/roster"
)

// fleet is this node's view of the fleet: the list of nodes and the roster that
// decides which of them to ask. It is safe for concurrent use.
type fleet struct {
	// now is the clock of the roster.
	now func() time.Time
	// onChanged is called with the number of nodes after each change of the
	// list, with mu held.
	onChanged func(nodes int)
	// readyCh is closed once the roster has determined this node's role.
	readyCh chan struct{}
	// firstListCh is closed once a list of nodes has arrived.
	firstListCh chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	// listed is the list of nodes as the store has it, and listVersion its revision and
	// digest.
	listed      []roster.Member
	listVersion relay.MemberListVersion
	// carried holds the nodes of the list of an earlier epoch until carriedUntil.
	carried      []roster.Member
	carriedUntil time.Time
	// members holds the listed and the carried nodes, and membersDigest is their digest.
	members       []roster.Member
	membersDigest uint64
	// names holds the names of members.
	names []ids.VM
	ready bool
	// unresponsiveCh is closed while the store does not answer this node. It is
	// replaced when the store answers again.
	unresponsiveCh chan struct{}
}

// newFleet returns a view that contains no nodes.
func newFleet(s Settings, now func() time.Time, onChanged func(nodes int)) *fleet {
	return &fleet{now: now, onChanged: onChanged, readyCh: make(chan struct{}), firstListCh: make(chan struct{}), unresponsiveCh: make(chan struct{}), roster: roster.New(s.VM, s.Zone)}
}

// carryTime is how long nodes that a list of a new epoch lacks are kept. They add themselves
// again once they have read it.
const carryTime = 10 * time.Second

// setMembers replaces the list of nodes by the list as of a revision of the
// store. It ignores a list that is older than the current one.
func (f *fleet) setMembers(members []roster.Member, at revision.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.listVersion.Revision
	if at.Before(known) {
		return
	}
	if at.Epoch > known.Epoch && !known.IsZero() {
		f.carried, f.carriedUntil = f.members, f.now().Add(carryTime)
	}
	f.listed = sortedMembers(members)
	f.listVersion = relay.MemberListVersion{Revision: at, Digest: digest(f.listed)}
	f.applyMembers()
	f.markReady()
	f.markFirstList()
}

// sortedMembers returns a copy of a list of nodes, sorted by name.
func sortedMembers(members []roster.Member) []roster.Member {
	return slices.SortedFunc(slices.Values(members), func(a, b roster.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// dropCarried forgets the nodes of an earlier epoch when their time is over.
func (f *fleet) dropCarried() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.carried != nil && !f.now().Before(f.carriedUntil) {
		f.carried = nil
		f.applyMembers()
	}
}

// applyMembers makes the listed and the carried nodes the members. The caller must hold mu.
func (f *fleet) applyMembers() {
	members := slices.Clone(f.listed)
	for _, c := range f.carried {
		if !slices.ContainsFunc(f.listed, func(m roster.Member) bool { return m.Name == c.Name }) {
			members = append(members, c)
		}
	}
	members = sortedMembers(members)
	version := digest(members)
	if version == f.membersDigest {
		return
	}
	f.members, f.membersDigest, f.names = members, version, nil
	for _, m := range members {
		f.names = append(f.names, m.Name)
	}
	f.roster.Set(members)
	f.onChanged(len(members))
}

// listLacks reports whether the list of the latest epoch lacks a node, and that epoch.
func (f *fleet) listLacks(name ids.VM) (epoch int64, lacks bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := slices.ContainsFunc(f.listed, func(m roster.Member) bool { return m.Name == name })
	return f.listVersion.Revision.Epoch, !listed
}

// markFirstList closes firstListCh. The caller must hold mu.
func (f *fleet) markFirstList() {
	select {
	case <-f.firstListCh:
	default:
		close(f.firstListCh)
	}
}

// firstList returns a channel that is closed once a list of nodes has arrived.
func (f *fleet) firstList() <-chan struct{} { return f.firstListCh }

// contains reports whether the list of nodes has a node with this peer address.
func (f *fleet) contains(name ids.VM, peerAddress string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.members, func(m roster.Member) bool { return m.Name == name && m.PeerAddress == peerAddress })
}

// digest returns a hash of a sorted list of nodes. Equal lists have equal
// digests.
func digest(members []roster.Member) uint64 {
	h := fnv.New64a()
	for _, m := range members {
		for _, part := range []string{string(m.Name), string(m.Zone), m.PeerAddress} {
			_, _ = h.Write([]byte(part)) // never fails
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// markReady closes readyCh once the roster is ready. The caller must hold mu.
func (f *fleet) markReady() {
	if f.ready || !f.roster.Ready() {
		return
	}
	f.ready = true
	close(f.readyCh)
}

// forceReady makes the roster ready although the list does not contain this
// node.
func (f *fleet) forceReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.ForceReady()
	f.markReady()
}

// awaitReady blocks until the roster is ready or ctx ends.
func (f *fleet) awaitReady(ctx context.Context) {
	select {
	case <-f.readyCh:
	case <-ctx.Done():
	}
}

// isReady reports whether the roster has determined this node's role.
func (f *fleet) isReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// newSelector returns a selector of the sources for one collection.
func (f *fleet) newSelector() *roster.Selector {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Selector()
}

// nextSource returns whether to ask the store or a peer for changes, and which
// peer.
func (f *fleet) nextSource(s *roster.Selector) (roster.Source, roster.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.Next(f.now())
}

// isWatcher reports whether this node is one of those that watch the store on
// behalf of the fleet.
func (f *fleet) isWatcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.IsWatcher(f.now())
}

// isLeaseCandidate reports whether this node is one of those of its zone that
// compete for the lease for orders to engines.
func (f *fleet) isLeaseCandidate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.IsLeaseCandidate(f.now())
}

// others returns all nodes except this one.
func (f *fleet) others() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Others()
}

// present returns all nodes except this one that are not known to be gone, or all of them if none
// has answered lately.
func (f *fleet) present() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if present := f.roster.Present(); len(present) > 0 {
		return present
	}
	return f.roster.Others()
}

// nextToVerify returns a node of which is to be found out whether it still exists, or false if
// there is none.
func (f *fleet) nextToVerify() (roster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.NextToVerify(f.now())
}

// recordVerified records whether a peer has answered, and reports whether that changed.
func (f *fleet) recordVerified(name ids.VM, answered bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Verified(f.now(), name, answered)
}

// keepers returns the nodes that may issue the permits for an upstream, in the order of
// backpressure.Keepers.
func (f *fleet) keepers(id ids.Instance) []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var keepers []roster.Member
	for _, name := range backpressure.Keepers(id, f.names) {
		i := slices.IndexFunc(f.members, func(m roster.Member) bool { return m.Name == name })
		keepers = append(keepers, f.members[i])
	}
	return keepers
}

// memberList returns the nodes, which must not be modified, and a digest of them.
func (f *fleet) memberList() ([]roster.Member, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members, f.membersDigest
}

// memberListVersion returns the revision and digest of the current list.
func (f *fleet) memberListVersion() relay.MemberListVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listVersion
}

// addMembers adds the list of nodes to an update for a peer whose own list is
// older and different.
func (f *fleet) addMembers(update *relay.Update, peer relay.MemberListVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := f.listVersion.Revision.After(peer.Revision)
	if newer && (f.listVersion.Digest != peer.Digest || f.listVersion.Revision.Epoch != peer.Revision.Epoch) {
		update.Members, update.MembersRevision = f.listed, f.listVersion.Revision
	}
}

// nextDuringWatch returns another watcher to ask while this node's watch of the
// store is in progress, or false if there is none.
func (f *fleet) nextDuringWatch(s *roster.Selector) (roster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.NextDuringWatch(f.now())
}

// watchWait returns how long a watch of the store should wait for a change.
// alone is the wait time of a node that is the only watcher.
func (f *fleet) watchWait(alone time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.WatchWait(alone)
}

// setStoreUnresponsive records whether the store has stopped answering this
// node, and reports whether that changed.
func (f *fleet) setStoreUnresponsive(unresponsive bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.roster.SetStoreUnresponsive(unresponsive) {
		return false
	}
	if unresponsive {
		close(f.unresponsiveCh)
	} else {
		f.unresponsiveCh = make(chan struct{})
	}
	return true
}

// isStoreUnresponsive reports whether the store has stopped answering this
// node.
func (f *fleet) isStoreUnresponsive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.StoreUnresponsive()
}

// unresponsiveSignal returns a channel that is closed when the store stops
// answering this node.
func (f *fleet) unresponsiveSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unresponsiveCh
}

// recordPeerFailed records that a request to a peer failed after the given
// time.
func (f *fleet) recordPeerFailed(s *roster.Selector, name ids.VM, took time.Duration) {
	f.update(func() { s.PeerFailed(f.now(), name, took) })
}

// markReachable records that a peer answered a request made during a watch.
func (f *fleet) markReachable(name ids.VM) {
	f.update(func() { f.roster.MarkReachable(name) })
}

// recordPeerStale records that a peer answered but had no recent answer of the
// store.
func (f *fleet) recordPeerStale(s *roster.Selector, name ids.VM) {
	f.update(func() { s.PeerStale(f.now(), name) })
}

// recordPeerFresh records that a peer answered and had a recent answer of the
// store.
func (f *fleet) recordPeerFresh(s *roster.Selector, name ids.VM) {
	f.update(func() { s.PeerFresh(name) })
}

// recordStoreAnswered records that the store answered a watch.
func (f *fleet) recordStoreAnswered(s *roster.Selector) {
	f.update(func() { s.StoreAnswered(f.now()) })
}

// markUnreachable records that a peer did not answer a request made during a
// watch.
func (f *fleet) markUnreachable(name ids.VM) {
	f.update(func() { f.roster.MarkUnreachable(f.now(), name) })
}

// searchExhausted reports whether a search for a fresh peer that started at the
// given time has taken too long.
func (f *fleet) searchExhausted(s *roster.Selector, start time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.SearchExhausted(f.now(), start)
}

// update changes the roster or a selector under the lock.
func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}
