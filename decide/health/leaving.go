package health

import (
	"time"

	"mimosaarch.example/core/ids"
)

// maxEpochs bounds the epochs of an upstream that are remembered.
const maxEpochs = 4

// epochs remembers the latest epochs of an upstream, newest last, so that a late report
// of an earlier process is not taken for a restart.
type epochs struct{ seen []string }

// add adds an epoch, and reports whether it is new and not the first.
func (e *epochs) add(epoch string) bool {
	for _, known := range e.seen {
		if known == epoch {
			return false
		}
	}
	follows := len(e.seen) > 0
	e.seen = append(e.seen, epoch)
	if len(e.seen) > maxEpochs {
		e.seen = append([]string(nil), e.seen[1:]...)
	}
	return follows
}

// SetLeaving sets or clears the leaving mark of an upstream. An upstream that is not a
// member is ignored.
func (t *Tracker) SetLeaving(id ids.Upstream, leaving bool) {
	if m, ok := t.members[id]; ok {
		m.leaving = leaving
	}
}

// Epoch records the epoch of the upstream's process, which changes with each start. A
// new epoch clears stalls, failures and missed reports, and makes an ejected upstream
// half-open at once. An empty epoch is ignored.
func (t *Tracker) Epoch(_ time.Time, id ids.Upstream, epoch string) {
	m, ok := t.members[id]
	if !ok || epoch == "" || !m.epochs.add(epoch) {
		return
	}
	m.stalls = 0
	m.missedReports = 0
	m.heldByFloor = false
	clear(m.peerEjections)
	m.circuit.endEjection()
}
