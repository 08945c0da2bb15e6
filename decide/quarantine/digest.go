package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// freshFor is the time for which all of a death's evidence is told to peers;
// after it, only what counts against suspects of more than one.
const freshFor = 30 * time.Second

// Kind tells what an Event says.
type Kind string

// Kinds of events.
const (
	// Blamed: the fingerprint was in flight at the death.
	Blamed Kind = "blamed"
	// Cleared: the fingerprint has succeeded after the death.
	Cleared Kind = "cleared"
	// Death: the upstream died; no fingerprint is named.
	Death Kind = "death"
)

// Event is one piece of evidence, as told to peers. A death is named by
// Upstream and Epoch, so that the same event counts once however often and by
// whomever it is told.
type Event struct {
	Kind        Kind         `json:"kind"`
	Upstream    ids.Upstream `json:"upstream"`
	Epoch       string       `json:"epoch"`
	Fingerprint Fingerprint  `json:"fingerprint,omitempty"`
	// Age is the time since the death.
	Age time.Duration `json:"age_ns"`
}

// MergeDigest takes in a peer's digest. Whose it is does not matter, since
// events name what they are of; relayed ones may come from anybody. Events
// beyond MaxEvents, of unknown kind, or older than what is kept are ignored.
func (b *Detector) MergeDigest(now time.Time, _ ids.VM, events []Event) {
	b.prune(now)
	for _, e := range events[:min(len(events), b.opts.MaxEvents)] {
		if e.Age >= keepFactor*b.opts.Duration || !e.Kind.valid() {
			continue
		}
		d := b.death(now.Add(-max(e.Age, 0)), deathID{e.Upstream, e.Epoch})
		if e.Kind == Death {
			continue
		}
		b.blame(d, e.Fingerprint)
		if e.Kind == Cleared {
			d.clear(e.Fingerprint)
		}
	}
}

// valid reports whether the kind is known.
func (k Kind) valid() bool { return k == Blamed || k == Cleared || k == Death }

// Digest gives the evidence for peers, what peers told included: first what
// counts against suspects of several deaths, then the rest of the newest
// deaths, at most MaxEvents.
func (b *Detector) Digest(now time.Time) []Event {
	b.prune(now)
	newest := slices.Clone(b.deaths)
	slices.SortStableFunc(newest, func(x, y *death) int { return y.at.Compare(x.at) })
	var strong, weak []Event
	for _, d := range newest {
		age := now.Sub(d.at)
		if age < freshFor {
			weak = append(weak, d.event(Death, "", age))
		}
		for _, fp := range d.fingerprints() {
			switch {
			case !d.inFlight[fp] && age < freshFor:
				weak = append(weak, d.event(Cleared, fp, age))
			case d.inFlight[fp] && len(b.suspects[fp]) > 1:
				strong = append(strong, d.event(Blamed, fp, age))
			case d.inFlight[fp] && age < freshFor:
				weak = append(weak, d.event(Blamed, fp, age))
			}
		}
		if len(strong) >= b.opts.MaxEvents {
			break
		}
	}
	all := append(strong, weak...)
	return all[:min(len(all), b.opts.MaxEvents)]
}

// event makes an event of the death.
func (d *death) event(kind Kind, fp Fingerprint, age time.Duration) Event {
	return Event{Kind: kind, Upstream: d.id.upstream, Epoch: d.id.epoch, Fingerprint: fp, Age: age}
}

// fingerprints gives what was in flight, in order.
func (d *death) fingerprints() []Fingerprint {
	out := make([]Fingerprint, 0, len(d.inFlight))
	for fp := range d.inFlight {
		out = append(out, fp)
	}
	slices.SortFunc(out, cmp.Compare[Fingerprint])
	return out
}
