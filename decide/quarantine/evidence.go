package quarantine

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// evidence is what counts against a fingerprint.
type evidence struct {
	// deaths blamed on it, and the distinct upstreams that died.
	deaths, upstreams int
	// share is the sum over the deaths of 1/n.
	share       float64
	first, last time.Time
}

// score orders fingerprints by upstreams, then by mean share of blame.
func (e evidence) score() float64 {
	if e.deaths == 0 {
		return 0
	}
	return float64(e.upstreams) + e.share/float64(e.deaths)
}

// caseOf sums up the evidence against a fingerprint.
func (b *Detector) caseOf(fp Fingerprint) evidence {
	var e evidence
	var seen []ids.Upstream
	for _, d := range b.suspects[fp] {
		if !d.inFlight[fp] {
			continue
		}
		if e.deaths == 0 || d.at.Before(e.first) {
			e.first = d.at
		}
		if d.at.After(e.last) {
			e.last = d.at
		}
		e.deaths++
		e.share += 1 / float64(d.blamed)
		if !slices.Contains(seen, d.id.upstream) {
			seen = append(seen, d.id.upstream)
		}
	}
	e.upstreams = len(seen)
	return e
}

// death gives the record of a death, made if needed. The first time it was
// heard of stands.
func (b *Detector) death(at time.Time, id deathID) *death {
	if d, known := b.byID[id]; known {
		return d
	}
	if len(b.deaths) >= b.opts.MaxDeaths {
		b.forget(b.deaths[0])
		b.deaths = slices.Delete(b.deaths, 0, 1)
	}
	d := &death{id: id, at: at, inFlight: make(map[Fingerprint]bool)}
	b.deaths = append(b.deaths, d)
	b.byID[id] = d
	return d
}

// blame counts a death against a fingerprint, once, unless it has succeeded
// since.
func (b *Detector) blame(d *death, fp Fingerprint) {
	if _, known := d.inFlight[fp]; known || len(d.inFlight) >= b.opts.MaxInFlight {
		return
	}
	d.inFlight[fp] = true
	d.blamed++
	b.suspects[fp] = append(b.suspects[fp], d)
	if success, ok := b.successes[fp]; ok && !success.Before(d.at) {
		d.clear(fp)
	}
}

// clear takes a death's blame off a fingerprint, for good.
func (d *death) clear(fp Fingerprint) {
	if d.inFlight[fp] {
		d.inFlight[fp] = false
		d.blamed--
	}
}

// remember notes a success, in place of the oldest when there are too many.
func (b *Detector) remember(now time.Time, fp Fingerprint) {
	if _, known := b.successes[fp]; !known {
		if len(b.order) < maxSuccesses {
			b.order = append(b.order, fp)
		} else {
			delete(b.successes, b.order[b.next])
			b.order[b.next] = fp
			b.next = (b.next + 1) % maxSuccesses
		}
	}
	b.successes[fp] = now
}

// prune forgets old deaths.
func (b *Detector) prune(now time.Time) {
	keep := keepFactor * b.opts.Duration
	b.deaths = slices.DeleteFunc(b.deaths, func(d *death) bool {
		if now.Sub(d.at) < keep {
			return false
		}
		b.forget(d)
		return true
	})
}

// forget takes a death out of what points to it.
func (b *Detector) forget(d *death) {
	delete(b.byID, d.id)
	for fp := range d.inFlight {
		rest := slices.DeleteFunc(b.suspects[fp], func(other *death) bool { return other == d })
		if len(rest) == 0 {
			delete(b.suspects, fp)
			continue
		}
		b.suspects[fp] = rest
	}
}
