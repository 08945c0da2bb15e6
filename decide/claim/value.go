package claim

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// value is the content of a shard's object. A value is changed only by the
// one that made it; entries are never changed.
type value struct {
	// entries are sorted by key.
	entries []*entry
	// names counts the uses of the texts that entries share.
	names map[string]int
	// size bounds the encoded size from above.
	size int
}

// entry is one claimed key.
type entry struct {
	key, fingerprint digest
	nonce            nonce
	state            router.ClaimState
	attempt          ids.Attempt
	vm, upstream     string
	epoch            string
	// prefix and suffix together are the request's name. Requests of one
	// process life share their prefix.
	prefix, suffix string
	// extra are fields that this version does not know.
	extra []byte
	// age is the least time since the last operation, as of since.
	age   time.Duration
	since time.Time
	keep  time.Duration
}

// newValue is the value of a shard without object.
func newValue() *value {
	return &value{names: make(map[string]int), size: valueOverhead}
}

// newEntry makes the entry of an operation.
func newEntry(op Op) *entry {
	request := string(op.Record.Request)
	cut := strings.LastIndexByte(request, '-') + 1
	return &entry{
		key:         keyOf(op.Record),
		fingerprint: digestOf(op.Record.Fingerprint),
		nonce:       nonceOf(op.Nonce),
		state:       op.Record.State,
		attempt:     op.Record.Attempt,
		vm:          string(op.Record.VM),
		upstream:    string(op.Record.Upstream),
		epoch:       op.Record.Epoch,
		prefix:      request[:cut],
		suffix:      request[cut:],
	}
}

// request is the holder.
func (e *entry) request() ids.Request { return ids.Request(e.prefix + e.suffix) }

// isOf reports whether a request is the holder.
func (e *entry) isOf(request ids.Request) bool {
	suffix, ok := strings.CutPrefix(string(request), e.prefix)
	return ok && suffix == e.suffix
}

// shared lists the texts that the entry may share with others.
func (e *entry) shared() [4]string { return [4]string{e.vm, e.upstream, e.epoch, e.prefix} }

// record tells of the entry to an operation on its key. The fingerprint is
// the operation's when it is the same, else the hex form of its digest, which
// no fingerprint equals.
func (e *entry) record(asked router.ClaimRecord) router.ClaimRecord {
	fingerprint := asked.Fingerprint
	if digestOf(fingerprint) != e.fingerprint {
		fingerprint = e.fingerprint.String()
	}
	return router.ClaimRecord{
		Account:     asked.Account,
		Key:         asked.Key,
		Fingerprint: fingerprint,
		Request:     e.request(),
		VM:          ids.VM(e.vm),
		Upstream:    ids.Upstream(e.upstream),
		Attempt:     e.attempt,
		Epoch:       e.epoch,
		State:       e.state,
	}
}

// older gives the entry with the higher age of itself and its like in an
// earlier value, which may be nil.
func (e *entry) older(old *value) *entry {
	if old == nil {
		return e
	}
	known := old.find(e.key)
	same := known != nil && known.nonce == e.nonce && known.state == e.state
	if !same || known.ageAt(e.since) <= e.age {
		return e
	}
	e.age, e.since = known.age, known.since
	return e
}

// ageAt is the entry's least age.
func (e *entry) ageAt(now time.Time) time.Duration { return e.age + now.Sub(e.since) }

// expired reports whether the entry may be forgotten.
func (e *entry) expired(now time.Time) bool { return e.ageAt(now) > e.keep }

// place gives where the entry of a key is, or belongs.
func (v *value) place(key digest) (int, bool) {
	return slices.BinarySearchFunc(v.entries, key, func(e *entry, key digest) int {
		return bytes.Compare(e.key[:], key[:])
	})
}

// find gives the entry of a key; nil when there is none.
func (v *value) find(key digest) *entry {
	if i, ok := v.place(key); ok {
		return v.entries[i]
	}
	return nil
}

// put stores an entry in place of one for the same key.
func (v *value) put(e *entry) {
	i, ok := v.place(e.key)
	if ok {
		v.uncount(v.entries[i])
		v.entries[i] = e
	} else {
		v.entries = slices.Insert(v.entries, i, e)
	}
	v.count(e)
}

// drop removes the entry of a key, if there is one.
func (v *value) drop(key digest) {
	if i, ok := v.place(key); ok {
		v.uncount(v.entries[i])
		v.entries = slices.Delete(v.entries, i, i+1)
	}
}

// forget drops the entries whose time is over.
func (v *value) forget(now time.Time) {
	v.entries = slices.DeleteFunc(v.entries, func(e *entry) bool {
		expired := e.expired(now)
		if expired {
			v.uncount(e)
		}
		return expired
	})
}

// count adds an entry to the size.
func (v *value) count(e *entry) {
	v.size += e.bytes()
	for _, name := range e.shared() {
		if v.names[name] == 0 {
			v.size += nameBytes(name)
		}
		v.names[name]++
	}
}

// uncount takes an entry out of the size.
func (v *value) uncount(e *entry) {
	v.size -= e.bytes()
	for _, name := range e.shared() {
		v.names[name]--
		if v.names[name] == 0 {
			delete(v.names, name)
			v.size -= nameBytes(name)
		}
	}
}

// sizeWith bounds the encoded size if an entry were put.
func (v *value) sizeWith(e *entry) int {
	size := v.size + e.bytes()
	if old := v.find(e.key); old != nil {
		size -= old.bytes()
	}
	for _, name := range e.shared() {
		if v.names[name] == 0 {
			size += nameBytes(name)
		}
	}
	return size
}

// clone gives a copy that may be changed.
func (v *value) clone() *value {
	return &value{entries: slices.Clone(v.entries), names: maps.Clone(v.names), size: v.size}
}
