package lease

import (
	"fmt"
	"slices"
	"time"

	"mimosaarch.example/core/backoff"
)

// Tick gives the call to make now; nil when there is none. Call it often
// against the Duration, a hundredth for instance. The clock must be read just
// before: a write's lease counts from now.
func (l *Lease) Tick(now time.Time) Command {
	if l.busy || now.Before(l.next) {
		return nil
	}
	command := l.choose(now)
	l.busy = command != nil
	read, isRead := command.(Read)
	l.stale = isRead && read.Stale
	return command
}

// choose decides what to call.
func (l *Lease) choose(now time.Time) Command {
	switch {
	case !l.wanted && !l.known && len(l.writes) == 0:
		// Nothing to seek, and nothing to give back.
		return nil
	case !l.known || l.settle:
		return Read{}
	case l.ownRecord():
		return l.keep(now)
	case !l.wanted:
		return nil
	case l.record.Holder == "" || !now.Before(l.free()):
		return l.write(now, l.opts.Holder, l.record.Term+1)
	}
	return Read{Stale: l.opts.StaleReads}
}

// free is when another holder's lease has certainly lapsed, unless the object
// changes before.
func (l *Lease) free() time.Time {
	return l.seen.Add(max(l.record.Duration(), l.opts.Duration) + l.opts.Margin)
}

// ownRecord reports whether the object names this process.
func (l *Lease) ownRecord() bool {
	return l.version != 0 && l.record.Holder == l.opts.Holder
}

// keep renews the own lease, begins a new term after a lapse, or gives the
// lease back.
func (l *Lease) keep(now time.Time) Command {
	left := l.until.Sub(now)
	switch {
	case !l.wanted:
		return l.write(now, "", l.record.Term)
	case l.term != l.record.Term || left <= 0:
		return l.write(now, l.opts.Holder, l.record.Term+1)
	case left <= l.opts.Duration-l.opts.Duration/renewPart:
		return l.write(now, l.opts.Holder, l.record.Term)
	}
	return nil
}

// write makes a conditional update and remembers when it was made.
func (l *Lease) write(now time.Time, holder string, term int64) Command {
	l.changes++
	change := fmt.Sprintf("%s-%d", l.opts.Holder, l.changes)
	if holder != "" {
		l.writes = append(l.writes, sent{change: change, term: term, at: now})
		l.writes = l.writes[max(len(l.writes)-maxUnsettled, 0):]
	}
	record := Record{
		Holder:     holder,
		Term:       term,
		DurationNs: int64(l.opts.Duration),
		Change:     change,
	}
	return Write{Record: record, IfMatch: l.version}
}

// Answered takes the answer to the last command, which came at now. It is
// ignored when no command is under way.
func (l *Lease) Answered(now time.Time, answer Answer) {
	if !l.busy {
		return
	}
	l.busy = false
	if answer.Kind == Found && !answer.Record.sound() {
		answer.Kind = Unreadable
	}
	switch answer.Kind {
	case Found:
		l.settle = false
		l.observe(now, answer.Version, answer.Record)
	case Unreadable:
		// Nobody can hold by it; it may be overwritten after a while.
		l.settle = false
		l.observe(now, answer.Version, Record{DurationNs: int64(l.opts.Duration), Holder: unreadableHolder})
	case Absent:
		l.settle = false
		// A stale answer may be from before the object was made.
		if !l.stale {
			l.absent(now)
		}
	case Lost:
		// A stale read changes nothing, so nothing has to be read back.
		l.settle = l.settle || !l.stale
	}
	l.schedule(now, answer.Kind)
}

// unreadableHolder stands for the holder of an object that can't be read.
const unreadableHolder = "?"

// schedule sets when the next call may be made.
func (l *Lease) schedule(now time.Time, kind AnswerKind) {
	if kind == Failed || kind == Lost {
		l.next = now.Add(l.spread(l.retryWait()))
		l.failures++
		return
	}
	l.failures = 0
	switch {
	case l.record.Holder == "" || l.ownRecord():
		l.next = now
	default:
		l.next = now.Add(l.spread(l.opts.ReadInterval))
		if free := l.free(); l.wanted && free.Before(l.next) {
			l.next = free
		}
	}
}

// retryWait is the longest wait before the call after a failed one.
func (l *Lease) retryWait() time.Duration {
	return backoff.Doubled(l.opts.RetryMin, l.opts.RetryMax, l.failures)
}

// spread gives a wait between half of a time and the whole of it.
func (l *Lease) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(l.rand.Int64N(int64(d/2)+1))
}

// observe takes the object as it stands. An older version than one seen
// before came late and tells nothing.
func (l *Lease) observe(now time.Time, version int64, record Record) {
	if l.known && version <= l.version {
		return
	}
	l.known = true
	l.version = version
	l.record = record
	l.seen = now
	at := slices.IndexFunc(l.writes, func(w sent) bool { return w.change == record.Change })
	if at < 0 || !l.wanted {
		// Another's, given back, or to be given back.
		l.term = 0
		return
	}
	write := l.writes[at]
	if l.term != write.term {
		l.term = write.term
		l.fence = version
		l.since = now
	}
	l.until = write.at.Add(l.opts.Duration)
	l.writes = l.writes[at+1:]
}

// absent notes that there is no object. A holder whose object was deleted has
// lost the lease when it learns of it; it may not know yet.
func (l *Lease) absent(now time.Time) {
	if l.known && l.version == 0 {
		return
	}
	gone := Record{Term: l.record.Term}
	if l.record.Holder != "" && !l.ownRecord() {
		gone.Holder = unreadableHolder
		gone.DurationNs = l.record.DurationNs
	}
	l.known = true
	l.version = 0
	l.record = gone
	l.seen = now
	l.term = 0
}

// Resign ends the lease at once for this process and makes Tick give it back
// to the others; Campaign makes it a candidate again.
func (l *Lease) Resign() {
	l.wanted = false
	l.term = 0
}

// Campaign makes the process a candidate for the lease, as it is after New.
func (l *Lease) Campaign() { l.wanted = true }

// StepDown ends the current term at once: somebody has shown a newer one. The
// process stays a candidate, but it reads the object first.
func (l *Lease) StepDown() {
	l.term = 0
	l.settle = true
}
