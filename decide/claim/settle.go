package claim

import (
	"time"

	"mimosaarch.example/core/platformapi"
)

// answer takes the answer to the open call and decides the next step. An
// answer without an open call is dropped.
func (m *machine) answer(now time.Time, a Answer) {
	call := m.call
	m.call = callNone
	switch call {
	case callRead:
		m.readAnswer(now, a)
	case callWrite:
		m.writeAnswer(now, a)
	default:
		return
	}
}

// readAnswer takes the answer to a read.
func (m *machine) readAnswer(now time.Time, a Answer) {
	switch a.Kind {
	case AnswerObject, AnswerNotFound:
		if m.observe(now, a.Object) {
			m.failures = 0
			m.drive(now, true)
			return
		}
	default:
		m.group.counts.Failed++
	}
	m.pause(now)
	m.drive(now, false)
}

// writeAnswer takes the answer to a write.
func (m *machine) writeAnswer(now time.Time, a Answer) {
	batch, verdicts, next := m.batch, m.verdicts, m.next
	m.batch, m.verdicts, m.next = nil, nil, nil
	switch a.Kind {
	case AnswerWritten:
		m.version, m.exists = a.Object.Version, true
		m.keep(next)
		m.failures, m.conflicts = 0, 0
		m.deliver(batch, verdicts)
		m.drive(now, true)
	case AnswerConflict:
		m.group.counts.Conflicts++
		m.land(batch)
		m.conflict(now, a.Object)
	case AnswerLost:
		m.group.counts.Lost++
		m.taint(batch)
		m.land(batch)
		m.current = false
		if m.failures > 0 {
			m.pause(now)
		}
		m.failures = max(m.failures, 1)
		m.drive(now, false)
	default:
		m.group.counts.Failed++
		m.land(batch)
		m.pause(now)
		m.drive(now, false)
	}
}

// land takes operations out of flight, not settled. Those of other VMs that
// were given back meanwhile are theirs to settle.
func (m *machine) land(batch []*pending) {
	for _, p := range batch {
		p.inFlight, p.replaced = false, false
		p.done = p.op.remote && p.told
	}
	m.removeDone()
}

// taint marks the operations of a lost write.
func (m *machine) taint(batch []*pending) {
	for _, p := range batch {
		p.taint = max(p.taint, m.version)
	}
}

// conflict goes on from the object that was in the way. Several conflicts in
// a row bring a short random pause, so that writers spread.
func (m *machine) conflict(now time.Time, object platformapi.Object) {
	if object.Version < 0 || !m.observe(now, object) {
		m.current = false
	}
	if m.conflicts > 0 {
		most := conflictBackoff << min(m.conflicts, maxConflictDoublings)
		m.retryAt = now.Add(time.Duration(m.group.rand.Int64N(int64(most))))
	}
	m.conflicts++
	m.drive(now, m.current)
}

// observe takes an object that was read. It reports false when the object
// can't be used: an older version than one seen, or not a shard's value.
func (m *machine) observe(now time.Time, object platformapi.Object) bool {
	if object.Version == 0 || object.Deleted {
		m.version = max(m.version, object.Version)
		m.exists = false
		m.keep(newValue())
		return true
	}
	if object.Version < m.version {
		return false
	}
	if !m.exists || m.latest == nil || object.Version > m.version {
		v, err := decode(object.Value, m.group.settings.Shards, now, m.latest)
		if err != nil {
			m.problem(now, err)
			return false
		}
		m.keep(v)
	}
	m.version, m.exists, m.current = object.Version, true, true
	return true
}

// problem reports a value that can't be used.
func (m *machine) problem(now time.Time, err *ValueError) {
	m.current = false
	m.pause(now)
	m.group.emit(InvalidValue{Shard: m.shard, Err: err})
}

// pause delays the next call after a failure.
func (m *machine) pause(now time.Time) {
	backoff := m.group.settings.BackoffMin
	for range m.failures {
		backoff = min(2*backoff, m.group.settings.BackoffMax)
	}
	m.failures++
	half := int64(backoff / 2)
	m.retryAt = now.Add(time.Duration(half + m.group.rand.Int64N(half+1)))
}

// keep makes a value the latest one.
func (m *machine) keep(v *value) {
	m.forget()
	m.latest, m.current = v, true
	m.group.cached += v.size
}

// forget lets the latest value go.
func (m *machine) forget() {
	if m.latest != nil {
		m.group.cached -= m.latest.size
	}
	m.latest, m.current = nil, false
}

// rest lets an idle shard's value go when the Group keeps too much.
func (m *machine) rest() {
	if m.group.cached > m.group.settings.CacheBytes {
		m.forget()
	}
}
