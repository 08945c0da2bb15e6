package layered

import (
	"math"
	"testing"
)

// With the largest weight fraction for a number of tokens, the KV cache must hold exactly
// that number.
func TestMaxWeightFractionLeavesTheRequestedKVCapacity(t *testing.T) {
	m := &Model{Layers: 80, LayerMB: 1750, KVTokenBytes: 360e3}
	for _, tokens := range []float64{1e3, 87e3, 1e6} {
		const layers = 10
		card := Card{MemoryMB: layers * m.LayerMB / m.MaxWeightFraction(tokens)}
		if capacity := m.KVCapacityTokens(card, layers); math.Abs(capacity-tokens) > tokens/1e6 {
			t.Errorf("KV cache for %.0f tokens, want %.0f", capacity, tokens)
		}
	}
	if fraction := (&Model{Layers: 80, LayerMB: 1750}).MaxWeightFraction(1e3); fraction != 0 {
		t.Errorf("fraction is %.2f without the size of the KV cache, want 0", fraction)
	}
}
