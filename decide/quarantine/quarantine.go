// Package quarantine recognises requests that crash the upstreams they run on,
// by what was in flight when upstreams died.
//
// Each death of an upstream blames what was in flight there, on any VM; a
// success of a fingerprint anywhere clears it of the deaths before. What
// counts against a fingerprint is the distinct upstreams it is still blamed
// for, and then its mean share of that blame, 1/n for n still blamed. It is
// quarantined when After upstreams are reached and no innocent explanation is
// left:
//
//   - It stands out: no other fingerprint blamed for the same deaths comes
//     close. An innocent that was retried beside the culprit ties with it, and
//     both stay free until a success or one more death tells them apart.
//   - The deaths are explained by it: they are at least three quarters of all
//     deaths in the same time. When a rack fails, they are not.
//   - Peers had Settle to tell what they had in flight.
//
// With two upstreams more than After, nearly half of the deaths suffice, and
// nothing else is asked. Weighed and left: a plain count (every second death
// quarantines innocents that were retried onto the wrong upstream), a sum of
// 1/n (with 20 in flight a culprit needs 40 deaths to reach 2), and a time for
// each verdict (evidence that comes late could not take it back).
//
// What is not told apart: an innocent that is retried from one upstream that
// dies by itself onto another that does, with nothing else dying; and equal
// requests that run on all upstreams of a failing rack and nowhere else.
//
// A Detector is used by one goroutine, for one service. It reads no clock.
package quarantine

import (
	"time"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/ids"
)

// Defaults of Options.
const (
	DefaultThreshold   = 2
	DefaultDuration    = 10 * time.Minute
	DefaultPeerWait    = time.Second
	DefaultMaxDeaths   = 256
	DefaultMaxInFlight = 512
	DefaultMaxEvents   = 256
)

const (
	// explained is the share of deaths that a fingerprint must account for.
	explained = 0.75
	// standOut is the score by which a fingerprint must lead all others.
	standOut = 0.2
	// certainAfter is how many upstreams above After need no further proof, if
	// the fingerprint accounts for certainExplained of the deaths.
	certainAfter     = 2
	certainExplained = 0.45
	// turnFactor is the longest wait of suspects that tie, in multiples of
	// Settle.
	turnFactor = 4
	// keepFactor is how long deaths are kept, in multiples of For.
	keepFactor = 2
	// maxSuccesses bounds the successes remembered against late blame.
	maxSuccesses = 2048
)

// Fingerprint tells a request from others and is the same for its repeats.
type Fingerprint string

// Options bound a Detector. Zero fields take their defaults.
type Options struct {
	// Threshold is the dead upstreams that quarantine a fingerprint.
	Threshold int
	// Duration is the time of a quarantine, counted from the last death.
	Duration time.Duration
	// PeerWait is the time peers have to tell what they had in flight; below
	// zero means none.
	PeerWait time.Duration
	// MaxDeaths is the most deaths kept, MaxInFlight the most fingerprints
	// blamed for one, MaxEvents the most in a digest, sent or taken in.
	MaxDeaths, MaxInFlight, MaxEvents int
}

// deathID names a death: the upstream, and the process life that ended.
type deathID struct {
	upstream ids.Upstream
	epoch    string
}

// death is one upstream's death and the fingerprints in flight then.
type death struct {
	id deathID
	at time.Time
	// inFlight tells for each fingerprint whether it is still blamed.
	inFlight map[Fingerprint]bool
	blamed   int
}

// Detector keeps the evidence of one service.
type Detector struct {
	opts Options
	// deaths are in the order they were learned of.
	deaths   []*death
	byID     map[deathID]*death
	suspects map[Fingerprint][]*death
	// successes remembers when a fingerprint last succeeded here.
	successes map[Fingerprint]time.Time
	order     []Fingerprint
	next      int
}

// New makes a Detector without evidence.
func New(opts Options) *Detector {
	b := &Detector{
		byID:      make(map[deathID]*death),
		suspects:  make(map[Fingerprint][]*death),
		successes: make(map[Fingerprint]time.Time),
	}
	b.SetOptions(opts)
	return b
}

// SetOptions changes the options; the evidence is judged anew by them.
func (b *Detector) SetOptions(opts Options) { b.opts = withDefaults(opts) }

// RecordDeath blames an upstream's death on what this VM had in flight there; tell
// also of deaths without any. A death is a connection lost after start that is
// followed by a new epoch or refused connects; epoch is the life that ended.
func (b *Detector) RecordDeath(now time.Time, upstream ids.Upstream, epoch string, inFlight []Fingerprint) {
	b.prune(now)
	d := b.death(now, deathID{upstream, epoch})
	for _, fp := range inFlight {
		b.blame(d, fp)
	}
}

// RecordSuccess tells that an upstream served a fingerprint whole.
func (b *Detector) RecordSuccess(now time.Time, fp Fingerprint) {
	b.remember(now, fp)
	for _, d := range b.suspects[fp] {
		if !d.at.After(now) {
			d.clear(fp)
		}
	}
}

// Quarantined reports whether requests of a fingerprint are refused, and
// until when.
func (b *Detector) Quarantined(now time.Time, fp Fingerprint) (bool, time.Time) {
	c := b.caseOf(fp)
	until := c.last.Add(b.opts.Duration)
	if c.upstreams < b.opts.Threshold || !now.Before(until) {
		return false, time.Time{}
	}
	if !b.certain(c) && !b.proven(now, fp, c) {
		return false, time.Time{}
	}
	return true, until
}

// certain reports whether the count alone is proof. It has to be for culprits
// that kill at the same time as others.
func (b *Detector) certain(c evidence) bool {
	return c.upstreams >= b.opts.Threshold+certainAfter && b.explains(c, certainExplained)
}

// explains reports whether a share of all deaths in the time is blamed on the
// fingerprint.
func (b *Detector) explains(c evidence, share float64) bool {
	return float64(c.deaths) >= share*float64(b.deathsBetween(c.first, c.last))
}

// Suspected gives the dead upstreams a fingerprint is blamed for, and the time
// until which its requests have to wait before they start; zero means no wait.
// The time may come nearer as evidence arrives: ask again now and then. From
// After upstreams on there is a wait of Settle, for peers to tell what they had
// in flight. Fingerprints that tie are then tried one by one, so that the next
// death or success tells them apart; those whose turn is later wait for
// turnFactor times Settle at most. A caller that does not wait lets a culprit
// kill more upstreams.
func (b *Detector) Suspected(now time.Time, fp Fingerprint) (upstreams int, holdUntil time.Time) {
	c := b.caseOf(fp)
	if c.upstreams < b.opts.Threshold {
		return c.upstreams, time.Time{}
	}
	hold := c.last.Add(b.opts.PeerWait)
	if b.anyRival(fp, c, func(other Fingerprint) bool { return other < fp }) {
		hold = c.last.Add(turnFactor * b.opts.PeerWait)
	}
	if now.Before(hold) {
		holdUntil = hold
	}
	return c.upstreams, holdUntil
}

// proven reports whether a fingerprint explains the deaths it is blamed for
// and nothing else does as well.
func (b *Detector) proven(now time.Time, fp Fingerprint, c evidence) bool {
	if now.Before(c.last.Add(b.opts.PeerWait)) {
		return false
	}
	return b.explains(c, explained) && !b.anyRival(fp, c, anyone)
}

// anyRival reports whether another fingerprint, of those that match, explains
// the same deaths about as well.
func (b *Detector) anyRival(fp Fingerprint, c evidence, match func(Fingerprint) bool) bool {
	for _, d := range b.suspects[fp] {
		if !d.inFlight[fp] {
			continue
		}
		for other, blamed := range d.inFlight {
			if other == fp || !blamed || !match(other) {
				continue
			}
			if b.caseOf(other).score() > c.score()-standOut {
				return true
			}
		}
	}
	return false
}

// anyone matches all fingerprints.
func anyone(Fingerprint) bool { return true }

// deathsBetween counts the deaths in a span of time, its ends included.
func (b *Detector) deathsBetween(first, last time.Time) int {
	count := 0
	for _, d := range b.deaths {
		if !d.at.Before(first) && !d.at.After(last) {
			count++
		}
	}
	return count
}

// withDefaults fills in unset options.
func withDefaults(o Options) Options {
	o.Threshold = defaults.Positive(o.Threshold, DefaultThreshold)
	o.Duration = defaults.Positive(o.Duration, DefaultDuration)
	if o.PeerWait == 0 {
		o.PeerWait = DefaultPeerWait
	}
	o.PeerWait = max(o.PeerWait, 0)
	o.MaxDeaths = defaults.Positive(o.MaxDeaths, DefaultMaxDeaths)
	o.MaxInFlight = defaults.Positive(o.MaxInFlight, DefaultMaxInFlight)
	o.MaxEvents = defaults.Positive(o.MaxEvents, DefaultMaxEvents)
	return o
}
