package placement

import (
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// holding returns an engine of zone a that holds layers.
func holding(id ids.Upstream, card string, from, to int) Engine {
	return Engine{ID: instanceOf(id), Zone: "a", Card: card, Holds: layered.Range{From: from, To: to}}
}

// fullRow returns a zone that lacks its last three layers: the spare memory is at the
// front, and all engines between hold as many layers as usual.
func fullRow() []Engine {
	return []Engine{
		holding("a", "medium", 0, 14), holding("b", "small", 14, 23), holding("c", "small", 23, 32), holding("d", "small", 32, 41),
		holding("e", "small", 41, 50), holding("f", "small", 50, 59), holding("g", "small", 59, 68), holding("h", "small", 68, 77),
	}
}

// Guards against a row of full engines that drain one after the other, each waiting
// for the engine before to load the layers that it gives up.
func TestFullEnginesOfARowDrainAtTheSameTime(t *testing.T) {
	m := model()
	engines := fullRow()
	const maxDrains = 2
	drains := 0
	for range 20 {
		orders := Plan(m, engines, allowMoves("a"))
		checkServed(t, m, engines, orders)
		for _, o := range orders {
			if !o.Layers.Covers(find(engines, o.Engine).Holds) {
				drains++
				break
			}
		}
		engines = applyOrders(engines, orders)
	}
	if !CompleteZones(m, engines)["a"] || drains > maxDrains {
		t.Errorf("%d drains in sequence, want at most %d and a complete zone: %+v", drains, maxDrains, engines)
	}
}

// A repair that saves little time leaves the KV cache of repairReserveStreams requests.
func TestRepairLeavesKVCacheIfItSavesLittleTime(t *testing.T) {
	m := model()
	engines := fullRow()[:3]
	engines = append(engines, holding("i", "large", 35, 67), holding("j", "medium", 67, 80))
	for range 20 {
		engines = applyOrders(engines, Plan(m, engines, allowMoves("a")))
	}
	if !CompleteZones(m, engines)["a"] {
		t.Fatalf("the zone lacks layers: %+v", engines)
	}
	for _, e := range engines {
		if most := capacity(m, e, repairOptions(m)); e.Holds.Len() > most {
			t.Errorf("%s holds %s, want at most %d layers", e.ID, e.Holds, most)
		}
	}
}

func TestCompletionTime(t *testing.T) {
	const drain = 3 * time.Second
	m := model()
	m.LoadSeconds = float64(m.Layers)
	pending := fullRow()
	pending[7].Target, pending[7].Fixed = layered.Range{From: 68, To: 80}, true
	for name, test := range map[string]struct {
		engines []Engine
		opts    Options
		want    time.Duration
	}{
		// Engine a loads 3 layers, then seven engines drain in turn and load 3 each.
		"one after the other": {fullRow(), repairOptions(m), 3*time.Second + 7*(drain+3*time.Second)},
		// All load 1 layer, then drain and load another twice.
		"at the same time": {fullRow(), minReserveOptions(m), time.Second + 2*(drain+time.Second)},
		"order pending":    {pending, repairOptions(m), 3 * time.Second},
		"complete":         {[]Engine{holding("all", "large", 0, 80)}, repairOptions(m), 0},
		"not enough":       {fullRow()[1:], repairOptions(m), neverComplete},
	} {
		ordered := inModelOrder(test.engines)
		g := goal{ordered, cheapestTiling(m, ordered, test.opts, 0), test.opts}
		if got := g.completionTime(m, drain); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}
