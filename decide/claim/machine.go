package claim

import (
	"math"
	"slices"
	"time"

	"mimosaarch.example/decide/router"
)

// callState is the call a shard has open.
type callState int

const (
	callNone callState = iota
	callRead
	callWrite
)

const (
	// untainted is the taint of an operation no write of which was lost.
	untainted = -1
	// anyVersion is the taint of an operation that another VM may have
	// written over a version that is not known here. Only a write of the
	// Group's own settles it.
	anyVersion = math.MaxInt64
)

// pending is an operation not done yet.
type pending struct {
	op Op
	// told is true once the last word was said; what remains is background.
	told bool
	// inFlight is true while a write that holds the operation is open.
	inFlight bool
	// replaced is true when the operation became a release while its claim
	// was in flight.
	replaced bool
	// taint is the highest version known when a write of this operation was
	// lost. While no newer version was seen, that write may yet arrive.
	taint int64
	// done marks an operation for removal.
	done bool
}

// machine commits the operations of one shard.
type machine struct {
	group *Group
	shard int
	key   string
	// version is the highest seen; exists tells whether the object was there
	// last.
	version int64
	exists  bool
	// latest is the newest value seen, nil if none was; current tells
	// whether to build on it without another read.
	latest  *value
	current bool
	// ops are those not done, oldest first. batch are those in the open
	// write, with what they come to if next is written.
	ops      []*pending
	batch    []*pending
	verdicts []verdict
	next     *value
	call     callState
	// readyAt ends the wait for company, retryAt the pause after a failure.
	readyAt, retryAt    time.Time
	failures, conflicts int
}

// submit queues an operation. The error is a *QueueFullError.
func (m *machine) submit(now time.Time, op Op, taint int64) error {
	if (op.Kind == Claim || op.remote) && m.waiting() >= m.group.settings.MaxQueue {
		return &QueueFullError{Shard: m.shard}
	}
	p := &pending{op: op, told: op.Kind == Settle && !op.remote, taint: taint}
	m.queue(now, p)
	if op.Kind == Release && m.waiting() > m.group.settings.MaxQueue {
		m.postpone(p)
	}
	m.trim()
	m.drive(now, false)
	return nil
}

// queue adds an operation, which waits for company. Nobody waits for a
// settlement, so it waits longer.
func (m *machine) queue(now time.Time, p *pending) {
	ready := now.Add(m.group.settings.BatchWindow)
	if p.op.Kind == Settle {
		ready = now.Add(m.group.settings.SettleWindow)
	}
	if len(m.ops) == 0 || ready.Before(m.readyAt) {
		m.readyAt = ready
	}
	m.ops = append(m.ops, p)
}

// carryOn queues an operation to which the last word was said.
func (m *machine) carryOn(now time.Time, op Op, taint int64) {
	m.queue(now, &pending{op: op, told: true, taint: taint})
	m.trim()
	m.drive(now, false)
}

// waiting counts the operations whose last word is due.
func (m *machine) waiting() int { return len(m.ops) - m.background() }

// background counts the operations that go on by themselves.
func (m *machine) background() int {
	n := 0
	for _, p := range m.ops {
		if p.told {
			n++
		}
	}
	return n
}

// postpone lets a release go on in the background.
func (m *machine) postpone(p *pending) {
	p.told = true
	m.group.emit(Released{Op: p.op})
}

// trim gives up the oldest background operations above the limit. What they
// were to change stays until its retention ends.
func (m *machine) trim() {
	excess := m.background() - m.group.settings.MaxBackground
	if excess <= 0 {
		return
	}
	for _, p := range m.ops {
		if excess > 0 && p.told && !p.inFlight {
			excess--
			p.done = true
			m.group.counts.Abandoned++
		}
	}
	m.removeDone()
}

// drive lets deadlines pass and starts the next call when it is due. fresh
// tells that latest was read or written just now.
func (m *machine) drive(now time.Time, fresh bool) {
	m.expire(now)
	for m.call == callNone && len(m.ops) > 0 && !now.Before(m.readyAt) && !now.Before(m.retryAt) {
		if !m.current || !m.attempt(now, fresh) {
			m.read()
		}
	}
	if len(m.ops) == 0 && m.call == callNone {
		m.rest()
	}
}

// attempt settles the oldest operations by the latest value: with a write if
// they change it or a lost write has to be ruled out, else at once. It
// reports false when the value has to be read first.
func (m *machine) attempt(now time.Time, fresh bool) bool {
	batch := m.ops[:min(len(m.ops), m.group.settings.MaxBatch)]
	change, verdicts := m.latest.apply(&m.group.settings, now, batch)
	switch {
	case change.changed || m.anyUnsettled(batch) || m.doubtful():
		m.write(now, change.value, batch, verdicts)
	case fresh:
		m.deliver(slices.Clone(batch), verdicts)
	default:
		return false
	}
	return true
}

// anyUnsettled reports whether a lost write of an operation may yet arrive.
func (m *machine) anyUnsettled(batch []*pending) bool {
	for _, p := range batch {
		if p.taint >= m.version {
			return true
		}
	}
	return false
}

// doubtful reports whether the object is said to be gone that was there
// before. Only a write can tell whether a late answer said so.
func (m *machine) doubtful() bool { return !m.exists && m.version > 0 }

// read starts a read.
func (m *machine) read() {
	m.call = callRead
	m.group.counts.Reads++
	m.group.emit(Read{Shard: m.shard, Key: m.key})
}

// write starts a conditional update.
func (m *machine) write(now time.Time, next *value, batch []*pending, verdicts []verdict) {
	data := next.encode(m.group.settings.Shards, now)
	m.batch = slices.Clone(batch)
	m.next, m.verdicts = next, verdicts
	for _, p := range m.batch {
		p.inFlight = true
	}
	var ifMatch int64
	if m.exists {
		ifMatch = m.version
	}
	m.call = callWrite
	m.group.counts.Writes++
	m.group.emit(Write{Shard: m.shard, Key: m.key, Value: data, IfMatch: ifMatch})
}

// deliver says the last word on operations that are settled, and forgets them.
func (m *machine) deliver(batch []*pending, verdicts []verdict) {
	for i, p := range batch {
		p.inFlight = false
		if p.replaced {
			// The claim was in the write; its release is next.
			p.replaced = false
			continue
		}
		p.done = true
		m.tell(p, verdicts[i])
	}
	m.removeDone()
}

// tell says the last word on an operation, if it is due.
func (m *machine) tell(p *pending, v verdict) {
	switch {
	case p.told:
	case p.op.remote:
		m.serveDone(p, v)
	case p.op.Kind == Release:
		m.group.emit(Released{Op: p.op, Confirmed: true})
	default:
		m.group.end(Ended{Op: p.op, Result: v.result, Prior: v.prior, Full: v.full})
	}
}

// removeDone forgets the operations that are done.
func (m *machine) removeDone() {
	m.ops = slices.DeleteFunc(m.ops, func(p *pending) bool { return p.done })
}

// end counts and emits the end of a claim.
func (g *Group) end(ended Ended) {
	switch ended.Result {
	case router.ClaimWon:
		g.counts.Won++
	case router.ClaimTaken:
		g.counts.Taken++
	case router.ClaimUncertain:
		g.counts.Uncertain++
	default:
		g.counts.Refused++
	}
	if ended.Full {
		g.counts.Full++
	}
	g.emit(ended)
}
