package platform

import (
	"slices"
	"strings"
	"sync"

	"mimosaarch.example/core/platformapi"
)

// compactAbove is the length of the change log below which it is not compacted.
const compactAbove = 4096

// noCondition stands for an absent If-Match.
const noCondition int64 = -1

// result is what came of a store call.
type result int

const (
	found result = iota
	notFound
	conflict
)

// change is one entry of the change log.
type change struct {
	version int64
	key     string
}

// store holds the objects. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	revision int64
	// objects holds deleted ones too, so that watches can tell of them.
	objects map[string]platformapi.Object
	// keys of objects, sorted.
	keys []string
	// log is every key's newest change and some older ones, by version.
	log     []change
	waiters map[*waiter]struct{}
}

// newStore makes an empty store.
func newStore() *store {
	return &store{
		objects: make(map[string]platformapi.Object),
		waiters: make(map[*waiter]struct{}),
	}
}

// get gives an object. With notFound, the object tells the version of its
// deletion, if it ever was.
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
	return object, found
}

// put writes a value if the condition holds; with conflict it gives the
// current object.
func (s *store) put(key string, value []byte, ifMatch int64) (platformapi.Object, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.matches(key, ifMatch); !ok {
		return current, conflict
	}
	return s.write(platformapi.Object{Key: key, Value: value}), found
}

// remove deletes an object if the condition holds.
func (s *store) remove(key string, ifMatch int64) (platformapi.Object, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.matches(key, ifMatch)
	if !ok {
		return current, conflict
	}
	if current.Version == 0 || current.Deleted {
		return current, notFound
	}
	return s.write(platformapi.Object{Key: key, Deleted: true}), found
}

// matches gives the current object and whether the condition holds for it.
func (s *store) matches(key string, ifMatch int64) (platformapi.Object, bool) {
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

// write stores the object under the next version and wakes the watches on it.
func (s *store) write(object platformapi.Object) platformapi.Object {
	s.revision++
	object.Version = s.revision
	if _, known := s.objects[object.Key]; !known {
		at, _ := slices.BinarySearch(s.keys, object.Key)
		s.keys = slices.Insert(s.keys, at, object.Key)
	}
	s.objects[object.Key] = object
	s.log = append(s.log, change{version: object.Version, key: object.Key})
	s.compact()
	s.wake(object.Key)
	return object
}

// compact drops the log's outdated entries once they are the larger part.
func (s *store) compact() {
	if len(s.log) < compactAbove || len(s.log) < 2*len(s.objects) {
		return
	}
	s.log = slices.DeleteFunc(s.log, func(c change) bool { return !s.newest(c) })
}

// newest reports whether the entry is its key's last change.
func (s *store) newest(c change) bool {
	return s.objects[c.key].Version == c.version
}

// list gives the objects under a prefix, by key.
func (s *store) list(prefix string) platformapi.ListReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platformapi.ListReply{Revision: s.revision, Objects: []platformapi.Object{}}
	at, _ := slices.BinarySearch(s.keys, prefix)
	for _, key := range s.keys[at:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if object := s.objects[key]; !object.Deleted {
			reply.Objects = append(reply.Objects, object)
		}
	}
	return reply
}
