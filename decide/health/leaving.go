package health

import (
	"time"

	"mimosaarch.example/core/ids"
)

// keptEpochs is how many epochs of an upstream are remembered.
const keptEpochs = 4

// epochs remembers the newest epochs of an upstream, newest last, so that a
// late report of an earlier life is not taken for a new one.
type epochs struct{ seen []string }

// add notes an epoch, and reports whether it follows another.
func (e *epochs) add(epoch string) bool {
	for _, known := range e.seen {
		if known == epoch {
			return false
		}
	}
	follows := len(e.seen) > 0
	e.seen = append(e.seen, epoch)
	if len(e.seen) > keptEpochs {
		e.seen = append([]string(nil), e.seen[1:]...)
	}
	return follows
}

// SetLeaving marks an upstream as leaving, or takes the mark back. Who said so
// is the caller's to keep. One that is not a member is passed over.
func (t *Tracker) SetLeaving(id ids.Upstream, leaving bool) {
	if m, ok := t.members[id]; ok {
		m.leaving = leaving
	}
}

// Epoch tells the upstream's process life. A new one clears its
// failures, and turns an ejection into a trial at once. Empty is ignored.
func (t *Tracker) Epoch(_ time.Time, id ids.Upstream, epoch string) {
	m, ok := t.members[id]
	if !ok || epoch == "" || !m.epochs.add(epoch) {
		return
	}
	m.stalls = 0
	m.misses = 0
	m.held = false
	clear(m.hints)
	m.circuit.reopen()
}
