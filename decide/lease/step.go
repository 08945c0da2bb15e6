package lease

import (
	"fmt"
	"slices"
	"time"

	"mimosaarch.example/core/backoff"
	"mimosaarch.example/core/revision"
)

// Tick returns the call to make now, or nil. It must be called often compared
// with the Duration, for example every hundredth of it. The clock must be read
// right before the call, because the duration of a written lease counts from
// now.
func (l *Lease) Tick(now time.Time) Command {
	if l.callOpen || now.Before(l.nextCallAt) {
		return nil
	}
	command := l.nextCommand(now)
	l.callOpen = command != nil
	read, isRead := command.(Read)
	l.staleRead = isRead && read.Stale
	return command
}

// nextCommand chooses the next call, or nil.
func (l *Lease) nextCommand(now time.Time) Command {
	switch {
	case !l.candidate && !l.known && len(l.writes) == 0:
		// There is nothing to acquire or release.
		return nil
	case !l.known || l.mustRead:
		return Read{}
	case l.candidate && l.stillExclusive(now):
		return l.acquire(now)
	case l.isOwnRecord():
		return l.renewOrRelease(now)
	case !l.candidate:
		return nil
	case l.record.Holder == "":
		return l.acquire(now)
	case !now.Before(l.takeoverTime()):
		return l.acquire(now)
	}
	return Read{Stale: l.opts.StaleReads}
}

// stillExclusive reports whether a term of this process, which ended with its epoch, would
// still be valid, so that no other process can have acquired the lease.
func (l *Lease) stillExclusive(now time.Time) bool {
	return l.term == 0 && now.Before(l.heldUntil)
}

// acquire begins a new term, or returns nil while another process may hold the lease
// without this one knowing it.
func (l *Lease) acquire(now time.Time) Command {
	if !l.stillExclusive(now) && now.Before(l.unknownHolderUntil()) {
		return nil
	}
	return l.write(now, l.opts.Holder, max(l.record.Term, l.highestTerm)+1)
}

// unknownHolderUntil returns when the lease of a holder that the store has forgotten
// has certainly expired.
func (l *Lease) unknownHolderUntil() time.Time {
	if l.epochSince.IsZero() {
		return time.Time{}
	}
	return l.epochSince.Add(l.opts.Duration + l.opts.Margin)
}

// takeoverTime returns when the other holder's lease has certainly expired,
// unless the object changes before then.
func (l *Lease) takeoverTime() time.Time {
	return l.versionSeenAt.Add(max(l.record.Duration(), l.opts.Duration) + l.opts.Margin)
}

// isOwnRecord reports whether the object names this process as the holder.
func (l *Lease) isOwnRecord() bool {
	return l.version.Number != 0 && l.record.Holder == l.opts.Holder
}

// renewOrRelease renews the lease of this process, begins a new term if it has
// expired, or releases it after Resign.
func (l *Lease) renewOrRelease(now time.Time) Command {
	left := l.until.Sub(now)
	switch {
	case !l.candidate:
		return l.write(now, "", l.record.Term)
	case l.term != l.record.Term || left <= 0:
		return l.acquire(now)
	case left <= l.opts.Duration-l.opts.Duration/renewDivisor:
		return l.write(now, l.opts.Holder, l.record.Term)
	}
	return nil
}

// write returns a conditional update and remembers when it was made.
func (l *Lease) write(now time.Time, holder string, term int64) Command {
	l.writeCount++
	change := fmt.Sprintf("%s-%d", l.opts.Holder, l.writeCount)
	if holder != "" {
		l.writes = append(l.writes, sentWrite{change: change, term: term, at: now})
		l.writes = l.writes[max(len(l.writes)-maxUnresolvedWrites, 0):]
	}
	record := Record{
		Holder:     holder,
		Term:       term,
		DurationNs: int64(l.opts.Duration),
		Change:     change,
	}
	return Write{Record: record, IfMatch: l.version}
}

// Answered handles the answer to the last command, received at now. It is
// ignored if no command is open.
func (l *Lease) Answered(now time.Time, answer Answer) {
	if !l.callOpen {
		return
	}
	l.callOpen = false
	if answer.Kind == Found || answer.Kind == Absent || answer.Kind == Unreadable {
		if answer.Version.Epoch < l.epoch {
			answer.Kind = Lost
		}
		l.ObserveEpoch(now, answer.Version.Epoch)
	}
	if answer.Kind == Found && !answer.Record.valid() {
		answer.Kind = Unreadable
	}
	switch answer.Kind {
	case Found:
		l.mustRead = false
		l.observe(now, answer.Version, answer.Record)
	case Unreadable:
		// The object names no valid holder. It may be overwritten after a whole
		// duration.
		l.mustRead = false
		l.observe(now, answer.Version, Record{DurationNs: int64(l.opts.Duration), Holder: unreadableHolder})
	case Absent:
		l.mustRead = false
		// A stale read may show the state before the object was created.
		if !l.staleRead {
			l.observeAbsent(now, answer.Version.Epoch)
		}
	case Lost:
		// A stale read changes nothing, so its loss requires no new read.
		l.mustRead = l.mustRead || !l.staleRead
	}
	l.schedule(now, answer.Kind)
}

// unreadableHolder is the assumed holder if the object cannot be read.
const unreadableHolder = "?"

// schedule sets the earliest time of the next call.
func (l *Lease) schedule(now time.Time, kind AnswerKind) {
	if kind == Failed || kind == Lost {
		l.nextCallAt = now.Add(l.jitter(l.retryWait()))
		l.failures++
		return
	}
	l.failures = 0
	switch {
	case l.record.Holder == "" || l.isOwnRecord() || l.stillExclusive(now):
		l.nextCallAt = now
	default:
		l.nextCallAt = now.Add(l.jitter(l.opts.ReadInterval))
		if takeover := l.takeoverTime(); l.candidate && takeover.Before(l.nextCallAt) {
			l.nextCallAt = takeover
		}
	}
}

// retryWait returns the maximum wait after a failed call.
func (l *Lease) retryWait() time.Duration {
	return backoff.Exponential(l.opts.RetryMin, l.opts.RetryMax, l.failures)
}

// jitter returns a random duration between d/2 and d.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(l.rand.Int64N(int64(d/2)+1))
}

// observe updates the state from an object that was read or written. It ignores
// an object with the known version, which is unchanged, and one with an older
// version, which arrived late.
func (l *Lease) observe(now time.Time, version revision.Revision, record Record) {
	if l.known && !version.After(l.version) {
		return
	}
	l.known = true
	l.version = version
	l.record = record
	l.versionSeenAt = now
	at := slices.IndexFunc(l.writes, func(w sentWrite) bool { return w.change == record.Change })
	if at < 0 || !l.candidate {
		// The object was written by another process, or this process has
		// resigned.
		l.term = 0
		return
	}
	write := l.writes[at]
	if l.term != write.term {
		l.term = write.term
		l.fence = version.Fence()
		l.since = now
	}
	l.until = write.at.Add(l.opts.Duration)
	l.heldUntil = time.Time{}
	l.writes = l.writes[at+1:]
}

// observeAbsent records that the object does not exist. If another process held
// the lease, it may not know yet that its object was deleted, so its duration
// must still pass.
func (l *Lease) observeAbsent(now time.Time, epoch int64) {
	if l.known && l.version.Number == 0 {
		return
	}
	gone := Record{Term: l.record.Term}
	if l.record.Holder != "" && !l.isOwnRecord() {
		gone.Holder = unreadableHolder
		gone.DurationNs = l.record.DurationNs
	}
	l.known = true
	l.version = revision.Revision{Epoch: epoch}
	l.record = gone
	l.versionSeenAt = now
	l.term = 0
}

// ObserveEpoch records that the store is in an epoch. A later epoch than the known one
// ends the term of this process, and the object must be read again. An earlier one is
// ignored.
func (l *Lease) ObserveEpoch(now time.Time, epoch int64) {
	if epoch <= l.epoch {
		return
	}
	if l.term != 0 {
		l.heldUntil = l.until
	}
	l.highestTerm = max(l.highestTerm, l.record.Term)
	l.epoch, l.epochSince = epoch, now
	l.known, l.version, l.record = false, revision.Revision{Epoch: epoch}, Record{}
	l.term, l.writes = 0, nil
	l.mustRead = true
	l.nextCallAt = now
}

// Resign ends the term of this process at once and lets Tick release the lease.
// Campaign makes the process a candidate again.
func (l *Lease) Resign() {
	l.candidate = false
	l.term, l.heldUntil = 0, time.Time{}
}

// Campaign makes the process a candidate for the lease. It is one after New.
func (l *Lease) Campaign() { l.candidate = true }

// StepDown ends the current term at once, because a newer term is known to
// exist. The process stays a candidate, but reads the object before its next
// write.
func (l *Lease) StepDown() {
	l.term, l.heldUntil = 0, time.Time{}
	l.mustRead = true
}
