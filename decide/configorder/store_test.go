package configorder

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// hash returns a made-up hash of the n-th bearer key.
func hash(n int) string { return fmt.Sprintf("%064x", n) }

// shard returns an account shard object. The rate of its accounts equals the
// object's version.
func shard(name string, version int64, accounts ...int) platformapi.Object {
	var b strings.Builder
	fmt.Fprintf(&b, "kind: accounts\nname: %s\naccounts:\n", name)
	for _, n := range accounts {
		fmt.Fprintf(&b, "  - {id: a%d, key_sha256: '%s', rate: %d}\n", n, hash(n), version)
	}
	if len(accounts) == 0 {
		b.WriteString("  []\n")
	}
	return platformapi.Object{Key: fleet.AccountPrefix + name, Version: version, Value: []byte(b.String())}
}

// profile returns a profile object whose deadline in ms equals its version.
func profile(name string, version int64) platformapi.Object {
	value := fmt.Sprintf("kind: profile\nname: %s\ndeadline: %dms\n", name, version)
	return platformapi.Object{Key: fleet.ProfilePrefix + name, Version: version, Value: []byte(value)}
}

// invalidObject returns the object with a document that belongs to another key.
func invalidObject(object platformapi.Object) platformapi.Object {
	object.Value = []byte("kind: profile\nname: elsewhere\n")
	return object
}

// mustApply applies an object and fails unless Apply reports want as changed.
func mustApply(t *testing.T, s *Store, object platformapi.Object, want bool) {
	t.Helper()
	changed, err := s.Apply(object)
	if err != nil || changed != want {
		t.Fatalf("%s at %d: changed %v, %v", object.Key, object.Version, changed, err)
	}
}

// An invalid or older object must not replace the active one, and peers must
// receive the active object as well as the invalid one.
func TestLastValidObjectStaysActive(t *testing.T) {
	s := New(Settings{})
	mustApply(t, s, profile("p", 3), true)
	before := s.Config()
	var invalid *InvalidObjectError
	if _, err := s.Apply(invalidObject(profile("p", 7))); !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an *InvalidObjectError", err)
	}
	mustApply(t, s, invalidObject(profile("p", 7)), false)
	if s.Config() != before {
		t.Error("an invalid object changed the configuration")
	}
	var stale *StaleVersionError
	if _, err := s.Apply(profile("p", 2)); !errors.As(err, &stale) {
		t.Errorf("got %v, want a *StaleVersionError", err)
	}
	mustApply(t, s, profile("p", 5), true)
	if got := s.Config().Profiles["p"].Deadline.D().Milliseconds(); got != 5 {
		t.Errorf("got %d, want 5", got)
	}
	if diff := cmp.Diff([]KeyVersion{{"config/profile/p", 7, 5}}, s.Summary()); diff != "" {
		t.Error(diff)
	}
	fresh := New(Settings{})
	for _, object := range s.Newer(nil, 1<<20) {
		_, _ = fresh.Apply(object)
	}
	if fresh.Digest() != s.Digest() {
		t.Error("a new peer did not get the active object")
	}
}

// A configuration that was returned must not change when objects are applied
// later.
func TestConfigSharesWhatDidNotChange(t *testing.T) {
	s := New(Settings{})
	mustApply(t, s, profile("p", 1), true)
	mustApply(t, s, shard("s", 2, 1, 2), true)
	before := s.Config()
	accounts := maps.Clone(before.AccountsByKey)
	mustApply(t, s, shard("s", 3, 2), true)
	after := s.Config()
	if diff := cmp.Diff(accounts, before.AccountsByKey); diff != "" {
		t.Errorf("a returned configuration changed: %s", diff)
	}
	if len(after.AccountsByKey) != 1 || len(after.Profiles) != 1 {
		t.Errorf("got %+v", after)
	}
}

// The limits must hold, and an evicted tombstone must not allow an older object
// to become active.
func TestLimits(t *testing.T) {
	s := New(Settings{MaxObjects: 2, MaxBytes: 200})
	mustApply(t, s, profile("a", 1), true)
	mustApply(t, s, platformapi.Object{Key: fleet.ProfilePrefix + "b", Version: 5, Deleted: true}, true)
	_ = s.Config()
	mustApply(t, s, profile("c", 6), true)
	var stale *StaleVersionError
	if _, err := s.Apply(profile("b", 4)); !errors.As(err, &stale) {
		t.Errorf("an object older than its evicted tombstone was accepted: %v", err)
	}
	var full *FullError
	if _, err := s.Apply(profile("d", 7)); !errors.As(err, &full) {
		t.Errorf("got %v, want a *FullError", err)
	}
	if _, err := s.Apply(shard("a", 8, 1, 2, 3)); !errors.As(err, &full) {
		t.Errorf("got %v, want a *FullError", err)
	}
}

// Missing must name the keys that a peer has in newer versions, and Objects must
// return those objects within the size limit.
func TestMissingAndObjects(t *testing.T) {
	ours, theirs := New(Settings{}), New(Settings{})
	mustApply(t, ours, profile("a", 1), true)
	mustApply(t, theirs, profile("a", 4), true)
	mustApply(t, theirs, profile("b", 2), true)
	missing := ours.Missing(theirs.Summary())
	if diff := cmp.Diff([]string{"config/profile/a", "config/profile/b"}, missing); diff != "" {
		t.Error(diff)
	}
	got := theirs.Objects(append(missing, "config/profile/none"), 1<<20)
	if diff := cmp.Diff([]platformapi.Object{profile("a", 4), profile("b", 2)}, got); diff != "" {
		t.Error(diff)
	}
	if got := theirs.Objects(missing, 1); len(got) != 1 {
		t.Errorf("got %d objects, want one", len(got))
	}
}

// BenchmarkOneShardChange measures Apply and Config after a change to one of 43
// shards of 1,000 accounts.
func BenchmarkOneShardChange(b *testing.B) {
	const shards, perShard = 43, 1000
	s := New(Settings{})
	accounts := func(i int) []int {
		numbers := make([]int, perShard)
		for j := range numbers {
			numbers[j] = i*perShard + j
		}
		return numbers
	}
	for i := range shards {
		_, _ = s.Apply(shard(fmt.Sprintf("s%02d", i), int64(i+1), accounts(i)...))
	}
	_ = s.Config()
	changed := accounts(7)
	objects := make([]platformapi.Object, b.N)
	for i := range objects {
		objects[i] = shard("s07", int64(100+i), changed...)
	}
	b.ReportAllocs()
	b.ResetTimer()
	var parsed, built float64
	for _, object := range objects {
		if _, err := s.Apply(object); err != nil {
			b.Fatal(err)
		}
		start := b.Elapsed()
		_ = s.Config()
		built += float64(b.Elapsed() - start)
		parsed = float64(b.Elapsed()) - built
	}
	b.ReportMetric(built/float64(b.N), "ns-config/op")
	b.ReportMetric(parsed/float64(b.N), "ns-apply/op")
}
