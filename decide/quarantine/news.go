package quarantine

import (
	"time"
)

// Nodes send the keepers only news: what they have found themselves since their last report. A
// part of prompts that is in most requests is blamed for each death and cleared by each success,
// so reports of all that a node knows would grow with the square of the crashes.
//
//   - A blame goes to the keepers at once, and so does a success that contradicts a suspect.
//     Other successes wait for more, but not longer than keepers wait with a decision.
//   - A success is one event, whatever number of deaths it clears its fingerprint of.
//   - Reports are paced by the number of nodes, so that the load on a keeper has a limit that
//     depends neither on the fleet's size nor on the number of crashes. Those that contradict a
//     suspect have a pace of their own: a sound request is refused if they come too late.
const (
	// successDelay is how long a success that contradicts no suspect waits for more news.
	successDelay = evidenceWait / 2
	// minSpacing and maxSpacing bound the mean time between two reports of one node, and between
	// two announcements of one keeper. spacingPerNode is that time for each node of the fleet.
	minSpacing     = 30 * time.Millisecond
	maxSpacing     = time.Second
	spacingPerNode = 10 * time.Millisecond
	// reportBurst and announcementBurst are how many may follow each other without a pause.
	reportBurst       = 5
	announcementBurst = 4
	// contradictionSpacing and contradictionBurst pace reports that contradict a suspect.
	contradictionSpacing = evidenceWait
	contradictionBurst   = 3
)

// news is what a VM has found itself and not reported yet.
type news struct {
	// blames are in the order in which they were found, and listed holds the same.
	blames []blameKey
	listed map[blameKey]bool
	// successes holds the time of the last success of each fingerprint, in the order of succeeded.
	successes map[Fingerprint]time.Time
	succeeded []Fingerprint
	// urgent is true if the keepers have to be told without delay, and contradicts if a suspect
	// has succeeded. since is when the first of the news was found, zero if there is none.
	urgent, contradicts bool
	since               time.Time
}

// blameKey identifies the blame of a death on a fingerprint.
type blameKey struct {
	death deathID
	fp    Fingerprint
}

// newNews returns news without content.
func newNews() *news {
	return &news{listed: make(map[blameKey]bool), successes: make(map[Fingerprint]time.Time)}
}

// blamed records a blame. A nil news records nothing.
func (n *news) blamed(now time.Time, d *death, fp Fingerprint) {
	if n == nil {
		return
	}
	n.found(now)
	n.urgent = true
	key := blameKey{d.id, fp}
	if !n.listed[key] {
		n.listed[key] = true
		n.blames = append(n.blames, key)
	}
}

// success records a success that clears or excuses a fingerprint.
func (n *news) success(at time.Time, fp Fingerprint, suspect bool) {
	if n == nil {
		return
	}
	n.found(at)
	n.contradicts = n.contradicts || suspect
	known, ok := n.successes[fp]
	if !ok {
		n.succeeded = append(n.succeeded, fp)
	}
	if !ok || at.After(known) {
		n.successes[fp] = at
	}
}

// found records that there is news.
func (n *news) found(now time.Time) {
	if n.since.IsZero() {
		n.since = now
	}
}

// isEmpty reports whether there is nothing to tell.
func (n *news) isEmpty() bool { return n.since.IsZero() }

// dueAt returns when the keepers have to be told, zero if there is no news.
func (n *news) dueAt() time.Time {
	if n.isEmpty() || n.urgent || n.contradicts {
		return n.since
	}
	return n.since.Add(successDelay)
}

// take removes and returns up to limit events, as the evidence is now. What does not fit stays.
func (n *news) take(now time.Time, det *Detector, limit int) []Event {
	var events []Event
	for len(n.blames) > 0 && len(events) < limit {
		key := n.blames[0]
		n.blames = n.blames[1:]
		delete(n.listed, key)
		if d := det.byID[key.death]; d != nil && d.inFlight[key.fp] != nil {
			events = append(events, d.event(d.kindOf(key.fp), key.fp, now.Sub(d.at)))
		}
	}
	for len(n.succeeded) > 0 && len(events) < limit {
		fp := n.succeeded[0]
		n.succeeded = n.succeeded[1:]
		events = append(events, Event{Kind: Succeeded, Fingerprint: fp, Age: now.Sub(n.successes[fp])})
		delete(n.successes, fp)
	}
	if len(n.blames)+len(n.succeeded) == 0 {
		*n = *newNews()
	}
	return events
}

// kindOf returns the kind of the event that tells the state of a fingerprint at the death.
func (d *death) kindOf(fp Fingerprint) Kind {
	if d.isBlamed(fp) {
		return Blamed
	}
	return Cleared
}

// pacer spaces messages: burst of them may follow each other without a pause.
type pacer struct {
	burst int
	// full is when all of the burst is available again.
	full time.Time
}

// next returns when the next message may be sent at the earliest.
func (p *pacer) next(spacing time.Duration) time.Time {
	if p.full.IsZero() {
		return time.Time{}
	}
	return p.full.Add(-time.Duration(p.burst-1) * spacing)
}

// sent records a message.
func (p *pacer) sent(now time.Time, spacing time.Duration) {
	if p.full.Before(now) {
		p.full = now
	}
	p.full = p.full.Add(spacing)
}

// spacing returns the mean time between two messages in a fleet of some nodes.
func spacing(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*spacingPerNode, minSpacing), maxSpacing)
}

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}
