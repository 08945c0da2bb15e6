package peer

import (
	"errors"
	"testing"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
)

// testDigest returns a valid digest whose figures depend on its sequence
// number.
func testDigest(seq uint64) peerapi.Digest {
	return peerapi.Digest{
		VM: "x", Zone: "z1", Boot: "b", Seq: seq, Address: "127.0.0.1:1",
		InFlight: map[ids.Upstream]int{"e1": int(seq)},
		Loads:    []peerapi.Load{{Report: engineapi.LoadReport{Engine: "e1", Running: int(seq)}}},
	}
}

// dropBases deletes the stored bases of all peers.
func (n *testNode) dropBases() {
	n.bases.mu.Lock()
	defer n.bases.mu.Unlock()
	clear(n.bases.byVM)
}

// A node that has lost the base of a peer, for example because its store was
// full, refuses the delta. The sender must then repeat the digest in full
// within the same round.
func TestForgottenBaseIsSentAgain(t *testing.T) {
	longTimeout := func(o *Options) { o.CallTimeout = time.Minute }
	a := start(t, "a", "z1", longTimeout)
	b := start(t, "b", "z1", func(o *Options) { o.Seeds = []string{a.Addr()}; longTimeout(o) })
	for range 3 {
		a.digestFrom(t, "b")
		b.digestFrom(t, "a")
		a.dropBases()
		b.dropBases()
		for len(a.digests)+len(b.digests) > 0 {
			select {
			case <-a.digests:
			case <-b.digests:
			}
		}
	}
	if d := a.digestFrom(t, "b"); d.InFlight["e1"] != 3 || len(d.Loads) != 1 {
		t.Fatalf("got %+v", d)
	}
	if d := b.digestFrom(t, "a"); d.InFlight["e1"] != 3 || len(d.Loads) != 1 {
		t.Fatalf("got %+v", d)
	}
	if a.count(DigestsUnknownBase)+b.count(DigestsUnknownBase) == 0 {
		t.Fatal("no delta met a missing base")
	}
	if missed := a.count(DigestsMissed) + b.count(DigestsMissed); missed > 0 {
		t.Fatalf("%d digests got no reply", missed)
	}
}

func TestDigestRefersToBaseOfPeer(t *testing.T) {
	first := newLocalDigest(testDigest(1), &localDigest{})
	second := newLocalDigest(testDigest(2), first)
	if d := second.forPeer(0); d.Base != 0 || d.InFlight["e1"] != 2 {
		t.Fatalf("to a peer without a base: %+v", d)
	}
	if d := second.forPeer(1); d.Base != 1 || d.BaseDigest != nil || len(d.InFlight)+len(d.Loads) != 0 {
		t.Fatalf("to a peer with the base: %+v", d)
	}
	if d := second.forPeer(7); d.Base != 1 || d.BaseDigest == nil {
		t.Fatalf("to a peer with another base: %+v", d)
	}
	for _, have := range []uint64{0, 1, 7} {
		held := newBaseStore()
		_, _ = held.expand(first.forPeer(0))
		whole, err := held.expand(second.forPeer(have))
		if err != nil || whole.InFlight["e1"] != 2 || whole.Loads[0].Report.Running != 2 {
			t.Fatalf("%d: %+v, %v", have, whole, err)
		}
	}
	// A digest becomes a new base if it differs much from the old one or the
	// old one is too many rounds back.
	changed := testDigest(3)
	for i := range deltaSlackEntries + 8 {
		changed.InFlight[ids.Upstream(rune('a'+i))] = 1
	}
	if state := newLocalDigest(changed, second); state.base.Seq != 3 {
		t.Fatalf("base %d", state.base.Seq)
	}
	if state := newLocalDigest(testDigest(1+maxBaseRounds), second); state.base.Seq != 1+maxBaseRounds {
		t.Fatalf("base %d", state.base.Seq)
	}
}

func TestBaseOfAnotherBootIsNotUsed(t *testing.T) {
	first := newLocalDigest(testDigest(1), &localDigest{})
	update := newLocalDigest(testDigest(2), first).forPeer(1)
	other := testDigest(1)
	other.Boot = "c"
	held := newBaseStore()
	_, _ = held.expand(other)
	var unknown *unknownBaseError
	if _, err := held.expand(update); !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
	if held.seqOf("x", "b") != 0 || held.seqOf("x", "c") != 1 {
		t.Fatal("a base is reported for the wrong boot")
	}
}

func TestRelayedLoadsAreNotSent(t *testing.T) {
	a := start(t, "a", "z1", func(o *Options) { o.Source = relayingSource{o.Source.(*testNode)} })
	b := startWithSeed(t, "b", "z1", a, nil)
	if d := b.digestFrom(t, "a"); len(d.Loads) != 1 || d.Loads[0].Relayed {
		t.Fatalf("got %+v", d.Loads)
	}
}
