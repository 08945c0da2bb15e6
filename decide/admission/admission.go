// Package admission decides which new requests of a service wait while its engines
// have no capacity, in which order they are sent, and which are refused at once.
//
// Load. For some hundred milliseconds to seconds more requests arrive than the engines
// take. Their classes differ in urgency, and one account may send most of them. Without
// a queue, whoever arrives while an engine counts as full is refused, whatever its
// class and account, and whoever arrives at the moment it stops counting as full is
// served.
//
// Order. Requests wait in a queue.Queue: more urgent classes first, accounts in fair
// shares by cost, the earliest deadline first within an account. When the engine stops
// counting as full, the first of them is sent. Each one that an engine takes raises the
// number that may be sent at once, and a refusal resets it to one, so that the queue
// does not arrive at an engine that is still full.
//
// Contention. A service whose requests have several priorities queues them at any time.
// One without priorities queues requests only while two accounts or more have met full
// engines within contentionPeriod. The first request finds no queue in either case.
//
// A Control is not safe for concurrent use and reads no clock.
package admission

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/queue"
)

const (
	// contentionPeriod is how long an account that met full engines counts as
	// competing with others.
	contentionPeriod = time.Second
	// trialPeriod is how long after it was sent a request counts as taken by the
	// engines if none has refused it. Engines refuse within a round trip and some
	// processor time of two nodes.
	trialPeriod = 30 * time.Millisecond
	// maxWindow bounds the requests that are sent at once before their engines have
	// taken or refused them.
	maxWindow = 64
	// headStart is how much earlier than the least urgent class the most urgent one tries
	// an engine that counts as full. An engine counts as full for 300 ms, and a request
	// with an objective of 500 ms waits for 250 ms at most, so without it a sixth of such
	// requests could not wait for the end of that time.
	headStart = 100 * time.Millisecond
	// holdPeriod is how long no request of a less urgent class is sent after one of the
	// most urgent class was refused.
	holdPeriod = 100 * time.Millisecond
)

// queueOptions are the limits of each service's queue. Requests wait for a few hundred
// milliseconds, so the steps of ageing are short. RetryMin is longer than the time that
// an engine counts as full after a refusal.
var queueOptions = queue.Options{
	AgeStep:  500 * time.Millisecond,
	KeepAge:  time.Second,
	RetryMin: MinRetryAfter,
}

// Request is a new request that has met a full engine, or that arrives while others
// wait.
type Request struct {
	// ID identifies the request on this node.
	ID      ids.Request
	Service ids.Service
	Account ids.Account
	// Class is the number of more urgent classes of the service, 0 for the most urgent
	// one. Classes is the number of classes.
	Class, Classes int
	// Cost is the expected work in tokens.
	Cost float64
	// Arrived is when the request arrived, and Deadline how long it may wait.
	Arrived, Deadline time.Time
}

// HeadStart returns how much earlier than the least urgent class a request of a class may
// try an engine that counts as full, evenly spaced over the classes. It is zero for a
// service with one class.
func HeadStart(class, classes int) time.Duration {
	if classes <= 1 {
		return 0
	}
	return headStart * time.Duration(max(classes-1-class, 0)) / time.Duration(classes-1)
}

// Reason is why a request does not wait, or no longer.
type Reason string

const (
	// ReasonNone: the request waits or may be sent.
	ReasonNone Reason = ""
	// ReasonNoContention: the service has one class, and no two accounts have met full
	// engines lately.
	ReasonNoContention Reason = "no_contention"
	// ReasonStillFull: an engine counts as full until after the request's deadline.
	ReasonStillFull Reason = "still_full"
	// ReasonWorkAhead: the queue takes until after the deadline to serve the requests
	// ahead.
	ReasonWorkAhead Reason = "work_ahead"
	// ReasonQueueFull and ReasonAccountFull: the queue, or the account's part of it, is
	// full.
	ReasonQueueFull   Reason = "queue_full"
	ReasonAccountFull Reason = "account_full"
	// ReasonDisplaced: a more urgent request took the place in a full queue.
	ReasonDisplaced Reason = "displaced"
	// ReasonDeadline: the request's turn did not come before its deadline.
	ReasonDeadline Reason = "deadline"
)

// Outcome is the end of a request's wait.
type Outcome struct {
	ID      ids.Request
	Service ids.Service
	// Reason is ReasonNone if the request is to be sent now, and why it is refused
	// otherwise.
	Reason Reason
}

// Control holds the queues of all services on one node. Create it with New.
type Control struct {
	rng      *rand.Rand
	services []*gate
}

// New returns a Control without waiting requests. rng must not be nil, and nothing else
// may use it concurrently with the Control.
func New(rng *rand.Rand) *Control { return &Control{rng: rng} }

// find returns the index at which the gate of a service is or belongs.
func (c *Control) find(service ids.Service) (int, bool) {
	return slices.BinarySearchFunc(c.services, service, func(g *gate, s ids.Service) int {
		return strings.Compare(string(g.service), string(s))
	})
}

// gate returns the gate of a service, created if missing.
func (c *Control) gate(service ids.Service) *gate {
	i, found := c.find(service)
	if !found {
		c.services = slices.Insert(c.services, i, newGate(service, c.rng))
	}
	return c.services[i]
}

// Full records that an engine on the cheapest chain of a request counts as full until the
// given time, less HeadStart for the request, and that every other chain has such an engine
// as well. It returns ReasonNone if the request waits now, and otherwise why it is to be
// refused. displaced holds requests that gave up their places to it.
func (c *Control) Full(now time.Time, r Request, engine ids.Instance, until time.Time) (reason Reason, displaced []Outcome) {
	g := c.gate(r.Service)
	g.finish(now, r.ID, false)
	g.block(now, r, engine, until)
	g.contention.record(now, r.Account)
	return g.enqueue(now, r)
}

// Join is called for a new request before an engine is chosen for it. waits is true if
// others wait, or one of the most urgent class was refused less than holdPeriod ago and this
// one is of another class, and the request waits now as well. Otherwise the request may be sent if
// the reason is ReasonNone, and is to be refused if not. A request whose deadline has
// passed, for instance of a route without an objective, may be sent.
func (c *Control) Join(now time.Time, r Request) (waits bool, reason Reason, displaced []Outcome) {
	i, found := c.find(r.Service)
	if !found {
		return false, ReasonNone, nil
	}
	g := c.services[i]
	if g.queue.Len() == 0 && !g.holds(now, r) || !g.applies(now, r) || !r.Deadline.After(now) {
		return false, ReasonNone, nil
	}
	g.contention.record(now, r.Account)
	reason, displaced = g.enqueue(now, r)
	return reason == ReasonNone, reason, displaced
}

// Applies reports whether requests like r wait for capacity now, rather than being
// refused.
func (c *Control) Applies(now time.Time, r Request) bool {
	i, found := c.find(r.Service)
	return r.Classes > 1 || found && c.services[i].applies(now, r)
}

// Settled records whether the engines took a request that was sent, or one of them
// refused it for lack of capacity. Calls for requests that were not sent by an Outcome
// have no effect.
func (c *Control) Settled(now time.Time, service ids.Service, id ids.Request, taken bool) {
	if i, found := c.find(service); found {
		c.services[i].finish(now, id, taken)
	}
}

// Left removes a request that waits, or that was sent and ended in a way that says
// nothing about capacity.
func (c *Control) Left(now time.Time, service ids.Service, id ids.Request) {
	i, found := c.find(service)
	if !found {
		return
	}
	g := c.services[i]
	g.queue.Remove(id)
	if _, sent := g.sent[id]; sent {
		delete(g.sent, id)
		g.queue.Finished(now, 0)
	}
}

// Advance returns the waits that end by now, and the time of the next call if nothing
// else happens, zero if nothing waits.
func (c *Control) Advance(now time.Time) (ended []Outcome, next time.Time) {
	for _, g := range c.services {
		ended = append(ended, g.advance(now)...)
		if at := g.next(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return ended, next
}

// Waiting returns the number of waiting requests of a service.
func (c *Control) Waiting(service ids.Service) int {
	i, found := c.find(service)
	if !found {
		return 0
	}
	return c.services[i].queue.Len()
}

// MinRetryAfter is the shortest delay after which a caller refused for lack of capacity
// should retry.
const MinRetryAfter = 400 * time.Millisecond

// MaxJitter is the largest fraction of a delay from RetryAfter that the caller of the
// package may add to it.
const MaxJitter = 0.5

// maxTimeLeftFraction is the largest fraction of a caller's remaining time that it
// should wait, including the jitter. Callers ignore longer delays.
const maxTimeLeftFraction = 1.0 / 3

// RetryAfter returns the delay without jitter after which a refused caller should retry:
// the time to drain the queue and the callers refused before, shorter for more urgent
// classes. left is the time until the caller's deadline. MinRetryAfter takes precedence
// over the bound that follows from left, since an earlier retry would meet the same
// full engine.
func (c *Control) RetryAfter(now time.Time, r Request, left time.Duration) time.Duration {
	beyond := c.gate(r.Service).queue.RetryBase(now) - MinRetryAfter
	part := float64(r.Class+1) / float64(max(r.Classes, r.Class+1))
	advice := MinRetryAfter + time.Duration(part*float64(beyond))
	longest := time.Duration(maxTimeLeftFraction / (1 + MaxJitter) * float64(left))
	return max(min(advice, longest), MinRetryAfter)
}
