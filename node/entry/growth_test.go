package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/node/telemetry"
)

// fleetOf gives n upstreams, each with a revision of its own.
func fleetOf(n int) []directory.Upstream {
	var out []directory.Upstream
	for i := range n {
		out = append(out, directory.Upstream{ID: ids.Upstream(fmt.Sprintf("u-%04d", i)), Service: "s", Revision: int64(i + 1)})
	}
	return out
}

// knowing makes the directory of a process that listed the upstreams.
func knowing(holder string, list []directory.Upstream) *upstreams {
	u := newUpstreams(holder, zerolog.Nop(), newNotice())
	u.gone = func(*directory.Upstream) {}
	if list != nil {
		u.Listed(listwatch.List[directory.Upstream]{Items: list, Revision: int64(len(list))})
	}
	return u
}

// take has one directory take over another's news, which it gives.
func take(to, from *upstreams) relay.News {
	var news relay.News
	from.tell(&news, to.have())
	if news.Revision > 0 {
		to.merge(news)
	}
	return news
}

// removal is the event that an upstream was removed.
func removal(name string, revision int64) listwatch.Changes[directory.Upstream] {
	return listwatch.Changes[directory.Upstream]{
		Events:   []listwatch.Event[directory.Upstream]{{Removed: listwatch.Removal{Name: name, Revision: revision}}},
		Revision: revision,
	}
}

func TestNewsNameOnlyWhatChanged(t *testing.T) {
	from, to := knowing("p", fleetOf(3000)), knowing("q", nil)
	if first := take(to, from); len(first.Upstreams) != 3000 || first.Delta {
		t.Fatalf("first news name %d upstreams", len(first.Upstreams))
	}
	from.Changed(removal("u-0007", 3001))
	news := take(to, from)
	if len(news.Present) != 0 || len(news.Upstreams) != 0 || len(news.Gone) != 1 {
		t.Errorf("news of one removal name %d present, %d changed, %d gone", len(news.Present), len(news.Upstreams), len(news.Gone))
	}
	if to.view.Load().Get("u-0007") != nil || len(to.view.Load().All()) != 2999 {
		t.Error("the removal did not take effect")
	}
	if again := take(to, from); again.Revision != 0 {
		t.Errorf("news without a change: %+v", again)
	}
}

func TestRestartedPeerTellsEverything(t *testing.T) {
	from, to := knowing("p", fleetOf(3)), knowing("q", nil)
	take(to, from)
	from = knowing("p2", fleetOf(5)[1:])
	from.Changed(removal("u-0001", 9))
	if news := take(to, from); news.Delta {
		t.Error("a process that started again tells changes only")
	}
	if diff := cmp.Diff(from.view.Load().All(), to.view.Load().All()); diff != "" {
		t.Error(diff)
	}
}

func TestRemovalAfterTheGraceIsTold(t *testing.T) {
	from, to := knowing("p", fleetOf(3)), knowing("q", nil)
	from.Returned()
	from.Listed(listwatch.List[directory.Upstream]{Items: fleetOf(2), Revision: 9})
	take(to, from)
	if to.view.Load().Get("u-0002") == nil {
		t.Fatal("a missing upstream is not believed for a while")
	}
	from.change("expired", func(d *directory.Directory, now time.Time) []directory.Change {
		return d.Expire(now.Add(2 * directory.ReturnGrace))
	})
	take(to, from)
	if to.view.Load().Get("u-0002") != nil {
		t.Error("the end of the grace, which has no revision of the store's, was not told")
	}
}

// countedStore is a store that counts its lists.
type countedStore struct {
	lists atomic.Int64
	items []directory.Upstream
}

func (s *countedStore) List(context.Context) (listwatch.List[directory.Upstream], error) {
	s.lists.Add(1)
	return listwatch.List[directory.Upstream]{Items: s.items, Revision: int64(len(s.items))}, nil
}

func (s *countedStore) Watch(context.Context, int64, time.Duration) (listwatch.Changes[directory.Upstream], error) {
	return listwatch.Changes[directory.Upstream]{}, errors.ErrUnsupported
}

// follower makes the third node of a zone, whose first two answer at an address.
func follower(t *testing.T, peer string, store *countedStore) listwatch.Source[directory.Upstream] {
	t.Helper()
	settings := Settings{VM: "z-99", Zone: "z"}
	n := &Node{
		settings: settings, watchers: newWatchers(settings, time.Now), upstreams: knowing("q", nil), metrics: telemetry.New(),
		ports: Ports{Upstreams: store},
	}
	members := append(zone("z", 2), Member{Name: "z-99", Zone: "z"})
	for i := range members {
		members[i].Peer = peer
	}
	n.watchers.set(append(members, zone("y", 297)...))
	n.watchers.tried()
	return n.sharedUpstreams()
}

// watcher is a peer's side.
type watcher struct{ upstreams *upstreams }

func (w watcher) News(_ context.Context, have relay.Have) relay.News {
	var news relay.News
	w.upstreams.tell(&news, have)
	return news
}

func TestFirstListComesFromTheWatchingNodes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() { _ = relay.Serve(t.Context(), l, watcher{knowing("p", fleetOf(30))}) }()
	store := &countedStore{}
	list, err := follower(t, l.Addr().String(), store).List(t.Context())
	if err != nil || len(list.Items) != 30 || list.Revision != 30 {
		t.Errorf("list of %d as of %d, %v", len(list.Items), list.Revision, err)
	}
	if store.lists.Load() != 0 {
		t.Error("the store was listed though a peer knows the upstreams")
	}
}

func TestStoreIsListedWhereNoPeerKnowsMore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() { _ = relay.Serve(t.Context(), l, watcher{knowing("p", nil)}) }()
	store := &countedStore{items: fleetOf(4)}
	list, err := follower(t, l.Addr().String(), store).List(t.Context())
	if err != nil || len(list.Items) != 4 || store.lists.Load() != 1 {
		t.Errorf("list of %d after %d lists of the store, %v", len(list.Items), store.lists.Load(), err)
	}
}
