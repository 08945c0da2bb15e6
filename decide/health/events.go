package health

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Success counts an attempt that the upstream served whole.
func (t *Tracker) Success(now time.Time, id ids.Upstream) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.prove(now)
	m.rate.add(now, true)
	m.circuit.succeed(now, m.service.policy)
	m.held = false
}

// Progress tells that some connection to the upstream moves on: a start was
// confirmed, tokens came, or it refused in form. It clears stalls, but not
// failures.
func (t *Tracker) Progress(now time.Time, id ids.Upstream) {
	if m, ok := t.members[id]; ok {
		m.prove(now)
	}
}

// Failure counts an attempt that failed for a reason. Reasons that are not
// the upstream's fault count as progress: busy, refused, cancelled.
func (t *Tracker) Failure(now time.Time, id ids.Upstream, reason outcome.Reason) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	switch reason {
	case outcome.ConnectFailed:
		t.fail(now, m, connectWeight)
	case outcome.UpstreamLost:
		merged := now.Sub(m.lost) < lostMerge
		m.lost = now
		if !merged {
			t.fail(now, m, 1)
		}
	case outcome.UpstreamInvalid, outcome.StageFailed, outcome.LedgerViolation:
		t.fail(now, m, 1)
	case outcome.UpstreamStalled:
		t.Stall(now, id)
	case outcome.UpstreamBusy, outcome.UpstreamRefused:
		m.prove(now)
	}
}

// Stall counts a connection that went without progress for too long. The
// first blames the connection; the second with no progress on any connection
// in between, or the first after reports have stopped, ejects.
func (t *Tracker) Stall(now time.Time, id ids.Upstream) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.stalls++
	silent := !m.reported.IsZero() && now.Sub(m.reported) > reportGrace
	trial := m.circuit.refresh(now) == HalfOpen
	if m.stalls >= stallsToEject || silent || trial {
		t.eject(now, m)
	}
}

// ReportReceived tells that the upstream's own report arrived from itself.
func (t *Tracker) ReportReceived(now time.Time, id ids.Upstream) {
	if m, ok := t.members[id]; ok {
		m.reported = now
		m.misses = 0
	}
}

// ReportMissed tells that the upstream did not answer a poll for its report.
func (t *Tracker) ReportMissed(now time.Time, id ids.Upstream) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.misses++
	if m.misses >= m.threshold(now) {
		t.eject(now, m)
	}
}

// prove notes that the upstream was seen to work.
func (m *member) prove(now time.Time) {
	m.proved = now
	m.stalls = 0
}

// fail counts a failure of some weight, and ejects if it is one too many.
func (t *Tracker) fail(now time.Time, m *member, weight int) {
	m.rate.add(now, false)
	if m.circuit.fail(now, weight, m.threshold(now)) || t.outlier(now, m) {
		t.eject(now, m)
	}
}

// eject takes an upstream out of use unless the floor forbids it.
func (t *Tracker) eject(now time.Time, m *member) {
	if !t.aboveFloor(now, m) {
		m.held = true
		return
	}
	m.held = false
	m.stalls = 0
	m.misses = 0
	m.rate = successRate{}
	m.circuit.eject(now, m.service.policy)
}

// aboveFloor reports whether enough upstreams stay in use without m.
func (t *Tracker) aboveFloor(now time.Time, m *member) bool {
	present, used := 0, 0
	for _, other := range m.service.members {
		if other.leaving {
			continue
		}
		present++
		if other != m && other.circuit.inUse(now) {
			used++
		}
	}
	if !m.circuit.inUse(now) {
		return true
	}
	return used*100 >= present*m.service.policy.FloorPercent
}
