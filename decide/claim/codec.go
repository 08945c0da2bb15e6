package claim

import (
	"bytes"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// The encoded form of a value. Numbers are unsigned varints. A string is its
// length followed by its bytes. Durations are in seconds.
//
//	format, shards
//	count of interned strings, interned strings
//	count of entries, entries sorted by key; each is its length and:
//	  key (16 bytes), fingerprint (16), nonce (8), flags (1)
//	  attempt, age, retention
//	  VM, upstream, epoch, request prefix: indexes of interned strings
//	  request suffix
//	  fields added by later versions
const formatVersion = 1

// flagDone is set in the flags of an entry that is done.
const flagDone = 1

const (
	// fixedBytes is the size of an entry's digests, nonce and flags.
	fixedBytes = 2*digestBytes + nonceBytes + 1
	// indexBytes is the maximum size of an index of an interned string, and
	// lengthBytes that of a length. Three bytes suffice because a value of at
	// most platformapi.MaxValueBytes bytes cannot hold more strings.
	indexBytes  = 3
	lengthBytes = 3
	// valueOverhead is the maximum size of a value without interned strings and
	// entries.
	valueOverhead = 4 * binary.MaxVarintLen64
)

// maxSize returns an upper bound of the entry's encoded size, without its
// interned strings.
func (e *entry) maxSize() int {
	numbers := varintSize(uint64(e.attempt)) + 2*varintSize(uint64(e.retention/time.Second))
	texts := len(e.internedStrings())*indexBytes + lengthBytes + len(e.requestSuffix)
	return lengthBytes + fixedBytes + numbers + texts + len(e.extra)
}

// internedBytes returns an upper bound of the encoded size of an interned
// string.
func internedBytes(name string) int { return lengthBytes + len(name) }

// varintSize returns the encoded size of a number in bytes.
func varintSize(n uint64) int {
	return len(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), n))
}

// encode returns the encoded value. The ages of its entries are those at now.
func (v *value) encode(shards int, now time.Time) []byte {
	names := slices.Sorted(maps.Keys(v.interned))
	indexes := make(map[string]uint64, len(names))
	out := make([]byte, 0, v.size)
	out = binary.AppendUvarint(out, formatVersion)
	out = binary.AppendUvarint(out, uint64(shards))
	out = binary.AppendUvarint(out, uint64(len(names)))
	for i, name := range names {
		indexes[name] = uint64(i)
		out = appendString(out, name)
	}
	out = binary.AppendUvarint(out, uint64(len(v.entries)))
	var body []byte
	for _, e := range v.entries {
		body = e.encode(body[:0], indexes, now)
		out = binary.AppendUvarint(out, uint64(len(body)))
		out = append(out, body...)
	}
	return out
}

// encode appends the entry to out, without its length.
func (e *entry) encode(out []byte, indexes map[string]uint64, now time.Time) []byte {
	out = append(out, e.key[:]...)
	out = append(out, e.fingerprint[:]...)
	out = append(out, e.nonce[:]...)
	var flags byte
	if e.state == router.ClaimDone {
		flags = flagDone
	}
	out = append(out, flags)
	age := min(max(e.ageAt(now), 0), e.retention)
	for _, n := range []uint64{uint64(e.attempt), uint64(age / time.Second), uint64(e.retention / time.Second)} {
		out = binary.AppendUvarint(out, n)
	}
	for _, name := range e.internedStrings() {
		out = binary.AppendUvarint(out, indexes[name])
	}
	out = appendString(out, e.requestSuffix)
	return append(out, e.extra...)
}

// appendString appends the length and the bytes of a string.
func appendString(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// decode decodes a value that was read at now. If an entry is also in old, the
// previously known value of the same shard, the higher of the two ages is kept.
// old may be nil.
func decode(data []byte, shards int, now time.Time, old *value) (*value, *ValueError) {
	r := &reader{data: data}
	if got := r.uvarint(); got != formatVersion {
		return nil, &ValueError{Cause: &FormatError{Format: got}}
	}
	if got := r.uvarint(); got != uint64(shards) && !r.malformed {
		return nil, &ValueError{Shards: int(min(got, math.MaxInt32))}
	}
	names := make([]string, r.count())
	for i := range names {
		names[i] = string(r.bytes())
	}
	v := newValue()
	count := r.count()
	v.entries = make([]*entry, 0, count)
	for range count {
		e := decodeEntry(&reader{data: r.bytes()}, names)
		if e == nil || !v.sortsLast(e) {
			return nil, &ValueError{Cause: &FormatError{Format: formatVersion}}
		}
		e.since = now
		e = e.withHigherAge(old)
		v.entries = append(v.entries, e)
		v.addSize(e)
	}
	if r.malformed || len(r.data) > 0 {
		return nil, &ValueError{Cause: &FormatError{Format: formatVersion}}
	}
	return v, nil
}

// sortsLast reports whether an entry's key is greater than all keys in the
// value.
func (v *value) sortsLast(e *entry) bool {
	if len(v.entries) == 0 {
		return true
	}
	last := v.entries[len(v.entries)-1]
	return bytes.Compare(last.key[:], e.key[:]) < 0
}

// decodeEntry decodes an entry, or returns nil if it is malformed.
func decodeEntry(r *reader, names []string) *entry {
	e := &entry{state: router.ClaimHeld}
	r.readInto(e.key[:])
	r.readInto(e.fingerprint[:])
	r.readInto(e.nonce[:])
	var flags [1]byte
	r.readInto(flags[:])
	if flags[0]&flagDone != 0 {
		e.state = router.ClaimDone
	}
	e.attempt = ids.Attempt(min(r.uvarint(), math.MaxInt32))
	e.age = r.seconds()
	e.retention = r.seconds()
	for _, field := range []*string{&e.vm, &e.upstream, &e.epoch, &e.requestPrefix} {
		*field = r.internedString(names)
	}
	e.requestSuffix = string(r.bytes())
	if r.malformed {
		return nil
	}
	if len(r.data) > 0 {
		e.extra = slices.Clone(r.data)
	}
	return e
}

// Inspect decodes a shard's object for tests and diagnostics and returns its
// claims sorted by key digest. Account and Key are empty, because only their
// digest is stored; Fingerprint is the hex form of its digest. The error is a
// *ValueError.
func Inspect(data []byte, shards int) ([]router.ClaimRecord, error) {
	v, err := decode(data, shards, time.Time{}, nil)
	if err != nil {
		return nil, err
	}
	records := make([]router.ClaimRecord, len(v.entries))
	for i, e := range v.entries {
		records[i] = e.record(router.ClaimRecord{})
	}
	return records, nil
}
