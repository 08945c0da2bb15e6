package queue

import "container/heap"

// indexed is a heap whose items know their place, so that any can be removed.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, index int)
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *indexed[T]) Len() int           { return len(h.items) }
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}

func (h *indexed[T]) Push(x any) {
	item := x.(T)
	h.place(item, len(h.items))
	h.items = append(h.items, item)
}

func (h *indexed[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	return item
}

// push adds an item.
func (h *indexed[T]) push(item T) { heap.Push(h, item) }

// top gives the least item; the heap must not be empty.
func (h *indexed[T]) top() T { return h.items[0] }

// remove takes out the item at index.
func (h *indexed[T]) remove(index int) { heap.Remove(h, index) }

// fix restores the order after the item at index has changed.
func (h *indexed[T]) fix(index int) { heap.Fix(h, index) }

// walk visits items, none before its parent in the heap. It does not go below
// an item for which visit is false.
func (h *indexed[T]) walk(visit func(T) bool) { h.walkFrom(0, visit) }

func (h *indexed[T]) walkFrom(i int, visit func(T) bool) {
	if i >= len(h.items) || !visit(h.items[i]) {
		return
	}
	h.walkFrom(2*i+1, visit)
	h.walkFrom(2*i+2, visit)
}

// entry is a waiting item with its places in the heaps that hold it.
type entry struct {
	Item
	seq                           uint64
	flow                          *flow
	flowIndex, dueIndex, ageIndex int
}

// entryHeap holds entries in some order.
type entryHeap = indexed[*entry]

func newEntryHeap(less func(a, b *entry) bool, place func(*entry, int)) entryHeap {
	return entryHeap{less: less, place: place}
}

func placeDue(e *entry, i int)  { e.dueIndex = i }
func placeFlow(e *entry, i int) { e.flowIndex = i }
func placeAge(e *entry, i int)  { e.ageIndex = i }

// earlierDeadline orders by deadline, those without one last, then by arrival.
func earlierDeadline(a, b *entry) bool {
	if a.Deadline.Equal(b.Deadline) {
		return a.seq < b.seq
	}
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return b.Deadline.IsZero()
	}
	return a.Deadline.Before(b.Deadline)
}

// earlierEnqueued orders by the time waited.
func earlierEnqueued(a, b *entry) bool {
	if a.Enqueued.Equal(b.Enqueued) {
		return a.seq < b.seq
	}
	return a.Enqueued.Before(b.Enqueued)
}
