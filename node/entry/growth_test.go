package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/listwatch"
	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/directory"
)

// fleetOf gives n upstreams, each with a revision of its own.
func fleetOf(n int) []directory.Upstream {
	var out []directory.Upstream
	for i := range n {
		out = append(out, directory.Upstream{ID: ids.Instance{Upstream: ids.Upstream(fmt.Sprintf("u-%04d", i))}, Service: "s", Address: fmt.Sprint("at ", i), Revision: int64(i + 1)})
	}
	return out
}

// knowing makes the directory of a process that listed the upstreams.
func knowing(holder string, list []directory.Upstream) *upstreams {
	u := newUpstreams(holder, zerolog.Nop(), newNotice())
	u.gone = func(*directory.Upstream) {}
	u.reached = func() {}
	if list != nil {
		u.Listed(listwatch.List[directory.Upstream]{Items: list, Revision: int64(len(list))})
	}
	return u
}

// take has one directory take over another's news, which it gives.
func take(to, from *upstreams) relay.Update {
	var news relay.Update
	peer := ids.VM(from.holder)
	from.tell(&news, to.have(peer))
	if news.Revision > 0 {
		to.merge(peer, news, boottime.Now())
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
	if to.view.Load().Get(life("u-0007")) != nil || len(to.view.Load().All()) != 2999 {
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
	from.Recovered()
	from.Listed(listwatch.List[directory.Upstream]{Items: fleetOf(2), Revision: 9})
	take(to, from)
	if to.view.Load().Get(life("u-0002")) == nil {
		t.Fatal("a missing upstream is not believed for a while")
	}
	from.change(origin{from: "expired"}, func(d *directory.Directory, now time.Time) []directory.Change {
		return d.Expire(now.Add(2 * directory.RemovalGrace))
	})
	take(to, from)
	if to.view.Load().Get(life("u-0002")) != nil {
		t.Error("the end of the grace, which has no revision of the store's, was not told")
	}
}

func TestUpstreamsCutOffWithTheNodeStandForAWhile(t *testing.T) {
	to := knowing("q", fleetOf(3))
	reached := 0
	to.reached = func() { reached++ }
	to.Failed(context.DeadlineExceeded)
	// The cut ends: a peer is heard before the store, which has let the
	// entries behind the cut lapse.
	from := knowing("p", fleetOf(3))
	from.Changed(removal("u-0000", 8))
	from.Changed(removal("u-0001", 9))
	take(to, from)
	if left := len(to.view.Load().All()); left != 3 {
		t.Errorf("%d of 3 upstreams are left as the first peer is heard", left)
	}
	back := directory.Upstream{ID: ids.Instance{Upstream: "u-0001"}, Service: "s", Address: "at 1", Revision: 10}
	from.Changed(listwatch.Changes[directory.Upstream]{Events: []listwatch.Event[directory.Upstream]{{Put: &back}}, Revision: 10})
	take(to, from)
	to.change(origin{from: "expired"}, func(d *directory.Directory, now time.Time) []directory.Change {
		return d.Expire(now.Add(2 * directory.RemovalGrace))
	})
	if view := to.view.Load(); view.Get(life("u-0001")) == nil || view.Get(life("u-0000")) != nil {
		t.Error("after the grace the one that came back is there, and only the other is not")
	}
	to.Recovered()
	if reached != 1 {
		t.Errorf("the end of the cut was told %d times", reached)
	}
	if to.graced {
		t.Error("the next loss has no grace")
	}
}

// A node sent callers' requests to an upstream 3.5 s after its entry had been removed. The
// nodes that watched the store for it were cut off from it, and it read the removal 2 s
// later from the store; but having lost touch for a while, it took the missing entry for an
// effect of an outage of the store, which lets entries lapse, and believed it for another
// 1.5 s. By the lines of the removal it ended as `expired`, 1.5 s after the store was back.
// Entries lapse after several heartbeats only, so a shorter loss of touch takes none.
func TestRemovalReadAfterAShortLossIsBelieved(t *testing.T) {
	for _, one := range []struct {
		lost    time.Duration
		believe bool
	}{{time.Second, true}, {1900 * time.Millisecond, true}, {4 * time.Second, false}} {
		to := knowing("q", fleetOf(3))
		to.heard.Store(&sighting{at: boottime.Now().Add(-one.lost)})
		to.Failed(context.DeadlineExceeded)
		to.storeAnswered()
		to.Recovered()
		to.Changed(removal("u-0001", 9))
		if gone := to.view.Load().Get(life("u-0001")) == nil; gone != one.believe {
			t.Errorf("lost for %v: gone %t, want %t", one.lost, gone, one.believe)
		}
	}
}

// life is the one life of an upstream whose start is not told.
func life(name ids.Upstream) ids.Instance { return ids.Instance{Upstream: name} }

// A late word can be followed from the store to the node by the lines of those that it
// went through.
func TestChangeTellsWhoseNewsItIs(t *testing.T) {
	var log bytes.Buffer
	to := newUpstreams("to", zerolog.New(&log), newNotice())
	news := relay.Update{Revision: 7, Upstreams: []directory.Upstream{{ID: ids.Instance{Upstream: "e"}, Revision: 7}}, Present: []ids.Upstream{"e"}, AgeMs: 1500, Hops: 1}
	to.merge("vm-2", news, boottime.Now().Add(-time.Second))
	var line struct {
		Event, From, Peer string
		Age               float64 `json:"age_ms"`
		Took              float64 `json:"took_ms"`
		Hops              int
	}
	if err := json.Unmarshal(log.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Event != "upstream_seen" || line.From != "peer" || line.Peer != "vm-2" || line.Age != 1500 || line.Hops != 1 || line.Took < 1000 {
		t.Errorf("%+v", line)
	}
}
