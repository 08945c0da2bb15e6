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

// fleet is what the node knows of the others. Any goroutine may call its methods.
type fleet struct {
	now func() time.Time
	// changed is told of each list that is taken.
	changed func(nodes int)
	// known is closed once the roster can tell whom to learn from.
	known chan struct{}

	mu      sync.Mutex
	roster  *roster.Roster
	edition relay.MemberListVersion
	members []roster.Member
	settled bool
	// unheard is closed while the store does not answer this node.
	unheard chan struct{}
}

// newFleet makes the view of a node that knows no others.
func newFleet(s Settings, now func() time.Time, changed func(nodes int)) *fleet {
	return &fleet{now: now, changed: changed, known: make(chan struct{}), unheard: make(chan struct{}), roster: roster.New(s.VM, s.Zone)}
}

// set takes a list of the fleet's nodes as of a revision of the store's. An older
// one than that before is ignored.
func (f *fleet) set(members []roster.Member, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.edition.Revision {
		return
	}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b roster.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	edition := relay.MemberListVersion{Revision: revision, Digest: digest(members)}
	if edition.Digest != f.edition.Digest {
		f.members = members
		f.roster.Set(members)
		f.changed(len(members))
	}
	f.edition = edition
	f.settle()
}

// digest tells lists of nodes apart.
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

// settle closes known once the roster is settled, with the lock held.
func (f *fleet) settle() {
	if f.settled || !f.roster.Ready() {
		return
	}
	f.settled = true
	close(f.known)
}

// goOn has the node go by the list as it is, without its own entry.
func (f *fleet) goOn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.ForceReady()
	f.settle()
}

// await waits until the node knows whom to learn from, or ctx ends.
func (f *fleet) await(ctx context.Context) {
	select {
	case <-f.known:
	case <-ctx.Done():
	}
}

// isSettled reports whether the node knows whom to learn from.
func (f *fleet) isSettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled
}

// selector makes one that learns by the view.
func (f *fleet) selector() *roster.Selector {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Selector()
}

// next tells where to learn what is new.
func (f *fleet) next(a *roster.Selector) (roster.Source, roster.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.Next(f.now())
}

// watches reports whether the node is one of those that watch the store for all.
func (f *fleet) watches() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.IsWatcher(f.now())
}

// head reports whether the node is one of its zone's heads.
func (f *fleet) head() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.IsLeaseCandidate(f.now())
}

// others gives the nodes of all zones but the own.
func (f *fleet) others() []roster.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.Others()
}

// have names the list that is here.
func (f *fleet) have() relay.MemberListVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.edition
}

// tell adds the list to the news for an asker whose own is another and older.
func (f *fleet) tell(news *relay.Update, have relay.MemberListVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.edition.Digest != have.Digest && f.edition.Revision > have.Revision {
		news.Members, news.MembersRevision = f.members, f.edition.Revision
	}
}

// beside gives a watcher to ask while a watch waits at the store; false where there is
// none.
func (f *fleet) beside(a *roster.Selector) (roster.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.NextDuringWatch(f.now())
}

// watchWait is how long a watch of the store is to wait where one that watches alone waits
// so long.
func (f *fleet) watchWait(alone time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.WatchWait(alone)
}

// setSilent notes whether the store has stopped answering this node; changed tells that
// this is new.
func (f *fleet) setSilent(silent bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.roster.SetStoreUnresponsive(silent) {
		return false
	}
	if silent {
		close(f.unheard)
	} else {
		f.unheard = make(chan struct{})
	}
	return true
}

// isSilent reports whether the store has stopped answering this node.
func (f *fleet) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.StoreUnresponsive()
}

// silence gives a channel that is closed once the store has stopped answering this node.
func (f *fleet) silence() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unheard
}

// unanswered and reached tell whether a peer answered, behind and answered whether it had
// news of the store, and served that the store answered.
func (f *fleet) unanswered(a *roster.Selector, name ids.VM, took time.Duration) {
	f.note(func() { a.PeerFailed(f.now(), name, took) })
}

func (f *fleet) reached(name ids.VM) {
	f.note(func() { f.roster.MarkReachable(name) })
}

func (f *fleet) behind(a *roster.Selector, name ids.VM) {
	f.note(func() { a.PeerStale(f.now(), name) })
}

func (f *fleet) answered(a *roster.Selector, name ids.VM) {
	f.note(func() { a.PeerFresh(name) })
}

func (f *fleet) served(a *roster.Selector) {
	f.note(func() { a.StoreAnswered(f.now()) })
}

// failed tells that a peer did not answer what was asked beside a watch.
func (f *fleet) failed(name ids.VM) {
	f.note(func() { f.roster.MarkUnreachable(f.now(), name) })
}

// givesUp reports whether a search for news is over without.
func (f *fleet) givesUp(a *roster.Selector, began time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.SearchExhausted(f.now(), began)
}

// note changes the roster, or what one that asks knows.
func (f *fleet) note(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}
