package peer

import (
	"errors"
	"testing"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
)

// busy makes the digest of a round.
func busy(seq uint64) peerapi.Digest {
	return peerapi.Digest{
		VM: "x", Zone: "z1", Boot: "b", Seq: seq, Address: "127.0.0.1:1",
		InFlight: map[ids.Upstream]int{"e1": int(seq)},
		Loads:    []peerapi.Load{{Report: engineapi.LoadReport{Engine: "e1", Running: int(seq)}}},
	}
}

// forget drops what a node holds of its peers.
func (n *testNode) forget() {
	n.bases.mu.Lock()
	defer n.bases.mu.Unlock()
	clear(n.bases.byVM)
}

func TestForgottenBaseIsSentAgain(t *testing.T) {
	patient := func(o *Options) { o.CallTimeout = time.Minute }
	a := start(t, "a", "z1", patient)
	b := start(t, "b", "z1", func(o *Options) { o.Seeds = []string{a.Addr()}; patient(o) })
	for range 3 {
		a.from(t, "b")
		b.from(t, "a")
		a.forget()
		b.forget()
		for len(a.digests)+len(b.digests) > 0 {
			select {
			case <-a.digests:
			case <-b.digests:
			}
		}
	}
	if d := a.from(t, "b"); d.InFlight["e1"] != 3 || len(d.Loads) != 1 {
		t.Fatalf("got %+v", d)
	}
	if d := b.from(t, "a"); d.InFlight["e1"] != 3 || len(d.Loads) != 1 {
		t.Fatalf("got %+v", d)
	}
	if a.count(DigestsUnknownBase)+b.count(DigestsUnknownBase) == 0 {
		t.Fatal("nothing was forgotten")
	}
	if missed := a.count(DigestsMissed) + b.count(DigestsMissed); missed > 0 {
		t.Fatalf("%d digests were given up", missed)
	}
}

func TestOwnStateRefersToWhatThePeerHolds(t *testing.T) {
	first := newOwnState(busy(1), &ownState{})
	second := newOwnState(busy(2), first)
	if d := second.to(0); d.Base != 0 || d.InFlight["e1"] != 2 {
		t.Fatalf("to a peer without a base: %+v", d)
	}
	if d := second.to(1); d.Base != 1 || d.BaseDigest != nil || len(d.InFlight)+len(d.Loads) != 0 {
		t.Fatalf("to a peer with the base: %+v", d)
	}
	if d := second.to(7); d.Base != 1 || d.BaseDigest == nil {
		t.Fatalf("to a peer with another base: %+v", d)
	}
	for _, have := range []uint64{0, 1, 7} {
		held := newBases()
		_, _ = held.whole(first.to(0))
		whole, err := held.whole(second.to(have))
		if err != nil || whole.InFlight["e1"] != 2 || whole.Loads[0].Report.Running != 2 {
			t.Fatalf("%d: %+v, %v", have, whole, err)
		}
	}
	// What no longer resembles its base, or is far from it, begins anew.
	changed := busy(3)
	for i := range besideLeast + 8 {
		changed.InFlight[ids.Upstream(rune('a'+i))] = 1
	}
	if state := newOwnState(changed, second); state.base.Seq != 3 {
		t.Fatalf("base %d", state.base.Seq)
	}
	if state := newOwnState(busy(1+baseRounds), second); state.base.Seq != 1+baseRounds {
		t.Fatalf("base %d", state.base.Seq)
	}
}

func TestBaseOfAnotherBootIsNotUsed(t *testing.T) {
	first := newOwnState(busy(1), &ownState{})
	update := newOwnState(busy(2), first).to(1)
	other := busy(1)
	other.Boot = "c"
	held := newBases()
	_, _ = held.whole(other)
	var unknown *unknownBaseError
	if _, err := held.whole(update); !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
	if held.of("x", "b") != 0 || held.of("x", "c") != 1 {
		t.Fatal("a base is told under the wrong boot")
	}
}

func TestRelayedLoadsAreNotTold(t *testing.T) {
	a := start(t, "a", "z1", func(o *Options) { o.Source = relaying{o.Source.(*testNode)} })
	b := seeded(t, "b", "z1", a, nil)
	if d := b.from(t, "a"); len(d.Loads) != 1 || d.Loads[0].Relayed {
		t.Fatalf("got %+v", d.Loads)
	}
}
