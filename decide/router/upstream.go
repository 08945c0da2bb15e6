package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// upstream is one back end of the platform's list.
type upstream struct {
	// engine describes it to the choice of chains; of a plain service only
	// ID, Address, Zone and Service are set.
	engine topology.Engine
	// model tells an engine from a plain service.
	model bool
	// listed is false once the platform's list no longer names it.
	listed bool
	// firstListed is when the list first named it.
	firstListed time.Time
	// These tell by whose word the upstream is leaving: the platform's list's,
	// its own, the operators', or peers'.
	leavingListed, leavingSaid, leavingOperators bool
	leavingPeers                                 map[ids.VM]bool
	// load is its newest report; nil before the first.
	load *seenLoad
	// asked is true once the engine has answered a poll or failed to.
	asked bool
	// reported is true once the engine's layers are known from its report.
	reported bool
	epoch    string
	links    []topology.Link
	// running holds the requests of this VM in flight there.
	running map[ids.Request]*request
	// suspect is a possible crash that waits for its confirmation; nil when
	// there is none.
	suspect *suspect
}

// loadSeen takes in an engine's report of itself.
func (r *Router) loadSeen(ev LoadReported) {
	r.takeLoad(seenLoad{report: ev.Report, at: ev.At})
}

// takeLoad takes in a report, polled or relayed. One older than the newest is
// passed over.
func (r *Router) takeLoad(l seenLoad) {
	report := l.report
	id := ids.Upstream(report.Engine)
	u := r.upstreams[id]
	if u == nil || !u.model || (u.load != nil && l.at.Before(u.load.at)) {
		return
	}
	u.asked = true
	if err := r.book.ApplyReport(r.now, report, l.at); err != nil {
		return
	}
	u.load = &l
	u.cleared(l)
	r.health.ReportReceived(r.now, id)
	r.epochSeen(u, report.Epoch)
	if u.describe(report) {
		r.dirty[u.engine.Service] = true
	}
	for _, l := range u.links {
		r.health.LinkLatency(r.now, l.From, l.To, l.Latency)
	}
}

// epochSeen notices a new process life of an upstream: what ran there is gone.
func (r *Router) epochSeen(u *upstream, epoch string) {
	if u.epoch == epoch {
		return
	}
	if u.epoch != "" {
		r.ended(u)
	}
	u.epoch = epoch
	r.health.Epoch(r.now, u.engine.ID, epoch)
}

// ended blames the end of an upstream's process life on what was in flight
// as it was lost, or, where no loss has shown yet, on what is in flight now.
func (r *Router) ended(u *upstream) {
	if u.suspected(r.now) {
		r.confirmDeath(u)
		return
	}
	r.died(u, u.epoch, u.fingerprints())
}

// loadFailed takes in that an engine did not answer a poll.
func (r *Router) loadFailed(ev LoadPollFailed) {
	u := r.upstreams[ev.Upstream]
	if u == nil {
		return
	}
	u.asked = true
	r.health.ReportMissed(r.now, ev.Upstream)
	r.book.PollFailed(r.now, ev.Upstream)
	r.confirmDeath(u)
}

// track counts a request in the load of an upstream.
func (r *Router) track(id ids.Upstream, req *request) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	u.running[req.arrive.ID] = req
	// A book that is full only loses precision of the estimate.
	_ = r.book.RequestStarted(r.now, id)
}

// untrack takes a request out of the load of an upstream.
func (r *Router) untrack(id ids.Upstream, req *request) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	if _, ok := u.running[req.arrive.ID]; !ok {
		return
	}
	delete(u.running, req.arrive.ID)
	r.book.RequestEnded(r.now, id)
}
