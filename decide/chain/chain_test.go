package chain

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
)

var start = time.Unix(1000, 0)

func model() *layered.Model {
	return &layered.Model{
		Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, StepMs: 1, PerSequenceMs: 0.007, PerContextMs: 0.01,
		PrefillTokensPerMs: 105, StepsPerPass: 3, MeanPromptTokens: 774, MeanOutputTokens: 200,
		Cards: map[string]layered.Card{
			"fast": {MemoryMB: 72000, StepFactor: 2, PrefillFactor: 2},
			"slow": {MemoryMB: 72000, StepFactor: 10, PrefillFactor: 10},
		},
	}
}

func engine(id, zone, card string, from, to int) directory.Upstream {
	return directory.Upstream{
		ID: ids.Life{Upstream: ids.Upstream(id)}, Service: "s", Address: id, Zone: ids.Zone(zone), Card: card,
		Layers: layered.Range{From: from, To: to}, Revision: 1,
	}
}

func view(engines ...directory.Upstream) *directory.View {
	d := directory.New()
	for _, e := range engines {
		d.Put(e)
	}
	return d.View()
}

var request = Request{Service: "s", Zone: "z1", PromptTokens: 800, OutputTokens: 200}

// choose fails the test unless a chain is found.
func choose(t *testing.T, b *Picker, v *directory.View, r Request) string {
	t.Helper()
	c, err := b.Pick(start, model(), v, r)
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(c, 80); err != nil {
		t.Fatal(err)
	}
	return c.String()
}

func TestCheckRefusesWhatDoesNotTile(t *testing.T) {
	a, b, c := engine("a", "z", "fast", 0, 40), engine("b", "z", "fast", 30, 80), engine("c", "z", "fast", 40, 80)
	r := func(from, to int) layered.Range { return layered.Range{From: from, To: to} }
	for name, chain := range map[string]Chain{
		"empty":           {},
		"gap":             {{&a, r(0, 38)}, {&c, r(40, 80)}},
		"overlap":         {{&a, r(0, 40)}, {&b, r(35, 80)}},
		"short":           {{&a, r(0, 40)}, {&c, r(40, 79)}},
		"not from 0":      {{&b, r(30, 80)}},
		"not held":        {{&a, r(0, 41)}, {&c, r(41, 80)}},
		"twice":           {{&a, r(0, 20)}, {&a, r(20, 40)}, {&c, r(40, 80)}},
		"empty hop":       {{&a, r(0, 0)}, {&a, r(0, 40)}, {&c, r(40, 80)}},
		"swapped":         {{&c, r(40, 80)}, {&a, r(0, 40)}},
		"beyond the last": {{&a, r(0, 40)}, {&c, r(40, 81)}},
	} {
		var tiling *TilingError
		if err := Check(chain, 80); !errors.As(err, &tiling) {
			t.Errorf("%s: %v, want a *TilingError", name, err)
		}
	}
	if err := Check(Chain{{&a, r(0, 35)}, {&b, r(35, 80)}}, 80); err != nil {
		t.Error(err)
	}
}

// TestChosenChainsTile draws fleets of engines with any ranges, some leaving or
// suspected, and requests with any first stage.
func TestChosenChainsTile(t *testing.T) {
	found := 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 2))
		conditions := condition.New()
		b := New(conditions)
		var engines []directory.Upstream
		for i := range 1 + r.IntN(14) {
			from := r.IntN(8) * 10
			e := engine(fmt.Sprint(i), fmt.Sprintf("z%d", r.IntN(3)), []string{"fast", "slow", "unknown"}[r.IntN(3)],
				from, min(80, from+10+r.IntN(50)))
			e.Leaving = r.IntN(8) == 0
			if r.IntN(8) == 0 {
				conditions.Failed(start, e.ID)
			}
			engines = append(engines, e)
		}
		v := view(engines...)
		c, err := b.Pick(start, model(), v, request)
		if err != nil {
			continue
		}
		found++
		if err := Check(c, 80); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, h := range c {
			if h.Engine.Leaving || conditions.Suspected(start, h.Engine.ID, h.Engine.Zone) {
				t.Fatalf("seed %d: %s may take nothing", seed, h.Engine.ID)
			}
		}
		again := request
		again.PinnedFirst = &c[0]
		again.Avoid = map[ids.Life]bool{c[len(c)-1].Engine.ID: true}
		if other, err := b.Pick(start, model(), v, again); err == nil {
			if err := Check(other, 80); err != nil {
				t.Fatalf("seed %d, around %s: %v", seed, c, err)
			}
			if len(c) > 1 && (other[0] != c[0] || other.Has(c[len(c)-1].Engine.ID)) {
				t.Fatalf("seed %d: around %s: %s", seed, c, other)
			}
		}
	}
	if found < 200 {
		t.Errorf("only %d of the draws had a chain", found)
	}
}

func TestOwnZoneGoesFirst(t *testing.T) {
	v := view(engine("a", "z1", "fast", 0, 80), engine("b", "z2", "fast", 0, 80))
	if got := choose(t, New(condition.New()), v, request); got != "a=0-80" {
		t.Errorf("chain %s", got)
	}
	far := request
	far.Zone = "z2"
	if got := choose(t, New(condition.New()), v, far); got != "b=0-80" {
		t.Errorf("chain %s", got)
	}
}

func TestMuchFasterZoneIsWorthTheWay(t *testing.T) {
	v := view(engine("a", "z1", "slow", 0, 80), engine("b", "z2", "fast", 0, 80))
	if got := choose(t, New(condition.New()), v, request); got != "b=0-80" {
		t.Errorf("chain %s", got)
	}
}

func TestChainsCrossZonesOnlyWhereNoneIsWhole(t *testing.T) {
	v := view(engine("a", "z1", "fast", 0, 40), engine("b", "z2", "fast", 40, 80))
	if got := choose(t, New(condition.New()), v, request); got != "a=0-40,b=40-80" {
		t.Errorf("chain %s", got)
	}
	v = view(engine("a", "z1", "fast", 0, 40), engine("b", "z2", "fast", 40, 80), engine("c", "z3", "slow", 0, 80))
	if got := choose(t, New(condition.New()), v, request); got != "c=0-80" {
		t.Errorf("chain %s", got)
	}
}

func TestLoadSpreadsOverEqualStages(t *testing.T) {
	b := New(condition.New())
	v := view(engine("a", "z1", "fast", 0, 80), engine("b", "z1", "fast", 0, 80))
	counts := make(map[string]int)
	for range 40 {
		c, err := b.Pick(start, model(), v, request)
		if err != nil {
			t.Fatal(err)
		}
		b.RequestStarted(start, c, request)
		counts[c.String()]++
	}
	if counts["a=0-80"] != 20 || counts["b=0-80"] != 20 {
		t.Errorf("shares %v", counts)
	}
}

func TestSlowAndFullEnginesAreAvoided(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	v := view(engine("a", "z1", "fast", 0, 80), engine("b", "z1", "fast", 0, 80))
	conditions.SetPace(start, life("a"), 5)
	if got := choose(t, b, v, request); got != "b=0-80" {
		t.Errorf("with a slow: %s", got)
	}
	conditions.SetPace(start, life("a"), 1)
	conditions.RefusedFull(start, life("a"))
	if got := choose(t, b, v, request); got != "b=0-80" {
		t.Errorf("with a full: %s", got)
	}
}

func TestFirstStageMayBeBound(t *testing.T) {
	v := view(engine("a", "z1", "slow", 0, 40), engine("b", "z1", "fast", 0, 40), engine("c", "z1", "fast", 40, 80))
	bound := request
	bound.AllowedFirst = map[ids.Life]bool{{Upstream: "a"}: true}
	if got := choose(t, New(condition.New()), v, bound); got != "a=0-40,c=40-80" {
		t.Errorf("chain %s", got)
	}
	bound.AllowedFirst = map[ids.Life]bool{{Upstream: "c"}: true}
	var none *NoChainError
	if _, err := New(condition.New()).Pick(start, model(), v, bound); !errors.As(err, &none) {
		t.Errorf("error %v", err)
	}
}

func TestNoChainIsSaid(t *testing.T) {
	v := view(engine("a", "z1", "fast", 0, 40), engine("b", "z1", "fast", 41, 80))
	_, err := New(condition.New()).Pick(start, model(), v, request)
	var none *NoChainError
	if !errors.As(err, &none) || none.Engines != 2 || none.Usable != 2 {
		t.Errorf("error %v", err)
	}
}

// BenchmarkChoose tells what a choice costs with three zones of so many
// engines in all: 20, 45 and 99 µs with a draw, 14, 31 and 100 µs without one.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{33, 90, 210} {
		var engines []directory.Upstream
		for i := range size {
			from := i / 3 * 7 % 77
			engines = append(engines, engine(fmt.Sprint(i), fmt.Sprintf("z%d", i%3), "fast", from, min(80, from+14)))
		}
		v := view(engines...)
		book := New(condition.New())
		r := request
		r.JitterSeed = 1
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				if _, err := book.Pick(start, model(), v, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestSlowEngineIsTakenLateOnly(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	v := view(engine("a", "z1", "fast", 0, 80), engine("b", "z1", "fast", 0, 80))
	conditions.SetPace(start, life("b"), 4)
	streams := 0
	for c, _ := b.Pick(start, model(), v, request); c.Has(life("a")); c, _ = b.Pick(start, model(), v, request) {
		b.RequestStarted(start, c, request)
		if streams++; streams > 10_000 {
			t.Fatal("a slow engine is never taken")
		}
	}
	// By the time alone it would be 614.
	if streams < 1000 {
		t.Errorf("a slow engine is taken after %d streams on a good one", streams)
	}
}

// life is the one life of an upstream whose start is not told.
func life(name ids.Upstream) ids.Life { return ids.Life{Upstream: name} }

// A chain through an engine without room is chosen only where there is no other, and
// tells so.
func TestFullNamesTheEngineThatNoChainAvoids(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	only, twin := engine("a", "z1", "fast", 0, 80), engine("b", "z1", "fast", 0, 80)
	conditions.RefusedFull(start, only.ID)
	c, err := b.Pick(start, model(), view(only), request)
	if err != nil || b.FullEngine(start, c) == nil || b.FullEngine(start, c).ID != only.ID {
		t.Errorf("chain %s, error %v", c, err)
	}
	c, err = b.Pick(start, model(), view(only, twin), request)
	if err != nil || b.FullEngine(start, c) != nil || c[0].Engine.ID != twin.ID {
		t.Errorf("with a twin: chain %s, error %v", c, err)
	}
}

// Nodes that know nothing of each other's load spread what they choose at one moment
// over equal engines, and leave out a much dearer one.
func TestChoicesAtOneMomentAreSpread(t *testing.T) {
	twins := []directory.Upstream{engine("slow", "z1", "slow", 0, 80)}
	for i := range 10 {
		twins = append(twins, engine(fmt.Sprint("fast", i), "z1", "fast", 0, 80))
	}
	v := view(twins...)
	shares := make(map[string]int)
	draws := rand.New(rand.NewPCG(1, 1))
	const nodes = 300
	for range nodes {
		r := request
		r.JitterSeed = draws.Uint64()
		shares[choose(t, New(condition.New()), v, r)]++
	}
	for chain, n := range shares {
		if n > nodes/10*2 {
			t.Errorf("%d of %d nodes take %s", n, nodes, chain)
		}
	}
	if len(shares) != 10 || shares["slow=0-80"] > 0 {
		t.Errorf("shares %v", shares)
	}
}
