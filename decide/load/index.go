package load

import (
	"cmp"
	"slices"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/fnvhash"
)

// Engine is an engine of the directory.
type Engine struct {
	ID   ids.Instance
	Zone ids.Zone
}

// indexedEngine is an engine and its place in the messages.
type indexedEngine struct {
	Engine
	hash  uint32
	shard int
}

// Index numbers the engines of the directory by shard, and finds them by instance and by
// hash. It is immutable, so an Exchange and a View may share it.
type Index struct {
	// engines are ordered by shard. In each shard those of the node's own zone come first.
	engines []indexedEngine
	byID    map[ids.Instance]int32
	byHash  map[uint32]int32
	// begin is the first slot of each shard, followed by the number of slots.
	begin []int
	// ownZoneEnd is the slot after the last engine of the node's own zone, for each shard.
	ownZoneEnd []int
}

// NewIndex returns an index of engines in the given number of shards, for a node in zone.
// Engines whose hashes are equal are left out: their loads cannot be told apart.
func NewIndex(engines []Engine, shards int, zone ids.Zone) *Index {
	ix := &Index{byID: make(map[ids.Instance]int32, len(engines)), byHash: make(map[uint32]int32, len(engines))}
	ix.engines = hashed(engines, shards)
	slices.SortFunc(ix.engines, func(a, b indexedEngine) int {
		return cmp.Or(cmp.Compare(a.shard, b.shard), cmp.Compare(otherZone(a, zone), otherZone(b, zone)), cmp.Compare(a.hash, b.hash))
	})
	ix.begin, ix.ownZoneEnd = make([]int, shards+1), make([]int, shards)
	for slot, e := range ix.engines {
		ix.byID[e.ID], ix.byHash[e.hash] = int32(slot), int32(slot)
		ix.begin[e.shard+1] = slot + 1
	}
	for shard := range shards {
		ix.begin[shard+1] = max(ix.begin[shard], ix.begin[shard+1])
		end := ix.begin[shard]
		for end < ix.begin[shard+1] && ix.engines[end].Zone == zone {
			end++
		}
		ix.ownZoneEnd[shard] = end
	}
	return ix
}

// otherZone returns 1 if an engine is outside the zone, and 0 if it is inside.
func otherZone(e indexedEngine, zone ids.Zone) int {
	if e.Zone == zone {
		return 0
	}
	return 1
}

// hashed returns the engines with their hashes and shards, without those whose hashes are
// equal.
func hashed(engines []Engine, shards int) []indexedEngine {
	out := make([]indexedEngine, 0, len(engines))
	count := make(map[uint32]int, len(engines))
	for _, e := range engines {
		h := hashOf(e.ID)
		count[h]++
		out = append(out, indexedEngine{Engine: e, hash: h, shard: int(h % uint32(shards))})
	}
	return slices.DeleteFunc(out, func(e indexedEngine) bool { return count[e.hash] > 1 })
}

// hashOf returns the hash by which messages name an instance.
func hashOf(id ids.Instance) uint32 {
	sum := fnvhash.Sum(id.String())
	return uint32(sum>>32) ^ uint32(sum)
}

// Shards returns the number of shards.
func (ix *Index) Shards() int { return len(ix.ownZoneEnd) }

// Len returns the number of engines.
func (ix *Index) Len() int { return len(ix.engines) }

// slot returns the slot of a hash in a shard, false if the shard has no such engine.
func (ix *Index) slot(hash uint32, shard int) (int32, bool) {
	slot, ok := ix.byHash[hash]
	return slot, ok && ix.engines[slot].shard == shard
}

// Holds reports whether the Index is one of exactly these engines. Engines that the Index
// leaves out because of their hashes count as missing.
func (ix *Index) Holds(engines []Engine) bool {
	if len(engines) != len(ix.engines) {
		return false
	}
	for _, e := range engines {
		if slot, ok := ix.byID[e.ID]; !ok || ix.engines[slot].Zone != e.Zone {
			return false
		}
	}
	return true
}
