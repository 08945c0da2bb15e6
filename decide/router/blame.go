package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/quarantine"
)

// suspect is an upstream that lost a connection after a start: it may have
// crashed. It has, if it next refuses connections or has a new epoch.
type suspect struct {
	epoch   string
	at      time.Time
	running []quarantine.Fingerprint
}

// suspectFor is how long a possible crash waits for its confirmation. Losses
// within sameLoss of each other are taken for one.
const (
	suspectFor = 10 * time.Second
	sameLoss   = time.Second
)

// blame draws the consequences of an attempt's end for its upstreams.
func (r *Router) blame(req *request, ev AttemptEnded) {
	if ev.Phase == outcome.Finished {
		r.praise(req)
		return
	}
	at := ev.Upstream
	if at == "" {
		at = req.head()
	}
	switch ev.Reason {
	case outcome.UpstreamBusy, outcome.UpstreamRefused:
		r.health.Progress(r.now, at)
	case outcome.UpstreamStalled:
		r.health.Stall(r.now, at)
	case outcome.ConnectFailed:
		r.health.Failure(r.now, at, ev.Reason)
		r.confirmDeathOf(at)
	case outcome.UpstreamLost:
		req.lostAt = append(req.lostAt, at)
		r.suspectDeath(at)
		r.health.Failure(r.now, at, ev.Reason)
	case outcome.StageFailed:
		req.lostAt = append(req.lostAt, at)
		r.suspectDeath(at)
		r.health.Failure(r.now, at, ev.Reason)
		r.blameLink(req, at)
	case outcome.UpstreamInvalid, outcome.LedgerViolation:
		r.health.Failure(r.now, at, ev.Reason)
	}
}

// praise notes a whole answer for every engine and link of the chain.
func (r *Router) praise(req *request) {
	for i, e := range req.chain {
		r.health.Success(r.now, e.ID)
		if i > 0 {
			r.health.LinkSuccess(r.now, req.chain[i-1].ID, e.ID)
		}
	}
}

// blameLink notes a failure of the link that leads to the failed stage.
func (r *Router) blameLink(req *request, at ids.Upstream) {
	for i, e := range req.chain {
		if e.ID == at && i > 0 {
			r.health.LinkFailure(r.now, req.chain[i-1].ID, at)
		}
	}
}

// suspectDeath remembers what was in flight at an upstream that may have
// crashed, as its loss first shows.
func (r *Router) suspectDeath(id ids.Upstream) {
	u := r.upstreams[id]
	if u == nil || (u.suspect != nil && r.now.Sub(u.suspect.at) < sameLoss) {
		return
	}
	u.suspect = &suspect{epoch: u.epoch, at: r.now, running: u.fingerprints()}
}

// fingerprints lists what this VM has in flight at the upstream.
func (u *upstream) fingerprints() []quarantine.Fingerprint {
	found := make([]quarantine.Fingerprint, 0, len(u.running))
	for _, id := range sortedKeys(u.running) {
		found = append(found, u.running[id].fingerprint())
	}
	return found
}

// cleared takes back a possible crash: the upstream has answered since, in the
// same process life.
func (u *upstream) cleared(l seenLoad) {
	if u.suspect != nil && l.report.Epoch == u.suspect.epoch && l.at.After(u.suspect.at) {
		u.suspect = nil
	}
}

// judgePace is how often a request that waits for a judgement is looked at;
// unjudgedLosses the losses from which on one has to wait.
const (
	judgePace      = 50 * time.Millisecond
	unjudgedLosses = 2
)

// unjudged reports whether the request was lost at several upstreams of which
// one is still not known to have crashed or not. To send it to a further one
// could cost that one too.
func (r *Router) unjudged(req *request) bool {
	if len(req.lostAt) < unjudgedLosses {
		return false
	}
	for _, id := range req.lostAt {
		u := r.upstreams[id]
		if u != nil && u.model && u.suspect != nil && r.now.Sub(u.suspect.at) < sameLoss {
			return true
		}
	}
	return false
}

// suspected reports whether a possible crash waits for its confirmation.
func (u *upstream) suspected(now time.Time) bool {
	return u.suspect != nil && now.Sub(u.suspect.at) < suspectFor
}

// confirmDeathOf confirms a possible crash of the named upstream.
func (r *Router) confirmDeathOf(id ids.Upstream) {
	if u := r.upstreams[id]; u != nil {
		r.confirmDeath(u)
	}
}

// confirmDeath blames a crash on what was in flight.
func (r *Router) confirmDeath(u *upstream) {
	if !u.suspected(r.now) {
		return
	}
	suspected := u.suspect
	u.suspect = nil
	r.died(u, suspected.epoch, suspected.running)
}

// died tells the service's quarantine of an upstream's death.
func (r *Router) died(u *upstream, epoch string, running []quarantine.Fingerprint) {
	if svc := r.services[u.engine.Service]; svc != nil {
		svc.blamer.RecordDeath(r.now, u.engine.ID, epoch, running)
	}
}
