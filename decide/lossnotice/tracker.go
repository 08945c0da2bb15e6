// Package lossnotice decides what a node does about the loss of an engine: when its streams
// are moved, when it tells the other nodes, which notices of theirs it verifies, which
// engines it watches over an idle connection, and when that connection is opened again.
//
// It addresses the load of an engine that a fifth to a third of all streams pass through and
// whose process ends. Without notices, each stream detects that after its own stall timeout.
//
// An engine counts as lost once its host refuses a connection. A connection that ends does
// not suffice, because an engine with too many connections resets some of them.
//
// Nothing in this package reads a clock, does I/O or is safe for concurrent use.
package lossnotice

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// minDialInterval is the least time between two redials of an engine, and between two
	// verifications, so that the resets of many connections to it cost one dial.
	minDialInterval = 250 * time.Millisecond
	// newsInterval is how long further refusals of an engine are no news. Streams that
	// could not be moved meanwhile are diagnosed after their stall timeout.
	newsInterval = time.Second
	// announceInterval is the least time between two notices of this node about an engine that
	// accepts some connections and refuses others because it has too many, or that does not
	// answer. It is also the time in which there are at most maxSilenceNotices.
	announceInterval = 5 * time.Second
	// maxSilenceNotices is the number of engines whose silence a node announces within
	// announceInterval. A node that has lost its links takes all engines for silent, and each
	// notice makes other nodes dial the engine.
	maxSilenceNotices = 3
	// engineTTL is how long an engine without events is remembered. A registry drops an
	// engine that has ended after a few seconds, unless the registry itself is out.
	engineTTL = time.Minute
	// MinNodes is the least size of a fleet whose nodes watch engines and send notices.
	MinNodes = 2
)

// dialState limits the dials of one kind to one engine.
type dialState struct {
	running bool
	// again is true if another dial was asked for while one was running.
	again bool
	// at is when the latest dial was allowed to begin, zero before the first.
	at time.Time
}

// wait returns the time until the next dial may begin.
func (d *dialState) wait(now time.Time) time.Duration {
	if d.at.IsZero() {
		return 0
	}
	return max(d.at.Add(minDialInterval).Sub(now), 0)
}

// engine is what is known of one engine.
type engine struct {
	// lostAt is when the engine was last found to refuse connections, zero for never.
	lostAt time.Time
	// announcedAt is when a notice about the engine was last sent or received, zero for never.
	// connected is true if the engine has accepted a connection since.
	announcedAt time.Time
	connected   bool
	// heardAt is when a notice of another node was last received, zero for never.
	heardAt time.Time
	// silenceToldAt and silenceHeardAt are when a notice of the engine's silence was last sent or
	// received, and last received, zero for never. They do not keep a loss from being announced.
	silenceToldAt, silenceHeardAt time.Time

	redial dialState
	verify dialState
	// usedAt is the time of the latest event.
	usedAt time.Time
}

// Tracker is one node's knowledge of lost engines. Create it with NewTracker.
type Tracker struct {
	engines map[ids.Instance]*engine
	sweptAt time.Time
	// silenceNotices are the times of the latest notices of silence of this node.
	silenceNotices []time.Time
}

// NewTracker returns a Tracker that knows of no loss.
func NewTracker() *Tracker { return &Tracker{engines: make(map[ids.Instance]*engine)} }

// get returns the entry of an engine, and creates it if there is none.
func (t *Tracker) get(now time.Time, id ids.Instance) *engine {
	t.sweep(now)
	e := t.engines[id]
	if e == nil {
		e = &engine{}
		t.engines[id] = e
	}
	e.usedAt = now
	return e
}

// sweep drops the engines without events in engineTTL.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < engineTTL {
		return
	}
	t.sweptAt = now
	for id, e := range t.engines {
		if now.Sub(e.usedAt) >= engineTTL && !e.redial.running && !e.verify.running {
			delete(t.engines, id)
		}
	}
}

// Forget drops an engine that has left the directory.
func (t *Tracker) Forget(id ids.Instance) { delete(t.engines, id) }

// Finding is what follows from the loss of an engine.
type Finding struct {
	// Move is true if the streams that pass through the engine have to be moved. It is false
	// if that was found within the last second.
	Move bool
	// Announce is true if the other nodes have to be told.
	Announce bool
}

// Lost records that the host of an engine refused a connection of this node, or that a dial
// to verify a notice failed. A node announces a loss once, and not after it has received a
// notice, unless the engine has accepted a connection since and announceInterval has passed.
func (t *Tracker) Lost(now time.Time, id ids.Instance) Finding {
	e := t.get(now, id)
	f := Finding{
		Move:     e.lost(now),
		Announce: e.announcedAt.IsZero() || e.connected && now.Sub(e.announcedAt) >= announceInterval,
	}
	if f.Announce {
		e.announcedAt, e.connected = now, false
	}
	return f
}

// Silent records that an engine did not answer a probe in time, and reports whether the other
// nodes have to be told. The cause may be this node, so the engine does not count as lost.
func (t *Tracker) Silent(now time.Time, id ids.Instance) (announce bool) {
	e := t.get(now, id)
	t.silenceNotices = slices.DeleteFunc(t.silenceNotices, func(at time.Time) bool { return now.Sub(at) >= announceInterval })
	if !e.silenceToldAt.IsZero() && now.Sub(e.silenceToldAt) < announceInterval || len(t.silenceNotices) >= maxSilenceNotices {
		return false
	}
	e.silenceToldAt = now
	t.silenceNotices = append(t.silenceNotices, now)
	return true
}

// SilenceConfirmed records that a dial to verify a notice of silence was not answered either,
// and reports whether the streams that pass through the engine have to be moved.
func (t *Tracker) SilenceConfirmed(now time.Time, id ids.Instance) (move bool) {
	return t.get(now, id).lost(now)
}

// lost records that the engine was found lost, and reports whether that is news.
func (e *engine) lost(now time.Time) bool {
	news := e.lostAt.IsZero() || now.Sub(e.lostAt) >= newsInterval
	if news {
		e.lostAt = now
	}
	return news
}

// LostSince reports whether an engine was found lost at a time or later. A stream that chose
// its chain at that time did not know it.
func (t *Tracker) LostSince(id ids.Instance, since time.Time) bool {
	e := t.engines[id]
	return e != nil && !e.lostAt.IsZero() && !e.lostAt.Before(since)
}

// Connected records that an engine has accepted a connection, so that a later loss is
// announced again.
func (t *Tracker) Connected(id ids.Instance) {
	if e := t.engines[id]; e != nil {
		e.connected = true
	}
}

// HeardSince reports whether a notice of another node about an engine has arrived at a time or
// later.
func (t *Tracker) HeardSince(id ids.Instance, since time.Time) bool {
	e := t.engines[id]
	return e != nil && !e.heardAt.IsZero() && !e.heardAt.Before(since)
}

// HeardOfSilenceSince is HeardSince for notices of silence.
func (t *Tracker) HeardOfSilenceSince(id ids.Instance, since time.Time) bool {
	e := t.engines[id]
	return e != nil && !e.silenceHeardAt.IsZero() && !e.silenceHeardAt.Before(since)
}

// Redial asks for a dial to an engine to which a connection was reset. If ok, the caller
// dials after wait and then calls RedialEnded. Otherwise a dial that is about to begin, or
// the one after that, answers the question.
func (t *Tracker) Redial(now time.Time, id ids.Instance) (wait time.Duration, ok bool) {
	d := &t.get(now, id).redial
	if d.running {
		// The running dial may have begun before the engine was lost.
		d.again = !now.Before(d.at)
		return 0, false
	}
	wait = d.wait(now)
	d.running, d.at = true, now.Add(wait)
	return wait, true
}

// RedialEnded records the end of a redial. again is true if another one has to follow after
// wait, because a connection was reset meanwhile.
func (t *Tracker) RedialEnded(now time.Time, id ids.Instance, refused bool) (wait time.Duration, again bool) {
	e := t.engines[id]
	if e == nil {
		return 0, false
	}
	again = e.redial.again && !refused
	e.redial.running, e.redial.again = false, false
	if !again {
		return 0, false
	}
	return t.Redial(now, id)
}

// Notice is a message about a lost or silent engine as it arrives.
type Notice struct {
	Engine ids.Instance
	// SenderListed is true if the message came from the address of a node of the fleet.
	SenderListed bool
	// EngineListed is true if the directory has this instance of the engine.
	EngineListed bool
	// Streams is the number of this node's running streams that pass through the engine, for
	// the notice of a loss in a stage other than the first.
	Streams int
	// Silent is true if the engine does not answer, false if its host refuses connections.
	Silent bool
}

// Response is what a node does about a notice.
type Response string

// Responses to notices.
const (
	// Verify means that the node dials the engine before it moves its streams.
	Verify Response = "verify"
	// IgnoreSender means that the notice came from elsewhere than a node of the fleet.
	IgnoreSender Response = "unlisted_sender"
	// IgnoreEngine means that the engine is unknown or has been replaced by a later start.
	IgnoreEngine Response = "unknown_engine"
	// IgnoreKnown means that the loss is known, or is being verified or was lately.
	IgnoreKnown Response = "known"
	// IgnoreUnused means that no stream passes through the engine.
	IgnoreUnused Response = "unused"
)

// Receive decides about a notice. After Verify the caller dials the engine and then calls
// VerifyEnded.
func (t *Tracker) Receive(now time.Time, n Notice) Response {
	switch {
	case !n.SenderListed:
		return IgnoreSender
	case !n.EngineListed:
		return IgnoreEngine
	}
	e := t.get(now, n.Engine)
	if n.Silent {
		e.silenceToldAt, e.silenceHeardAt = now, now
	} else {
		e.announcedAt, e.heardAt, e.connected = now, now, false
	}
	switch {
	case n.Streams == 0:
		return IgnoreUnused
	case !e.lostAt.IsZero() && now.Sub(e.lostAt) < newsInterval, e.verify.running, e.verify.wait(now) > 0:
		return IgnoreKnown
	}
	e.verify.running, e.verify.at = true, now
	return Verify
}

// VerifyEnded records the end of a verification.
func (t *Tracker) VerifyEnded(id ids.Instance) {
	if e := t.engines[id]; e != nil {
		e.verify.running = false
	}
}

// Dial is the result of the dial that verifies a notice.
type Dial struct {
	// Connected and Refused are the engine's answer, if there was one.
	Connected, Refused bool
	// NoPath is true if this node has lost its own links.
	NoPath bool
	// TimedOut is true if the dial failed because there was no answer in time. A dial that
	// fails earlier, such as for want of a socket, says nothing about the engine.
	TimedOut bool
	// Took is the time until the result.
	Took time.Duration
}

const (
	// VerifyTimeout bounds the dial that verifies a notice. An engine accepts or refuses
	// within one round trip of a few milliseconds.
	VerifyTimeout = 30 * time.Millisecond
	// verifyOverrunTolerance is how far beyond VerifyTimeout a dial without an answer may
	// end and still confirm the notice. After a longer time this node itself was delayed.
	verifyOverrunTolerance = 25 * time.Millisecond
)

// Confirms reports whether the result of a dial confirms that the engine is lost.
func (d Dial) Confirms() bool {
	switch {
	case d.Connected, d.NoPath:
		return false
	case d.Refused:
		return true
	}
	return d.TimedOut && d.Took <= VerifyTimeout+verifyOverrunTolerance
}
