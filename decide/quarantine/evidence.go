package quarantine

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

// evidence summarizes the deaths that a fingerprint is blamed for.
type evidence struct {
	// part is true for the fingerprint of a part. excused is true if a request with it had
	// succeeded shortly before one of the deaths.
	part, excused bool
	// deaths is the number of deaths blamed on the fingerprint. upstreams is the number
	// of distinct upstreams among them, of which those that died together count as one.
	deaths, upstreams int
	// weight is the sum of the weights of these upstreams.
	weight float64
	// blameShare is the sum over these deaths of 1/n, where n is the number of
	// fingerprints that are blamed for the death.
	blameShare float64
	// first and last are the times of the first and the last of these deaths.
	first, last time.Time
	// learnedAt is when this VM learned of the last of them, and suspectSince when upstreams
	// reached Threshold.
	learnedAt, suspectSince time.Time
}

// score ranks fingerprints by the weight of their upstreams and then by their mean
// share of the blame.
func (e evidence) score() float64 {
	if e.deaths == 0 {
		return 0
	}
	return e.weight + e.blameShare/float64(e.deaths)
}

// evidenceFor summarizes the evidence against a fingerprint.
func (det *Detector) evidenceFor(fp Fingerprint) evidence {
	if len(det.suspects[fp]) == 0 {
		return evidence{}
	}
	e, known := det.summaries[fp]
	if !known {
		e = det.summarize(fp)
		det.summaries[fp] = e
	}
	return e
}

// changed drops the summaries of the evidence. It has to be called after each change of the
// deaths.
func (det *Detector) changed() { clear(det.summaries) }

// summarize computes what evidenceFor returns.
func (det *Detector) summarize(fp Fingerprint) evidence {
	e := evidence{part: fp.IsPart()}
	var seen []ids.Upstream
	var counted time.Time
	var requests []Fingerprint
	for _, d := range det.blamedDeaths(fp) {
		if e.deaths == 0 {
			e.first = d.at
		}
		e.last = d.at
		if learned := d.inFlight[fp].learnedAt; learned.After(e.learnedAt) {
			e.learnedAt = learned
		}
		e.deaths++
		e.blameShare += 1 / float64(d.blamed)
		if ran := d.inFlight[fp].ran; ran != unknownRan && d.at.Add(-ran).Before(counted.Add(-startTolerance)) {
			continue
		}
		counted = d.at
		if slices.Contains(seen, d.id.upstream) {
			continue
		}
		if e.part {
			other, found := otherRequest(d.inFlight[fp].via, requests)
			if !found {
				continue
			}
			requests = append(requests, other)
		}
		e.excused = e.excused || d.inFlight[fp].excused
		seen = append(seen, d.id.upstream)
		before := det.isSuspect(e)
		if e.weight += d.inFlight[fp].weight(); !before && det.isSuspect(e) {
			e.suspectSince = e.learnedAt
		}
	}
	e.upstreams = len(seen)
	return e
}

// blamedDeaths returns the deaths that a fingerprint is blamed for, the first one first.
func (det *Detector) blamedDeaths(fp Fingerprint) []*death {
	var blamed []*death
	for _, d := range det.suspects[fp] {
		if d.isBlamed(fp) {
			blamed = append(blamed, d)
		}
	}
	slices.SortStableFunc(blamed, func(x, y *death) int { return x.at.Compare(y.at) })
	return blamed
}

// findOrAddDeath returns the record of a death and adds it if it is unknown. If
// it is known, it keeps the earliest of its times.
func (det *Detector) findOrAddDeath(at time.Time, id deathID) *death {
	if d, known := det.byID[id]; known {
		if at.Before(d.at) {
			d.at = at
			det.changed()
		}
		return d
	}
	if len(det.deaths) >= det.opts.MaxDeaths {
		det.removeReferences(det.deaths[0])
		det.deaths = slices.Delete(det.deaths, 0, 1)
	}
	det.changed()
	d := &death{id: id, at: at, inFlight: make(map[Fingerprint]*blame)}
	det.deaths = append(det.deaths, d)
	det.byID[id] = d
	return d
}

// addBlame blames a death on a fingerprint. The blame is cleared at once if the fingerprint
// has succeeded since the death or shortly before, and that of a part is excused in the latter
// case; contradicted reports either unless b says so.
func (det *Detector) addBlame(d *death, fp Fingerprint, b blame) (contradicted bool) {
	known := d.inFlight[fp]
	if known == nil {
		if len(d.inFlight) >= det.maxInFlight(b.started) {
			return false
		}
		known = &b
		d.inFlight[fp] = known
		d.blamed++
		det.suspects[fp] = append(det.suspects[fp], d)
		det.addToBlames(fp, 1)
		det.changed()
	} else if known.merge(b) {
		det.changed()
	}
	success, ok := det.successes[fp]
	switch {
	case !ok || success.Before(d.at.Add(-successMemory)) || known.cleared:
		return false
	case fp.IsPart() && success.Before(d.at):
		changed := !b.excused
		if !known.excused {
			known.excused = true
			det.changed()
		}
		return changed
	}
	return det.clear(d, fp)
}

// merge adds what another VM, or another run, tells of the same blame. It reports whether that
// is news.
func (b *blame) merge(other blame) (news bool) {
	if other.ran > b.ran || b.started && !other.started || other.excused && !b.excused {
		b.ran = max(b.ran, other.ran)
		b.started = b.started && other.started
		b.excused = b.excused || other.excused
		news = true
	}
	for _, via := range other.via {
		if len(b.via) < maxVia && !slices.Contains(b.via, via) {
			b.via = append(b.via, via)
			news = true
		}
	}
	return news
}

// maxInFlight returns the number of fingerprints blamed for one death from which on no
// further one is added.
func (det *Detector) maxInFlight(started bool) int {
	if started {
		return int(maxStartedShare * float64(det.opts.MaxInFlight))
	}
	return det.opts.MaxInFlight
}

// clear permanently removes a fingerprint's blame for a death. It reports whether there was
// one.
func (det *Detector) clear(d *death, fp Fingerprint) bool {
	if !d.isBlamed(fp) {
		return false
	}
	det.changed()
	d.inFlight[fp].cleared = true
	d.blamed--
	det.addToBlames(fp, -1)
	return true
}

// addToBlames adds to the number of deaths that a fingerprint is blamed for.
func (det *Detector) addToBlames(fp Fingerprint, n int) {
	blames := det.blames[fp] + n
	det.blames[fp] = blames
	if blames == 0 {
		delete(det.blames, fp)
	}
	if blames >= det.opts.Threshold {
		det.candidates[fp] = true
	} else {
		delete(det.candidates, fp)
	}
}

// suspectsOf returns the suspects whose quarantine would not be over, those with the most
// evidence against them first.
func (det *Detector) suspectsOf(now time.Time) []Fingerprint {
	weights := make(map[Fingerprint]float64)
	var suspects []Fingerprint
	for fp := range det.candidates {
		if e := det.evidenceFor(fp); det.isSuspect(e) && now.Before(e.last.Add(det.opts.Duration)) {
			weights[fp] = e.weight
			suspects = append(suspects, fp)
		}
	}
	slices.SortFunc(suspects, func(x, y Fingerprint) int {
		return cmp.Or(cmp.Compare(weights[y], weights[x]), cmp.Compare(x, y))
	})
	return suspects
}

// eventsOf returns all evidence about some fingerprints, at most MaxEvents events, those
// about the first fingerprints first.
func (det *Detector) eventsOf(now time.Time, fps []Fingerprint) []Event {
	var events []Event
	for _, fp := range fps {
		for _, d := range det.suspects[fp] {
			kind := Blamed
			if !d.isBlamed(fp) {
				kind = Cleared
			}
			events = append(events, d.event(kind, fp, now.Sub(d.at)))
		}
	}
	return events[:min(len(events), det.opts.MaxEvents)]
}

// count returns how much evidence there is about a fingerprint.
func (det *Detector) count(fp Fingerprint) count {
	c := count{blamed: len(det.suspects[fp])}
	for _, d := range det.suspects[fp] {
		if !d.isBlamed(fp) {
			c.cleared++
		}
	}
	return c
}

// storeSuccess records the time of a success. If maxSuccesses fingerprints are
// stored, it replaces the one that was added first.
func (det *Detector) storeSuccess(now time.Time, fp Fingerprint) {
	if _, known := det.successes[fp]; !known {
		if len(det.successRing) < maxSuccesses {
			det.successRing = append(det.successRing, fp)
		} else {
			delete(det.successes, det.successRing[det.ringNext])
			det.successRing[det.ringNext] = fp
			det.ringNext = (det.ringNext + 1) % maxSuccesses
		}
	}
	det.successes[fp] = now
}

// dropOldDeaths removes deaths whose retention has ended.
func (det *Detector) dropOldDeaths(now time.Time) {
	keep := retentionFactor * det.opts.Duration
	det.deaths = slices.DeleteFunc(det.deaths, func(d *death) bool {
		if now.Sub(d.at) < keep {
			return false
		}
		det.changed()
		det.removeReferences(d)
		return true
	})
}

// removeReferences removes a death from the indexes by ID and by fingerprint.
func (det *Detector) removeReferences(d *death) {
	delete(det.byID, d.id)
	for fp := range d.inFlight {
		if d.isBlamed(fp) {
			det.addToBlames(fp, -1)
		}
		rest := slices.DeleteFunc(det.suspects[fp], func(other *death) bool { return other == d })
		if len(rest) == 0 {
			delete(det.suspects, fp)
			continue
		}
		det.suspects[fp] = rest
	}
}
