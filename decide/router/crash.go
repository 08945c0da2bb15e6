package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/quarantine"
)

// possibleCrash describes an upstream that lost a connection after it may have
// received a request. The crash is confirmed if the upstream then refuses
// connections, misses a load poll or reports a new epoch.
type possibleCrash struct {
	epoch   string
	at      time.Time
	running []quarantine.Run
}

const (
	// crashConfirmWindow is how long a possible crash can be confirmed.
	crashConfirmWindow = 10 * time.Second
	// lossMergeWindow is the time in which further lost connections count as the
	// same possible crash.
	lossMergeWindow = time.Second
)

// recordAttemptHealth updates the health of the upstream at fault for the end of
// an attempt. Lost connections also mark it as possibly crashed.
func (r *Router) recordAttemptHealth(req *request, ev AttemptEnded) {
	if ev.Phase == outcome.Finished {
		r.recordSuccess(req)
		return
	}
	at := ev.Upstream
	if at == "" {
		at = req.head()
	}
	switch ev.Reason {
	case outcome.UpstreamBusy, outcome.UpstreamRefused:
		r.health.Progress(r.now, at)
		r.health.Rest(r.now, at, ev.RetryAfter)
	case outcome.UpstreamStalled:
		r.health.Stall(r.now, at)
	case outcome.ConnectFailed:
		r.health.Failure(r.now, at, ev.Reason)
		r.confirmCrashOf(at)
	case outcome.UpstreamLost:
		req.lostAt = append(req.lostAt, at)
		r.suspectCrash(at)
		r.health.Failure(r.now, at, ev.Reason)
	case outcome.StageFailed:
		req.lostAt = append(req.lostAt, at)
		r.suspectCrash(at)
		r.health.Failure(r.now, at, ev.Reason)
		r.recordLinkFailure(req, at)
	case outcome.UpstreamInvalid, outcome.LedgerViolation:
		r.health.Failure(r.now, at, ev.Reason)
	}
}

// recordSuccess records a complete answer for every engine and link of the chain.
func (r *Router) recordSuccess(req *request) {
	for i, e := range req.chain {
		r.health.Success(r.now, e.ID)
		if i > 0 {
			r.health.LinkSuccess(r.now, req.chain[i-1].ID, e.ID)
		}
	}
}

// recordLinkFailure records a failure of the link that leads to the failed stage.
func (r *Router) recordLinkFailure(req *request, at ids.Upstream) {
	for i, e := range req.chain {
		if e.ID == at && i > 0 {
			r.health.LinkFailure(r.now, req.chain[i-1].ID, at)
		}
	}
}

// suspectCrash records what was in flight at an upstream when its first
// connection was lost, and has an engine polled.
func (r *Router) suspectCrash(id ids.Upstream) {
	u := r.upstreams[id]
	if u == nil || (u.possibleCrash != nil && r.now.Sub(u.possibleCrash.at) < lossMergeWindow) {
		return
	}
	u.possibleCrash = &possibleCrash{epoch: u.epoch, at: r.now, running: u.runs()}
	if u.isModel {
		r.emit(PollLoad{Upstream: id})
	}
}

// runs returns the requests that this VM has in flight at the upstream.
func (u *upstream) runs() []quarantine.Run {
	runs := make([]quarantine.Run, 0, len(u.running))
	for _, id := range sortedKeys(u.running) {
		req := u.running[id]
		runs = append(runs, quarantine.Run{Fingerprint: req.fingerprint(), Began: req.sentAt})
	}
	return runs
}

// clearPossibleCrash discards a possible crash if the upstream has since reported its load in the
// same epoch. A report that a peer relays is dated late by the time that it travelled, so it counts
// only if it is dated after all requests have stopped waiting for a confirmation.
func (u *upstream) clearPossibleCrash(l receivedLoad) {
	if u.possibleCrash == nil || l.report.Epoch != u.possibleCrash.epoch {
		return
	}
	since := u.possibleCrash.at
	if l.relayed {
		since = since.Add(lossMergeWindow)
	}
	if l.at.After(since) {
		u.possibleCrash = nil
	}
}

const (
	// crashCheckInterval is how often a request that waits for confirmation of a
	// crash is checked.
	crashCheckInterval = 50 * time.Millisecond
	// crashCheckLosses is the number of lost upstreams from which a request waits
	// for confirmation.
	crashCheckLosses = 2
)

// awaitsCrashConfirmation reports whether the request was lost at several
// upstreams and it is not yet known whether one of them crashed. Sending the
// request to another upstream could crash that one too.
func (r *Router) awaitsCrashConfirmation(req *request) bool {
	if len(req.lostAt) < crashCheckLosses {
		return false
	}
	for _, id := range req.lostAt {
		u := r.upstreams[id]
		if u != nil && u.isModel && u.possibleCrash != nil && r.now.Sub(u.possibleCrash.at) < lossMergeWindow {
			return true
		}
	}
	return false
}

// crashSuspected reports whether a possible crash can still be confirmed.
func (u *upstream) crashSuspected(now time.Time) bool {
	return u.possibleCrash != nil && now.Sub(u.possibleCrash.at) < crashConfirmWindow
}

// confirmCrashOf confirms a possible crash of the named upstream.
func (r *Router) confirmCrashOf(id ids.Upstream) {
	if u := r.upstreams[id]; u != nil {
		r.confirmCrash(u)
	}
}

// confirmCrash confirms a possible crash, if there is one, and attributes it to
// the requests that were in flight.
func (r *Router) confirmCrash(u *upstream) {
	if !u.crashSuspected(r.now) {
		return
	}
	suspected := u.possibleCrash
	u.possibleCrash = nil
	r.reportCrash(u, suspected)
}

// reportCrash reports the crash of an upstream to its service's quarantine.
func (r *Router) reportCrash(u *upstream, crash *possibleCrash) {
	if svc := r.services[u.engine.Service]; svc != nil {
		svc.quarantine.RecordDeathAt(r.now, crash.at, u.engine.ID, crash.epoch, crash.running)
	}
}
