package health

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
)

// Success counts an attempt that the upstream answered completely.
func (t *Tracker) Success(now time.Time, id ids.Upstream) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.recordProgress(now)
	m.rate.add(now, true)
	m.circuit.succeed(now, m.service.policy)
	m.heldByFloor = false
}

// Progress records that a connection to the upstream makes progress: a start was
// confirmed, tokens arrived, or the upstream refused properly. It clears stalls, but
// not failures.
func (t *Tracker) Progress(now time.Time, id ids.Upstream) {
	if m, ok := t.members[id]; ok {
		m.recordProgress(now)
	}
}

// Failure counts an attempt that failed for a reason. Busy and refused are not the
// upstream's fault and count as progress. Other reasons, such as cancelled, are
// ignored.
func (t *Tracker) Failure(now time.Time, id ids.Upstream, reason outcome.Reason) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	switch reason {
	case outcome.ConnectFailed:
		t.fail(now, m, connectFailureWeight)
	case outcome.UpstreamLost:
		merged := now.Sub(m.lastLost) < lostMergeWindow
		m.lastLost = now
		if !merged {
			t.fail(now, m, 1)
		}
	case outcome.UpstreamInvalid, outcome.StageFailed, outcome.LedgerViolation:
		t.fail(now, m, 1)
	case outcome.UpstreamStalled:
		t.Stall(now, id)
	case outcome.UpstreamBusy, outcome.UpstreamRefused:
		m.recordProgress(now)
	}
}

// Stall counts a connection without progress. The first stall is blamed on the
// connection. The upstream is ejected at the second one with no progress in between, or
// at the first one if its reports have stopped or it is on trial.
func (t *Tracker) Stall(now time.Time, id ids.Upstream) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.stalls++
	silent := !m.lastReport.IsZero() && now.Sub(m.lastReport) > reportTimeout
	trial := m.circuit.refresh(now) == HalfOpen
	if m.stalls >= stallsToEject || silent || trial {
		t.eject(now, m)
	}
}

// ReportReceived records that a load report of the upstream has arrived from the
// upstream itself.
func (t *Tracker) ReportReceived(now time.Time, id ids.Upstream) {
	if m, ok := t.members[id]; ok {
		m.lastReport = now
		m.missedReports = 0
	}
}

// ReportMissed records that the upstream did not answer a poll for its report. Polls
// missed in a row eject at the same threshold as failures.
func (t *Tracker) ReportMissed(now time.Time, id ids.Upstream) {
	m, ok := t.members[id]
	if !ok {
		return
	}
	m.missedReports++
	if m.missedReports >= m.ejectThreshold(now) {
		t.eject(now, m)
	}
}

// recordProgress records that the upstream was seen working.
func (m *member) recordProgress(now time.Time) {
	m.lastProgress = now
	m.stalls = 0
}

// fail counts a failure of the given weight, and ejects the upstream if it has reached
// the threshold or is an outlier.
func (t *Tracker) fail(now time.Time, m *member, weight int) {
	m.rate.add(now, false)
	if m.circuit.fail(now, weight, m.ejectThreshold(now)) || t.isOutlier(now, m) {
		t.eject(now, m)
	}
}

// eject ejects an upstream unless its service would fall below its floor.
func (t *Tracker) eject(now time.Time, m *member) {
	if !t.aboveFloor(now, m) {
		m.heldByFloor = true
		return
	}
	m.heldByFloor = false
	m.stalls = 0
	m.missedReports = 0
	m.rate = successRate{}
	m.circuit.eject(now, m.service.policy)
}

// aboveFloor reports whether enough upstreams of the service stay in use without m.
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
