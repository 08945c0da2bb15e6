package fnvhash

import (
	"fmt"
	"hash/fnv"
	"testing"
)

func TestSumIsFNV1a(t *testing.T) {
	h := fnv.New64a()
	_, _ = h.Write([]byte("a text")) // never fails
	if got := Sum("a ", "", "text"); got != h.Sum64() {
		t.Errorf("Sum = %x, want %x", got, h.Sum64())
	}
}

// Each node has its share of the keys, and a key moves only if its node leaves.
func TestHighestRankIsSpreadOverNodes(t *testing.T) {
	const nodes, keys = 10, 5000
	first := func(key string, nodes int) int {
		best := 0
		for i := range nodes {
			if Rank(fmt.Sprint("vm-", i), key) > Rank(fmt.Sprint("vm-", best), key) {
				best = i
			}
		}
		return best
	}
	counts := make([]int, nodes)
	for i := range keys {
		key := fmt.Sprint("key", i)
		at := first(key, nodes)
		counts[at]++
		if at != nodes-1 && first(key, nodes-1) != at {
			t.Fatalf("%s moved though its node has not left", key)
		}
	}
	for i, n := range counts {
		if n < keys/nodes*3/4 || n > keys/nodes*5/4 {
			t.Errorf("node %d has %d of %d keys", i, n, keys)
		}
	}
}
