// Package record keeps the most recent routing decisions of a node in bounded
// memory, so that operators can ask what happened to a request.
package record

import (
	"sync"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// History is a ring buffer of routing decisions, indexed by request. It is safe
// for concurrent use.
type History struct {
	mu        sync.Mutex
	decisions []router.Decision
	// next is the position that the next decision is written to.
	next int
	// indexes holds the positions in the ring of each request's decisions,
	// oldest first.
	indexes map[ids.Request][]int
}

// New returns a History that keeps up to capacity decisions, at least one.
func New(capacity int) *History {
	return &History{
		decisions: make([]router.Decision, max(1, capacity)),
		indexes:   make(map[ids.Request][]int),
	}
}

// Add stores a decision and overwrites the oldest one if the buffer is full.
func (h *History) Add(d router.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evict(h.decisions[h.next].ID)
	h.decisions[h.next] = d
	h.indexes[d.ID] = append(h.indexes[d.ID], h.next)
	h.next = (h.next + 1) % len(h.decisions)
}

// evict removes the oldest index entry of the request whose decision is about
// to be overwritten. An empty id means that the slot is unused.
func (h *History) evict(id ids.Request) {
	indexes := h.indexes[id]
	if len(indexes) <= 1 {
		delete(h.indexes, id)
		return
	}
	h.indexes[id] = indexes[1:]
}

// Decisions returns the stored decisions of a request, oldest first, or nil if
// there are none.
func (h *History) Decisions(id ids.Request) []router.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []router.Decision
	for _, index := range h.indexes[id] {
		found = append(found, h.decisions[index])
	}
	return found
}
