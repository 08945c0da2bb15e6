package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// announceDelay is how long the first keeper collects changes before it announces them.
	announceDelay = 50 * time.Millisecond
	// maxAnnounced bounds the suspects of one announcement.
	maxAnnounced = 64
	// maxDecided bounds the suspects that a review decides on, those with the most evidence
	// against them. More that have as much are rivals of each other.
	maxDecided = 64
	// maxVerdicts bounds the verdicts that are kept, to about 0.1 MB. Each stands for two
	// crashed upstreams.
	maxVerdicts = 1024
	// verdictTravel is the time until all nodes normally have a verdict. If upstreams crash
	// later, a node has not heard it, and all are told again.
	verdictTravel = time.Second
	// maxToldClearings bounds the fingerprints whose clearing a node that asks is told. Half of
	// MaxEvents leaves as many events for the deaths of which they were cleared.
	maxToldClearings = DefaultMaxEvents / 2
	// maxVerdictEvents bounds the evidence that a verdict carries.
	maxVerdictEvents = 16
)

// Report is evidence about the requests of one service. Nodes send their evidence to the
// keepers, and keepers announce to all nodes what there is against suspects.
type Report struct {
	Service ids.Service `json:"service"`
	Events  []Event     `json:"events"`
	// Announced is true if the report goes to all nodes.
	Announced bool `json:"announced,omitempty"`
	// From is the node that sends the report.
	From ids.VM `json:"from,omitempty"`
}

// Decision is what a keeper has found about a suspect.
type Decision struct {
	Service     ids.Service
	Fingerprint Fingerprint
	Finding     Finding
}

// Actions are the results of a review.
type Actions struct {
	// Announcements and Verdicts have to be sent to all nodes.
	Announcements []Report
	Verdicts      []Verdict
	// Decisions are the findings that differ from those of earlier reviews.
	Decisions []Decision
	// Next is when the next review is due, zero if not before there is new evidence.
	Next time.Time
}

// Decider holds the evidence of one node about requests that crash upstreams, and the verdicts
// that are in force there. All evidence of a service is brought together at its keepers,
// which decide:
//
//   - TakeReports returns the news that the keepers have to be told. It goes to their
//     AddReport. A keeper that may lack earlier news gets the Evidence of the service.
//   - Review, on keepers, returns announcements for the AddReport of all nodes, and verdicts
//     for their AddVerdict. A node that has served a suspect contradicts an announcement
//     with its next report.
//   - A verdict carries its evidence, and is in force as long as no success contradicts it.
//
// Ways that were rejected: verdicts by what each node has lost itself (a request that comes
// through n nodes crashes n times as many upstreams, and what others lost counts as another
// cause), and evidence sent to all nodes (n times n messages for each death).
//
// A Decider is not safe for concurrent use and reads no clock.
type Decider struct {
	// nodes is the number of nodes of the fleet.
	nodes    int
	services map[ids.Service]*serviceEvidence
	verdicts map[Fingerprint]heldVerdict
}

// serviceEvidence is the evidence of one service.
type serviceEvidence struct {
	service  ids.Service
	detector *Detector
	// scheduled is true if NextReport was asked for the present news.
	scheduled bool
	// reports, contradictions and announcements pace what the node sends.
	reports, contradictions, announcements pacer
	// findings holds the findings about suspects of the latest review.
	findings map[Fingerprint]Finding
	// reviewed is false if there is evidence that has not been reviewed. decideAt is when a
	// suspect can be decided on without more evidence, zero for none.
	reviewed bool
	decideAt time.Time
	// announced holds what all nodes have been told about suspects, and changedAt when
	// there was first something to add, zero while there is nothing.
	announced map[Fingerprint]count
	changedAt time.Time
}

// count is the number of deaths that a fingerprint is or was blamed for, and the number of
// those of which it was cleared.
type count struct{ blamed, cleared int }

// heldVerdict is a verdict on requests of a service.
type heldVerdict struct {
	service ids.Service
	until   time.Time
	// toldAt is when the node heard the verdict, or reached it.
	toldAt time.Time
}

// NewDecider returns a Decider without evidence.
func NewDecider() *Decider {
	return &Decider{services: make(map[ids.Service]*serviceEvidence), verdicts: make(map[Fingerprint]heldVerdict)}
}

// service returns the evidence of a service, and creates it if there is none.
func (dec *Decider) service(service ids.Service) *serviceEvidence {
	d := dec.services[service]
	if d == nil {
		d = &serviceEvidence{service: service, detector: New(Options{}), findings: make(map[Fingerprint]Finding), announced: make(map[Fingerprint]count)}
		d.reports.burst, d.contradictions.burst, d.announcements.burst = reportBurst, contradictionBurst, announcementBurst
		d.detector.news = newNews()
		dec.services[service] = d
	}
	return d
}

// SetNodes sets the number of nodes of the fleet, by which messages are paced.
func (dec *Decider) SetNodes(n int) { dec.nodes = n }

// RecordDeath records the death of an upstream, at which the node lost runs or not.
func (dec *Decider) RecordDeath(now, at time.Time, service ids.Service, upstream ids.Upstream, epoch string, runs []Run) {
	d := dec.service(service)
	d.detector.RecordDeathAt(now, at, upstream, epoch, runs)
	d.reviewed = false
}

// RecordSuccess records that an upstream served a request completely.
func (dec *Decider) RecordSuccess(now time.Time, service ids.Service, fp Fingerprint) {
	d := dec.service(service)
	suspect := d.isSuspect(fp)
	if d.detector.RecordSuccess(now, fp) {
		d.reviewed = false
		d.tellSuccess(now, fp, suspect)
	}
}

// RecordLived records that requests with some parts in their prompts succeeded as of an
// earlier time.
func (dec *Decider) RecordLived(at time.Time, service ids.Service, parts []Fingerprint) {
	d := dec.service(service)
	for _, part := range parts {
		suspect := d.isSuspect(part)
		if d.detector.RecordLived(at, part) {
			d.reviewed = false
			d.tellSuccess(at, part, suspect)
		}
	}
}

// isSuspect reports whether there is sufficient evidence against a fingerprint.
func (d *serviceEvidence) isSuspect(fp Fingerprint) bool {
	return d.detector.suspects[fp] != nil && d.detector.isSuspect(d.detector.evidenceFor(fp))
}

// tellSuccess records that the keepers have to be told of a success, at once if it contradicts a
// suspect.
func (d *serviceEvidence) tellSuccess(at time.Time, fp Fingerprint, suspect bool) {
	d.scheduled = d.scheduled && (!suspect || d.detector.news.contradicts)
	d.detector.news.success(at, fp, suspect)
}

// AddReport merges the evidence of another node.
func (dec *Decider) AddReport(now time.Time, r Report) {
	d := dec.service(r.Service)
	contradicted := d.detector.MergeDigest(now, "", r.Events)
	if r.Announced {
		// Those that were announced are about to be decided on.
		d.detector.news.contradicts = d.detector.news.contradicts || contradicted
		d.noteAnnounced(r.Events)
	}
	d.scheduled = d.scheduled && !contradicted
	d.reviewed = false
}

// AddVerdict puts a verdict of another node in force, unless the node has served such a
// request since the deaths on which it is based.
func (dec *Decider) AddVerdict(now time.Time, v Verdict) {
	if v.Service != "" {
		dec.AddReport(now, Report{Service: v.Service, Events: v.Evidence, Announced: true})
	}
	dec.hold(now, v)
}

// TakeReports returns the news of the services for which a report is due.
func (dec *Decider) TakeReports(now time.Time) []Report {
	var reports []Report
	for _, d := range dec.sortedServices() {
		if due := dec.reportAt(d); due.IsZero() || now.Before(due) {
			continue
		}
		if now.Before(d.reports.next(spacing(dec.nodes))) {
			d.contradictions.sent(now, contradictionSpacing)
		} else {
			d.reports.sent(now, spacing(dec.nodes))
		}
		d.scheduled = false
		if events := d.detector.news.take(now, d.detector, d.detector.opts.MaxEvents); len(events) > 0 {
			reports = append(reports, Report{Service: d.service, Events: events})
		}
	}
	return reports
}

// NextReport returns when the next report is due, zero if there is no news.
func (dec *Decider) NextReport() time.Time {
	var next time.Time
	for _, d := range dec.services {
		d.scheduled = true
		next = earliest(next, dec.reportAt(d))
	}
	return next
}

// reportAt returns when the next report about a service is due, zero if there is no news.
func (dec *Decider) reportAt(d *serviceEvidence) time.Time {
	if d.detector.news.isEmpty() {
		return time.Time{}
	}
	paced := later(d.detector.news.dueAt(), d.reports.next(spacing(dec.nodes)))
	if !d.detector.news.contradicts {
		return paced
	}
	return earliest(paced, later(d.detector.news.since, d.contradictions.next(contradictionSpacing)))
}

// Evidence returns the evidence of a service for a keeper that may lack earlier news.
func (dec *Decider) Evidence(now time.Time, service ids.Service) Report {
	return Report{Service: service, Events: dec.service(service).detector.Digest(now)}
}

// Due reports whether NextReport or Review has something new to say.
func (dec *Decider) Due() bool {
	for _, d := range dec.services {
		if !d.scheduled && !d.detector.news.isEmpty() || !d.reviewed {
			return true
		}
	}
	return false
}

// Knowledge returns what a node has to be told that may have missed announcements: the suspects,
// the verdicts in force, and what was cleared, since the node may have heard earlier that it was
// suspected or refused. There are up to two reports of MaxEvents for each service, and maxVerdicts.
func (dec *Decider) Knowledge(now time.Time) ([]Report, []Verdict) {
	var reports []Report
	for _, d := range dec.sortedServices() {
		if events := d.detector.eventsOf(now, d.detector.suspectsOf(now)); len(events) > 0 {
			reports = append(reports, Report{Service: d.service, Events: events, Announced: true})
		}
		if events := dec.clearings(now, d); len(events) > 0 {
			reports = append(reports, Report{Service: d.service, Events: events, Announced: true})
		}
	}
	var verdicts []Verdict
	for fp, held := range dec.verdicts {
		if now.Before(held.until) && !dec.isContradicted(held.service, fp) {
			verdicts = append(verdicts, dec.verdict(now, held.service, fp, held.until))
		}
	}
	slices.SortFunc(verdicts, func(x, y Verdict) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return reports, verdicts
}

// clearing is a fingerprint that was cleared of deaths and is no suspect any more.
type clearing struct {
	fp      Fingerprint
	suspect *suspect
	// refused is true if there is a verdict on it that would be in force.
	refused bool
	// last is the time of the last death of which it was cleared.
	last time.Time
}

// clearings returns the evidence that clears former suspects, for a node that may take them for
// suspects or hold verdicts on them: of the fingerprints that all nodes are told of, those with
// verdicts first, then those that were cleared of the latest deaths.
//
// A success as of the last cleared death clears a fingerprint of all deaths until then that the
// node knows. The events about single deaths after it keep others, which have not heard of the
// success, from blaming them again. Of those only the latest fit.
func (dec *Decider) clearings(now time.Time, d *serviceEvidence) []Event {
	told := make(map[Fingerprint]bool, len(d.announced))
	for fp := range d.announced {
		told[fp] = false
	}
	for fp, held := range dec.verdicts {
		if held.service == d.service && now.Before(held.until) {
			told[fp] = true
		}
	}
	var found []clearing
	for fp, refused := range told {
		s := d.detector.suspects[fp]
		if s == nil || s.count().cleared == 0 || d.detector.isSuspect(*d.detector.summaryOf(fp, s)) {
			continue
		}
		c := clearing{fp: fp, suspect: s, refused: refused}
		var lastDeath time.Time
		for _, charge := range s.charges {
			lastDeath = later(lastDeath, charge.death.at)
			if charge.blame.cleared {
				c.last = later(c.last, charge.death.at)
			}
		}
		if !now.Before(lastDeath.Add(d.detector.opts.Duration)) {
			continue // no verdict on it is in force anywhere
		}
		found = append(found, c)
	}
	slices.SortFunc(found, func(x, y clearing) int {
		switch {
		case x.refused && !y.refused:
			return -1
		case y.refused && !x.refused:
			return 1
		}
		return cmp.Or(y.last.Compare(x.last), cmp.Compare(x.fp, y.fp))
	})
	found = found[:min(len(found), maxToldClearings)]
	var events []Event
	for _, c := range found {
		events = append(events, Event{Kind: Succeeded, Fingerprint: c.fp, Age: now.Sub(c.last)})
	}
	for _, c := range found {
		for _, charge := range slices.Backward(c.suspect.charges) {
			if len(events) >= d.detector.opts.MaxEvents {
				return events
			}
			if charge.blame.cleared {
				events = append(events, charge.death.event(Cleared, c.fp, now.Sub(charge.death.at)))
			}
		}
	}
	return events
}

// Review decides on the suspects of the services of which the node is a keeper.
func (dec *Decider) Review(now time.Time, role func(ids.Service) Role) Actions {
	var a Actions
	for _, d := range dec.sortedServices() {
		r := role(d.service)
		if !r.Keeper {
			d.reviewed = true
			continue
		}
		if !d.reviewed || !d.decideAt.IsZero() && !now.Before(d.decideAt) {
			dec.decideAll(now, d, r, &a)
		}
		if report := dec.announce(now, d, r); report != nil {
			a.Announcements = append(a.Announcements, *report)
		}
		a.Next = earliest(a.Next, d.decideAt, dec.announceAt(d, r))
	}
	return a
}

// earliest returns the earliest of some times that are not zero, zero if all are.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// decideAll decides on the suspects of a service.
func (dec *Decider) decideAll(now time.Time, d *serviceEvidence, r Role, a *Actions) {
	d.reviewed, d.decideAt = true, time.Time{}
	suspects := d.detector.suspectsOf(now)
	suspects = suspects[:min(len(suspects), maxDecided)]
	for _, fp := range suspects {
		dec.decide(now, d, fp, r, a)
	}
	if len(d.unannounced(now)) > 0 {
		d.noteChange(now)
	}
	maps.DeleteFunc(d.findings, func(fp Fingerprint, _ Finding) bool { return !slices.Contains(suspects, fp) })
}

// decide decides on one suspect.
func (dec *Decider) decide(now time.Time, d *serviceEvidence, fp Fingerprint, r Role, a *Actions) {
	f := d.detector.assess(now, fp, r.wait(), r.wait())
	if known := d.findings[fp]; known.Ruling != f.Ruling || known.Deaths != f.Deaths {
		d.findings[fp] = f
		a.Decisions = append(a.Decisions, Decision{d.service, fp, f})
	}
	if dec.inForce(now, d.service, fp) && f.LearnedAt.Before(dec.verdicts[fp].toldAt.Add(verdictTravel)) {
		return
	}
	switch f.Ruling {
	case AwaitsPeers:
		d.decideAt = earliest(d.decideAt, f.LearnedAt.Add(r.wait()))
	case Refuse:
		verdict := dec.verdict(now, d.service, fp, f.Until)
		dec.hold(now, verdict)
		a.Verdicts = append(a.Verdicts, verdict)
	}
}

// verdict returns the verdict on a fingerprint, with its evidence.
func (dec *Decider) verdict(now time.Time, service ids.Service, fp Fingerprint, until time.Time) Verdict {
	events := dec.service(service).detector.eventsOf(now, []Fingerprint{fp})
	return Verdict{Fingerprint: fp, For: until.Sub(now), Service: service, Evidence: events[max(0, len(events)-maxVerdictEvents):]}
}

// announceAt returns when the node announces the changes, zero if there are none.
func (dec *Decider) announceAt(d *serviceEvidence, r Role) time.Time {
	if d.changedAt.IsZero() || r.Alone {
		return time.Time{}
	}
	return later(d.changedAt.Add(announceDelay+time.Duration(r.Rank)*keeperStagger), d.announcements.next(spacing(dec.nodes)))
}

// announce returns the announcement that is due, nil if there is none. What does not fit into
// it follows with the next one.
func (dec *Decider) announce(now time.Time, d *serviceEvidence, r Role) *Report {
	if due := dec.announceAt(d, r); due.IsZero() || now.Before(due) {
		return nil
	}
	d.changedAt = time.Time{}
	news := d.unannounced(now)
	if len(news) == 0 {
		return nil
	}
	d.announcements.sent(now, spacing(dec.nodes))
	report := &Report{Service: d.service, Events: d.detector.eventsOf(now, news[:min(len(news), maxAnnounced)]), Announced: true}
	d.noteAnnounced(report.Events)
	if len(d.unannounced(now)) > 0 {
		d.changedAt = now
	}
	return report
}

// unannounced returns the fingerprints of which there is more to tell than was announced: the
// suspects, those with the most evidence against them first, and those that were cleared.
func (d *serviceEvidence) unannounced(now time.Time) []Fingerprint {
	news := d.detector.suspectsWhere(now, func(fp Fingerprint, s *suspect) bool { return s.count().exceeds(d.announced[fp]) })
	var cleared []Fingerprint
	for fp, told := range d.announced {
		if d.detector.count(fp).cleared > told.cleared && !slices.Contains(news, fp) {
			cleared = append(cleared, fp)
		}
	}
	slices.Sort(cleared)
	return append(news, cleared...)
}

// noteChange records that there may be something to announce.
func (d *serviceEvidence) noteChange(now time.Time) {
	if d.changedAt.IsZero() {
		d.changedAt = now
	}
}

// noteAnnounced records that all nodes have been told events.
func (d *serviceEvidence) noteAnnounced(events []Event) {
	told := make(map[Fingerprint]count)
	for _, e := range events {
		c := told[e.Fingerprint]
		c.blamed++
		if e.Kind == Cleared {
			c.cleared++
		}
		told[e.Fingerprint] = c
	}
	for fp, c := range told {
		known := d.announced[fp]
		d.announced[fp] = count{max(known.blamed, c.blamed), max(known.cleared, c.cleared)}
	}
	for fp := range d.announced {
		if d.detector.count(fp).blamed == 0 {
			delete(d.announced, fp)
		}
	}
}

// exceeds reports whether c has more of either than other.
func (c count) exceeds(other count) bool { return c.blamed > other.blamed || c.cleared > other.cleared }

// Concerns reports whether there is a verdict on requests with a fingerprint, or evidence
// against them. If not, Check and HoldUntil let them pass.
func (dec *Decider) Concerns(service ids.Service, fp Fingerprint) bool {
	if _, held := dec.verdicts[fp]; held {
		return true
	}
	d := dec.services[service]
	return d != nil && d.detector.suspects[fp] != nil
}

// Check decides on a request that has arrived or is to be sent again: it reports whether
// it has to be refused, with the finding on it. If the node is a keeper and has just reached
// a verdict, that is returned too, for all other nodes.
func (dec *Decider) Check(now time.Time, service ids.Service, fp Fingerprint, r Role) (refused bool, f Finding, verdict *Verdict) {
	if dec.inForce(now, service, fp) {
		return true, Finding{Ruling: Refuse}, nil
	}
	d := dec.service(service)
	f = d.detector.assess(now, fp, r.wait(), r.wait())
	if f.Ruling != Refuse || !r.Keeper {
		return false, f, nil
	}
	v := dec.verdict(now, service, fp, f.Until)
	dec.hold(now, v)
	return true, f, &v
}

// HoldUntil returns the time until which a request has to wait before it is sent, because the
// keepers may be about to decide on it. It is zero if the request does not have to wait.
// draw is a random number in [0, 1), the same each time that is asked for a request: requests
// with the same fingerprint that wait are sent one after another, so that one that crashes
// its upstream is known before the next one is sent. A part with which requests have lately
// succeeded keeps none waiting.
func (dec *Decider) HoldUntil(now time.Time, service ids.Service, fp Fingerprint, r Role, draw float64) time.Time {
	d := dec.service(service)
	e := d.detector.evidenceFor(fp)
	until := e.learnedAt.Add(suspectHold + time.Duration(draw*float64(suspectSpread)))
	if r.Alone || !d.detector.isSuspect(e) || e.part && e.excused || !now.Before(until) {
		return time.Time{}
	}
	return until
}

// inForce reports whether a verdict on requests of a service is in force.
func (dec *Decider) inForce(now time.Time, service ids.Service, fp Fingerprint) bool {
	held, known := dec.verdicts[fp]
	return known && now.Before(held.until) && !dec.isContradicted(held.service, fp)
}

// isContradicted reports whether a request that was blamed has succeeded since, so that too
// little remains against it.
func (dec *Decider) isContradicted(service ids.Service, fp Fingerprint) bool {
	d := dec.services[service]
	if d == nil || d.detector.count(fp).cleared == 0 {
		return false
	}
	return !d.detector.isSuspect(d.detector.evidenceFor(fp))
}

// hold puts a verdict in force. If there is no room, the verdict is dropped, and a keeper
// reaches it again.
func (dec *Decider) hold(now time.Time, v Verdict) {
	if len(dec.verdicts) >= maxVerdicts {
		for fp, held := range dec.verdicts {
			if !now.Before(held.until) {
				delete(dec.verdicts, fp)
			}
		}
	}
	if _, known := dec.verdicts[v.Fingerprint]; known || len(dec.verdicts) < maxVerdicts {
		dec.verdicts[v.Fingerprint] = heldVerdict{service: v.Service, until: now.Add(min(v.For, DefaultDuration)), toldAt: now}
	}
}

// sortedServices returns the services in the order of their services.
func (dec *Decider) sortedServices() []*serviceEvidence {
	all := make([]*serviceEvidence, 0, len(dec.services))
	for _, d := range dec.services {
		all = append(all, d)
	}
	slices.SortFunc(all, func(x, y *serviceEvidence) int { return cmp.Compare(x.service, y.service) })
	return all
}
