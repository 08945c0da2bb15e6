package platform

import (
	"slices"
	"strings"

	"mimosaarch.example/core/platformapi"
)

// waiter is one waiting watch. changed holds at most one signal.
type waiter struct {
	prefix  string
	changed chan struct{}
}

// addWaiter starts to signal changes under a prefix.
func (s *store) addWaiter(prefix string) *waiter {
	w := &waiter{prefix: prefix, changed: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[w] = struct{}{}
	return w
}

// dropWaiter ends the signals.
func (s *store) dropWaiter(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w)
}

// wake signals the watches on a key. The caller holds the lock.
func (s *store) wake(key string) {
	for w := range s.waiters {
		if !strings.HasPrefix(key, w.prefix) {
			continue
		}
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
}

// changes gives the newest state of each object under a prefix that changed
// above a revision, deleted ones included, by version.
func (s *store) changes(prefix string, after int64) platformapi.ListReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := platformapi.ListReply{Revision: s.revision, Objects: []platformapi.Object{}}
	at, _ := slices.BinarySearchFunc(s.log, after+1, compareVersion)
	for _, c := range s.log[at:] {
		if strings.HasPrefix(c.key, prefix) && s.newest(c) {
			reply.Objects = append(reply.Objects, s.objects[c.key])
		}
	}
	return reply
}

// compareVersion orders a change against a version.
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
