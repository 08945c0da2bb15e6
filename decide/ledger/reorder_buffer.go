package ledger

import "mimosaarch.example/core/engineapi"

// reorderBuffer holds tokens that arrived out of order. Token i is stored in
// slot i modulo the capacity. This is unique because the buffer never holds an
// index greater than the next index plus the capacity. Slots reuse their memory.
type reorderBuffer struct {
	slots []slot
	count int
}

// slot holds one token. steps is the slot's own storage for the token's steps.
type slot struct {
	used  bool
	token engineapi.Token
	steps []engineapi.Step
}

func newReorderBuffer(capacity int) reorderBuffer {
	return reorderBuffer{slots: make([]slot, capacity)}
}

func (b *reorderBuffer) capacity() int { return len(b.slots) }

func (b *reorderBuffer) slot(index int) *slot { return &b.slots[index%len(b.slots)] }

// has reports whether the buffer holds the token with this index.
func (b *reorderBuffer) has(index int) bool {
	if len(b.slots) == 0 {
		return false
	}
	s := b.slot(index)
	return s.used && s.token.Index == index
}

// put copies a token into the buffer. The caller must have checked that the
// token fits and is not in the buffer yet.
func (b *reorderBuffer) put(t engineapi.Token) {
	s := b.slot(t.Index)
	s.steps = append(s.steps[:0], t.Steps...)
	t.Steps = s.steps
	s.token = t
	s.used = true
	b.count++
}

// take removes and returns a token. Its Steps are valid until the next put into
// the same slot.
func (b *reorderBuffer) take(index int) engineapi.Token {
	s := b.slot(index)
	s.used = false
	b.count--
	return s.token
}

// lowest returns the smallest index in the buffer, given that all are greater
// than next. It returns next if the buffer is empty.
func (b *reorderBuffer) lowest(next int) int {
	for i := next + 1; i <= next+len(b.slots); i++ {
		if b.has(i) {
			return i
		}
	}
	return next
}
