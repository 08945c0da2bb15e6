package health

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Source tells who said that an upstream is leaving.
type Source string

// Sources of word that an upstream is leaving.
const (
	FromVMList   Source = "vm_list"
	FromUpstream Source = "upstream"
	FromOperator Source = "operator"
	FromPeer     Source = "peer"
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

// Leaving marks an upstream as leaving, on the first word of any source. It
// stays so until SetMembers no longer lists it or it shows a new epoch.
func (t *Tracker) Leaving(_ time.Time, id ids.Upstream, source Source) {
	if m, ok := t.members[id]; ok && m.leaving == "" {
		m.leaving = source
	}
}

// LeavingSource tells who first said that an upstream is leaving; empty when
// it is not.
func (t *Tracker) LeavingSource(id ids.Upstream) Source {
	if m, ok := t.members[id]; ok {
		return m.leaving
	}
	return ""
}

// Epoch tells the upstream's process life. A new one ends its leaving, clears
// its failures, and turns an ejection into a trial at once. Empty is ignored.
func (t *Tracker) Epoch(_ time.Time, id ids.Upstream, epoch string) {
	m, ok := t.members[id]
	if !ok || epoch == "" || !m.epochs.add(epoch) {
		return
	}
	m.leaving = ""
	m.stalls = 0
	m.misses = 0
	m.held = false
	clear(m.hints)
	m.circuit.reopen()
}
