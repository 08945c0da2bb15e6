// Package configorder keeps the newest configuration objects a node has seen,
// from the platform or relayed by peers, in whatever order they come. An
// object in force is only ever replaced by one of a higher version.
//
// The package is pure. A Store is not safe for concurrent use: one goroutine
// owns it. The Config values that it hands out never change.
package configorder

import (
	"strings"

	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/router"
)

// Defaults of Settings.
const (
	defaultMaxObjects = 1 << 16
	defaultMaxBytes   = 64 << 20
)

// Settings bound a Store. Zero values stand for the defaults.
type Settings struct {
	// MaxObjects bounds the keys known, deleted ones included. Default 65536.
	MaxObjects int
	// MaxBytes bounds the values held. Default 64 MiB.
	MaxBytes int
}

// Store holds the newest version of each object.
type Store struct {
	settings Settings
	entries  map[string]*entry
	bytes    int
	digest   uint64
	invalid  int
	// floor is the highest version of a forgotten deletion: an object of an
	// unknown key that is not newer may be a deleted one.
	floor    int64
	config   *router.Config
	dirty    map[string]bool
	accounts accountOwners
}

// entry is what is known of one key.
type entry struct {
	// seen is the object of the highest version.
	seen platformapi.Object
	// good is the one in force: seen, or an older one where seen is not
	// valid. Its version is 0 when there is none.
	good platformapi.Object
	// doc is good's document; nil when there is none or it was deleted.
	doc fleet.Document
	// rejected is an older version than seen that is not valid either; 0
	// when there is none. Peers need not send it again.
	rejected int64
	// built is the document in the last Config.
	built fleet.Document
}

// invalid reports whether the newest object is not valid.
func (e *entry) invalid() bool { return e.seen.Version != e.good.Version }

// bytes is the size of the values held.
func (e *entry) bytes() int {
	if e.invalid() {
		return len(e.seen.Value) + len(e.good.Value)
	}
	return len(e.good.Value)
}

// New makes an empty Store.
func New(settings Settings) *Store {
	if settings.MaxObjects <= 0 {
		settings.MaxObjects = defaultMaxObjects
	}
	if settings.MaxBytes <= 0 {
		settings.MaxBytes = defaultMaxBytes
	}
	return &Store{
		settings: settings,
		entries:  make(map[string]*entry),
		config:   emptyConfig(),
		dirty:    make(map[string]bool),
		accounts: make(accountOwners),
	}
}

// Apply takes one object. It reports whether another object is now in force
// for the key. A version seen before is no error and changes nothing. Errors:
// *BackwardsError, *FullError, and *InvalidObjectError for an object that
// holds no valid document: its version is remembered, so that it is reported
// once and not again. The Store keeps the object's value; the caller must not
// change it.
func (s *Store) Apply(object platformapi.Object) (changed bool, err error) {
	return s.apply(object, s.floor)
}

// apply takes one object; that of a key not known must be above floor.
func (s *Store) apply(object platformapi.Object, floor int64) (bool, error) {
	if !strings.HasPrefix(object.Key, fleet.ConfigPrefix) || object.Version <= 0 {
		return false, &InvalidObjectError{Key: object.Key, Version: object.Version}
	}
	old, known := s.entries[object.Key]
	if !known {
		return s.applyNew(object, floor)
	}
	switch object.Version {
	case old.seen.Version, old.good.Version, old.rejected:
		return false, nil
	}
	if object.Version < old.good.Version {
		return false, &StaleVersionError{Key: object.Key, Version: object.Version, Active: old.good.Version}
	}
	return s.replace(old, object)
}

// applyNew takes an object of a key not known so far.
func (s *Store) applyNew(object platformapi.Object, floor int64) (bool, error) {
	if object.Version <= floor {
		return false, &StaleVersionError{Key: object.Key, Version: object.Version, Active: floor}
	}
	if len(s.entries) >= s.settings.MaxObjects && !s.forgetDeletion() {
		return false, s.full(object.Key)
	}
	return s.replace(&entry{}, object)
}

// replace puts an object that is newer than the one in force in its place.
func (s *Store) replace(old *entry, object platformapi.Object) (bool, error) {
	next := *old
	doc, err := parse(object)
	if object.Version > old.seen.Version {
		next.seen = object
	}
	switch {
	case err == nil:
		next.good, next.doc = object, doc
	case object.Version < old.seen.Version:
		next.rejected = max(old.rejected, object.Version)
	}
	if s.bytes-old.bytes()+next.bytes() > s.settings.MaxBytes {
		return false, s.full(object.Key)
	}
	s.put(object.Key, old, &next)
	if err != nil {
		return false, &InvalidObjectError{Key: object.Key, Version: object.Version, Cause: err}
	}
	s.dirty[object.Key] = true
	return true, nil
}

// put stores an entry in place of an older one.
func (s *Store) put(key string, old, next *entry) {
	s.bytes += next.bytes() - old.bytes()
	s.digest += next.digest(key) - old.digest(key)
	s.invalid += count(next.invalid()) - count(old.invalid())
	s.entries[key] = next
}

// count is 1 for true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// full is the error for a key without room.
func (s *Store) full(key string) error {
	return &FullError{Key: key, Objects: len(s.entries), Bytes: s.bytes}
}

// parse reads an object's document; nil for a deleted one.
func parse(object platformapi.Object) (fleet.Document, error) {
	if object.Deleted {
		return nil, nil
	}
	doc, err := fleet.Parse(object.Value)
	if err != nil {
		return nil, err
	}
	if want := fleet.Key(doc); want != object.Key {
		return nil, &KeyMismatchError{Want: want}
	}
	return doc, nil
}

// forgetDeletion drops the oldest deletion to make room; false if there is
// none that may go.
func (s *Store) forgetDeletion() bool {
	var oldest *entry
	for key, e := range s.entries {
		forgettable := e.good.Deleted && !e.invalid() && !s.dirty[key]
		if forgettable && (oldest == nil || e.good.Version < oldest.good.Version) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	key := oldest.good.Key
	s.put(key, oldest, &entry{})
	delete(s.entries, key)
	s.floor = max(s.floor, oldest.good.Version)
	return true
}
