package platform

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mimosaarch.example/core/platformapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestConditions(t *testing.T) {
	s := newStore()
	one, _ := s.put("k", []byte("1"), 0)
	steps := []struct {
		name string
		do   func() (platformapi.Object, result)
		want result
		at   int64
	}{
		{"create what exists", func() (platformapi.Object, result) { return s.put("k", nil, 0) }, conflict, 1},
		{"wrong version", func() (platformapi.Object, result) { return s.put("k", nil, 9) }, conflict, 1},
		{"absent with a version", func() (platformapi.Object, result) { return s.put("other", nil, 1) }, conflict, 0},
		{"right version", func() (platformapi.Object, result) { return s.put("k", []byte("2"), one.Version) }, succeeded, 2},
		{"no condition", func() (platformapi.Object, result) { return s.put("k", []byte("3"), noCondition) }, succeeded, 3},
		{"delete an old version", func() (platformapi.Object, result) { return s.remove("k", 2) }, conflict, 3},
		{"delete", func() (platformapi.Object, result) { return s.remove("k", 3) }, succeeded, 4},
		{"deleted", func() (platformapi.Object, result) { return s.get("k") }, notFound, 4},
		{"update the deleted", func() (platformapi.Object, result) { return s.put("k", nil, 4) }, conflict, 4},
		{"create anew", func() (platformapi.Object, result) { return s.put("k", nil, 0) }, succeeded, 5},
	}
	for _, step := range steps {
		object, got := step.do()
		if got != step.want || object.Version != step.at {
			t.Errorf("%s: result %d at version %d, want %d at %d", step.name, got, object.Version, step.want, step.at)
		}
	}
}

// TestChangesAgainstModel compares the changes that the store returns with those
// computed from the complete history of writes.
func TestChangesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		var history []platformapi.Object
		for range rapid.IntRange(1, 60).Draw(t, "writes") {
			key := rapid.SampledFrom([]string{"a/1", "a/2", "b/1", "b/2", "a"}).Draw(t, "key")
			var object platformapi.Object
			res := succeeded
			if rapid.Bool().Draw(t, "delete") {
				object, res = s.remove(key, noCondition)
			} else {
				object, _ = s.put(key, []byte{byte(len(history))}, noCondition)
			}
			if res == succeeded {
				history = append(history, object)
			}
		}
		prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/"}).Draw(t, "prefix")
		after := rapid.Int64Range(0, int64(len(history))).Draw(t, "after")
		want := []platformapi.Object{}
		for i, object := range history {
			if object.Version > after && strings.HasPrefix(object.Key, prefix) && isLastOfKey(history, i) {
				want = append(want, object)
			}
		}
		if diff := cmp.Diff(want, s.changes(prefix, after).Objects); diff != "" {
			t.Fatal(diff)
		}
	})
}

// isLastOfKey reports whether no later entry of a history has the key of entry i.
func isLastOfKey(history []platformapi.Object, i int) bool {
	for _, later := range history[i+1:] {
		if later.Key == history[i].Key {
			return false
		}
	}
	return true
}

func TestCompactionKeepsTheNewest(t *testing.T) {
	s := newStore()
	s.put("first", nil, noCondition)
	for i := range 3 * minCompactLen {
		s.put(fmt.Sprint("key/", i%7), nil, noCondition)
	}
	if len(s.log) > 2*minCompactLen {
		t.Errorf("log has %d entries", len(s.log))
	}
	if got := s.changes("", 0).Objects; len(got) != 8 || got[0].Key != "first" {
		t.Errorf("%d changes, want 8", len(got))
	}
}

func TestListIsByKeyWithoutDeleted(t *testing.T) {
	s := newStore()
	for _, key := range []string{"p/c", "p/a", "q/a", "p/b", "o"} {
		s.put(key, nil, noCondition)
	}
	s.remove("p/b", noCondition)
	var keys []string
	for _, object := range s.list("p/").Objects {
		keys = append(keys, object.Key)
	}
	if diff := cmp.Diff([]string{"p/a", "p/c"}, keys); diff != "" {
		t.Error(diff)
	}
}

func TestVMsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &vmList{}
		l.set(VMsControl{VMs: []platformapi.VM{{ID: "late"}}, LagMs: 1000})
		if got := l.get(); got.Revision != 0 {
			t.Errorf("list %+v before its lag", got)
		}
		time.Sleep(1100 * time.Millisecond)
		if got := l.get(); got.Revision != 1 || got.VMs[0].ID != "late" {
			t.Errorf("list %+v after its lag", got)
		}
		l.set(VMsControl{VMs: []platformapi.VM{{ID: "older"}}, LagMs: 1000})
		l.set(VMsControl{VMs: []platformapi.VM{{ID: "newer"}}})
		time.Sleep(1100 * time.Millisecond)
		if got := l.get(); got.Revision != 2 || got.VMs[0].ID != "newer" {
			t.Errorf("list %+v, want the later replacement to stand", got)
		}
	})
}
