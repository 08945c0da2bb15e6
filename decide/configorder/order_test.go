package configorder

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/router"
)

// history is the sequence of changes in the platform's store.
type history struct {
	revision int64
	objects  []platformapi.Object
	current  map[string]platformapi.Object
}

// write makes one random change: a new version, a deletion or an invalid object.
func (h *history) write(t *rapid.T) {
	h.revision += int64(rapid.IntRange(1, 3).Draw(t, "gap"))
	var object platformapi.Object
	switch name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"); rapid.IntRange(0, 1).Draw(t, "kind") {
	case 0:
		object = profile(name, h.revision)
	default:
		object = shard(name, h.revision, rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID).Draw(t, "accounts")...)
	}
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0:
		object.Value, object.Deleted = nil, true
		delete(h.current, object.Key)
	case 1:
		object = invalidObject(object)
		h.current[object.Key] = object
	default:
		h.current[object.Key] = object
	}
	h.objects = append(h.objects, object)
}

// list returns the platform's reply to a list call.
func (h *history) list() platformapi.ListReply {
	reply := platformapi.ListReply{Revision: h.revision}
	for _, object := range h.current {
		reply.Objects = append(reply.Objects, object)
	}
	return reply
}

// node is a Store with the highest version of each key that was active so far.
type node struct {
	*Store
	highest map[string]int64
}

// check fails if an active object was replaced by an older version, or if Config
// differs from a configuration built from the active objects.
func (n *node) check(t *rapid.T) {
	want := emptyConfig()
	keys := n.keys()
	for i := len(keys) - 1; i >= 0; i-- {
		active := n.entries[keys[i]].active
		if active.Version < n.highest[keys[i]] {
			t.Fatalf("%s went back from %d to %d", keys[i], n.highest[keys[i]], active.Version)
		}
		n.highest[keys[i]] = active.Version
		addTo(want, active)
	}
	if diff := cmp.Diff(want, n.Config()); diff != "" {
		t.Fatal(diff)
	}
}

// addTo adds an object's document to a configuration.
func addTo(config *router.Config, object platformapi.Object) {
	if object.Deleted || object.Version == 0 {
		return
	}
	doc, _ := fleet.Parse(object.Value)
	switch doc := doc.(type) {
	case fleet.Profile:
		config.Profiles[doc.Name] = doc
	case fleet.Accounts:
		for _, account := range doc.Accounts {
			config.AccountsByKey[account.KeySHA256] = account
		}
	}
}

// relay sends objects that one node lacks from another, up to maxBytes of values.
func relay(from, to *node, maxBytes int) {
	for _, object := range from.Newer(to.Summary(), maxBytes) {
		_, _ = to.Apply(object)
	}
}

// Objects that arrive in any order, from the platform or from peers, must leave
// every node with the highest version of each key.
func TestAnyOrderEndsAtTheHighestVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{current: make(map[string]platformapi.Object)}
		var nodes []*node
		for range 3 {
			nodes = append(nodes, &node{New(Settings{}), make(map[string]int64)})
		}
		anyNode := rapid.SampledFrom(nodes)
		t.Repeat(map[string]func(*rapid.T){
			"write": h.write,
			"deliver": func(t *rapid.T) {
				if len(h.objects) > 0 {
					_, _ = anyNode.Draw(t, "node").Apply(rapid.SampledFrom(h.objects).Draw(t, "object"))
				}
			},
			"list": func(t *rapid.T) { anyNode.Draw(t, "node").ApplyList(h.list()) },
			"relay": func(t *rapid.T) {
				relay(anyNode.Draw(t, "from"), anyNode.Draw(t, "to"), rapid.IntRange(0, 300).Draw(t, "bytes"))
			},
			"": func(t *rapid.T) {
				for _, n := range nodes {
					n.check(t)
				}
			},
		})
		syncAll(t, h, nodes)
	})
}

// syncAll applies the complete list to every node, relays objects between nodes,
// and checks that all nodes hold the newest object of each key.
func syncAll(t *rapid.T, h *history, nodes []*node) {
	for _, n := range nodes {
		n.ApplyList(h.list())
	}
	const rounds = 50
	for range rounds {
		for i := range nodes {
			relay(nodes[i], nodes[(i+1)%len(nodes)], 100)
		}
	}
	for _, n := range nodes {
		n.check(t)
		if n.Digest() != nodes[0].Digest() {
			t.Fatalf("digests differ: %v and %v", n.Summary(), nodes[0].Summary())
		}
		for key, e := range n.entries {
			current, exists := h.current[key]
			if exists != !e.newest.Deleted || (exists && current.Version != e.newest.Version) {
				t.Fatalf("%s is at %d, want %d", key, e.newest.Version, current.Version)
			}
		}
		if len(n.entries) < len(h.current) {
			t.Fatal("objects are missing")
		}
	}
}
