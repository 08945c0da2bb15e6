package placement

import (
	"testing"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
)

// Guards against closing a gap by shifting every engine between it and the spare
// capacity, one after the other, each of which first waits for its streams to end.
// An engine whose neighbours can take over its layers moves to the gap instead.
func TestEngineWhoseNeighboursTakeOverMovesToGap(t *testing.T) {
	m := model()
	hold := func(id ids.Upstream, card string, from, to int) Engine {
		return Engine{ID: instanceOf(id), Zone: "a", Card: card, Holds: layered.Range{From: from, To: to}}
	}
	// The spare capacity is at the front; layers 70 to 80 are missing.
	engines := []Engine{
		hold("a", "medium", 0, 15), hold("b", "small", 15, 20), hold("c", "small", 20, 25), hold("d", "small", 25, 30),
		hold("e", "small", 30, 38), hold("f", "small", 38, 46), hold("g", "small", 46, 54), hold("h", "small", 54, 62),
		hold("i", "small", 62, 70),
	}
	emptied := make(map[ids.Instance]bool)
	rounds := 0
	for ; !CompleteZones(m, engines)["a"] && rounds < 20; rounds++ {
		orders := Plan(m, engines, allowMoves("a"))
		checkServed(t, m, engines, orders)
		for _, o := range orders {
			if !o.Layers.Covers(find(engines, o.Engine).Holds) {
				emptied[o.Engine] = true
			}
		}
		engines = applyOrders(engines, orders)
	}
	if !CompleteZones(m, engines)["a"] || rounds > 3 || len(emptied) > 1 {
		t.Errorf("%d rounds in which %d engines gave up layers, want at most 3 and 1: %+v", rounds, len(emptied), engines)
	}
}
