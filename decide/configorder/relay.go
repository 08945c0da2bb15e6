package configorder

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/platformapi"
)

// KeyVersion tells a peer what a node has of one object.
type KeyVersion struct {
	Key string `json:"key"`
	// Version is the highest seen.
	Version int64 `json:"version"`
	// Good is the version in force: Version, unless that object is not
	// valid for this node; 0 if none is. Where the node has refused an older
	// object too, Good is that one's version, so that it isn't sent again.
	Good int64 `json:"good"`
}

// Status sums up a Store.
type Status struct {
	// Objects counts keys, deleted ones included.
	Objects int
	// Bytes is the size of all values.
	Bytes int
	// Invalid counts keys whose newest object is not valid.
	Invalid int
	// Digest is equal on nodes that hold the same versions.
	Digest uint64
}

// Status gives the current sums.
func (s *Store) Status() Status {
	return Status{Objects: len(s.entries), Bytes: s.bytes, Invalid: s.invalid, Digest: s.digest}
}

// Digest is equal on two nodes that hold the same versions of the same keys.
// It is the sum of a hash for each key, so that a change costs one hash and
// the order of keys doesn't matter.
func (s *Store) Digest() uint64 { return s.digest }

// digest is an entry's share of the Digest; 0 for an empty entry.
func (e *entry) digest(key string) uint64 {
	if e.seen.Version == 0 {
		return 0
	}
	data := make([]byte, 0, len(key)+2*binary.MaxVarintLen64)
	data = append(data, key...)
	data = binary.BigEndian.AppendUint64(data, uint64(e.seen.Version))
	data = binary.BigEndian.AppendUint64(data, uint64(e.good.Version))
	return xxhash.Sum64(data)
}

// Summary lists what the Store has, by key.
func (s *Store) Summary() []KeyVersion {
	summary := make([]KeyVersion, 0, len(s.entries))
	for _, key := range s.keys() {
		e := s.entries[key]
		summary = append(summary, KeyVersion{Key: key, Version: e.seen.Version, Good: max(e.good.Version, e.rejected)})
	}
	return summary
}

// Missing lists the keys of which a peer with this summary has a newer object.
func (s *Store) Missing(theirs []KeyVersion) []string {
	var keys []string
	for _, their := range theirs {
		e := s.entries[their.Key]
		if e == nil || their.Version > e.seen.Version || their.Good > max(e.good.Version, e.rejected) {
			keys = append(keys, their.Key)
		}
	}
	return keys
}

// Newer gives the objects that a peer with this summary lacks, by key, up to
// maxBytes of values; but at least one. A peer that is far behind asks again.
// Where the newest object is not valid here, the one in force goes with it.
func (s *Store) Newer(theirs []KeyVersion, maxBytes int) []platformapi.Object {
	known := make(map[string]KeyVersion, len(theirs))
	for _, their := range theirs {
		known[their.Key] = their
	}
	batch := batch{room: maxBytes}
	for _, key := range s.keys() {
		batch.add(s.entries[key], known[key])
	}
	return batch.objects
}

// Objects gives the objects of some keys, up to maxBytes of values; but at
// least one. Unknown keys are passed over.
func (s *Store) Objects(keys []string, maxBytes int) []platformapi.Object {
	batch := batch{room: maxBytes}
	for _, key := range keys {
		if e := s.entries[key]; e != nil {
			batch.add(e, KeyVersion{})
		}
	}
	return batch.objects
}

// keys lists the keys in order.
func (s *Store) keys() []string {
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// batch gathers objects up to a size.
type batch struct {
	objects []platformapi.Object
	room    int
	full    bool
}

// add puts in the objects of an entry that a peer lacks.
func (b *batch) add(e *entry, theirs KeyVersion) {
	if e.good.Version > theirs.Good {
		b.put(e.good)
	}
	if e.invalid() && e.seen.Version > theirs.Version {
		b.put(e.seen)
	}
}

// put adds one object while there is room.
func (b *batch) put(object platformapi.Object) {
	if b.full || (len(b.objects) > 0 && len(object.Value) > b.room) {
		b.full = true
		return
	}
	b.room -= len(object.Value)
	b.objects = append(b.objects, object)
}
