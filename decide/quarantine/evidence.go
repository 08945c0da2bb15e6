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
	// weight is the sum of the weights of the deaths of their processes.
	weight float64
	// first and last are the times of the first and the last of these deaths.
	first, last time.Time
	// learnedAt is when this VM learned of the last of them, and suspectSince when upstreams
	// reached Threshold.
	learnedAt, suspectSince time.Time
}

// evidenceFor summarizes the evidence against a fingerprint.
func (det *Detector) evidenceFor(fp Fingerprint) evidence {
	s := det.suspects[fp]
	if s == nil {
		return evidence{}
	}
	return *det.summaryOf(fp, s)
}

// summaryOf is evidenceFor for a suspect. It keeps the summary until the charges change.
func (det *Detector) summaryOf(fp Fingerprint, s *suspect) *evidence {
	if !s.summarized {
		s.summary, s.summarized = det.summarize(fp, s), true
	}
	return &s.summary
}

// summarize computes what evidenceFor returns.
func (det *Detector) summarize(fp Fingerprint, s *suspect) evidence {
	e := evidence{part: fp.IsPart()}
	var seen []ids.Upstream
	var counted time.Time
	var requests []Fingerprint
	for _, c := range s.blamed() {
		d, b := c.death, c.blame
		if e.deaths == 0 {
			e.first = d.at
		}
		e.last = d.at
		if b.learnedAt.After(e.learnedAt) {
			e.learnedAt = b.learnedAt
		}
		e.deaths++
		if b.ran != unknownRan && d.at.Add(-b.ran).Before(counted.Add(-startTolerance)) {
			continue
		}
		counted = d.at
		if e.part {
			other, found := otherRequest(b.via, requests)
			if !found {
				continue
			}
			requests = append(requests, other)
		}
		e.excused = e.excused || b.excused
		weight := b.weight()
		if slices.Contains(seen, d.id.upstream) {
			weight = min(weight, restartedWeight)
		} else {
			seen = append(seen, d.id.upstream)
		}
		before := det.isSuspect(e)
		if e.weight += weight; !before && det.isSuspect(e) {
			e.suspectSince = e.learnedAt
		}
	}
	e.upstreams = len(seen)
	return e
}

// meanShareOf returns the mean over the deaths that a fingerprint is blamed for of 1/n, where n is
// the number of fingerprints that are blamed for the death. Fingerprints are ranked by the sum of
// it and of their weight. It is kept apart from the summary, since each blame changes the shares
// of all fingerprints at the death, and only the search for rivals needs it.
func (det *Detector) meanShareOf(s *suspect) float64 {
	if s.blames == 0 {
		return 0
	}
	if s.sharesVersion != det.sharesVersion {
		s.share, s.sharesVersion = 0, det.sharesVersion
		for _, c := range s.blamed() {
			s.share += 1 / float64(c.death.blamed)
		}
	}
	return s.share / float64(s.blames)
}

// blamed returns the charges of which the fingerprint is not cleared, the first death first.
func (s *suspect) blamed() []charge {
	blamed := make([]charge, 0, s.blames)
	for _, c := range s.charges {
		if !c.blame.cleared {
			blamed = append(blamed, c)
		}
	}
	slices.SortStableFunc(blamed, func(x, y charge) int { return x.death.at.Compare(y.death.at) })
	return blamed
}

// findOrAddDeath returns the record of a death and adds it if it is unknown. If
// it is known, it keeps the earliest of its times.
func (det *Detector) findOrAddDeath(at time.Time, id deathID) *death {
	if d, known := det.byID[id]; known {
		if at.Before(d.at) {
			d.at = at
			det.sharesVersion++
			for _, b := range d.inFlight {
				b.suspect.summarized = false
			}
		}
		return d
	}
	if len(det.deaths) >= det.opts.MaxDeaths {
		det.removeReferences(det.deaths[0])
		det.deaths = slices.Delete(det.deaths, 0, 1)
	}
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
		s := det.suspects[fp]
		if s == nil {
			s = &suspect{}
			det.suspects[fp] = s
		}
		known = &b
		known.suspect = s
		d.inFlight[fp] = known
		d.blamed++
		s.charges = append(s.charges, charge{d, known})
		det.addToBlames(fp, s, 1)
	} else if known.merge(b) {
		known.suspect.summarized = false
	}
	success, ok := det.successes[fp]
	switch {
	case !ok || success.Before(d.at.Add(-successMemory)) || known.cleared:
		return false
	case fp.IsPart() && success.Before(d.at):
		changed := !b.excused
		if !known.excused {
			known.excused = true
			known.suspect.summarized = false
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
	b := d.inFlight[fp]
	if b == nil || b.cleared {
		return false
	}
	b.cleared = true
	d.blamed--
	det.addToBlames(fp, b.suspect, -1)
	return true
}

// addToBlames adds to the number of deaths that a fingerprint is blamed for. It has to be called
// after each change of that.
func (det *Detector) addToBlames(fp Fingerprint, s *suspect, n int) {
	s.blames += n
	s.summarized = false
	det.sharesVersion++
	if s.blames >= det.opts.Threshold {
		det.candidates[fp] = s
	} else {
		delete(det.candidates, fp)
	}
}

// suspectsOf returns the suspects whose quarantine would not be over, those with the most
// evidence against them first.
func (det *Detector) suspectsOf(now time.Time) []Fingerprint {
	return det.suspectsWhere(now, func(Fingerprint, *suspect) bool { return true })
}

// suspectsWhere returns those of suspectsOf that satisfy match.
func (det *Detector) suspectsWhere(now time.Time, match func(Fingerprint, *suspect) bool) []Fingerprint {
	type weighted struct {
		fp     Fingerprint
		weight float64
	}
	var found []weighted
	for fp, s := range det.candidates {
		if !match(fp, s) {
			continue
		}
		if e := det.summaryOf(fp, s); det.isSuspect(*e) && now.Before(e.last.Add(det.opts.Duration)) {
			found = append(found, weighted{fp, e.weight})
		}
	}
	slices.SortFunc(found, func(x, y weighted) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.fp, y.fp))
	})
	suspects := make([]Fingerprint, len(found))
	for i, f := range found {
		suspects[i] = f.fp
	}
	return suspects
}

// eventsOf returns all evidence about some fingerprints, at most MaxEvents events, those
// about the first fingerprints first.
func (det *Detector) eventsOf(now time.Time, fps []Fingerprint) []Event {
	var events []Event
	for _, fp := range fps {
		s := det.suspects[fp]
		if s == nil {
			continue
		}
		for _, c := range s.charges {
			kind := Blamed
			if c.blame.cleared {
				kind = Cleared
			}
			events = append(events, c.death.event(kind, fp, now.Sub(c.death.at)))
		}
		if len(events) >= det.opts.MaxEvents {
			break
		}
	}
	return events[:min(len(events), det.opts.MaxEvents)]
}

// count returns how much evidence there is about a fingerprint.
func (det *Detector) count(fp Fingerprint) count {
	if s := det.suspects[fp]; s != nil {
		return s.count()
	}
	return count{}
}

// count returns how many charges there are.
func (s *suspect) count() count { return count{len(s.charges), len(s.charges) - s.blames} }

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
		det.removeReferences(d)
		return true
	})
}

// removeReferences removes a death from the indexes by ID and by fingerprint.
func (det *Detector) removeReferences(d *death) {
	delete(det.byID, d.id)
	for fp, b := range d.inFlight {
		s := b.suspect
		s.charges = slices.DeleteFunc(s.charges, func(c charge) bool { return c.death == d })
		blames := 0
		if !b.cleared {
			blames = 1
		}
		det.addToBlames(fp, s, -blames)
		if len(s.charges) == 0 {
			delete(det.suspects, fp)
		}
	}
}
