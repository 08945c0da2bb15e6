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

// StalePeerError tells that no peer has news of the store. Age is that of the last news
// of the one asked last.
type StalePeerError struct {
	Peer ids.VM
	Age  time.Duration
}

// Error implements error.
func (e *StalePeerError) Error() string {
	return "peer " + string(e.Peer) + " had no answer of the store for " + e.Age.String()
}

// StoreSilentError tells that the store has stopped answering this node.
type StoreSilentError struct{}

// Error implements error.
func (*StoreSilentError) Error() string { return "the store does not answer" }

// shared is a listwatch.Source that waits at a peer where one watches the
// store, and else at the store, as decide/roster says.
type shared[T any] struct {
	// name is the collection's, for logs.
	name     string
	store    listwatch.Source[T]
	fleet    *fleet
	selector *roster.Selector
	// have tells what the node has, to a peer; take takes over a peer's news, asked
	// for at a moment, and gives the revision up to which they go.
	have func(peer ids.VM) relay.UpdateRequest
	take func(peer ids.VM, news relay.Update, asked time.Time) int64
	// contact is told when the store or a peer answered; hurry is told that a watch begins
	// while the store was not heard of lately.
	contact *contact
	hurry   func()
	took    func(name string, d time.Duration)
	// log takes a line for each question to a peer that brought nothing.
	log zerolog.Logger
}

// List implements listwatch.Source. It always asks the store, as VMs have thinner links:
// after all nodes were killed, first lists by peers have a large fleet serve later.
func (s *shared[T]) List(ctx context.Context, stale bool) (listwatch.List[T], error) {
	began := boottime.Now()
	list, err := s.store.List(ctx, stale)
	s.took(storeList, boottime.Now().Sub(began))
	if err == nil && !stale {
		s.contact.storeAnswered()
	}
	return list, err
}

// Watch implements listwatch.Source.
func (s *shared[T]) Watch(ctx context.Context, since int64, wait time.Duration) (listwatch.Changes[T], error) {
	s.fleet.await(ctx)
	began := boottime.Now()
	for {
		way, peer := s.fleet.next(s.selector)
		if way != roster.Peer {
			return s.watch(ctx, since, wait)
		}
		asked := boottime.Now()
		news, err := s.ask(ctx, peer, asked)
		if err == nil {
			return listwatch.Changes[T]{Revision: max(since, s.take(peer.Name, news, asked))}, nil
		}
		if ctx.Err() != nil || s.fleet.givesUp(s.selector, began) {
			return listwatch.Changes[T]{}, err
		}
	}
}

// watch waits at the store, and asks the other watchers beside: its connection alone may
// be silent. It ends with a *SilentError once the store has stopped answering this node.
func (s *shared[T]) watch(ctx context.Context, since int64, wait time.Duration) (listwatch.Changes[T], error) {
	silence := s.fleet.silence()
	if s.fleet.isSilent() {
		return listwatch.Changes[T]{}, &StoreSilentError{}
	}
	s.contact.waits.Store(true)
	defer s.contact.waits.Store(false)
	if age, _ := s.contact.age(boottime.Now()); age > roster.MaxAge {
		s.hurry()
	}
	var duty sync.WaitGroup
	defer duty.Wait()
	beside, end := context.WithCancel(ctx)
	defer end()
	duty.Go(func() { s.askBeside(beside) })
	var changes listwatch.Changes[T]
	answered := make(chan error, 1)
	// Ends by its own bound, also after nobody waits for it any more.
	go func() {
		var err error
		changes, err = s.store.Watch(ctx, since, s.fleet.watchWait(wait))
		answered <- err
	}()
	select {
	case err := <-answered:
		if err == nil {
			s.contact.storeAnswered()
			s.fleet.served(s.selector)
		}
		return changes, err
	case <-silence:
		return listwatch.Changes[T]{}, &StoreSilentError{}
	}
}

// askBeside asks the other watchers in turn until ctx ends.
func (s *shared[T]) askBeside(ctx context.Context) {
	for ctx.Err() == nil {
		peer, known := s.fleet.beside(s.selector)
		if !known {
			return
		}
		asked := boottime.Now()
		news, err := s.question(ctx, peer, asked)
		switch {
		case err == nil:
			s.fleet.reached(peer.Name)
			s.take(peer.Name, news, asked)
		case ctx.Err() == nil:
			s.fleet.failed(peer.Name)
		}
		// A peer that is lost itself answers at once.
		every.Sleep(ctx, roster.PeerPollWait-boottime.Now().Sub(asked))
	}
}

// question, asked at a moment, waits at a peer for its news. The error is a *relay.CallError.
func (s *shared[T]) question(ctx context.Context, peer roster.Member, asked time.Time) (relay.Update, error) {
	have := s.have(peer.Name)
	have.WaitMs = roster.PeerPollWait.Milliseconds()
	have.Members = s.fleet.have()
	news, err := relay.Fetch(ctx, peer.PeerAddress, have)
	if err != nil {
		if ctx.Err() == nil {
			s.passedOver("peer_silent", peer.Name, asked).Err(err).Send()
		}
		return relay.Update{}, err
	}
	if news.Members != nil {
		s.fleet.set(news.Members, news.MembersRevision)
	}
	return news, nil
}

// ask, at a moment, waits at a peer for news of the store. The error is a *relay.CallError or a
// *BehindError.
func (s *shared[T]) ask(ctx context.Context, peer roster.Member, asked time.Time) (relay.Update, error) {
	news, err := s.question(ctx, peer, asked)
	if err != nil {
		s.fleet.unanswered(s.selector, peer.Name, boottime.Now().Sub(asked))
		return relay.Update{}, err
	}
	age := time.Duration(news.AgeMs) * time.Millisecond
	if news.Disconnected || !roster.Fresh(age, news.Hops) {
		s.passedOver("peer_behind", peer.Name, asked).Dur("age_ms", age).Int("hops", news.Hops).Bool("lost", news.Disconnected).Send()
		s.fleet.behind(s.selector, peer.Name)
		return relay.Update{}, &StalePeerError{Peer: peer.Name, Age: age}
	}
	s.fleet.answered(s.selector, peer.Name)
	s.contact.peerAnswered(age, news.Hops+1)
	return news, nil
}

// passedOver begins the line of a question that brought nothing.
func (s *shared[T]) passedOver(event string, peer ids.VM, asked time.Time) *zerolog.Event {
	return s.log.Info().Str("event", event).Str("kind", s.name).Str("peer", string(peer)).Dur("took_ms", boottime.Now().Sub(asked))
}

// sharedConfigs shares the watch of the configuration.
func (n *Node) sharedConfigs() listwatch.Source[routing.Config] {
	return &shared[routing.Config]{
		name:     configuration,
		store:    n.ports.Configs,
		fleet:    n.fleet,
		selector: n.fleet.selector(),
		contact:  &n.configs.contact,
		hurry:    n.probe.hurry,
		took:     n.metrics.ObserveDuration,
		log:      n.log,
		have: func(ids.VM) relay.UpdateRequest {
			return relay.UpdateRequest{ConfigVersion: n.configs.version(), Want: relay.WantConfig}
		},
		take: func(peer ids.VM, news relay.Update, asked time.Time) int64 {
			if news.Config != nil {
				n.configs.offer(news.Config, fromPeer(peer, &news, asked))
			}
			return news.ConfigRevision
		},
	}
}

// sharedUpstreams shares the watch of the directory.
func (n *Node) sharedUpstreams() listwatch.Source[directory.Upstream] {
	return &shared[directory.Upstream]{
		name:     directoryOfUpstreams,
		store:    n.ports.Upstreams,
		fleet:    n.fleet,
		selector: n.fleet.selector(),
		contact:  &n.upstreams.contact,
		hurry:    n.probe.hurry,
		took:     n.metrics.ObserveDuration,
		log:      n.log,
		have:     n.upstreams.have,
		take: func(peer ids.VM, news relay.Update, asked time.Time) int64 {
			if news.Revision > 0 {
				n.upstreams.merge(peer, news, asked)
			}
			return news.Revision
		},
	}
}
