package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/revision"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

// StalePeerError is returned when no peer has a recent answer of the store. Age
// is the time since the store last answered the peer that was asked last, and Epoch the
// epoch of the store that this peer knows.
type StalePeerError struct {
	Peer  ids.VM
	Age   time.Duration
	Epoch int64
}

// Error implements error.
func (e *StalePeerError) Error() string {
	return "peer " + string(e.Peer) + " had no answer of the store for " + e.Age.String() + ", and knows epoch " + strconv.FormatInt(e.Epoch, 10)
}

// StoreUnresponsiveError is returned when the store has stopped answering this
// node.
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
	// request returns the request to a peer, with the state that this node has.
	// apply applies a peer's update and returns the revision up to which
	// changes are included. askedAt is the time at which the peer was asked.
	request func(peer ids.VM) relay.UpdateRequest
	apply   func(peer ids.VM, update relay.Update, askedAt time.Time) revision.Revision
	// epoch returns the latest epoch of the store that is known. observeEpoch records the
	// epoch that a peer knows.
	epoch        func() int64
	observeEpoch func(int64)
	// contact records answers of the store and of peers. probeNow requests a
	// probe when a watch starts although the store has not answered recently.
	// observe records the durations of calls to the store.
	contact  *storeContact
	probeNow func()
	observe  func(name string, d time.Duration)
	// log receives a line for each request to a peer that yielded no fresh
	// update.
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

// Watch implements listwatch.Source. It asks peers until one has a recent
// answer of the store, or watches the store itself. It returns the last peer's
// error if the search for a peer takes too long.
func (s *sharedSource[T]) Watch(ctx context.Context, since revision.Revision, wait time.Duration) (listwatch.Changes[T], error) {
	s.fleet.awaitReady(ctx)
	start := boottime.Now()
	for {
		source, peer := s.fleet.nextSource(s.selector)
		if source != roster.Peer {
			return s.watchStore(ctx, since, wait)
		}
		askedAt := boottime.Now()
		update, err := s.fetchFresh(ctx, peer, askedAt)
		if err == nil {
			return listwatch.Changes[T]{Revision: revision.Latest(since, s.apply(peer.Name, update, askedAt))}, nil
		}
		if ctx.Err() != nil || s.fleet.searchExhausted(s.selector, start) {
			return listwatch.Changes[T]{}, err
		}
	}
}

// watchStore watches the store. Meanwhile it asks the other watchers, because
// this node's own connection may have stalled. It returns a
// *StoreUnresponsiveError once the store has stopped answering this node.
func (s *sharedSource[T]) watchStore(ctx context.Context, since revision.Revision, wait time.Duration) (listwatch.Changes[T], error) {
	unresponsive := s.fleet.unresponsiveSignal()
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
			s.fleet.recordStoreAnswered(s.selector)
		}
		return changes, err
	case <-unresponsive:
		return listwatch.Changes[T]{}, &StoreUnresponsiveError{}
	}
}

// pollOtherWatchers asks the other watchers in turn for updates until ctx ends.
func (s *sharedSource[T]) pollOtherWatchers(ctx context.Context) {
	for ctx.Err() == nil {
		peer, known := s.fleet.nextDuringWatch(s.selector)
		if !known {
			return
		}
		askedAt := boottime.Now()
		update, err := s.fetch(ctx, peer, askedAt)
		switch {
		case err == nil:
			s.fleet.markReachable(peer.Name)
			s.apply(peer.Name, update, askedAt)
		case ctx.Err() == nil:
			s.fleet.markUnreachable(peer.Name)
		}
		// A disconnected peer answers at once, so wait for the rest of the interval.
		every.Sleep(ctx, roster.PeerPollWait-boottime.Now().Sub(askedAt))
	}
}

// fetch requests an update from a peer, which may delay its answer until it has
// one. askedAt is the current time. The error is a *relay.CallError.
func (s *sharedSource[T]) fetch(ctx context.Context, peer roster.Member, askedAt time.Time) (relay.Update, error) {
	req := s.request(peer.Name)
	req.WaitMs = roster.PeerPollWait.Milliseconds()
	req.Members = s.fleet.memberListVersion()
	req.Epoch = s.epoch()
	update, err := relay.Fetch(ctx, peer.PeerAddress, req)
	if err != nil {
		if ctx.Err() == nil {
			s.logFailedFetch("peer_silent", peer.Name, askedAt).Err(err).Send()
		}
		return relay.Update{}, err
	}
	if update.Members != nil {
		s.fleet.setMembers(update.Members, update.MembersRevision)
	}
	s.observeEpoch(update.Epoch)
	return update, nil
}

// fetchFresh requests an update from a peer, accepts it only if the peer has a
// recent answer of the store in the latest epoch that is known, and records the result in the roster. askedAt is
// the current time. The error is a *relay.CallError or a *StalePeerError.
func (s *sharedSource[T]) fetchFresh(ctx context.Context, peer roster.Member, askedAt time.Time) (relay.Update, error) {
	update, err := s.fetch(ctx, peer, askedAt)
	if err != nil {
		s.fleet.recordPeerFailed(s.selector, peer.Name, boottime.Now().Sub(askedAt))
		return relay.Update{}, err
	}
	age := time.Duration(update.AgeMs) * time.Millisecond
	if update.Disconnected || update.Epoch < s.epoch() || !roster.Fresh(age, update.Hops) {
		s.logFailedFetch("peer_behind", peer.Name, askedAt).Dur("age_ms", age).Int("hops", update.Hops).Bool("lost", update.Disconnected).
			Int64("epoch", update.Epoch).Int64("known", s.epoch()).Send()
		s.fleet.recordPeerStale(s.selector, peer.Name)
		return relay.Update{}, &StalePeerError{Peer: peer.Name, Age: age, Epoch: update.Epoch}
	}
	s.fleet.recordPeerFresh(s.selector, peer.Name)
	s.contact.peerAnswered(age, update.Hops+1)
	return update, nil
}

// logFailedFetch starts a log line about a request to a peer that failed or
// yielded no fresh update.
func (s *sharedSource[T]) logFailedFetch(event string, peer ids.VM, askedAt time.Time) *zerolog.Event {
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
		request: func(ids.VM) relay.UpdateRequest {
			version, epoch := n.configs.version()
			return relay.UpdateRequest{ConfigVersion: version, ConfigEpoch: epoch, Want: relay.WantConfig}
		},
		epoch:        n.epoch.Load,
		observeEpoch: n.ObserveEpoch,
		apply: func(peer ids.VM, update relay.Update, askedAt time.Time) revision.Revision {
			if update.Config != nil {
				n.configs.apply(update.Config, update.ConfigEpoch, fromPeer(peer, &update, askedAt))
			}
			return update.ConfigRevision
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
		request:  n.upstreams.updateRequest,

		epoch:        n.epoch.Load,
		observeEpoch: n.ObserveEpoch,
		apply: func(peer ids.VM, update relay.Update, askedAt time.Time) revision.Revision {
			if !update.Revision.IsZero() {
				n.upstreams.merge(peer, update, askedAt)
			}
			return update.Revision
		},
	}
}
