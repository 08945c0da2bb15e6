package roster

import (
	"maps"
	"time"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/ids"
)

// Durations and limits of a Selector.
const (
	// staleExclusion is how long a peer with a stale view of the store is skipped while
	// another has a fresh one. It is longer than polling all sources in turn takes.
	staleExclusion = (sourcesPerTier + 1) * PeerPollWait
	// storeFallbackStep, multiplied by the node's rank, is how long all its peers must
	// be stale before the node calls the store itself. During an outage of the store ten
	// more nodes call it in each second, instead of all at once. If the store refuses
	// all watchers and a third of the other nodes, a node that it serves still learns of
	// a change in less than a second. Watchers that start together with the whole fleet
	// get their first state before the others fall back.
	storeFallbackStep = 100 * time.Millisecond
	// minStoreRetry is the pause after a node's first such call. It doubles with each
	// further call, up to maxStoreRetry.
	minStoreRetry = time.Second
	maxStoreRetry = 8 * time.Second
	// storeHold is how long a node that the store has answered keeps using the store
	// before it polls its peers again.
	storeHold = 5 * time.Second
	// searchTimeout bounds the search for a fresh peer, after which the store counts as
	// unreachable. When zones are partitioned, peers of other zones refuse connections
	// until the search reaches one of the node's own zone.
	searchTimeout = 1500 * time.Millisecond
	// maxFailedPeers is the number of peers in a row that may fail to answer, and
	// maxStalePeers the number in a row that may be stale.
	maxFailedPeers = sourcesPerTier
	maxStalePeers  = sourcesPerTier
)

// Selector chooses the source of one collection by the node's Roster. Create it with
// Roster.Selector.
//
// Each collection has its own rotation and its own record of stale peers. With a shared
// rotation, two collections that poll alternately would each poll the same peer every
// time. A peer that is stale for one collection may be fresh for another.
type Selector struct {
	roster *Roster
	// polls counts the polls of peers without a watch, and parallelPolls those made during
	// a watch of the store.
	polls, parallelPolls int
	// staleUntil holds, for each peer that answered with a stale view of the store, when
	// its exclusion ends. firstStaleAt is when the first of them answered.
	staleUntil   map[ids.VM]time.Time
	firstStaleAt time.Time
	// allStaleSince is when the last fresh peer was lost, or zero while a peer is fresh.
	// storeAttempts counts the fallback calls to the store since it last answered; the
	// next one is due at nextStoreAttempt. The store is used until storeHoldUntil.
	allStaleSince, nextStoreAttempt, storeHoldUntil time.Time
	storeAttempts                                   int
	// storeAnswered is true if the store has answered since the last poll of a peer.
	storeAnswered bool
	// staleCount and failedCount count the peers in a row that were stale and that did
	// not answer. useStoreNext makes the next call go to the store.
	staleCount, failedCount int
	useStoreNext            bool
}

// Next returns the source of the next update. The Member is the peer to poll if the
// source is Peer, and empty otherwise.
func (s *Selector) Next(now time.Time) (Source, Member) {
	r := s.roster
	if !r.ready {
		return NotReady, Member{}
	}
	peers, watches := r.sources(now)
	if watches || s.useStoreNext || s.holdsStore(now) || s.tryStore(now) {
		s.useStoreNext, s.failedCount = false, 0
		return Store, Member{}
	}
	s.polls++
	// Nodes that poll the same peers start at different ones, by their index in the
	// zone.
	from := r.zoneIndex + s.polls
	for i := range peers {
		if m := peers[(from+i)%len(peers)]; !now.Before(s.staleUntil[m.Name]) {
			return Peer, m
		}
	}
	return Peer, peers[from%len(peers)]
}

// NextDuringWatch returns a watcher to poll while the node's own watch of the store is
// open. It returns false if there is none.
func (s *Selector) NextDuringWatch(now time.Time) (Member, bool) {
	r := s.roster
	peers, _ := r.firstAvailable(now, r.ranked, sourcesPerTier, true)
	if len(peers) == 0 {
		return Member{}, false
	}
	s.parallelPolls++
	return peers[(r.zoneIndex+s.parallelPolls)%len(peers)], true
}

// holdsStore reports whether the node keeps using the store, which has answered it while
// no peer was fresh.
func (s *Selector) holdsStore(now time.Time) bool {
	return !s.roster.storeUnresponsive && !s.allStaleSince.IsZero() && now.Before(s.storeHoldUntil)
}

// tryStore reports whether a fallback call to the store is due because no peer is fresh,
// and schedules the next one.
func (s *Selector) tryStore(now time.Time) bool {
	if s.roster.storeUnresponsive || s.allStaleSince.IsZero() || s.storeAnswered {
		return false
	}
	if now.Sub(s.allStaleSince) < time.Duration(s.roster.rank())*storeFallbackStep || now.Before(s.nextStoreAttempt) {
		return false
	}
	s.nextStoreAttempt = now.Add(backoff.Exponential(minStoreRetry, maxStoreRetry, s.storeAttempts))
	s.storeAttempts++
	return true
}

// PeerStale records that a peer answered with a stale view of the store. When all
// sources are stale, the node falls back to the store after a delay that grows with its
// rank.
func (s *Selector) PeerStale(now time.Time, name ids.VM) {
	s.roster.MarkReachable(name)
	maps.DeleteFunc(s.staleUntil, func(_ ids.VM, until time.Time) bool { return !now.Before(until) })
	if len(s.staleUntil) == 0 {
		s.firstStaleAt = now
	}
	s.staleUntil[name] = now.Add(staleExclusion)
	s.storeAnswered = false
	s.staleCount++
	s.failedCount = 0
	peers, _ := s.roster.sources(now)
	for _, m := range peers {
		if _, stale := s.staleUntil[m.Name]; !stale {
			return
		}
	}
	s.markAllStale(s.firstStaleAt)
}

// PeerFailed records that a poll of a peer failed after took. After maxFailedPeers
// failures in a row the node counts as cut off from its peers and uses the store for a
// while. It also calls the store once if the poll lasted at least PeerPollWait, because
// the peer then accepted the connection: it may be frozen, or its link too slow for a
// large configuration, which the store's link can carry.
func (s *Selector) PeerFailed(now time.Time, name ids.VM, took time.Duration) {
	s.roster.MarkUnreachable(now, name)
	s.failedCount++
	if s.failedCount >= maxFailedPeers {
		s.storeAnswered = false
		s.markAllStale(now)
		s.useStoreNext = true
	}
	s.useStoreNext = s.useStoreNext || took >= PeerPollWait
}

// SearchExhausted reports whether a search for a fresh peer that started at began has
// failed, because maxStalePeers peers were stale or searchTimeout has passed. If so, it
// resets the counts for the next search.
func (s *Selector) SearchExhausted(now, began time.Time) bool {
	if s.staleCount < maxStalePeers && now.Sub(began) < searchTimeout {
		return false
	}
	s.staleCount, s.failedCount = 0, 0
	return true
}

// markAllStale records that no peer has been fresh since the given time, unless an
// earlier time is recorded.
func (s *Selector) markAllStale(since time.Time) {
	if s.allStaleSince.IsZero() {
		s.allStaleSince = since
	}
}

// PeerFresh records that a peer answered with a fresh view of the store, whether or not
// there was a change.
func (s *Selector) PeerFresh(name ids.VM) {
	s.roster.MarkReachable(name)
	delete(s.staleUntil, name)
	s.allStaleSince, s.nextStoreAttempt, s.storeHoldUntil, s.storeAttempts, s.storeAnswered = time.Time{}, time.Time{}, time.Time{}, 0, false
	s.staleCount, s.failedCount = 0, 0
}

// StoreAnswered records that the store answered this node.
func (s *Selector) StoreAnswered(now time.Time) {
	s.staleCount = 0
	if s.storeAnswered {
		return
	}
	s.storeHoldUntil, s.storeAnswered = now.Add(storeHold), true
	s.nextStoreAttempt, s.storeAttempts = time.Time{}, 0
}
