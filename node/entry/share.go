package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

// Watching the store is shared, as decide/roster says. How late news may be:
// an answer of a peer that waits for news comes at once with them. A peer that
// froze or lost its power costs an asker peerWait and the call's own bound, 1.3 s;
// the next answer is the other's. One that the store has stopped answering without
// its noticing is passed over from the next question on, as its other half tells.
const (
	// peerWait is how long a peer's answer may wait. A peer that froze must be
	// left before a configuration is overdue.
	peerWait = 900 * time.Millisecond
	// maxAge is how old the view of a node that watches the store may be. Its
	// watch brings an answer at least each 3 s.
	maxAge = 3600 * time.Millisecond
	// hopAge is what each node between may add: its wait for an answer.
	hopAge = time.Second
	// maxHops is the most nodes between the store and one that may be asked: those
	// that watch the store and the heads of zones. Nodes whose lists of the fleet
	// differ could else wait for each other in a ring.
	maxHops = 1
	// askFor is how long one follower tries peers that do not answer before the
	// store counts as lost: time for those of other zones behind a cut, at 150 ms
	// each, until a node of the own zone is found.
	askFor = 1500 * time.Millisecond
	// maxBehind is how many peers in a row may be without news of the store.
	maxBehind = 2
)

// BehindError tells that no peer has news of the store. Age is that of the last news
// of the one asked last.
type BehindError struct {
	Peer ids.VM
	Age  time.Duration
}

// Error implements error.
func (e *BehindError) Error() string {
	return "peer " + string(e.Peer) + " had no answer of the store for " + e.Age.String()
}

// shared is a listwatch.Source that waits at a peer where one watches the
// store, and else at the store.
type shared[T any] struct {
	store listwatch.Source[T]
	fleet *fleet
	turn  roster.Turn
	// have tells what the node has, to a peer; take takes over a peer's news, asked
	// for at a moment, and gives the revision up to which they go.
	have func(peer ids.VM) relay.Have
	take func(peer ids.VM, news relay.News, asked time.Time) int64
	// contact is told when the store or a peer answered.
	contact *contact
	took    func(name string, d time.Duration)
	// log takes a line for each question to a peer that brought nothing.
	log zerolog.Logger
}

// List implements listwatch.Source. It always asks the store: after all nodes
// were killed, first lists by a peer took 5.0 s instead of 4.0 s until 300 nodes
// with 3,000 upstreams served again, as VMs have thinner links than the store.
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
	for behind := 0; ; {
		way, peer := s.fleet.next(&s.turn)
		if way != roster.Peer {
			return s.watch(ctx, since, wait)
		}
		asked := boottime.Now()
		news, err := s.ask(ctx, peer)
		if err == nil {
			return listwatch.Changes[T]{Revision: max(since, s.take(peer.Name, news, asked))}, nil
		}
		if _, isBehind := err.(*BehindError); isBehind {
			behind++
		} else if boottime.Now().Sub(asked) >= peerWait {
			// It stands still, or its link is too short for what it has to tell: a
			// configuration with a thousand routes to 57 nodes fills one of 20 Mbit/s
			// for seconds, while the store's carries it to all in one.
			return s.watch(ctx, since, wait)
		}
		if behind >= maxBehind || boottime.Now().Sub(began) >= askFor || ctx.Err() != nil {
			return listwatch.Changes[T]{}, err
		}
	}
}

// watch waits at the store.
func (s *shared[T]) watch(ctx context.Context, since int64, wait time.Duration) (listwatch.Changes[T], error) {
	changes, err := s.store.Watch(ctx, since, wait)
	if err == nil {
		s.contact.storeAnswered()
		s.fleet.served()
	}
	return changes, err
}

// ask waits at a peer. The error is a *relay.CallError or a *BehindError.
func (s *shared[T]) ask(ctx context.Context, peer roster.Member) (relay.News, error) {
	have := s.have(peer.Name)
	have.WaitMs = peerWait.Milliseconds()
	have.Members = s.fleet.have()
	asked := boottime.Now()
	news, err := relay.Ask(ctx, peer.Peer, have)
	if err != nil {
		s.passedOver("peer_silent", have.Want, peer.Name, asked).Err(err).Send()
		s.fleet.failed(peer.Name)
		return relay.News{}, err
	}
	if news.Members != nil {
		s.fleet.set(news.Members, news.MembersRevision)
	}
	age := time.Duration(news.AgeMs) * time.Millisecond
	if news.Lost || news.Hops > maxHops || age > maxAge+time.Duration(news.Hops)*hopAge {
		s.passedOver("peer_behind", have.Want, peer.Name, asked).Dur("age_ms", age).Int("hops", news.Hops).Bool("lost", news.Lost).Send()
		s.fleet.behind(peer.Name)
		return relay.News{}, &BehindError{Peer: peer.Name, Age: age}
	}
	s.fleet.answered(peer.Name)
	s.contact.peerAnswered(age, news.Hops+1)
	return news, nil
}

// passedOver begins the line of a question that brought nothing.
func (s *shared[T]) passedOver(event string, want relay.Want, peer ids.VM, asked time.Time) *zerolog.Event {
	return s.log.Info().Str("event", event).Str("kind", string(want)).Str("peer", string(peer)).Dur("took_ms", boottime.Now().Sub(asked))
}

// sharedConfigs shares the watch of the configuration.
func (n *Node) sharedConfigs() listwatch.Source[routing.Config] {
	return &shared[routing.Config]{
		store:   n.ports.Configs,
		fleet:   n.fleet,
		contact: &n.configs.contact,
		took:    n.metrics.Took,
		log:     n.log,
		have: func(ids.VM) relay.Have {
			return relay.Have{ConfigVersion: n.configs.version(), Want: relay.WantConfig}
		},
		take: func(peer ids.VM, news relay.News, asked time.Time) int64 {
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
		store:   n.ports.Upstreams,
		fleet:   n.fleet,
		contact: &n.upstreams.contact,
		took:    n.metrics.Took,
		log:     n.log,
		have:    n.upstreams.have,
		take: func(peer ids.VM, news relay.News, asked time.Time) int64 {
			if news.Revision > 0 {
				n.upstreams.merge(peer, news, asked)
			}
			return news.Revision
		},
	}
}
