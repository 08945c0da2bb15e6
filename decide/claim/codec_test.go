package claim

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// invalidValues returns values that a Group with one shard must reject.
func invalidValues() []string {
	one := newValue()
	one.put(newEntry(benchOp(1)))
	whole := string(one.encode(1, epoch))
	cut := whole[:len(whole)-1]
	unsorted := one.clone()
	unsorted.put(newEntry(benchOp(2)))
	slices.Reverse(unsorted.entries)
	return []string{
		"", "{", "\x01", "\x02\x01\x00\x00", "\x01\x01\x00\x01",
		string(one.encode(2, epoch)),
		cut,
		string(unsorted.encode(1, epoch)),
		whole + "x",
		"\x01\x01\x00\x01\x02ab",
	}
}

// anyOp generates a random operation.
func anyOp(t *rapid.T) Op {
	text := rapid.StringMatching(`[a-z-]{0,4}`)
	return Op{Nonce: text.Draw(t, "nonce"), Record: router.ClaimRecord{
		Account:     ids.Account(text.Draw(t, "account")),
		Key:         text.Draw(t, "key"),
		Fingerprint: text.Draw(t, "fingerprint"),
		Request:     ids.Request(text.Draw(t, "request")),
		VM:          ids.VM(text.Draw(t, "vm")),
		Upstream:    ids.Upstream(text.Draw(t, "upstream")),
		Attempt:     ids.Attempt(rapid.IntRange(0, 300).Draw(t, "attempt")),
		Epoch:       text.Draw(t, "epoch"),
		State:       rapid.SampledFrom([]router.ClaimState{router.ClaimHeld, router.ClaimDone}).Draw(t, "state"),
	}}
}

func TestEncodedValueIsDecodedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newValue()
		want := make(map[digest]router.ClaimRecord)
		for _, op := range rapid.SliceOf(rapid.Custom(anyOp)).Draw(t, "ops") {
			e := newEntry(op)
			e.retention = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "keep")) * time.Second
			e.since = epoch
			e.extra = rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "extra")
			if rapid.Bool().Draw(t, "drop") {
				v.drop(e.key)
				delete(want, e.key)
				continue
			}
			before := v.sizeWith(e)
			v.put(e)
			if v.size > before {
				t.Fatalf("size %d, predicted %d", v.size, before)
			}
			want[e.key] = op.Record
		}
		data := v.encode(7, epoch)
		if len(data) > v.size {
			t.Fatalf("%d bytes, bound %d", len(data), v.size)
		}
		back, err := decode(data, 7, epoch, nil)
		if err != nil {
			t.Fatal(err)
		}
		if back.size != v.size || string(back.encode(7, epoch)) != string(data) {
			t.Fatal("the decoded value differs")
		}
		got := make(map[digest]router.ClaimRecord)
		for _, e := range back.entries {
			got[e.key] = e.record(want[e.key])
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestTruncatedValueIsRefused(t *testing.T) {
	v := newValue()
	for i := range 3 {
		v.put(newEntry(benchOp(i)))
	}
	data := v.encode(1, epoch)
	for n := range data {
		if _, err := decode(data[:n], 1, epoch, nil); err == nil {
			t.Fatalf("a value cut to %d of %d bytes was decoded", n, len(data))
		}
	}
}

// decode must not panic on any bytes, and the size of a value that it accepts must be an
// upper bound of the encoded size.
func TestDecodeBoundsTheSizeOfAnyValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte{formatVersion, 1}, rapid.SliceOf(rapid.Byte()).Draw(t, "data")...)
		v, err := decode(data, 1, epoch, nil)
		if err == nil && len(v.encode(1, epoch)) > v.size {
			t.Fatal("the encoded value exceeds its size bound")
		}
	})
}

func TestInspect(t *testing.T) {
	v := newValue()
	op := benchOp(1)
	op.Record.State = router.ClaimDone
	v.put(newEntry(op))
	records, err := Inspect(v.encode(4, epoch), 4)
	if err != nil {
		t.Fatal(err)
	}
	want := op.Record
	want.Account, want.Key = "", ""
	want.Fingerprint = digestOf(op.Record.Fingerprint).String()
	if diff := cmp.Diff([]router.ClaimRecord{want}, records); diff != "" {
		t.Error(diff)
	}
	var refused *ValueError
	if _, err := Inspect([]byte("{"), 4); !errors.As(err, &refused) {
		t.Errorf("got %v, want a *ValueError", err)
	}
}
