package admission

import (
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/queue"
)

// gate holds the waiting requests of one service.
type gate struct {
	service    ids.Service
	queue      *queue.Queue
	contention contention
	// full holds the engines that requests have met as full, with the times until which
	// they count as full. fullUntil is the earliest of these times: then a chain may have
	// room.
	full      map[ids.Instance]time.Time
	fullUntil time.Time
	// classes is the number of classes of the service.
	classes int
	// window is the number of requests that may be sent before their engines have taken
	// or refused them; sent holds those.
	window int
	sent   map[ids.Request]sentRequest
	// topRefusedAt is when a request of the most urgent class was last refused.
	topRefusedAt time.Time
}

// sentRequest is a request that no engine has taken or refused yet.
type sentRequest struct {
	cost float64
	at   time.Time
}

// newGate returns a gate without requests.
func newGate(service ids.Service, rng *rand.Rand) *gate {
	return &gate{service: service, queue: queue.New(queueOptions, rng), window: 1, full: make(map[ids.Instance]time.Time), sent: make(map[ids.Request]sentRequest)}
}

// item returns the queue item of a request.
func item(r Request) queue.Item {
	return queue.Item{ID: r.ID, Account: r.Account, Priority: queuePriority(r.Class), Deadline: r.Deadline, Cost: r.Cost, Enqueued: r.Arrived}
}

// queuePriority returns the priority in the queue of a class.
func queuePriority(class int) int { return max(queue.MaxPriority-class, queue.MinPriority) }

// applies reports whether requests like r wait for capacity rather than being refused.
func (g *gate) applies(now time.Time, r Request) bool {
	return r.Classes > 1 || g.contention.active(now)
}

// block records that an engine counts as full until the given time, as a request has met it.
// Engines that the request might have tried by now have not given it a chain, so they no
// longer count. After fullUntil, one request is sent first.
func (g *gate) block(now time.Time, r Request, engine ids.Instance, until time.Time) {
	head := HeadStart(r.Class, r.Classes)
	maps.DeleteFunc(g.full, func(_ ids.Instance, end time.Time) bool { return !end.Add(-head).After(now) })
	g.full[engine] = until
	earliest := until
	for _, end := range g.full {
		earliest = minTime(earliest, end)
	}
	if earliest.After(g.fullUntil) {
		g.window = 1
	}
	g.fullUntil = earliest
}

// triesAt returns the time from which on requests of a priority may try the engine that
// counts as full.
func (g *gate) triesAt(priority int) time.Time {
	return g.fullUntil.Add(-HeadStart(queue.MaxPriority-priority, g.classes))
}

// enqueue queues a request. It returns why the request is to be refused, and the
// requests that were displaced.
func (g *gate) enqueue(now time.Time, r Request) (Reason, []Outcome) {
	g.classes = r.Classes
	reason, displaced := g.tryEnqueue(now, r)
	if reason != ReasonNone {
		g.recordRefusal(now, queuePriority(r.Class))
	}
	return reason, displaced
}

// tryEnqueue is enqueue without the record of refusals.
func (g *gate) tryEnqueue(now time.Time, r Request) (Reason, []Outcome) {
	switch it := item(r); {
	case !g.applies(now, r):
		return ReasonNoContention, nil
	case !r.Deadline.After(now):
		return ReasonDeadline, nil
	case g.triesAt(it.Priority).After(r.Deadline):
		return ReasonStillFull, nil
	case g.queue.Misses(now, it):
		return ReasonWorkAhead, nil
	default:
		return g.push(now, it)
	}
}

// push adds an item to the queue. If the queue or the account's part of it is full, a less
// urgent item makes room.
func (g *gate) push(now time.Time, it queue.Item) (Reason, []Outcome) {
	out, displaced, err := g.queue.PushDisplacing(now, it)
	var full *queue.FullError
	switch {
	case errors.As(err, &full):
		return fullReason(full), nil
	case displaced:
		return ReasonNone, []Outcome{g.refuse(now, out, ReasonDisplaced)}
	}
	// The only other error is that the request waits already.
	return ReasonNone, nil
}

// fullReason returns the reason of a refusal by a limit of the queue.
func fullReason(full *queue.FullError) Reason {
	if full.Scope == queue.ScopeAccount {
		return ReasonAccountFull
	}
	return ReasonQueueFull
}

// refuse returns the outcome of an item that was removed from the queue unserved.
func (g *gate) refuse(now time.Time, it queue.Item, reason Reason) Outcome {
	g.recordRefusal(now, it.Priority)
	return Outcome{ID: it.ID, Service: g.service, Reason: reason}
}

// recordRefusal records the time of a refusal if it was of the most urgent class.
func (g *gate) recordRefusal(now time.Time, priority int) {
	if priority == queue.MaxPriority {
		g.topRefusedAt = now
	}
}

// send marks an item that was taken from the queue as sent.
func (g *gate) send(now time.Time, it queue.Item) Outcome {
	g.sent[it.ID] = sentRequest{cost: it.Cost, at: now}
	return Outcome{ID: it.ID, Service: g.service}
}

// finish records that the engines took a sent request, or that one refused it. It has no
// effect for a request that was not sent or is finished.
func (g *gate) finish(now time.Time, id ids.Request, taken bool) {
	s, ok := g.sent[id]
	if !ok {
		return
	}
	delete(g.sent, id)
	if !taken {
		g.queue.Finished(now, 0)
		g.window = 1
		return
	}
	g.queue.Finished(now, s.cost)
	g.window = min(g.window+1, maxWindow)
}

// advance returns the waits that end by now.
func (g *gate) advance(now time.Time) []Outcome {
	for id, s := range g.sent {
		if now.Sub(s.at) >= trialPeriod {
			g.finish(now, id, true)
		}
	}
	ended := g.refuseUnreachable(now)
	for len(g.sent) < g.window && !g.sendsAt(now).After(now) {
		it, ok := g.queue.Pop(now)
		if !ok {
			break
		}
		ended = append(ended, g.send(now, it))
	}
	return append(ended, g.endDue(now)...)
}

// refuseUnreachable ends the waits whose deadline comes before they may try an engine
// that counts as full.
func (g *gate) refuseUnreachable(now time.Time) []Outcome {
	var ended []Outcome
	for priority := queuePriority(g.classes - 1); priority <= queue.MaxPriority; priority++ {
		at := g.triesAt(priority)
		if !now.Before(at) {
			continue
		}
		for _, it := range g.queue.Unreachable(at, priority) {
			ended = append(ended, g.refuse(now, it, ReasonStillFull))
		}
	}
	return ended
}

// endDue ends the waits whose deadline has come. Requests of the class whose turn it is
// are sent, so that none is refused shortly before a less urgent one is sent. The others
// are refused.
func (g *gate) endDue(now time.Time) []Outcome {
	var ended []Outcome
	for {
		it, ok := g.queue.Earliest()
		if !ok || it.Deadline.After(now) {
			return ended
		}
		if g.sendsDue(now, it) {
			g.queue.Take(now, it.ID)
			ended = append(ended, g.send(now, it))
			continue
		}
		g.queue.Remove(it.ID)
		ended = append(ended, g.refuse(now, it, ReasonDeadline))
	}
}

// sendsDue reports whether a request whose deadline has come is sent. One of the most
// urgent class is, even if a class that is ahead by ageing has to wait for longer.
func (g *gate) sendsDue(now time.Time, it queue.Item) bool {
	if it.Priority == queue.MaxPriority {
		return !g.triesAt(it.Priority).After(now)
	}
	first, _ := g.queue.Next(now)
	return it.Priority >= first.Priority && !g.sendsAt(now).After(now)
}

// sendsAt returns the time from which on the first waiting request may be sent: once no
// engine counts as full for it, and holdPeriod after the refusal of a request of the most
// urgent class. A less urgent class that is ahead of waiting requests of the most urgent
// one is so by ageing, and is not held.
func (g *gate) sendsAt(now time.Time) time.Time {
	first, ok := g.queue.Next(now)
	if !ok {
		return time.Time{}
	}
	at := g.triesAt(first.Priority)
	if first.Priority == queue.MaxPriority || g.queue.LenAt(queue.MaxPriority) > 0 || g.topRefusedAt.IsZero() {
		return at
	}
	if held := g.topRefusedAt.Add(holdPeriod); held.After(at) {
		return held
	}
	return at
}

// holds reports whether a request that arrives while nothing waits is of a less urgent class
// than one that was refused within holdPeriod.
func (g *gate) holds(now time.Time, r Request) bool {
	return r.Class > 0 && !g.topRefusedAt.IsZero() && now.Before(g.topRefusedAt.Add(holdPeriod))
}

// next returns when advance is to be called again, zero if nothing waits.
func (g *gate) next(now time.Time) time.Time {
	earliest, ok := g.queue.Earliest()
	if !ok {
		return time.Time{}
	}
	if at := g.sendsAt(now); at.After(now) || len(g.sent) < g.window {
		return minTime(earliest.Deadline, at)
	}
	at := earliest.Deadline
	for _, s := range g.sent {
		at = minTime(at, s.at.Add(trialPeriod))
	}
	return at
}

// minTime returns the earlier time.
func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// contention tracks whether several accounts meet full engines. It keeps the latest two
// accounts only, which is enough to know whether there are two.
type contention struct {
	latest, other     ids.Account
	latestAt, otherAt time.Time
}

// record records that a request of an account met a full engine.
func (c *contention) record(now time.Time, account ids.Account) {
	if account != c.latest {
		c.other, c.otherAt = c.latest, c.latestAt
	}
	c.latest, c.latestAt = account, now
}

// active reports whether two accounts have met full engines within contentionPeriod.
func (c *contention) active(now time.Time) bool {
	return !c.otherAt.IsZero() && now.Sub(c.otherAt) <= contentionPeriod && now.Sub(c.latestAt) <= contentionPeriod
}
