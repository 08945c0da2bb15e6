package router

import (
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/topology"
)

// upstream is one engine or plain server in the platform's list.
type upstream struct {
	// engine describes the upstream to the topology package. For a plain service,
	// only ID, Address, Zone and Service are set.
	engine topology.Engine
	// isModel is true for an engine and false for an upstream of a plain service.
	isModel bool
	// listed is false once the platform's list no longer contains the upstream.
	listed bool
	// firstListed is when the list first contained the upstream.
	firstListed time.Time
	// The leaving fields say which sources report that the upstream is leaving:
	// the platform's list, its own load report, the service's configuration, or
	// peers.
	leavingPerList, leavingPerReport, leavingPerConfig bool
	leavingPerPeers                                    map[ids.VM]bool
	// load is its newest load report; nil before the first.
	load *receivedLoad
	// polled is true once the engine has answered a load poll or failed to.
	polled bool
	// reported is true once the engine's layers are known from a load report.
	reported bool
	// epoch names the process that sent the newest load report.
	epoch string
	links []topology.Link
	// running holds the requests of this VM in flight there.
	running map[ids.Request]*request
	// possibleCrash is a crash that has not been confirmed; nil if none.
	possibleCrash *possibleCrash
}

// loadReported applies a load report that this node polled.
func (r *Router) loadReported(ev LoadReported) {
	r.applyLoad(receivedLoad{report: ev.Report, at: ev.At})
}

// applyLoad applies a load report, polled or relayed by a peer. It ignores
// reports that are older than the newest one.
func (r *Router) applyLoad(l receivedLoad) {
	report := l.report
	id := ids.Upstream(report.Engine)
	u := r.upstreams[id]
	if u == nil || !u.isModel || (u.load != nil && l.at.Before(u.load.at)) {
		return
	}
	u.polled = true
	if err := r.loads.ApplyReport(r.now, report, l.at); err != nil {
		return
	}
	u.load = &l
	u.clearPossibleCrash(l)
	r.health.ReportReceived(r.now, id)
	r.observeEpoch(u, report.Epoch)
	if u.applyReport(report) {
		r.dirty[u.engine.Service] = true
	}
	for _, l := range u.links {
		r.health.LinkLatency(r.now, l.From, l.To, l.Latency)
	}
}

// observeEpoch detects that an upstream was restarted. Everything that ran in the
// previous process is lost.
func (r *Router) observeEpoch(u *upstream, epoch string) {
	if u.epoch == epoch {
		return
	}
	if u.epoch != "" {
		r.processEnded(u)
	}
	u.epoch = epoch
	r.health.Epoch(r.now, u.engine.ID, epoch)
}

// processEnded reports the end of an upstream's process as a crash. It attributes
// the crash to the requests in flight when the first connection was lost or, if
// none was lost yet, to those in flight now.
func (r *Router) processEnded(u *upstream) {
	if u.crashSuspected(r.now) {
		r.confirmCrash(u)
		return
	}
	r.reportCrash(u, &possibleCrash{epoch: u.epoch, at: r.now, running: u.runs()})
}

// loadPollFailed records that an engine did not answer a load poll.
func (r *Router) loadPollFailed(ev LoadPollFailed) {
	u := r.upstreams[ev.Upstream]
	if u == nil {
		return
	}
	u.polled = true
	r.health.ReportMissed(r.now, ev.Upstream)
	r.loads.PollFailed(r.now, ev.Upstream)
	r.confirmCrash(u)
}

// track counts a request in the load of an upstream.
func (r *Router) track(id ids.Upstream, req *request) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	u.running[req.arrival.ID] = req
	// An error means that too many upstreams are tracked. The load estimate is then less precise.
	_ = r.loads.RequestStarted(r.now, id)
}

// untrack removes a request from the load of an upstream.
func (r *Router) untrack(id ids.Upstream, req *request) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	if _, ok := u.running[req.arrival.ID]; !ok {
		return
	}
	delete(u.running, req.arrival.ID)
	r.loads.RequestEnded(r.now, id)
}
