package health

import (
	"time"

	"mimosaarch.example/core/ids"
)

// maxRest bounds the rest that an upstream can ask for.
const maxRest = time.Minute

// Rest records that the upstream has refused a request and asks for none for a while. A
// later refusal can extend a rest, but not shorten it.
func (t *Tracker) Rest(now time.Time, id ids.Upstream, rest time.Duration) {
	m, ok := t.members[id]
	if !ok || rest <= 0 {
		return
	}
	if until := now.Add(min(rest, maxRest)); until.After(m.restUntil) {
		m.restUntil = until
	}
}

// resting reports whether the upstream gets no work because of a rest. At the end of the
// rest, an upstream that is in use returns to full weight slowly.
func (m *member) resting(now time.Time) bool {
	switch {
	case m.restUntil.IsZero():
		return false
	case now.Before(m.restUntil):
		return true
	}
	if m.circuit.inUse(now) {
		m.circuit.startReturn(m.restUntil)
	}
	m.restUntil = time.Time{}
	return false
}
