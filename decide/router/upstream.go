package router

import (
	"slices"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/load"
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

// vmsSeen takes in the platform's list of VMs, unless it is older than the
// one in use.
func (r *Router) vmsSeen(ev VMsSeen) {
	if ev.List.Revision < r.vmsRevision {
		return
	}
	if r.vmsRevision == 0 {
		r.firstList = r.now
	}
	r.vmsRevision = ev.List.Revision
	for _, u := range r.upstreams {
		u.listed = false
	}
	r.vms = make(map[ids.VM]bool)
	for _, vm := range ev.List.VMs {
		r.vmSeen(vm)
	}
	for id, u := range r.upstreams {
		if !u.listed && len(u.running) == 0 {
			delete(r.upstreams, id)
			r.book.Forget(id)
		}
	}
	r.limiter.SetFleet(r.now, max(1, len(r.vms)))
	r.rebuildAll()
}

// vmSeen takes in one VM of the list.
func (r *Router) vmSeen(vm platformapi.VM) {
	switch vm.Role {
	case platformapi.RoleEntry:
		if vm.State == platformapi.StateLive {
			r.vms[ids.VM(vm.ID)] = true
		}
	case platformapi.RoleEngine, platformapi.RolePlain:
		r.upstreamSeen(vm)
	}
}

// upstreamSeen takes in one upstream of the list.
func (r *Router) upstreamSeen(vm platformapi.VM) {
	id := ids.Upstream(vm.ID)
	u := r.upstreams[id]
	if u == nil {
		u = &upstream{
			running:      make(map[ids.Request]*request),
			leavingPeers: make(map[ids.VM]bool),
			firstListed:  r.now,
		}
		r.upstreams[id] = u
	}
	u.listed = true
	u.model = vm.Role == platformapi.RoleEngine
	u.engine.ID = id
	u.engine.Address = vm.Address
	u.engine.Zone = ids.Zone(vm.Zone)
	u.engine.Service = ids.Service(vm.Service)
	u.leavingListed = vm.State == platformapi.StateLeaving
}

// loadSeen takes in an engine's report of itself.
func (r *Router) loadSeen(ev LoadSeen) {
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
	if err := r.book.Report(r.now, report, l.at); err != nil {
		return
	}
	u.load = &l
	u.cleared(l)
	r.health.Reported(r.now, id)
	r.epochSeen(u, report.Epoch)
	if u.describe(report) {
		r.dirty[u.engine.Service] = true
	}
	for _, l := range u.links {
		r.health.LinkSlow(r.now, l.From, l.To, l.Latency)
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
func (r *Router) loadFailed(ev LoadFailed) {
	u := r.upstreams[ev.Upstream]
	if u == nil {
		return
	}
	u.asked = true
	r.health.ReportMissed(r.now, ev.Upstream)
	r.book.Failed(r.now, ev.Upstream)
	r.confirmDeath(u)
}

// describe takes the engine's layers, capacity and links from its report, and
// reports whether anything changed.
func (u *upstream) describe(report engineapi.LoadReport) bool {
	before := u.engine
	u.engine.First = report.First
	u.engine.Last = report.Last
	u.engine.Slots = report.Slots
	u.engine.Rate = report.TokensPerSecond
	links := linksOf(u.engine.ID, report.Links)
	changed := !u.reported || u.engine != before || u.leavingSaid != report.Leaving || !slices.Equal(u.links, links)
	u.leavingSaid = report.Leaving
	u.reported = true
	u.links = links
	return changed
}

// linksOf converts an engine's report of its links.
func linksOf(from ids.Upstream, reported []engineapi.Link) []topology.Link {
	links := make([]topology.Link, len(reported))
	for i, l := range reported {
		links[i] = topology.Link{
			From:    from,
			To:      ids.Upstream(l.To),
			Latency: time.Duration(l.LatencyUs) * time.Microsecond,
			Rate:    l.TokensPerSecond,
		}
	}
	return links
}

// rebuildAll makes the upstreams of every service anew.
func (r *Router) rebuildAll() {
	for _, name := range r.serviceNames {
		r.dirty[name] = true
	}
	r.rebuildGraphs()
}

// rebuildGraphs makes the upstreams of each changed service anew.
func (r *Router) rebuildGraphs() {
	for _, name := range r.serviceNames {
		if r.dirty[name] {
			r.rebuild(name, r.services[name])
		}
	}
	clear(r.dirty)
}

// rebuild makes the upstreams of one service anew from what is known.
func (r *Router) rebuild(name ids.Service, svc *service) {
	var engines []topology.Engine
	var links []topology.Link
	var members []ids.Upstream
	for _, id := range sortedKeys(r.upstreams) {
		u := r.upstreams[id]
		if u.engine.Service != name || !u.listed {
			continue
		}
		members = append(members, id)
		u.leavingOperators = slices.Contains(svc.def.Leaving, id)
		if !u.usable() {
			continue
		}
		engines = append(engines, u.engine)
		links = append(links, u.links...)
	}
	svc.upstreams = engines
	svc.members = members
	svc.graph = nil
	if svc.model() && len(engines) > 0 {
		svc.graph = topology.NewGraph(svc.def.Layers, engines, links)
	}
	r.health.SetMembers(r.now, name, members)
	for _, id := range members {
		r.health.SetLeaving(id, r.upstreams[id].leaving())
	}
}

// usable reports whether the upstream may be given new work, its health apart.
func (u *upstream) usable() bool {
	return u.listed && !u.leaving() && (u.reported || !u.model)
}

// leaving reports whether the upstream is leaving, by whoever's word.
func (u *upstream) leaving() bool {
	return u.leavingListed || u.leavingSaid || u.leavingOperators || len(u.leavingPeers) > 0
}

// track counts a request in the load of an upstream.
func (r *Router) track(id ids.Upstream, req *request) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	u.running[req.arrive.ID] = req
	// A book that is full only loses precision of the estimate.
	_ = r.book.Sent(r.now, id)
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
	r.book.Ended(r.now, id)
}

// Graph implements balancer.View.
func (r *Router) Graph(name ids.Service) *topology.Graph {
	svc := r.services[name]
	if svc == nil {
		return nil
	}
	return svc.graph
}

// Estimate implements balancer.View.
func (r *Router) Estimate(now time.Time, id ids.Upstream) load.Estimate {
	return r.book.Estimate(now, id)
}

// Weight implements balancer.View.
func (r *Router) Weight(id ids.Upstream) float64 { return r.health.Weight(r.now, id) }

// LinkWeight implements balancer.View.
func (r *Router) LinkWeight(from, to ids.Upstream) float64 {
	return r.health.LinkWeight(r.now, from, to)
}
