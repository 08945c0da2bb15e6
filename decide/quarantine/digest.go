package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// recentDeathAge is the age up to which all evidence of a death is sent to
// peers. For older deaths, only evidence against suspects of several deaths is
// sent.
const recentDeathAge = 30 * time.Second

// Kind is the type of an Event.
type Kind string

// Types of events.
const (
	// Blamed: the fingerprint was in flight on the upstream when it died.
	Blamed Kind = "blamed"
	// Cleared: the fingerprint has succeeded after the death.
	Cleared Kind = "cleared"
	// Death: the upstream died. The event names no fingerprint.
	Death Kind = "death"
	// Succeeded: the fingerprint has succeeded. The event names no upstream, and Age is the time
	// since then.
	Succeeded Kind = "succeeded"
)

// Event is one item of evidence that VMs exchange. Upstream and Epoch identify
// the death, so that the same event counts once, no matter how often and by
// which peers it is sent.
type Event struct {
	Kind        Kind         `json:"kind"`
	Upstream    ids.Upstream `json:"upstream"`
	Epoch       string       `json:"epoch"`
	Fingerprint Fingerprint  `json:"fingerprint,omitempty"`
	// Age is the time since the death.
	Age time.Duration `json:"age_ns"`
	// Ran is how long the first run of the fingerprint had been on the upstream when it
	// died, 0 if that is not known.
	Ran time.Duration `json:"ran_ns,omitempty"`
	// Started is true if part of the response had come in all of its runs there.
	Started bool `json:"started,omitempty"`
	// Via holds requests with the part, if the fingerprint is that of a part. Excused is true
	// if another request with it had succeeded shortly before the death.
	Via     []Fingerprint `json:"via,omitempty"`
	Excused bool          `json:"excused,omitempty"`
}

// applySuccess clears a fingerprint of deaths, as a peer has served it at some time.
func (det *Detector) applySuccess(at time.Time, fp Fingerprint) (cleared bool) {
	if fp.IsPart() {
		return det.applyLived(at, fp)
	}
	if s := det.suspects[fp]; s != nil {
		for _, c := range s.charges {
			if !c.death.at.After(at) && det.clear(c.death, fp) {
				cleared = true
			}
		}
	}
	return cleared
}

// MergeDigest adds the events of a peer's digest to the evidence. Peers relay
// events of other VMs, and each event identifies its death, so it does not
// matter which VM sent it. Events are ignored if they exceed MaxEvents, have an
// unknown kind, or are older than the retention time of deaths. contradicted reports whether
// one blames a fingerprint that has succeeded here since.
func (det *Detector) MergeDigest(now time.Time, _ ids.VM, events []Event) (contradicted bool) {
	det.dropOldDeaths(now)
	var d *death
	for _, e := range events[:min(len(events), det.opts.MaxEvents)] {
		if e.Age >= retentionFactor*det.opts.Duration || !e.Kind.valid() {
			continue
		}
		if e.Kind == Succeeded {
			det.applySuccess(now.Add(-max(e.Age, 0)), e.Fingerprint)
			continue
		}
		// Most events are about the same death as the one before.
		if at := now.Add(-max(e.Age, 0)); d == nil || d.id.upstream != e.Upstream || d.id.epoch != e.Epoch || at.Before(d.at) {
			d = det.findOrAddDeath(at, deathID{e.Upstream, e.Epoch})
		}
		if e.Kind == Death {
			continue
		}
		ran := unknownRan
		if e.Ran > 0 {
			ran = e.Ran
		}
		b := blame{learnedAt: now, ran: ran, started: e.Started, via: slices.Clone(e.Via[:min(len(e.Via), maxVia)]), excused: e.Excused}
		if det.addBlame(d, e.Fingerprint, b) && e.Kind == Blamed {
			contradicted = true
			det.news.success(det.successes[e.Fingerprint], e.Fingerprint, false)
		}
		if e.Kind == Cleared {
			det.clear(d, e.Fingerprint)
		}
	}
	return contradicted
}

// valid reports whether the kind is known.
func (k Kind) valid() bool {
	return k == Blamed || k == Cleared || k == Death || k == Succeeded
}

// Digest returns the evidence to send to peers, including evidence received from
// peers. Events against suspects of several deaths come first, then the other
// events of recent deaths, each with the newest deaths first. It returns at most
// MaxEvents events.
func (det *Detector) Digest(now time.Time) []Event {
	det.dropOldDeaths(now)
	newest := slices.Clone(det.deaths)
	slices.SortStableFunc(newest, func(x, y *death) int { return y.at.Compare(x.at) })
	var repeated, recent []Event
	for _, d := range newest {
		age := now.Sub(d.at)
		if age < recentDeathAge {
			recent = append(recent, d.event(Death, "", age))
		}
		for _, fp := range d.fingerprints() {
			b := d.inFlight[fp]
			switch {
			case b.cleared && age < recentDeathAge:
				recent = append(recent, d.event(Cleared, fp, age))
			case !b.cleared && len(b.suspect.charges) > 1:
				repeated = append(repeated, d.event(Blamed, fp, age))
			case !b.cleared && age < recentDeathAge:
				recent = append(recent, d.event(Blamed, fp, age))
			}
		}
		if len(repeated) >= det.opts.MaxEvents {
			break
		}
	}
	all := append(repeated, recent...)
	return all[:min(len(all), det.opts.MaxEvents)]
}

// event returns an event about the death.
func (d *death) event(kind Kind, fp Fingerprint, age time.Duration) Event {
	e := Event{Kind: kind, Upstream: d.id.upstream, Epoch: d.id.epoch, Fingerprint: fp, Age: age}
	b := d.inFlight[fp]
	if b == nil {
		return e
	}
	e.Started, e.Via, e.Excused = b.started, slices.Clone(b.via), b.excused
	if b.ran != unknownRan {
		e.Ran = max(b.ran, 1)
	}
	return e
}

// fingerprints returns the sorted fingerprints that were in flight.
func (d *death) fingerprints() []Fingerprint {
	out := make([]Fingerprint, 0, len(d.inFlight))
	for fp := range d.inFlight {
		out = append(out, fp)
	}
	slices.SortFunc(out, cmp.Compare[Fingerprint])
	return out
}
