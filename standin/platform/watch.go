package platform

import (
	"slices"
	"strings"

	"mimosaarch.example/core/platformapi"
)

// watcher is one watch that waits for changes under a prefix. changed holds at most one
// signal, so that notify never blocks.
type watcher struct {
	prefix  string
	changed chan struct{}
}

// addWatcher registers a watcher for changes of keys with a prefix.
func (s *store) addWatcher(prefix string) *watcher {
	w := &watcher{prefix: prefix, changed: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = struct{}{}
	return w
}

// removeWatcher deregisters a watcher.
func (s *store) removeWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

// notify signals the watchers of a key. The caller holds the lock.
func (s *store) notify(key string) {
	for w := range s.watchers {
		if !strings.HasPrefix(key, w.prefix) {
			continue
		}
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
}

// changes returns the current state of the objects whose key has a prefix and whose
// version is above revision after, sorted by version and including deleted ones.
func (s *store) changes(prefix string, after int64) platformapi.ListReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platformapi.ListReply{Revision: s.revision, Objects: []platformapi.Object{}}
	i, _ := slices.BinarySearchFunc(s.log, after+1, compareVersion)
	for _, c := range s.log[i:] {
		if strings.HasPrefix(c.key, prefix) && s.isNewest(c) {
			reply.Objects = append(reply.Objects, s.objects[c.key])
		}
	}
	return reply
}

// compareVersion compares the version of a change with a version, for a binary search.
func compareVersion(c change, version int64) int {
	switch {
	case c.version < version:
		return -1
	case c.version > version:
		return 1
	default:
		return 0
	}
}
