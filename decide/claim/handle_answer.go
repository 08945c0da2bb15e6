package claim

import (
	"time"

	"mimosaarch.example/core/platformapi"
)

// answer handles the answer to the open call and starts the next call if one is
// due. It ignores an answer if no call is open.
func (s *shardCommitter) answer(now time.Time, a Answer) {
	call := s.call
	s.call = callNone
	switch call {
	case callRead:
		s.readAnswer(now, a)
	case callWrite:
		s.writeAnswer(now, a)
	default:
		return
	}
}

// readAnswer handles the answer to a read.
func (s *shardCommitter) readAnswer(now time.Time, a Answer) {
	switch a.Kind {
	case AnswerObject, AnswerNotFound:
		if s.observe(now, a.Object) {
			s.failures = 0
			s.advance(now, true)
			return
		}
	default:
		s.group.counts.Failed++
	}
	s.backOff(now)
	s.advance(now, false)
}

// writeAnswer handles the answer to a write.
func (s *shardCommitter) writeAnswer(now time.Time, a Answer) {
	batch, results, next := s.batch, s.results, s.next
	s.batch, s.results, s.next = nil, nil, nil
	switch a.Kind {
	case AnswerWritten:
		s.version, s.exists = a.Object.Version, true
		s.setLatest(next)
		s.failures, s.conflicts = 0, 0
		s.resolve(batch, results)
		s.advance(now, true)
	case AnswerConflict:
		s.group.counts.Conflicts++
		s.returnToQueue(batch)
		s.handleConflict(now, a.Object)
	case AnswerLost:
		s.group.counts.Lost++
		s.markLost(batch)
		s.returnToQueue(batch)
		s.current = false
		if s.failures > 0 {
			s.backOff(now)
		}
		s.failures = max(s.failures, 1)
		s.advance(now, false)
	default:
		s.group.counts.Failed++
		s.returnToQueue(batch)
		s.backOff(now)
		s.advance(now, false)
	}
}

// returnToQueue marks operations that a write has not resolved as no longer in
// flight. It drops operations of other VMs that were returned to their origin in
// the meantime.
func (s *shardCommitter) returnToQueue(batch []*pending) {
	for _, p := range batch {
		p.inFlight, p.replaced = false, false
		p.done = p.op.remote && p.reported
	}
	s.removeDone()
}

// markLost records that a write of these operations was lost.
func (s *shardCommitter) markLost(batch []*pending) {
	for _, p := range batch {
		p.lostVersion = max(p.lostVersion, s.version)
	}
}

// handleConflict continues with the object that caused a conflict. After
// repeated conflicts it waits for a short random time, so that the writes of
// several VMs spread out.
func (s *shardCommitter) handleConflict(now time.Time, object platformapi.Object) {
	if object.Version < 0 || !s.observe(now, object) {
		s.current = false
	}
	if s.conflicts > 0 {
		maxPause := conflictBackoff << min(s.conflicts, maxConflictDoublings)
		s.retryAt = now.Add(time.Duration(s.group.rand.Int64N(int64(maxPause))))
	}
	s.conflicts++
	s.advance(now, s.current)
}

// observe updates the state from an object that was read. It returns false if
// the object cannot be used, because its version is older than one seen before
// or its value is invalid.
func (s *shardCommitter) observe(now time.Time, object platformapi.Object) bool {
	if object.Version == 0 || object.Deleted {
		s.version = max(s.version, object.Version)
		s.exists = false
		s.setLatest(newValue())
		return true
	}
	if object.Version < s.version {
		return false
	}
	if !s.exists || s.latest == nil || object.Version > s.version {
		v, err := decode(object.Value, s.group.settings.Shards, now, s.latest)
		if err != nil {
			s.reportInvalid(now, err)
			return false
		}
		s.setLatest(v)
	}
	s.version, s.exists, s.current = object.Version, true, true
	return true
}

// reportInvalid reports a value that cannot be used and backs off.
func (s *shardCommitter) reportInvalid(now time.Time, err *ValueError) {
	s.current = false
	s.backOff(now)
	s.group.emit(InvalidValue{Shard: s.shard, Err: err})
}

// backOff delays the next call after a failure. The delay doubles with each
// failure in a row and is shortened at random by up to half.
func (s *shardCommitter) backOff(now time.Time) {
	backoff := s.group.settings.BackoffMin
	for range s.failures {
		backoff = min(2*backoff, s.group.settings.BackoffMax)
	}
	s.failures++
	half := int64(backoff / 2)
	s.retryAt = now.Add(time.Duration(half + s.group.rand.Int64N(half+1)))
}

// setLatest makes v the latest value.
func (s *shardCommitter) setLatest(v *value) {
	s.dropLatest()
	s.latest, s.current = v, true
	s.group.cached += v.size
}

// dropLatest removes the latest value from memory.
func (s *shardCommitter) dropLatest() {
	if s.latest != nil {
		s.group.cached -= s.latest.size
	}
	s.latest, s.current = nil, false
}

// evictIfOverLimit drops the value of an idle shard if the cached values of the
// Group exceed Settings.CacheBytes.
func (s *shardCommitter) evictIfOverLimit() {
	if s.group.cached > s.group.settings.CacheBytes {
		s.dropLatest()
	}
}
