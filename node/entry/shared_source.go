package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

// StalePeerError is returned when no peer has recent news of the store. Age is
// the time since the store last answered the peer that was asked last.
type StalePeerError struct {
	Peer ids.VM
	Age  time.Duration
}

// Error implements error.
func (e *StalePeerError) Error() string {
	return "peer " + string(e.Peer) + " had no answer of the store for " + e.Age.String()
}

// StoreUnresponsiveError is returned when the store has stopped answering this node.
type StoreUnresponsiveError struct{}

// Error implements error.
func (*StoreUnresponsiveError) Error() string { return "the store does not answer" }

// sharedSource is a listwatch.Source that receives changes from a peer, or from
// the store if this node is a watcher or no peer answers. Package roster
// decides which.
type sharedSource[T any] struct {
	// name is the name of the collection in logs.
	name     string
	store    listwatch.Source[T]
	fleet    *fleet
	selector *roster.Selector
	// have returns the state that this node has, for a request to a peer. apply
	// applies a peer's news and returns the revision up to which changes are
	// included. askedAt is the time at which the peer was asked.
	have  func(peer ids.VM) relay.UpdateRequest
	apply func(peer ids.VM, news relay.Update, askedAt time.Time) int64
	// contact records answers of the store and of peers. probeNow requests a
	// probe when a watch starts although the store has not answered recently.
	// observe records the durations of calls to the store.
	contact  *storeContact
	probeNow func()
	observe  func(name string, d time.Duration)
	// log receives a line for each request to a peer that yielded no news.
	log zerolog.Logger
}

// List implements listwatch.Source. It always reads the store, because links
// between VMs are slower: after a restart of all nodes, a large fleet would
// start serving later if first lists came from peers.
func (s *sharedSource[T]) List(ctx context.Context, stale bool) (listwatch.List[T], error) {
	start := boottime.Now()
	list, err := s.store.List(ctx, stale)
	s.observe(storeList, boottime.Now().Sub(start))
	if err == nil && !stale {
		s.contact.storeAnswered()
	}
	return list, err
}

// Watch implements listwatch.Source. It asks peers until one has recent news,
// or watches the store. It returns the last peer's error if the search for a
// peer takes too long.
func (s *sharedSource[T]) Watch(ctx context.Context, since int64, wait time.Duration) (listwatch.Changes[T], error) {
	s.fleet.awaitSettled(ctx)
	start := boottime.Now()
	for {
		way, peer := s.fleet.nextSource(s.selector)
		if way != roster.Peer {
			return s.watchStore(ctx, since, wait)
		}
		askedAt := boottime.Now()
		news, err := s.askForNews(ctx, peer, askedAt)
		if err == nil {
			return listwatch.Changes[T]{Revision: max(since, s.apply(peer.Name, news, askedAt))}, nil
		}
		if ctx.Err() != nil || s.fleet.givesUp(s.selector, start) {
			return listwatch.Changes[T]{}, err
		}
	}
}

// watchStore watches the store. Meanwhile it asks the other watchers, because
// this node's own connection may have gone silent. It returns a
// *StoreSilentError once the store has stopped answering this node.
func (s *sharedSource[T]) watchStore(ctx context.Context, since int64, wait time.Duration) (listwatch.Changes[T], error) {
	silence := s.fleet.unresponsiveSignal()
	if s.fleet.isStoreUnresponsive() {
		return listwatch.Changes[T]{}, &StoreUnresponsiveError{}
	}
	s.contact.watching.Store(true)
	defer s.contact.watching.Store(false)
	if age, _ := s.contact.age(boottime.Now()); age > roster.MaxAge {
		s.probeNow()
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { s.pollOtherWatchers(pollCtx) })
	var changes listwatch.Changes[T]
	answered := make(chan error, 1)
	// The watch is limited by its own timeout, so the goroutine also ends if
	// this function returns earlier.
	go func() {
		var err error
		changes, err = s.store.Watch(ctx, since, s.fleet.watchWait(wait))
		answered <- err
	}()
	select {
	case err := <-answered:
		if err == nil {
			s.contact.storeAnswered()
			s.fleet.recordServed(s.selector)
		}
		return changes, err
	case <-silence:
		return listwatch.Changes[T]{}, &StoreUnresponsiveError{}
	}
}

// pollOtherWatchers asks the other watchers in turn for news until ctx ends.
func (s *sharedSource[T]) pollOtherWatchers(ctx context.Context) {
	for ctx.Err() == nil {
		peer, known := s.fleet.otherWatcher(s.selector)
		if !known {
			return
		}
		askedAt := boottime.Now()
		news, err := s.queryPeer(ctx, peer, askedAt)
		switch {
		case err == nil:
			s.fleet.recordReached(peer.Name)
			s.apply(peer.Name, news, askedAt)
		case ctx.Err() == nil:
			s.fleet.recordFailed(peer.Name)
		}
		// A peer that has lost the store answers at once, so wait for the rest of
		// the interval.
		every.Sleep(ctx, roster.PeerPollWait-boottime.Now().Sub(askedAt))
	}
}

// queryPeer requests news from a peer, which may delay its answer until there
// is news. askedAt is the current time. The error is a *relay.CallError.
func (s *sharedSource[T]) queryPeer(ctx context.Context, peer roster.Member, askedAt time.Time) (relay.Update, error) {
	have := s.have(peer.Name)
	have.WaitMs = roster.PeerPollWait.Milliseconds()
	have.Members = s.fleet.memberListVersion()
	news, err := relay.Fetch(ctx, peer.PeerAddress, have)
	if err != nil {
		if ctx.Err() == nil {
			s.logPeerWithoutNews("peer_silent", peer.Name, askedAt).Err(err).Send()
		}
		return relay.Update{}, err
	}
	if news.Members != nil {
		s.fleet.setMembers(news.Members, news.MembersRevision)
	}
	return news, nil
}

// askForNews requests recent news of the store from a peer and records the
// result in the roster. askedAt is the current time. The error is a
// *relay.CallError or a *StalePeerError.
func (s *sharedSource[T]) askForNews(ctx context.Context, peer roster.Member, askedAt time.Time) (relay.Update, error) {
	news, err := s.queryPeer(ctx, peer, askedAt)
	if err != nil {
		s.fleet.recordUnanswered(s.selector, peer.Name, boottime.Now().Sub(askedAt))
		return relay.Update{}, err
	}
	age := time.Duration(news.AgeMs) * time.Millisecond
	if news.Disconnected || !roster.Fresh(age, news.Hops) {
		s.logPeerWithoutNews("peer_behind", peer.Name, askedAt).Dur("age_ms", age).Int("hops", news.Hops).Bool("lost", news.Disconnected).Send()
		s.fleet.recordBehind(s.selector, peer.Name)
		return relay.Update{}, &StalePeerError{Peer: peer.Name, Age: age}
	}
	s.fleet.recordAnswered(s.selector, peer.Name)
	s.contact.peerAnswered(age, news.Hops+1)
	return news, nil
}

// logPeerWithoutNews starts a log line about a request to a peer that yielded no
// news.
func (s *sharedSource[T]) logPeerWithoutNews(event string, peer ids.VM, askedAt time.Time) *zerolog.Event {
	return s.log.Info().Str("event", event).Str("kind", s.name).Str("peer", string(peer)).Dur("took_ms", boottime.Now().Sub(askedAt))
}

// sharedConfigs returns the source of the configuration.
func (n *Node) sharedConfigs() listwatch.Source[routing.Config] {
	return &sharedSource[routing.Config]{
		name:     configCollection,
		store:    n.ports.Configs,
		fleet:    n.fleet,
		selector: n.fleet.newSelector(),
		contact:  &n.configs.storeContact,
		probeNow: n.probe.probeNow,
		observe:  n.metrics.ObserveDuration,
		log:      n.log,
		have: func(ids.VM) relay.UpdateRequest {
			return relay.UpdateRequest{ConfigVersion: n.configs.version(), Want: relay.WantConfig}
		},
		apply: func(peer ids.VM, news relay.Update, askedAt time.Time) int64 {
			if news.Config != nil {
				n.configs.apply(news.Config, fromPeer(peer, &news, askedAt))
			}
			return news.ConfigRevision
		},
	}
}

// sharedUpstreams returns the source of the directory.
func (n *Node) sharedUpstreams() listwatch.Source[directory.Upstream] {
	return &sharedSource[directory.Upstream]{
		name:     upstreamCollection,
		store:    n.ports.Upstreams,
		fleet:    n.fleet,
		selector: n.fleet.newSelector(),
		contact:  &n.upstreams.storeContact,
		probeNow: n.probe.probeNow,
		observe:  n.metrics.ObserveDuration,
		log:      n.log,
		have:     n.upstreams.have,
		apply: func(peer ids.VM, news relay.Update, askedAt time.Time) int64 {
			if news.Revision > 0 {
				n.upstreams.merge(peer, news, askedAt)
			}
			return news.Revision
		},
	}
}
