package roster

import (
	"maps"
	"time"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/ids"
)

// Waits of a selector.
const (
	// behindFor is how long a peer that has no news of the store is left out while
	// another one has them: longer than it takes to ask all in turn.
	behindFor = (sourceCount + 1) * PeerPollWait
	// tryStep times a node's rank is how long its peers have no news of the store before
	// it asks the store itself: while that is away ten more nodes a second ask, instead of
	// all at once, and where it turns all watchers and a third of the others away one that
	// it serves has a change in less than a second. Watchers that start together with all
	// others have their first news sooner.
	tryStep = 100 * time.Millisecond
	// tryFirst is the pause between such calls of one node; it doubles up to
	// tryMost.
	tryFirst = time.Second
	tryMost  = 8 * time.Second
	// servedFor is how long a node whose call the store answered goes on there
	// before it asks its peers again.
	servedFor = 5 * time.Second
	// askFor is how long peers are tried before the store counts as lost: those of other
	// zones behind a cut take no connection, until a node of the own zone is found.
	askFor = 1500 * time.Millisecond
	// maxUnanswered is how many peers in a row may not answer, and maxBehind how many may
	// have no news of the store.
	maxUnanswered = sourceCount
	maxBehind     = sourceCount
)

// Selector decides where one collection is learnt from, by the node's view of the fleet. Make
// it with Roster.Selector.
//
// What its peers know of its collection is kept apart from other collections: two that
// shared a turn and asked alternately would each ask the same peer always, and what one
// finds at a peer tells nothing of the other.
type Selector struct {
	roster *Roster
	// turn counts the questions, and aside those beside a watch of the store.
	turn, aside int
	// behindUntil are the peers that answered without news of the store, the first of them
	// at behindSince.
	behindUntil map[ids.VM]time.Time
	behindSince time.Time
	// awaySince is since when no peer had news of the store, zero while one has;
	// tries counts the own calls since the store answered one, the next being due
	// at tryAt. Until servedUntil the store is asked.
	awaySince, tryAt, servedUntil time.Time
	tries                         int
	// served tells that the store answered, and no peer was asked since.
	served bool
	// behind and unanswered count the peers in a row that had no news of the store, and
	// that did not answer; direct tells that the store is to be asked next.
	behind, unanswered int
	direct             bool
}

// Next tells where to learn what is new, and the peer to ask.
func (s *Selector) Next(now time.Time) (Source, Member) {
	r := s.roster
	if !r.settled {
		return NotReady, Member{}
	}
	peers, watches := r.sources(now)
	if watches || s.direct || s.stays(now) || s.try(now) {
		s.direct, s.unanswered = false, 0
		return Store, Member{}
	}
	s.turn++
	// Nodes that wait at the same peers are spread over them by their places.
	from := r.place + s.turn
	for i := range peers {
		if m := peers[(from+i)%len(peers)]; !now.Before(s.behindUntil[m.Name]) {
			return Peer, m
		}
	}
	return Peer, peers[from%len(peers)]
}

// NextDuringWatch gives a watcher to ask while a watch waits at the store; false where there is
// none.
func (s *Selector) NextDuringWatch(now time.Time) (Member, bool) {
	r := s.roster
	peers, _ := r.first(now, r.ranks, sourceCount, true)
	if len(peers) == 0 {
		return Member{}, false
	}
	s.aside++
	return peers[(r.place+s.aside)%len(peers)], true
}

// stays reports whether to go on at the store, which answered while no peer had news of
// it.
func (s *Selector) stays(now time.Time) bool {
	return !s.roster.silent && !s.awaySince.IsZero() && now.Before(s.servedUntil)
}

// try reports whether to ask the store, as no peer has news of it.
func (s *Selector) try(now time.Time) bool {
	if s.roster.silent || s.awaySince.IsZero() || s.served {
		return false
	}
	if now.Sub(s.awaySince) < time.Duration(s.roster.rank())*tryStep || now.Before(s.tryAt) {
		return false
	}
	s.tryAt = now.Add(backoff.Exponential(tryFirst, tryMost, s.tries))
	s.tries++
	return true
}

// PeerStale tells that a peer answered, without news of the store. Where all have, the store
// is asked.
func (s *Selector) PeerStale(now time.Time, name ids.VM) {
	s.roster.MarkReachable(name)
	maps.DeleteFunc(s.behindUntil, func(_ ids.VM, until time.Time) bool { return !now.Before(until) })
	if len(s.behindUntil) == 0 {
		s.behindSince = now
	}
	s.behindUntil[name] = now.Add(behindFor)
	s.served = false
	s.behind++
	s.unanswered = 0
	peers, _ := s.roster.sources(now)
	for _, m := range peers {
		if _, behind := s.behindUntil[m.Name]; !behind {
			return
		}
	}
	s.away(s.behindSince)
}

// PeerFailed tells that a peer did not answer a question that took so long. Several that
// take no connection show a node that is cut off from its peers: the store is asked, for a
// while. So it is, once, where one took the connection: it stands still, or its link is too
// thin for what it has to tell, while the store's carries a large configuration to all.
func (s *Selector) PeerFailed(now time.Time, name ids.VM, took time.Duration) {
	s.roster.MarkUnreachable(now, name)
	s.unanswered++
	if s.unanswered >= maxUnanswered {
		s.served = false
		s.away(now)
		s.direct = true
	}
	s.direct = s.direct || took >= PeerPollWait
}

// SearchExhausted reports whether the search for news, begun at a moment, is over without: enough
// peers had none, or it took too long. The next one begins anew.
func (s *Selector) SearchExhausted(now, began time.Time) bool {
	if s.behind < maxBehind && now.Sub(began) < askFor {
		return false
	}
	s.behind, s.unanswered = 0, 0
	return true
}

// away notes that no peer has news of the store since a moment.
func (s *Selector) away(since time.Time) {
	if s.awaySince.IsZero() {
		s.awaySince = since
	}
}

// PeerFresh tells that a peer answered with news of the store, or that there are
// none.
func (s *Selector) PeerFresh(name ids.VM) {
	s.roster.MarkReachable(name)
	delete(s.behindUntil, name)
	s.awaySince, s.tryAt, s.servedUntil, s.tries, s.served = time.Time{}, time.Time{}, time.Time{}, 0, false
	s.behind, s.unanswered = 0, 0
}

// StoreAnswered tells that the store answered this node.
func (s *Selector) StoreAnswered(now time.Time) {
	s.behind = 0
	if s.served {
		return
	}
	s.servedUntil, s.served = now.Add(servedFor), true
	s.tryAt, s.tries = time.Time{}, 0
}
