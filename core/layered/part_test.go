package layered

import (
	"math"
	"testing"
)

// What PartBeside leaves free is the room that it was asked for.
func TestPartBesideLeavesTheRoomAskedFor(t *testing.T) {
	m := &Model{Layers: 80, LayerMB: 1750, KVTokenBytes: 360e3}
	for _, tokens := range []float64{1e3, 87e3, 1e6} {
		const layers = 10
		card := Card{MemoryMB: layers * m.LayerMB / m.MaxWeightFraction(tokens)}
		if room := m.KVCapacityTokens(card, layers); math.Abs(room-tokens) > tokens/1e6 {
			t.Errorf("room for %.0f tokens, want %.0f", room, tokens)
		}
	}
	if part := (&Model{Layers: 80, LayerMB: 1750}).MaxWeightFraction(1e3); part != 0 {
		t.Errorf("a part of %.2f with a cache that is not known", part)
	}
}
