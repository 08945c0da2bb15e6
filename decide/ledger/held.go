package ledger

import "mimosaarch.example/core/engineapi"

// held keeps tokens that came before their turn, at most capacity of them.
// Token i lies in slot i modulo the slots, which is unique since no index
// beyond next+capacity is put in. Slots reuse their storage.
type held struct {
	slots []slot
	count int
}

// slot is one place; steps is its own storage for the token's steps.
type slot struct {
	used  bool
	token engineapi.Token
	steps []engineapi.Step
}

func newHeld(capacity int) held { return held{slots: make([]slot, capacity)} }

func (h *held) capacity() int { return len(h.slots) }

func (h *held) slot(index int) *slot { return &h.slots[index%len(h.slots)] }

// has reports whether the token of this index is held.
func (h *held) has(index int) bool {
	if len(h.slots) == 0 {
		return false
	}
	s := h.slot(index)
	return s.used && s.token.Index == index
}

// put copies a token in; the caller checked that it fits and is not held.
func (h *held) put(t engineapi.Token) {
	s := h.slot(t.Index)
	s.steps = append(s.steps[:0], t.Steps...)
	t.Steps = s.steps
	s.token = t
	s.used = true
	h.count++
}

// take gives a held token back; its Steps hold until the slot's next put.
func (h *held) take(index int) engineapi.Token {
	s := h.slot(index)
	s.used = false
	h.count--
	return s.token
}

// lowest gives the smallest index held, searching from above next; next when
// none is held.
func (h *held) lowest(next int) int {
	for i := next + 1; i <= next+len(h.slots); i++ {
		if h.has(i) {
			return i
		}
	}
	return next
}
