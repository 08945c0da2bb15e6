package entry

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/quarantine"
	"mimosaarch.example/decide/roster"
	"mimosaarch.example/decide/routing"
)

// teller is a peer with fixed news.
type teller struct {
	news  relay.Update
	asked chan relay.UpdateRequest
}

func (p *teller) UpdateSince(_ context.Context, have relay.UpdateRequest) relay.Update {
	p.asked <- have
	return p.news
}

func (*teller) ApplyVerdict(quarantine.Verdict) {}

// serveNews answers peers at an address, which it gives.
func serveNews(t *testing.T, news relay.Update) (*teller, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &teller{news: news, asked: make(chan relay.UpdateRequest, 100)}
	go func() { _ = relay.Serve(t.Context(), l, p) }()
	return p, l.Addr().String()
}

// awayStore is a store that refuses, and counts its calls.
type awayStore struct{ watches int }

var errAway = errors.New("away")

func (*awayStore) List(context.Context, bool) (listwatch.List[routing.Config], error) {
	return listwatch.List[routing.Config]{}, errAway
}

func (s *awayStore) Watch(context.Context, int64, time.Duration) (listwatch.Changes[routing.Config], error) {
	s.watches++
	return listwatch.Changes[routing.Config]{}, errAway
}

// follower makes the source of a node that is fourth of its zone, behind peers at three
// addresses, of which the last two are the same.
func follower(first, second string) (*shared[routing.Config], *awayStore) {
	members := zone("a", 4)
	members[0].PeerAddress, members[1].PeerAddress, members[2].PeerAddress = first, second, second
	f := newFleet(Settings{VM: members[3].Name, Zone: "a"}, boottime.Now, func(int) {})
	f.set(members, 1)
	store := &awayStore{}
	return &shared[routing.Config]{
		store: store, fleet: f, selector: f.selector(), contact: &contact{}, hurry: func() {},
		took: func(string, time.Duration) {},
		have: func(ids.VM) relay.UpdateRequest { return relay.UpdateRequest{Want: relay.WantConfig} },
		take: func(_ ids.VM, news relay.Update, _ time.Time) int64 { return news.ConfigRevision },
	}, store
}

// What one peer does not know, as the store has stopped answering it, the other
// tells.
func TestOtherPeerTellsWhatOneDoesNotKnow(t *testing.T) {
	_, behind := serveNews(t, relay.Update{ConfigRevision: 5, AgeMs: 60_000})
	_, good := serveNews(t, relay.Update{ConfigRevision: 7, AgeMs: 100})
	s, store := follower(behind, good)
	for range 4 {
		changes, err := s.Watch(t.Context(), 5, time.Second)
		if err != nil || changes.Revision != 7 {
			t.Fatalf("%+v, %v", changes, err)
		}
	}
	if store.watches != 0 {
		t.Errorf("the store was called %d times", store.watches)
	}
	if age, hops := s.contact.age(boottime.Now()); age > time.Second || hops != 1 {
		t.Errorf("the store's answer is %v old over %d hops", age, hops)
	}
}

// A peer that the store turned away says so at once, however fresh its view is.
func TestPeerThatLostTheStoreIsPassedOver(t *testing.T) {
	_, lost := serveNews(t, relay.Update{ConfigRevision: 5, AgeMs: 10, Disconnected: true})
	_, good := serveNews(t, relay.Update{ConfigRevision: 7, AgeMs: 100})
	s, _ := follower(lost, good)
	for range 4 {
		changes, err := s.Watch(t.Context(), 5, time.Second)
		if err != nil || changes.Revision != 7 {
			t.Fatalf("%+v, %v", changes, err)
		}
	}
}

// Those that wait at a node learn at once that it lost the store.
func TestLostStoreIsToldToThoseThatWait(t *testing.T) {
	settings := Settings{VM: "a-00", Zone: "a"}
	news := newNotice()
	n := &Node{news: news, configs: &configs{news: news}, fleet: newFleet(settings, boottime.Now, func(int) {})}
	got := make(chan relay.Update)
	go func() { got <- n.UpdateSince(t.Context(), relay.UpdateRequest{Want: relay.WantConfig, WaitMs: 60_000}) }()
	n.configs.Failed(errAway)
	if told := <-got; !told.Disconnected {
		t.Errorf("told %+v", told)
	}
}

func TestStoreThatNoPeerReachesIsLostWithoutACall(t *testing.T) {
	_, one := serveNews(t, relay.Update{AgeMs: 60_000})
	// News that come over too many nodes may have gone in a ring.
	_, other := serveNews(t, relay.Update{AgeMs: 100, Hops: roster.MaxHops + 1})
	s, store := follower(one, other)
	_, err := s.Watch(t.Context(), 5, time.Second)
	var behind *StalePeerError
	if !errors.As(err, &behind) {
		t.Errorf("error %v", err)
	}
	if store.watches != 0 {
		t.Errorf("the store was called %d times, while those that watch it ask already", store.watches)
	}
}

func TestSilentPeersLeaveTheStore(t *testing.T) {
	s, store := follower("127.0.0.1:1", "127.0.0.1:1")
	if _, err := s.Watch(t.Context(), 5, time.Second); !errors.Is(err, errAway) || store.watches != 1 {
		t.Errorf("error %v after %d calls", err, store.watches)
	}
}

// A peer that takes the call and does not answer in time may be sending more than its
// link carries; the store is asked at once then.
func TestPeerThatAnswersTooLateLeavesTheStore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	s, store := follower(l.Addr().String(), l.Addr().String())
	if _, err := s.Watch(t.Context(), 5, time.Second); !errors.Is(err, errAway) || store.watches != 1 {
		t.Errorf("error %v after %d calls", err, store.watches)
	}
}

// A list of nodes that was read too early comes right by what peers tell.
func TestListOfNodesComesFromPeers(t *testing.T) {
	all := append(zone("a", 4), zone("b", 2)...)
	peer, address := serveNews(t, relay.Update{ConfigRevision: 7, Members: all, MembersRevision: 9})
	s, _ := follower(address, address)
	if _, err := s.Watch(t.Context(), 5, time.Second); err != nil {
		t.Fatal(err)
	}
	if got := s.fleet.have(); got.Revision != 9 || len(s.fleet.others()) != len(all)-1 {
		t.Errorf("edition %+v with %d others", got, len(s.fleet.others()))
	}
	if have := <-peer.asked; have.Members.Revision != 1 || have.Members.Digest == 0 {
		t.Errorf("asked with %+v", have.Members)
	}
}

func TestListOfNodesOnlyGoesForward(t *testing.T) {
	told := 0
	f := newFleet(Settings{VM: "a-00", Zone: "a"}, boottime.Now, func(nodes int) { told = nodes })
	f.set(zone("a", 4), 9)
	f.set(zone("a", 2), 8)
	if told != 4 {
		t.Errorf("%d nodes after an older list", told)
	}
	var news relay.Update
	f.tell(&news, relay.MemberListVersion{Revision: 3, Digest: f.have().Digest})
	if news.Members != nil {
		t.Error("a list is told to one that has it")
	}
	f.tell(&news, relay.MemberListVersion{Revision: 10, Digest: 1})
	if news.Members != nil {
		t.Error("an older list is told")
	}
	f.tell(&news, relay.MemberListVersion{Revision: 3, Digest: 1})
	if len(news.Members) != 4 || news.MembersRevision != 9 {
		t.Errorf("told %+v", news)
	}
}

func TestNodeWaitsForTheListOfNodes(t *testing.T) {
	f := newFleet(Settings{VM: "a-03", Zone: "a"}, boottime.Now, func(int) {})
	f.set(zone("a", 1), 1)
	if f.isSettled() || f.head() || f.watches() {
		t.Error("a node acts by a list that it is not in")
	}
	f.set(zone("a", 4), 2)
	f.await(t.Context())
	if way, _ := f.next(f.selector()); way != roster.Peer {
		t.Errorf("way %v", way)
	}
}

// mute is a store that answers nothing, and counts its calls.
type mute struct {
	awayStore
	called chan struct{}
}

func (s *mute) Watch(ctx context.Context, _ int64, _ time.Duration) (listwatch.Changes[routing.Config], error) {
	s.called <- struct{}{}
	<-ctx.Done()
	return listwatch.Changes[routing.Config]{}, ctx.Err()
}

// watcher makes the source of a node that watches a store, beside others at one address.
func watcher(store listwatch.Source[routing.Config], others string) *shared[routing.Config] {
	s, _ := follower(others, others)
	members := zone("a", 4)
	for i := range members {
		members[i].PeerAddress = others
	}
	s.store, s.fleet = store, newFleet(Settings{VM: members[0].Name, Zone: "a"}, boottime.Now, func(int) {})
	s.fleet.set(members, 1)
	s.selector = s.fleet.selector()
	return s
}

// A watch that waits ends as soon as the store is found not to answer, and none begins
// before it answers again.
func TestWatchEndsWhenTheStoreFallsSilent(t *testing.T) {
	_, others := serveNews(t, relay.Update{})
	store := &mute{called: make(chan struct{}, 10)}
	s := watcher(store, others)
	ended := make(chan error, 1)
	go func() {
		_, err := s.watch(t.Context(), 5, time.Minute)
		ended <- err
	}()
	<-store.called
	s.fleet.setSilent(true)
	var silent *StoreSilentError
	if err := <-ended; !errors.As(err, &silent) {
		t.Errorf("error %v", err)
	}
	if _, err := s.watch(t.Context(), 5, time.Minute); !errors.As(err, &silent) || len(store.called) != 0 {
		t.Errorf("error %v after %d more calls", err, len(store.called))
	}
	s.fleet.setSilent(false)
	go func() { _, _ = s.watch(t.Context(), 5, time.Minute) }()
	<-store.called
}

// The connection of a watch alone may be silent: what another watcher knows is taken over
// beside it.
func TestWatcherTakesOverWhatAnotherKnows(t *testing.T) {
	_, others := serveNews(t, relay.Update{ConfigRevision: 7, AgeMs: 5})
	s := watcher(&mute{called: make(chan struct{}, 1)}, others)
	took := make(chan int64, 100)
	s.take = func(_ ids.VM, news relay.Update, _ time.Time) int64 {
		took <- news.ConfigRevision
		return news.ConfigRevision
	}
	ctx, end := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = s.watch(ctx, 5, time.Minute)
	}()
	if revision := <-took; revision != 7 {
		t.Errorf("revision %d", revision)
	}
	// Answers that come at once are not asked for at once again.
	time.Sleep(2 * roster.PeerPollWait)
	if n := len(took); n > 3 {
		t.Errorf("%d more questions in %v", n, 2*roster.PeerPollWait)
	}
	end()
	<-ended
}

// A node whose peers take no connection asks the store, and goes on there.
func TestNodeThatReachesNoPeerAsksTheStore(t *testing.T) {
	s, store := follower("127.0.0.1:1", "127.0.0.1:1")
	began := time.Now()
	if _, err := s.Watch(t.Context(), 5, time.Second); !errors.Is(err, errAway) || store.watches != 1 {
		t.Errorf("error %v after %d calls", err, store.watches)
	}
	if took := time.Since(began); took > roster.PeerPollWait+roster.PeerReadTimeout {
		t.Errorf("after %v", took)
	}
}

// A watch that begins is vouched for at once: until then its node has no news to give, and
// others would turn to the store themselves.
func TestWatchThatBeginsIsProbedAtOnce(t *testing.T) {
	_, others := serveNews(t, relay.Update{})
	s := watcher(&mute{called: make(chan struct{}, 1)}, others)
	store := &probed{ends: make(chan error)}
	p := newProbe(store, s.fleet, zerolog.Nop(), s.contact)
	s.hurry = p.hurry
	go p.run(t.Context())
	began := time.Now()
	go func() { _, _ = s.watch(t.Context(), 5, time.Minute) }()
	store.ends <- nil
	if took := time.Since(began); took > roster.ProbeInterval/2 {
		t.Errorf("probed after %v", took)
	}
}

// probed is a store whose probes end when told, with an error or none.
type probed struct{ ends chan error }

func (s *probed) Probe(context.Context) error { return <-s.ends }

// A store that does not answer a probe in time has fallen silent; its next answer, of
// whatever kind, ends that and vouches for the watches that wait there.
func TestProbeFindsAStoreThatDoesNotAnswer(t *testing.T) {
	f := newFleet(Settings{VM: "a-00", Zone: "a"}, boottime.Now, func(int) {})
	waiting, idle := &contact{}, &contact{}
	waiting.waits.Store(true)
	store := &probed{ends: make(chan error)}
	p := newProbe(store, f, zerolog.Nop(), waiting, idle)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.send(t.Context())
	}()
	select {
	case <-f.silence():
	case <-time.After(2 * time.Second):
		t.Fatal("never silent")
	}
	store.ends <- errAway
	<-ended
	if !f.isSilent() || !p.due() {
		t.Error("a probe without an answer ends the silence, or the last of the probes")
	}
	go func() { store.ends <- nil }()
	p.send(t.Context())
	if f.isSilent() {
		t.Error("an answer does not end the silence")
	}
	if age, _ := waiting.age(boottime.Now()); age > time.Second {
		t.Errorf("a watch that waits is %v old", age)
	}
	if age, _ := idle.age(boottime.Now()); age != never {
		t.Errorf("a collection that nobody watches is %v old", age)
	}
	waiting.waits.Store(false)
	if p.due() {
		t.Error("probes are sent though nothing waits at the store")
	}
}
