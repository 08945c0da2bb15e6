// Package quarantine identifies requests that crash the upstreams they run on,
// from which requests were in flight when upstreams died. Such requests are
// refused for some time, so that retries do not crash more upstreams.
//
// A death of an upstream is blamed on all fingerprints in flight there, on any
// VM. When a fingerprint succeeds anywhere, it is cleared of all earlier deaths, and of those
// shortly after.
// Fingerprints are ranked by the number of processes that they are
// still blamed for, and then by their mean share of the blame, which is 1/n for
// a death with n fingerprints still blamed. A fingerprint is quarantined once it
// is blamed for Threshold upstreams and all of the following hold:
//
//   - No other fingerprint that is blamed for half of the same deaths has a similar
//     score. An innocent request that was always retried on the same upstreams
//     as the culprit has the same score; neither is quarantined until a success
//     or another death distinguishes them.
//   - At least three quarters of all deaths in the same period are blamed on it.
//     This is not the case when a rack fails.
//   - Peers had PeerWait to report what they had in flight.
//
// A death at which part of the response had come counts half: long responses are cut off by
// deaths that they have not caused.
//
// Each process of an upstream that starts again under its id counts, the later ones half: a
// request that always comes to the same upstream crashes that one only.
//
// Upstreams that die together, as in a rack, count as one if the runs on them began before
// the first of these deaths: a request that crashes upstreams is sent again after each.
//
// If a fingerprint is blamed for two upstreams more than Threshold and for
// nearly half of the deaths, it is quarantined without further conditions.
//
// Alternatives that were rejected: a plain count (every second death would
// quarantine innocent requests that were retried on the wrong upstream), the sum
// of 1/n (with 20 requests in flight, a culprit needs 40 deaths to reach 2), and a
// fixed duration for each decision (evidence that arrives late could not revoke
// it).
//
// Parts of prompts that several requests share have fingerprints too; see parts.go.
//
// Two cases cannot be distinguished: an innocent request that is retried from
// one upstream that dies for another reason on another one that does too, while
// nothing else dies; and equal requests that run on all upstreams of a failing
// rack and nowhere else.
//
// A Detector handles one service. It is not safe for concurrent use and reads no
// clock.
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
	// minExplained is the minimum fraction of all deaths in the period that must
	// be blamed on a fingerprint.
	minExplained = 0.75
	// minScoreLead is the minimum lead of a fingerprint's score over all others
	// blamed for the same deaths.
	minScoreLead = 0.2
	// A fingerprint blamed for certainExtraUpstreams upstreams more than
	// Threshold, and for a fraction of at least certainMinExplained of all
	// deaths in the period, is quarantined without further conditions.
	certainExtraUpstreams = 2
	certainMinExplained   = 0.45
	// startedWeight is how much a death counts at which part of the response had come. Most
	// requests that crash an upstream do so as they begin to run there, while each death
	// cuts off all responses that have started.
	startedWeight = 0.5
	// restartedWeight is how much a death counts of an upstream that has died under the same id
	// before: an upstream that crashes by itself meets the same requests again.
	restartedWeight = 0.5
	// maxStartedShare is the fraction of MaxInFlight that such requests may take.
	maxStartedShare = 0.5
	// maxTieWaitFactor is the longest wait of suspects with similar scores, in
	// multiples of PeerWait.
	maxTieWaitFactor = 4
	// retentionFactor is how long deaths are kept, in multiples of
	// Options.Duration.
	retentionFactor = 2
	// maxSuccesses is the maximum number of successes remembered. They clear
	// fingerprints of deaths that are reported late.
	maxSuccesses = 2048
	// successMemory is how long before a death a success clears a fingerprint of it: a
	// request that crashes all upstreams has not succeeded right before.
	successMemory = 10 * time.Second
)

// startTolerance is how much earlier than a death a run may have begun and still count as
// begun after it. Times that peers report are late by the time of the call.
const startTolerance = 20 * time.Millisecond

// Fingerprint identifies a request. Repetitions of a request have the same
// fingerprint.
type Fingerprint string

// Options configure a Detector. Zero fields take their defaults.
type Options struct {
	// Threshold is the number of distinct upstreams for whose deaths a
	// fingerprint must be blamed before it can be quarantined. Further processes
	// of the same upstream count half.
	Threshold int
	// Duration is the length of a quarantine, counted from the last death.
	Duration time.Duration
	// PeerWait is the time that peers have to report what they had in flight. A
	// negative value means no wait.
	PeerWait time.Duration
	// MaxDeaths is the maximum number of deaths kept, MaxInFlight that of
	// fingerprints blamed for one death, and MaxEvents that of events in a
	// digest, both sent and received.
	MaxDeaths, MaxInFlight, MaxEvents int
}

// Run is a request that was in flight on an upstream when it died.
type Run struct {
	Fingerprint Fingerprint
	// Began is when the upstream got the request, zero if that is not known.
	Began time.Time
	// Started is true if part of the response had come.
	Started bool
	// Via is the fingerprint of the request, if Fingerprint is that of a part of its prompt.
	Via Fingerprint
}

// deathID identifies a death by the upstream and the epoch of the process that
// ended.
type deathID struct {
	upstream ids.Upstream
	epoch    string
}

// death is the death of an upstream and the fingerprints that were in flight.
type death struct {
	id deathID
	at time.Time
	// inFlight holds the fingerprints that were in flight. blamed is the number of those
	// that are still blamed.
	inFlight map[Fingerprint]*blame
	blamed   int
}

// suspect holds the deaths at which a fingerprint was in flight, and what follows from them. Both
// are kept together, and referred to by pointers, since looking fingerprints up took most of the
// time of a review.
type suspect struct {
	charges []charge
	// blames is the number of charges of which the fingerprint is not cleared.
	blames int
	// summary is the evidence against it, if summarized is true.
	summary    evidence
	summarized bool
	// share is the blame share as of sharesVersion, see Detector.shareOf.
	share         float64
	sharesVersion uint64
	// shared is the number of deaths that it shares with another fingerprint, in the search for
	// rivals with the number search.
	shared int
	search uint64
}

// charge is the blame of one death on a fingerprint.
type charge struct {
	death *death
	blame *blame
}

// blame is what is known of one fingerprint at a death.
type blame struct {
	// learnedAt is when this VM learned of it.
	learnedAt time.Time
	// cleared is true once the fingerprint has succeeded after the death.
	cleared bool
	// ran is how long the first of its runs had been on the upstream, unknownRan if that is
	// not known.
	ran time.Duration
	// started is true if part of the response had come in all of its runs.
	started bool
	// via holds requests with the part, for the fingerprint of a part. excused is true if
	// another request with it had succeeded shortly before the death.
	via     []Fingerprint
	excused bool
	// suspect is that of the fingerprint.
	suspect *suspect
}

// weight returns how much the blame counts, 1 for an upstream that died before it
// responded.
func (b *blame) weight() float64 {
	switch {
	case b.excused:
		return excusedWeight
	case b.started && len(b.via) == 0:
		return startedWeight
	}
	return 1
}

// unknownRan stands for the time of a run whose start is not known.
const unknownRan = time.Duration(-1)

// isBlamed reports whether the fingerprint is still blamed for the death.
func (d *death) isBlamed(fp Fingerprint) bool {
	b := d.inFlight[fp]
	return b != nil && !b.cleared
}

// Detector collects the evidence of one service.
type Detector struct {
	opts Options
	// deaths are in the order in which they became known.
	deaths   []*death
	byID     map[deathID]*death
	suspects map[Fingerprint]*suspect
	// candidates holds those that are blamed for enough deaths to be suspects.
	candidates map[Fingerprint]*suspect
	// sharesVersion counts the changes of the blame shares, and searches those for rivals.
	sharesVersion, searches uint64
	// successes maps fingerprints to their last success on this VM. successRing
	// lists them in the order they were added, and ringNext is the next index to
	// replace.
	successes   map[Fingerprint]time.Time
	successRing []Fingerprint
	ringNext    int
	// news is what peers have to be told, nil if it is not collected.
	news *news
}

// New returns a Detector without evidence.
func New(opts Options) *Detector {
	det := &Detector{
		byID:      make(map[deathID]*death),
		suspects:  make(map[Fingerprint]*suspect),
		successes: make(map[Fingerprint]time.Time),
	}
	det.SetOptions(opts)
	return det
}

// SetOptions replaces the options. They apply to existing evidence too.
func (det *Detector) SetOptions(opts Options) {
	det.opts = withDefaults(opts)
	det.candidates = make(map[Fingerprint]*suspect)
	for fp, s := range det.suspects {
		det.addToBlames(fp, s, 0)
	}
}

// RecordDeath blames the death of an upstream on the fingerprints that this VM
// had in flight there. It must also be called if there were none. A death is a
// connection lost after the start of a request, followed by a new epoch or by
// refused connections. epoch is that of the process that ended.
func (det *Detector) RecordDeath(now time.Time, upstream ids.Upstream, epoch string, inFlight []Fingerprint) {
	runs := make([]Run, len(inFlight))
	for i, fp := range inFlight {
		runs[i].Fingerprint = fp
	}
	det.RecordDeathAt(now, now, upstream, epoch, runs)
}

// RecordDeathAt is RecordDeath for a death at an earlier time, and for runs whose start is
// known.
func (det *Detector) RecordDeathAt(now, at time.Time, upstream ids.Upstream, epoch string, runs []Run) {
	det.dropOldDeaths(now)
	d := det.findOrAddDeath(at, deathID{upstream, epoch})
	for _, r := range runs {
		ran := unknownRan
		if !r.Began.IsZero() {
			ran = max(at.Sub(r.Began), 0)
		}
		b := blame{learnedAt: now, ran: ran, started: r.Started}
		if r.Via != "" {
			b.via = []Fingerprint{r.Via}
		}
		det.addBlame(d, r.Fingerprint, b)
		det.news.blamed(now, d, r.Fingerprint)
	}
}

// RecordSuccess records that an upstream served a request with this fingerprint
// completely. It reports whether that cleared the fingerprint of a death.
func (det *Detector) RecordSuccess(now time.Time, fp Fingerprint) (cleared bool) {
	det.storeSuccess(now, fp)
	return det.applySuccess(now, fp)
}

// Ruling is the result of an assessment of a fingerprint.
type Ruling string

// Rulings.
const (
	// Unsuspected: blamed for fewer upstreams than Threshold, or the quarantine is over.
	Unsuspected Ruling = "unsuspected"
	// AwaitsPeers: peers still have time to report what they had in flight.
	AwaitsPeers Ruling = "awaits_peers"
	// OtherCauses: too few of the deaths in the period are blamed on the fingerprint.
	OtherCauses Ruling = "other_causes"
	// Rivaled: other fingerprints explain the deaths as well.
	Rivaled Ruling = "rivaled"
	// Refuse: requests with the fingerprint must be refused.
	Refuse Ruling = "refuse"
)

// Finding is an assessment of a fingerprint, with the evidence it is based on.
type Finding struct {
	Ruling Ruling
	// Upstreams is the number of dead upstreams that the fingerprint is blamed for, and
	// Deaths the number of their deaths. AllDeaths counts all deaths in the same period.
	Upstreams, Deaths, AllDeaths int
	// Rival is another fingerprint that explains the deaths as well, empty if the ruling is
	// not Rivaled.
	Rival Fingerprint
	// Last is the time of the last of these deaths, LearnedAt when this VM learned of it,
	// and Until the end of a quarantine.
	Last, LearnedAt, Until time.Time
}

// Assess returns the finding about a fingerprint.
func (det *Detector) Assess(now time.Time, fp Fingerprint) Finding {
	return det.assess(now, fp, det.opts.PeerWait, 0)
}

// assess is Assess with other times for the reports of peers: peerWait from when the last
// death became known, and certainWait from when the fingerprint became a suspect.
func (det *Detector) assess(now time.Time, fp Fingerprint, peerWait, certainWait time.Duration) Finding {
	e := det.evidenceFor(fp)
	f := Finding{Upstreams: e.upstreams, Deaths: e.deaths, Last: e.last, LearnedAt: e.learnedAt, Until: e.last.Add(det.opts.Duration)}
	if e.deaths > 0 {
		f.AllDeaths = det.deathsBetween(e.first, e.last)
	}
	switch {
	case !det.isSuspect(e) || !now.Before(f.Until):
		f.Ruling = Unsuspected
	case !now.Before(e.suspectSince.Add(certainWait)) && det.certainByCount(e):
		f.Ruling = Refuse
	case now.Before(e.learnedAt.Add(peerWait)):
		f.Ruling = AwaitsPeers
	case !det.explains(e, minExplained):
		f.Ruling = OtherCauses
	default:
		f.Ruling = Refuse
		if f.Rival = det.rivalOf(fp, e, anyFingerprint); f.Rival != "" {
			f.Ruling = Rivaled
		}
	}
	return f
}

// Quarantined reports whether requests with this fingerprint must be refused,
// and until when.
func (det *Detector) Quarantined(now time.Time, fp Fingerprint) (bool, time.Time) {
	f := det.Assess(now, fp)
	if f.Ruling != Refuse {
		return false, time.Time{}
	}
	return true, f.Until
}

// isSuspect reports whether the evidence is sufficient for a quarantine if nothing else
// explains the deaths.
func (det *Detector) isSuspect(e evidence) bool { return e.weight >= det.threshold(e) }

// threshold returns the weight from which on evidence makes a suspect.
func (det *Detector) threshold(e evidence) float64 {
	if e.part {
		return float64(det.opts.Threshold + partExtraUpstreams)
	}
	return float64(det.opts.Threshold)
}

// certainByCount reports whether the number of upstreams is sufficient evidence
// without the other conditions. Without this rule, two culprits that kill
// upstreams at the same time might never be quarantined.
func (det *Detector) certainByCount(e evidence) bool {
	return e.weight >= det.threshold(e)+certainExtraUpstreams && det.explains(e, certainMinExplained)
}

// explains reports whether at least the given fraction of all deaths in the
// period is blamed on the fingerprint.
func (det *Detector) explains(e evidence, share float64) bool {
	return float64(e.deaths) >= share*float64(det.deathsBetween(e.first, e.last))
}

// Suspected returns the number of dead upstreams that a fingerprint is blamed
// for, and the time until which its requests must wait before they start; zero
// means no wait.
//
// From Threshold upstreams on, requests wait for PeerWait, so that peers can
// report what they had in flight. Fingerprints with similar scores then run one
// after another, so that the next death or success distinguishes them; all but
// the first wait for up to maxTieWaitFactor times PeerWait. The wait can become
// shorter as evidence arrives, so callers should ask again from time to time. A
// caller that does not wait lets a culprit kill more upstreams.
func (det *Detector) Suspected(now time.Time, fp Fingerprint) (upstreams int, holdUntil time.Time) {
	e := det.evidenceFor(fp)
	if !det.isSuspect(e) {
		return e.upstreams, time.Time{}
	}
	hold := e.learnedAt.Add(det.opts.PeerWait)
	if det.rivalOf(fp, e, func(other Fingerprint) bool { return other < fp }) != "" {
		hold = e.learnedAt.Add(maxTieWaitFactor * det.opts.PeerWait)
	}
	if now.Before(hold) {
		holdUntil = hold
	}
	return e.upstreams, holdUntil
}

// rivalOf returns another fingerprint that satisfies match, is blamed for at least half of
// the same deaths and has a similar or higher score, the first one in their order. It is
// empty if there is none.
func (det *Detector) rivalOf(fp Fingerprint, e evidence, match func(Fingerprint) bool) Fingerprint {
	s := det.suspects[fp]
	if s == nil {
		return ""
	}
	det.searches++
	score := e.weight + det.meanShareOf(s)
	var rival Fingerprint
	for _, c := range s.charges {
		if c.blame.cleared {
			continue
		}
		for other, b := range c.death.inFlight {
			if b.cleared || other == fp || rival != "" && other >= rival || !match(other) || fp.IsPart() && !other.IsPart() {
				continue
			}
			o := b.suspect
			if o.search != det.searches {
				o.search, o.shared = det.searches, 0
			}
			if o.shared++; 2*o.shared >= e.deaths && det.summaryOf(other, o).weight+det.meanShareOf(o) > score-minScoreLead {
				rival = other
			}
		}
	}
	return rival
}

// anyFingerprint is a match function for all fingerprints.
func anyFingerprint(Fingerprint) bool { return true }

// deathsBetween counts the deaths from first to last, both inclusive.
func (det *Detector) deathsBetween(first, last time.Time) int {
	count := 0
	for _, d := range det.deaths {
		if !d.at.Before(first) && !d.at.After(last) {
			count++
		}
	}
	return count
}

// withDefaults returns the options with defaults in unset fields.
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
