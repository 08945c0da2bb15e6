// Package configorder decides which version of each configuration object is active
// on a node. Objects may arrive in any order, from the platform or relayed by
// peers. An active object is only replaced by one with a higher version.
//
// The package performs no I/O and reads no clock. A Store is not safe for
// concurrent use. The Config values that it returns are never modified.
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

// Settings limits the size of a Store. Zero and negative values select the defaults.
type Settings struct {
	// MaxObjects is the maximum number of keys, including deleted ones. Default
	// 65536.
	MaxObjects int
	// MaxBytes is the maximum total size of values. Default 64 MiB.
	MaxBytes int
}

// Store holds the newest and the active version of each object. Create it with New.
type Store struct {
	settings Settings
	entries  map[string]*entry
	// bytes, digest and invalid are kept up to date for Status.
	bytes   int
	digest  uint64
	invalid int
	// tombstoneFloor is the highest version of an evicted tombstone. An object of
	// an unknown key that is not newer may have been deleted.
	tombstoneFloor int64
	config         *router.Config
	// dirty holds the keys whose active object changed since config was built.
	dirty    map[string]bool
	accounts accountOwners
}

// entry holds the versions of one key.
type entry struct {
	// newest is the object with the highest version seen.
	newest platformapi.Object
	// active is newest, or an older object if newest is not valid. Its version is
	// 0 if no valid object is known.
	active platformapi.Object
	// doc is the document of active; nil if there is none or it was deleted.
	doc fleet.Document
	// rejectedVersion is the highest version below newest that is not valid either;
	// 0 if there is none. Peers need not send it again.
	rejectedVersion int64
	// configured is the document in the last Config.
	configured fleet.Document
}

// invalid reports whether the newest object is not valid.
func (e *entry) invalid() bool { return e.newest.Version != e.active.Version }

// bytes returns the total size of the values held.
func (e *entry) bytes() int {
	if e.invalid() {
		return len(e.newest.Value) + len(e.active.Value)
	}
	return len(e.active.Value)
}

// New returns an empty Store.
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

// Apply applies one object and returns whether the active object of its key
// changed. A version seen before changes nothing and is not an error.
//
// Apply returns a *StaleVersionError for an object older than the active one, a
// *FullError if the object exceeds a limit, and an *InvalidObjectError if it holds
// no valid document. The version of an invalid object is recorded, so that the
// error is returned only once. The Store keeps a reference to the object's value;
// the caller must not modify it.
func (s *Store) Apply(object platformapi.Object) (changed bool, err error) {
	return s.apply(object, s.tombstoneFloor)
}

// apply applies one object. An object of an unknown key must have a version above
// tombstoneFloor.
func (s *Store) apply(object platformapi.Object, tombstoneFloor int64) (bool, error) {
	if !strings.HasPrefix(object.Key, fleet.ConfigPrefix) || object.Version <= 0 {
		return false, &InvalidObjectError{Key: object.Key, Version: object.Version}
	}
	old, known := s.entries[object.Key]
	if !known {
		return s.applyNew(object, tombstoneFloor)
	}
	switch object.Version {
	case old.newest.Version, old.active.Version, old.rejectedVersion:
		return false, nil
	}
	if object.Version < old.active.Version {
		return false, &StaleVersionError{Key: object.Key, Version: object.Version, Active: old.active.Version}
	}
	return s.replace(old, object)
}

// applyNew applies an object of an unknown key.
func (s *Store) applyNew(object platformapi.Object, tombstoneFloor int64) (bool, error) {
	if object.Version <= tombstoneFloor {
		return false, &StaleVersionError{Key: object.Key, Version: object.Version, Active: tombstoneFloor}
	}
	if len(s.entries) >= s.settings.MaxObjects && !s.evictTombstone() {
		return false, s.fullError(object.Key)
	}
	return s.replace(&entry{}, object)
}

// replace stores an object that is newer than the active one, and makes it active
// if it is valid.
func (s *Store) replace(old *entry, object platformapi.Object) (bool, error) {
	next := *old
	doc, err := parse(object)
	if object.Version > old.newest.Version {
		next.newest = object
	}
	switch {
	case err == nil:
		next.active, next.doc = object, doc
	case object.Version < old.newest.Version:
		next.rejectedVersion = max(old.rejectedVersion, object.Version)
	}
	if s.bytes-old.bytes()+next.bytes() > s.settings.MaxBytes {
		return false, s.fullError(object.Key)
	}
	s.put(object.Key, old, &next)
	if err != nil {
		return false, &InvalidObjectError{Key: object.Key, Version: object.Version, Cause: err}
	}
	s.dirty[object.Key] = true
	return true, nil
}

// put replaces an entry and updates the totals.
func (s *Store) put(key string, old, next *entry) {
	s.bytes += next.bytes() - old.bytes()
	s.digest += next.digest(key) - old.digest(key)
	s.invalid += boolToInt(next.invalid()) - boolToInt(old.invalid())
	s.entries[key] = next
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fullError returns the error for an object that exceeds a limit.
func (s *Store) fullError(key string) error {
	return &FullError{Key: key, Objects: len(s.entries), Bytes: s.bytes}
}

// parse decodes the document of an object and checks its key. It returns nil for a
// deleted object.
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

// evictTombstone drops the tombstone with the lowest version to make room for
// another key. Only tombstones that Config has already applied can be dropped; it
// returns false if there is none.
func (s *Store) evictTombstone() bool {
	var oldest *entry
	for key, e := range s.entries {
		evictable := e.active.Deleted && !e.invalid() && !s.dirty[key]
		if evictable && (oldest == nil || e.active.Version < oldest.active.Version) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	key := oldest.active.Key
	s.put(key, oldest, &entry{})
	delete(s.entries, key)
	s.tombstoneFloor = max(s.tombstoneFloor, oldest.active.Version)
	return true
}
