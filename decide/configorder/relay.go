package configorder

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/platformapi"
)

// KeyVersion tells peers which versions of one object a node holds.
type KeyVersion struct {
	Key string `json:"key"`
	// Version is the highest version seen.
	Version int64 `json:"version"`
	// Active is the active version, or 0 if no version is active. It is below
	// Version if the newest object is not valid for this node. If the node has
	// also rejected a version between the two, Active is that version, so that
	// peers don't send it again.
	Active int64 `json:"good"`
}

// Status summarizes the contents of a Store.
type Status struct {
	// Objects is the number of keys, including deleted ones.
	Objects int
	// Bytes is the total size of the values held.
	Bytes int
	// Invalid is the number of keys whose newest object is not valid.
	Invalid int
	// Digest is the value of Store.Digest.
	Digest uint64
}

// Status returns the current totals.
func (s *Store) Status() Status {
	return Status{Objects: len(s.entries), Bytes: s.bytes, Invalid: s.invalid, Digest: s.digest}
}

// Digest returns a hash that is equal on two nodes that hold the same versions of
// the same keys. It is the sum of one hash per key, so that it doesn't depend on
// the order of keys and a change rehashes only its own key.
func (s *Store) Digest() uint64 { return s.digest }

// digest returns the term of Store.Digest for this entry; 0 for an empty entry.
func (e *entry) digest(key string) uint64 {
	if e.newest.Version == 0 {
		return 0
	}
	data := make([]byte, 0, len(key)+2*binary.MaxVarintLen64)
	data = append(data, key...)
	data = binary.BigEndian.AppendUint64(data, uint64(e.newest.Version))
	data = binary.BigEndian.AppendUint64(data, uint64(e.active.Version))
	return xxhash.Sum64(data)
}

// Summary returns the versions that the Store holds, sorted by key.
func (s *Store) Summary() []KeyVersion {
	summary := make([]KeyVersion, 0, len(s.entries))
	for _, key := range s.keys() {
		e := s.entries[key]
		summary = append(summary, KeyVersion{Key: key, Version: e.newest.Version, Active: max(e.active.Version, e.rejectedVersion)})
	}
	return summary
}

// Missing returns the keys for which a peer with this summary has a newer object.
func (s *Store) Missing(theirs []KeyVersion) []string {
	var keys []string
	for _, their := range theirs {
		e := s.entries[their.Key]
		if e == nil || their.Version > e.newest.Version || their.Active > max(e.active.Version, e.rejectedVersion) {
			keys = append(keys, their.Key)
		}
	}
	return keys
}

// Newer returns the objects that a peer with this summary lacks, sorted by key, up
// to maxBytes of values but at least one object. A peer that lacks more has to call
// again. If the newest object of a key is not valid here, the active one is
// returned as well.
func (s *Store) Newer(theirs []KeyVersion, maxBytes int) []platformapi.Object {
	known := make(map[string]KeyVersion, len(theirs))
	for _, their := range theirs {
		known[their.Key] = their
	}
	batch := batch{remaining: maxBytes}
	for _, key := range s.keys() {
		batch.add(s.entries[key], known[key])
	}
	return batch.objects
}

// Objects returns the objects of the given keys, up to maxBytes of values but at
// least one object. Unknown keys are skipped.
func (s *Store) Objects(keys []string, maxBytes int) []platformapi.Object {
	batch := batch{remaining: maxBytes}
	for _, key := range keys {
		if e := s.entries[key]; e != nil {
			batch.add(e, KeyVersion{})
		}
	}
	return batch.objects
}

// keys returns all keys, sorted.
func (s *Store) keys() []string {
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// batch collects objects up to a total size of values.
type batch struct {
	objects []platformapi.Object
	// remaining is the size that is left, in bytes.
	remaining int
	// full is set once an object did not fit; nothing is added after that.
	full bool
}

// add appends the objects of an entry that a peer lacks.
func (b *batch) add(e *entry, theirs KeyVersion) {
	if e.active.Version > theirs.Active {
		b.put(e.active)
	}
	if e.invalid() && e.newest.Version > theirs.Version {
		b.put(e.newest)
	}
}

// put appends one object if it fits. The first object always does.
func (b *batch) put(object platformapi.Object) {
	if b.full || (len(b.objects) > 0 && len(object.Value) > b.remaining) {
		b.full = true
		return
	}
	b.remaining -= len(object.Value)
	b.objects = append(b.objects, object)
}
