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
	// settledCh is closed once the roster has determined this node's role.
	settledCh chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	// listVersion is the revision and digest of members.
	listVersion relay.MemberListVersion
	members []roster.Member
	settled bool
	// unresponsiveCh is closed while the store does not answer this node. It is
	// replaced when the store answers again.
	unresponsiveCh chan struct{}
}

// newFleet returns a view that contains no nodes.
func newFleet(s Settings, now func() time.Time, onChanged func(nodes int)) *fleet {
	return &fleet{now: now, onChanged: onChanged, settledCh: make(chan struct{}), unresponsiveCh: make(chan struct{}), roster: roster.New(s.VM, s.Zone)}
}

// setMembers replaces the list of nodes by the list as of a revision of the
// store. It ignores a list that is older than the current one.
func (f *fleet) setMembers(members []roster.Member, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.listVersion.Revision {
		return
	}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b roster.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	edition := relay.MemberListVersion{Revision: revision, Digest: digest(members)}
	if edition.Digest != f.listVersion.Digest {
		f.members = members
		f.roster.Set(members)
		f.onChanged(len(members))
	}
	f.listVersion = edition
	f.markSettled()
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

// markSettled closes settledCh once the roster is settled. The caller must hold
// the lock.
func (f *fleet) markSettled() {
	if f.settled || !f.roster.Ready() {
		return
	}
	f.settled = true
	close(f.settledCh)
}

// settleWithoutSelf settles the roster although the list does not contain this
// node.
func (f *fleet) settleWithoutSelf() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.ForceReady()
	f.markSettled()
}

// awaitSettled blocks until the roster is settled or ctx ends.
func (f *fleet) awaitSettled(ctx context.Context) {
	select {
	case <-f.settledCh:
	case <-ctx.Done():
	}
}

// isSettled reports whether the roster has determined this node's role.
func (f *fleet) isSettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
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

// isHead reports whether this node is one of its zone's heads.
func (f *fleet) isHead() bool {
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

// memberListVersion returns the revision and digest of the current list.
func (f *fleet) memberListVersion() relay.MemberListVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listVersion
}

// addMembers adds the list of nodes to the news for a peer whose own list is
// older and different.
func (f *fleet) addMembers(news *relay.Update, have relay.MemberListVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listVersion.Digest != have.Digest && f.listVersion.Revision > have.Revision {
		news.Members, news.MembersRevision = f.members, f.listVersion.Revision
	}
}

// otherWatcher returns another watcher to ask while this node's watch of the
// store is in progress, or false if there is none.
func (f *fleet) otherWatcher(s *roster.Selector) (roster.Member, bool) {
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

// setStoreUnresponsive records whether the store has stopped answering this node, and
// reports whether that changed.
func (f *fleet) setStoreUnresponsive(silent bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.roster.SetStoreUnresponsive(silent) {
		return false
	}
	if silent {
		close(f.unresponsiveCh)
	} else {
		f.unresponsiveCh = make(chan struct{})
	}
	return true
}

// isStoreUnresponsive reports whether the store has stopped answering this node.
func (f *fleet) isStoreUnresponsive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.StoreUnresponsive()
}

// unresponsiveSignal returns a channel that is closed when the store stops answering
// this node.
func (f *fleet) unresponsiveSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unresponsiveCh
}

// recordUnanswered records that a request to a peer failed after the given
// time.
func (f *fleet) recordUnanswered(s *roster.Selector, name ids.VM, took time.Duration) {
	f.update(func() { s.PeerFailed(f.now(), name, took) })
}

// recordReached records that a peer answered a request made during a watch.
func (f *fleet) recordReached(name ids.VM) {
	f.update(func() { f.roster.MarkReachable(name) })
}

// recordBehind records that a peer answered but had no recent news of the
// store.
func (f *fleet) recordBehind(s *roster.Selector, name ids.VM) {
	f.update(func() { s.PeerStale(f.now(), name) })
}

// recordAnswered records that a peer answered with recent news of the store.
func (f *fleet) recordAnswered(s *roster.Selector, name ids.VM) {
	f.update(func() { s.PeerFresh(name) })
}

// recordServed records that the store answered.
func (f *fleet) recordServed(s *roster.Selector) {
	f.update(func() { s.StoreAnswered(f.now()) })
}

// recordFailed records that a peer did not answer a request made during a
// watch.
func (f *fleet) recordFailed(name ids.VM) {
	f.update(func() { f.roster.MarkUnreachable(f.now(), name) })
}

// givesUp reports whether a search for news that started at the given time
// should end without a result.
func (f *fleet) givesUp(s *roster.Selector, start time.Time) bool {
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
