package claim

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"mimosaarch.example/decide/router"
)

// entryOverhead bounds the bytes of an encoded entry beside its nonce and
// record; valueOverhead those of a value beside its entries.
const (
	entryOverhead = 96
	valueOverhead = 64
)

// value is the content of a shard's object. A value is changed only by the
// one that made it; entries are never changed.
type value struct {
	entries map[string]*entry
	// size bounds the encoded size from above.
	size int
}

// entry is one claimed key.
type entry struct {
	nonce  string
	record router.ClaimRecord
	// raw is the record as encoded; fields that this version does not know
	// stay in it.
	raw json.RawMessage
	// age is the least time since the last operation, as of since.
	age   time.Duration
	since time.Time
	keep  time.Duration
}

// wireValue and wireEntry are the encoded forms. Times are in seconds.
type (
	wireValue struct {
		Shards  int         `json:"shards"`
		Entries []wireEntry `json:"entries"`
	}
	wireEntry struct {
		Age    int64           `json:"age"`
		Keep   int64           `json:"keep"`
		Nonce  string          `json:"nonce"`
		Record json.RawMessage `json:"record"`
	}
)

// newValue is the value of a shard without object.
func newValue() *value {
	return &value{entries: make(map[string]*entry), size: valueOverhead}
}

// entryKey names a claimed key within all shards.
func entryKey(record router.ClaimRecord) string {
	return string(record.Account) + "\x00" + record.Key
}

// decode reads a value that was observed at now. Ages known from an earlier
// value of the same shard are kept where they are higher; old may be nil.
func decode(data []byte, shards int, now time.Time, old *value) (*value, *ValueError) {
	var wire wireValue
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, &ValueError{Cause: err}
	}
	if wire.Shards != shards {
		return nil, &ValueError{Shards: wire.Shards}
	}
	v := newValue()
	for _, w := range wire.Entries {
		e := &entry{nonce: w.Nonce, raw: w.Record, age: seconds(w.Age), since: now, keep: seconds(w.Keep)}
		if err := json.Unmarshal(w.Record, &e.record); err != nil {
			return nil, &ValueError{Cause: err}
		}
		v.put(e.older(old))
	}
	return v, nil
}

// seconds turns encoded seconds into a duration.
func seconds(n int64) time.Duration { return time.Duration(n) * time.Second }

// older gives the entry with the higher age of itself and its like in an
// earlier value.
func (e *entry) older(old *value) *entry {
	if old == nil {
		return e
	}
	known := old.entries[entryKey(e.record)]
	same := known != nil && known.nonce == e.nonce && known.record.State == e.record.State
	if !same || known.ageAt(e.since) <= e.age {
		return e
	}
	e.age, e.since = known.age, known.since
	return e
}

// encode writes the value with the ages at now, by key.
func (v *value) encode(shards int, now time.Time) ([]byte, error) {
	wire := wireValue{Shards: shards, Entries: make([]wireEntry, 0, len(v.entries))}
	for _, key := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[key]
		wire.Entries = append(wire.Entries, wireEntry{
			Age:    int64(e.ageAt(now) / time.Second),
			Keep:   int64(e.keep / time.Second),
			Nonce:  e.nonce,
			Record: e.raw,
		})
	}
	return json.Marshal(wire)
}

// ageAt is the entry's least age.
func (e *entry) ageAt(now time.Time) time.Duration { return e.age + now.Sub(e.since) }

// expired reports whether the entry may be forgotten.
func (e *entry) expired(now time.Time) bool { return e.ageAt(now) > e.keep }

// bytes bounds the entry's encoded size.
func (e *entry) bytes() int { return len(e.raw) + len(e.nonce) + entryOverhead }

// put stores an entry in place of one for the same key.
func (v *value) put(e *entry) {
	key := entryKey(e.record)
	v.drop(key)
	v.entries[key] = e
	v.size += e.bytes()
}

// drop removes the entry of a key, if there is one.
func (v *value) drop(key string) {
	if old := v.entries[key]; old != nil {
		v.size -= old.bytes()
		delete(v.entries, key)
	}
}

// clone gives a copy that may be changed.
func (v *value) clone() *value {
	return &value{entries: maps.Clone(v.entries), size: v.size}
}
