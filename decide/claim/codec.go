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

// The encoded form of a value. Numbers are unsigned varints; a text is its
// length and its bytes; times are in seconds.
//
//	format, shards
//	count of names, names
//	count of entries, entries by key; each is its length and:
//	  key (16 bytes), fingerprint (16), nonce (8), flags (1)
//	  attempt, age, keep
//	  VM, upstream, epoch, prefix of the request: each a name's place
//	  suffix of the request
//	  fields that a later version adds
const format = 1

// flagDone marks an entry that is done.
const flagDone = 1

const (
	// fixedBytes are those of an entry's digests, nonce and flags.
	fixedBytes = 2*digestBytes + nonceBytes + 1
	// placeBytes bounds the place of a name, lengthBytes a length: a value
	// of platformapi.MaxValue holds fewer names than would need more.
	placeBytes  = 3
	lengthBytes = 3
	// valueOverhead bounds the bytes of a value beside names and entries.
	valueOverhead = 4 * binary.MaxVarintLen64
)

// bytes bounds the entry's encoded size, its shared names apart.
func (e *entry) bytes() int {
	numbers := varintBytes(uint64(e.attempt)) + 2*varintBytes(uint64(e.keep/time.Second))
	texts := len(e.shared())*placeBytes + lengthBytes + len(e.suffix)
	return lengthBytes + fixedBytes + numbers + texts + len(e.extra)
}

// nameBytes bounds the encoded size of a name.
func nameBytes(name string) int { return lengthBytes + len(name) }

// varintBytes is the encoded size of a number.
func varintBytes(n uint64) int {
	return len(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), n))
}

// encode writes the value with the ages at now.
func (v *value) encode(shards int, now time.Time) []byte {
	names := slices.Sorted(maps.Keys(v.names))
	places := make(map[string]uint64, len(names))
	out := make([]byte, 0, v.size)
	out = binary.AppendUvarint(out, format)
	out = binary.AppendUvarint(out, uint64(shards))
	out = binary.AppendUvarint(out, uint64(len(names)))
	for i, name := range names {
		places[name] = uint64(i)
		out = appendText(out, name)
	}
	out = binary.AppendUvarint(out, uint64(len(v.entries)))
	var body []byte
	for _, e := range v.entries {
		body = e.encode(body[:0], places, now)
		out = binary.AppendUvarint(out, uint64(len(body)))
		out = append(out, body...)
	}
	return out
}

// encode appends the entry's body.
func (e *entry) encode(out []byte, places map[string]uint64, now time.Time) []byte {
	out = append(out, e.key[:]...)
	out = append(out, e.fingerprint[:]...)
	out = append(out, e.nonce[:]...)
	var flags byte
	if e.state == router.ClaimDone {
		flags = flagDone
	}
	out = append(out, flags)
	age := min(max(e.ageAt(now), 0), e.keep)
	for _, n := range []uint64{uint64(e.attempt), uint64(age / time.Second), uint64(e.keep / time.Second)} {
		out = binary.AppendUvarint(out, n)
	}
	for _, name := range e.shared() {
		out = binary.AppendUvarint(out, places[name])
	}
	out = appendText(out, e.suffix)
	return append(out, e.extra...)
}

// appendText appends a text.
func appendText(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// decode reads a value that was observed at now. Ages known from an earlier
// value of the same shard are kept where they are higher; old may be nil.
func decode(data []byte, shards int, now time.Time, old *value) (*value, *ValueError) {
	r := &reader{data: data}
	if got := r.number(); got != format {
		return nil, &ValueError{Cause: &FormatError{Format: got}}
	}
	if got := r.number(); got != uint64(shards) && !r.short {
		return nil, &ValueError{Shards: int(min(got, math.MaxInt32))}
	}
	names := make([]string, r.count())
	for i := range names {
		names[i] = string(r.text())
	}
	v := newValue()
	count := r.count()
	v.entries = make([]*entry, 0, count)
	for range count {
		e := decodeEntry(&reader{data: r.text()}, names)
		if e == nil || !v.follows(e) {
			return nil, &ValueError{Cause: &FormatError{Format: format}}
		}
		e.since = now
		e = e.older(old)
		v.entries = append(v.entries, e)
		v.count(e)
	}
	if r.short || len(r.data) > 0 {
		return nil, &ValueError{Cause: &FormatError{Format: format}}
	}
	return v, nil
}

// follows reports whether an entry's key is above all others.
func (v *value) follows(e *entry) bool {
	if len(v.entries) == 0 {
		return true
	}
	last := v.entries[len(v.entries)-1]
	return bytes.Compare(last.key[:], e.key[:]) < 0
}

// decodeEntry reads an entry; nil when it is malformed.
func decodeEntry(r *reader, names []string) *entry {
	e := &entry{state: router.ClaimHeld}
	r.fill(e.key[:])
	r.fill(e.fingerprint[:])
	r.fill(e.nonce[:])
	var flags [1]byte
	r.fill(flags[:])
	if flags[0]&flagDone != 0 {
		e.state = router.ClaimDone
	}
	e.attempt = ids.Attempt(min(r.number(), math.MaxInt32))
	e.age = r.seconds()
	e.keep = r.seconds()
	for _, field := range []*string{&e.vm, &e.upstream, &e.epoch, &e.prefix} {
		*field = r.name(names)
	}
	e.suffix = string(r.text())
	if r.short {
		return nil
	}
	if len(r.data) > 0 {
		e.extra = slices.Clone(r.data)
	}
	return e
}

// Inspect lists the claims of a shard's object, by key. Account and Key are
// not known; Fingerprint is the hex form of its digest. For tests and for
// people. The error is a *ValueError.
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
