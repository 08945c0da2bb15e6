package platform

import (
	"slices"
	"strings"
	"sync"

	"mimosaarch.example/core/platformapi"
)

// minCompactLen is the number of entries below which the change log is not compacted.
const minCompactLen = 4096

// noCondition is the version that stands for an absent If-Match header.
const noCondition int64 = -1

// result is the outcome of a call to the store: conflict means that the condition of a
// write does not hold.
type result int

const (
	succeeded result = iota
	notFound
	conflict
)

// change is one entry of the change log: the version that a write gave to key.
type change struct {
	version int64
	key     string
}

// store holds the versioned objects in memory. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision int64
	// objects includes deleted objects, so that watches can report them.
	objects map[string]platformapi.Object
	// keys holds the keys of objects, sorted.
	keys []string
	// log holds the newest change of every key and some older changes, sorted by
	// version.
	log      []change
	watchers map[*watcher]struct{}
}

// newStore returns an empty store.
func newStore() *store {
	return &store{
		objects:  make(map[string]platformapi.Object),
		watchers: make(map[*watcher]struct{}),
	}
}

// get returns an object. With notFound, the object has the version of its deletion, or
// zero if it never existed.
func (s *store) get(key string) (platformapi.Object, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return platformapi.Object{Key: key}, notFound
	}
	if object.Deleted {
		return object, notFound
	}
	return object, succeeded
}

// put writes a value if the condition ifMatch holds, and returns the new object. With
// conflict it returns the current object.
func (s *store) put(key string, value []byte, ifMatch int64) (platformapi.Object, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.checkCondition(key, ifMatch); !ok {
		return current, conflict
	}
	return s.write(platformapi.Object{Key: key, Value: value}), succeeded
}

// remove deletes an object if the condition ifMatch holds, and returns the deleted
// object with the version of the deletion. With conflict or notFound it returns the
// current object.
func (s *store) remove(key string, ifMatch int64) (platformapi.Object, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.checkCondition(key, ifMatch)
	if !ok {
		return current, conflict
	}
	if current.Version == 0 || current.Deleted {
		return current, notFound
	}
	return s.write(platformapi.Object{Key: key, Deleted: true}), succeeded
}

// checkCondition returns the current object and whether the condition ifMatch holds
// for it. The caller holds the lock.
func (s *store) checkCondition(key string, ifMatch int64) (platformapi.Object, bool) {
	current, ok := s.objects[key]
	if !ok {
		current = platformapi.Object{Key: key}
	}
	exists := ok && !current.Deleted
	switch {
	case ifMatch == noCondition:
		return current, true
	case ifMatch == 0:
		return current, !exists
	default:
		return current, exists && current.Version == ifMatch
	}
}

// write stores an object with the next version and notifies its watchers. The caller
// holds the lock.
func (s *store) write(object platformapi.Object) platformapi.Object {
	s.revision++
	object.Version = s.revision
	if _, known := s.objects[object.Key]; !known {
		i, _ := slices.BinarySearch(s.keys, object.Key)
		s.keys = slices.Insert(s.keys, i, object.Key)
	}
	s.objects[object.Key] = object
	s.log = append(s.log, change{version: object.Version, key: object.Key})
	s.compact()
	s.notify(object.Key)
	return object
}

// compact removes outdated entries from the log once they are at least half of it. The
// caller holds the lock.
func (s *store) compact() {
	if len(s.log) < minCompactLen || len(s.log) < 2*len(s.objects) {
		return
	}
	s.log = slices.DeleteFunc(s.log, func(c change) bool { return !s.isNewest(c) })
}

// isNewest reports whether an entry of the log is the last change of its key. The
// caller holds the lock.
func (s *store) isNewest(c change) bool {
	return s.objects[c.key].Version == c.version
}

// list returns the objects whose key has a prefix, sorted by key and without deleted
// ones.
func (s *store) list(prefix string) platformapi.ListReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platformapi.ListReply{Revision: s.revision, Objects: []platformapi.Object{}}
	i, _ := slices.BinarySearch(s.keys, prefix)
	for _, key := range s.keys[i:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if object := s.objects[key]; !object.Deleted {
			reply.Objects = append(reply.Objects, object)
		}
	}
	return reply
}
