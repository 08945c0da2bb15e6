package queue

import "container/heap"

// indexedHeap is a heap that tells each item its index, so that any item can be
// removed or reordered.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex stores the index of an item after it moved.
	setIndex func(item T, index int)
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	h.setIndex(item, len(h.items))
	h.items = append(h.items, item)
}

func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	return item
}

// push adds an item.
func (h *indexedHeap[T]) push(item T) { heap.Push(h, item) }

// top returns the least item. The heap must not be empty.
func (h *indexedHeap[T]) top() T { return h.items[0] }

// remove removes the item at index.
func (h *indexedHeap[T]) remove(index int) { heap.Remove(h, index) }

// fix restores the order after the item at index has changed.
func (h *indexedHeap[T]) fix(index int) { heap.Fix(h, index) }

// walk calls visit for items, parents before their children. It skips the
// descendants of items for which visit returns false.
func (h *indexedHeap[T]) walk(visit func(T) bool) { h.walkFrom(0, visit) }

func (h *indexedHeap[T]) walkFrom(i int, visit func(T) bool) {
	if i >= len(h.items) || !visit(h.items[i]) {
		return
	}
	h.walkFrom(2*i+1, visit)
	h.walkFrom(2*i+2, visit)
}

// entry is a waiting item with its indexes in the heaps that hold it. seq numbers
// entries in the order of arrival.
type entry struct {
	Item
	seq                                uint64
	flow                               *flow
	flowIndex, deadlineIndex, ageIndex int
}

// entryHeap is a heap of entries.
type entryHeap = indexedHeap[*entry]

// newEntryHeap returns an empty heap with the given order and index field.
func newEntryHeap(less func(a, b *entry) bool, setIndex func(*entry, int)) entryHeap {
	return entryHeap{less: less, setIndex: setIndex}
}

// setDeadlineIndex, setFlowIndex and setAgeIndex store the index of an entry in
// Queue.byDeadline, flow.items and class.byAge.
func setDeadlineIndex(e *entry, i int) { e.deadlineIndex = i }
func setFlowIndex(e *entry, i int)     { e.flowIndex = i }
func setAgeIndex(e *entry, i int)      { e.ageIndex = i }

// earlierDeadline orders entries by deadline, then by arrival. Entries without a
// deadline come last.
func earlierDeadline(a, b *entry) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.seq < b.seq
	}
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return b.Deadline.IsZero()
	}
	return a.Deadline.Before(b.Deadline)
}

// earlierEnqueued orders entries by enqueue time, then by arrival.
func earlierEnqueued(a, b *entry) bool {
	if a.Enqueued.Equal(b.Enqueued) {
		return a.seq < b.seq
	}
	return a.Enqueued.Before(b.Enqueued)
}
