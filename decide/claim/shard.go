package claim

import (
	"math"
	"slices"
	"time"

	"mimosaarch.example/decide/router"
)

// callState is the type of call that a shard has open.
type callState int

const (
	callNone callState = iota
	callRead
	callWrite
)

const (
	// noLostWrite is the lostVersion of an operation none of whose writes was
	// lost.
	noLostWrite = -1
	// unknownVersion is the lostVersion of an operation that another VM may have
	// written over a version unknown to this Group. Only a write of this Group
	// resolves it.
	unknownVersion = math.MaxInt64
)

// pending is an unfinished operation.
type pending struct {
	op Op
	// reported is true once the final result was reported. What remains to be
	// done runs in the background. For a Settle of this VM, which gets no
	// result, it is true from the start.
	reported bool
	// inFlight is true while a write that contains the operation is open.
	inFlight bool
	// replaced is true if the operation was converted to a Release while a write
	// with its Claim was in flight.
	replaced bool
	// lostVersion is the highest version known when a write of this operation
	// was lost. That write may still take effect until a newer version is seen.
	lostVersion int64
	// done marks the operation for removal.
	done bool
}

// shardCommitter commits the operations of one shard.
type shardCommitter struct {
	group *Group
	shard int
	key   string
	// version is the highest version seen. exists reports whether the object
	// existed when it was last read or written.
	version int64
	exists  bool
	// latest is the newest value seen, or nil. current reports whether a write
	// may be based on it without reading the object again.
	latest  *value
	current bool
	// ops are the unfinished operations, oldest first. batch are those in the
	// open write, next is the value being written, and results are the results
	// of the batch if the write succeeds.
	ops     []*pending
	batch   []*pending
	results []opResult
	next    *value
	call    callState
	// readyAt is the end of the batching window, and retryAt the end of the
	// backoff after a failure.
	readyAt, retryAt    time.Time
	failures, conflicts int
}

// submit queues an operation. The error is a *QueueFullError.
func (s *shardCommitter) submit(now time.Time, op Op, lostVersion int64) error {
	if (op.Kind == Claim || op.remote) && s.waiting() >= s.group.settings.MaxQueue {
		return &QueueFullError{Shard: s.shard}
	}
	p := &pending{op: op, reported: op.Kind == Settle && !op.remote, lostVersion: lostVersion}
	s.queue(now, p)
	if op.Kind == Release && s.waiting() > s.group.settings.MaxQueue {
		s.moveToBackground(p)
	}
	s.trimBackground()
	s.advance(now, false)
	return nil
}

// queue appends an operation, which then waits for others to share its write. A
// Settle waits longer, because no caller waits for its result.
func (s *shardCommitter) queue(now time.Time, p *pending) {
	ready := now.Add(s.group.settings.BatchWindow)
	if p.op.Kind == Settle {
		ready = now.Add(s.group.settings.SettleWindow)
	}
	if len(s.ops) == 0 || ready.Before(s.readyAt) {
		s.readyAt = ready
	}
	s.ops = append(s.ops, p)
}

// submitBackground queues an operation whose final result was already reported.
func (s *shardCommitter) submitBackground(now time.Time, op Op, lostVersion int64) {
	s.queue(now, &pending{op: op, reported: true, lostVersion: lostVersion})
	s.trimBackground()
	s.advance(now, false)
}

// waiting counts the operations whose result is not reported yet.
func (s *shardCommitter) waiting() int { return len(s.ops) - s.background() }

// background counts the operations that run in the background.
func (s *shardCommitter) background() int {
	n := 0
	for _, p := range s.ops {
		if p.reported {
			n++
		}
	}
	return n
}

// moveToBackground reports a Release as unconfirmed and lets it continue in the
// background.
func (s *shardCommitter) moveToBackground(p *pending) {
	p.reported = true
	s.group.emit(Released{Op: p.op})
}

// trimBackground drops the oldest background operations above
// Settings.MaxBackground. The claims that they were to change stay until their
// retention ends.
func (s *shardCommitter) trimBackground() {
	excess := s.background() - s.group.settings.MaxBackground
	if excess <= 0 {
		return
	}
	for _, p := range s.ops {
		if excess > 0 && p.reported && !p.inFlight {
			excess--
			p.done = true
			s.group.counts.Abandoned++
		}
	}
	s.removeDone()
}

// advance ends operations whose deadline has passed and starts the next call if
// it is due. fresh reports whether latest was read or written just now.
func (s *shardCommitter) advance(now time.Time, fresh bool) {
	s.expireOps(now)
	for s.call == callNone && len(s.ops) > 0 && !now.Before(s.readyAt) && !now.Before(s.retryAt) {
		if !s.current || !s.processBatch(now, fresh) {
			s.read()
		}
	}
	if len(s.ops) == 0 && s.call == callNone {
		s.evictIfOverLimit()
	}
}

// processBatch applies the oldest operations to the latest value. If they change
// it, or if a lost write has to be ruled out, it writes the result. Otherwise it
// resolves the operations without a write if the value is fresh, and returns
// false if the object must be read first.
func (s *shardCommitter) processBatch(now time.Time, fresh bool) bool {
	batch := s.ops[:min(len(s.ops), s.group.settings.MaxBatch)]
	update, results := s.latest.apply(&s.group.settings, now, batch)
	switch {
	case update.changed || s.anyMayArrive(batch) || s.absenceUnproven():
		s.write(now, update.value, batch, results)
	case fresh:
		s.resolve(slices.Clone(batch), results)
	default:
		return false
	}
	return true
}

// anyMayArrive reports whether a lost write of any operation in the batch may
// still take effect.
func (s *shardCommitter) anyMayArrive(batch []*pending) bool {
	for _, p := range batch {
		if p.lostVersion >= s.version {
			return true
		}
	}
	return false
}

// absenceUnproven reports whether an object that existed before was last
// reported as missing. The report may come from a lagging replica; only a write
// can tell.
func (s *shardCommitter) absenceUnproven() bool { return !s.exists && s.version > 0 }

// read starts a read of the shard's object.
func (s *shardCommitter) read() {
	s.call = callRead
	s.group.counts.Reads++
	s.group.emit(Read{Shard: s.shard, Key: s.key})
}

// write starts a conditional update that stores next.
func (s *shardCommitter) write(now time.Time, next *value, batch []*pending, results []opResult) {
	data := next.encode(s.group.settings.Shards, now)
	s.batch = slices.Clone(batch)
	s.next, s.results = next, results
	for _, p := range s.batch {
		p.inFlight = true
	}
	var ifMatch int64
	if s.exists {
		ifMatch = s.version
	}
	s.call = callWrite
	s.group.counts.Writes++
	s.group.emit(Write{Shard: s.shard, Key: s.key, Value: data, IfMatch: ifMatch})
}

// resolve reports the results of a batch and removes its operations.
func (s *shardCommitter) resolve(batch []*pending, results []opResult) {
	for i, p := range batch {
		p.inFlight = false
		if p.replaced {
			// The write contained the claim. Its release has not been written
			// yet.
			p.replaced = false
			continue
		}
		p.done = true
		s.report(p, results[i])
	}
	s.removeDone()
}

// report reports the result of an operation unless it was reported before.
func (s *shardCommitter) report(p *pending, r opResult) {
	switch {
	case p.reported:
	case p.op.remote:
		s.reportServed(p, r)
	case p.op.Kind == Release:
		s.group.emit(Released{Op: p.op, Confirmed: true})
	default:
		s.group.end(Ended{Op: p.op, Result: r.result, Prior: r.prior, Full: r.full})
	}
}

// removeDone removes the operations that are marked as done.
func (s *shardCommitter) removeDone() {
	s.ops = slices.DeleteFunc(s.ops, func(p *pending) bool { return p.done })
}

// end counts the result of a claim and emits it.
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
