// Package record keeps the newest decisions of a node in bounded memory, so
// that what happened to a request can be explained.
package record

import (
	"sync"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// History holds the newest decisions. Any goroutine may call any method.
type History struct {
	mu    sync.Mutex
	steps []router.Decision
	// next is the place of the next decision in steps.
	next int
	// places lists where each request's decisions stand in steps.
	places map[ids.Request][]int
}

// New makes a Book that holds the given count of decisions, at least 1.
func New(capacity int) *History {
	return &History{
		steps:  make([]router.Decision, max(1, capacity)),
		places: make(map[ids.Request][]int),
	}
}

// Add keeps a decision in place of the oldest one.
func (b *History) Add(d router.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evict(b.steps[b.next].ID)
	b.steps[b.next] = d
	b.places[d.ID] = append(b.places[d.ID], b.next)
	b.next = (b.next + 1) % len(b.steps)
}

// evict forgets the oldest decision of the request, which is about to be
// overwritten; an empty name means that the place is free.
func (b *History) evict(id ids.Request) {
	places := b.places[id]
	if len(places) <= 1 {
		delete(b.places, id)
		return
	}
	b.places[id] = places[1:]
}

// Decisions gives the decisions of a request, oldest first; nil when none is kept.
func (b *History) Decisions(id ids.Request) []router.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []router.Decision
	for _, place := range b.places[id] {
		found = append(found, b.steps[place])
	}
	return found
}
