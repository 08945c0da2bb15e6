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

// value is the content of a shard's object. Only its creator modifies it. Its
// entries may be shared with other values and are never modified.
type value struct {
	// entries are sorted by key.
	entries []*entry
	// interned counts how many times entries use each shared string. Each is
	// encoded only once.
	interned map[string]int
	// size is an upper bound of the encoded size in bytes.
	size int
}

// entry is the claim of one key.
type entry struct {
	key, fingerprint digest
	nonce            nonce
	state            router.ClaimState
	attempt          ids.Attempt
	vm, upstream     string
	epoch            string
	// requestPrefix and requestSuffix together are the request ID. Requests of
	// the same process have the same prefix.
	requestPrefix, requestSuffix string
	// extra holds encoded fields of later versions that this version does not
	// know.
	extra []byte
	// age is a lower bound of the time from the last operation to since.
	age       time.Duration
	since     time.Time
	retention time.Duration
}

// newValue returns the value of a shard whose object does not exist.
func newValue() *value {
	return &value{interned: make(map[string]int), size: valueOverhead}
}

// newEntry returns the entry that an operation creates.
func newEntry(op Op) *entry {
	request := string(op.Record.Request)
	cut := strings.LastIndexByte(request, '-') + 1
	return &entry{
		key:           keyOf(op.Record),
		fingerprint:   digestOf(op.Record.Fingerprint),
		nonce:         nonceOf(op.Nonce),
		state:         op.Record.State,
		attempt:       op.Record.Attempt,
		vm:            string(op.Record.VM),
		upstream:      string(op.Record.Upstream),
		epoch:         op.Record.Epoch,
		requestPrefix: request[:cut],
		requestSuffix: request[cut:],
	}
}

// request returns the request that holds the claim.
func (e *entry) request() ids.Request { return ids.Request(e.requestPrefix + e.requestSuffix) }

// isHeldBy reports whether the claim belongs to the request.
func (e *entry) isHeldBy(request ids.Request) bool {
	suffix, ok := strings.CutPrefix(string(request), e.requestPrefix)
	return ok && suffix == e.requestSuffix
}

// internedStrings returns the strings that other entries may share.
func (e *entry) internedStrings() [4]string {
	return [4]string{e.vm, e.upstream, e.epoch, e.requestPrefix}
}

// record returns the entry as a claim record with the account and key of asked.
// The fingerprint is that of asked if their digests are equal. Otherwise it is
// the hex form of the entry's digest, which no fingerprint equals.
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

// withHigherAge raises the age of a newly decoded entry if the same claim has a
// higher age in old, the previously known value, and returns the entry. old may
// be nil.
func (e *entry) withHigherAge(old *value) *entry {
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

// ageAt returns a lower bound of the entry's age.
func (e *entry) ageAt(now time.Time) time.Duration { return e.age + now.Sub(e.since) }

// expired reports whether the entry's retention has ended.
func (e *entry) expired(now time.Time) bool { return e.ageAt(now) > e.retention }

// search returns the index of a key's entry and true, or the index at which it
// would be inserted and false.
func (v *value) search(key digest) (int, bool) {
	return slices.BinarySearchFunc(v.entries, key, func(e *entry, key digest) int {
		return bytes.Compare(e.key[:], key[:])
	})
}

// find returns the entry of a key, or nil.
func (v *value) find(key digest) *entry {
	if i, ok := v.search(key); ok {
		return v.entries[i]
	}
	return nil
}

// put adds an entry and replaces any entry of the same key.
func (v *value) put(e *entry) {
	i, ok := v.search(e.key)
	if ok {
		v.subtractSize(v.entries[i])
		v.entries[i] = e
	} else {
		v.entries = slices.Insert(v.entries, i, e)
	}
	v.addSize(e)
}

// drop removes the entry of a key, if there is one.
func (v *value) drop(key digest) {
	if i, ok := v.search(key); ok {
		v.subtractSize(v.entries[i])
		v.entries = slices.Delete(v.entries, i, i+1)
	}
}

// dropExpired removes the entries whose retention has ended.
func (v *value) dropExpired(now time.Time) {
	v.entries = slices.DeleteFunc(v.entries, func(e *entry) bool {
		expired := e.expired(now)
		if expired {
			v.subtractSize(e)
		}
		return expired
	})
}

// addSize adds an entry to the size and to the counts of interned strings.
func (v *value) addSize(e *entry) {
	v.size += e.maxSize()
	for _, name := range e.internedStrings() {
		if v.interned[name] == 0 {
			v.size += internedBytes(name)
		}
		v.interned[name]++
	}
}

// subtractSize removes an entry from the size and from the counts of interned
// strings.
func (v *value) subtractSize(e *entry) {
	v.size -= e.maxSize()
	for _, name := range e.internedStrings() {
		v.interned[name]--
		if v.interned[name] == 0 {
			delete(v.interned, name)
			v.size -= internedBytes(name)
		}
	}
}

// sizeWith returns an upper bound of the encoded size after a put of the entry.
func (v *value) sizeWith(e *entry) int {
	size := v.size + e.maxSize()
	if old := v.find(e.key); old != nil {
		size -= old.maxSize()
	}
	for _, name := range e.internedStrings() {
		if v.interned[name] == 0 {
			size += internedBytes(name)
		}
	}
	return size
}

// clone returns a copy whose modification leaves v unchanged.
func (v *value) clone() *value {
	return &value{entries: slices.Clone(v.entries), interned: maps.Clone(v.interned), size: v.size}
}
