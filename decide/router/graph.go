package router

import (
	"math"
	"slices"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/load"
	"mimosaarch.example/decide/topology"
)

// applyReport updates the layers, capacity and links of an engine from its load
// report. It reports whether anything changed by more than the tolerance.
func (u *upstream) applyReport(report engineapi.LoadReport) bool {
	before := u.engine
	u.engine.First = report.First
	u.engine.Last = report.Last
	u.engine.Slots = report.Slots
	if !withinTolerance(before.Rate, report.TokensPerSecond) {
		u.engine.Rate = report.TokensPerSecond
	}
	links := convertLinks(u.engine.ID, report.Links)
	relinked := !slices.EqualFunc(u.links, links, linkWithinTolerance)
	changed := !u.reported || u.engine != before || u.leavingPerReport != report.Leaving || relinked
	u.leavingPerReport = report.Leaving
	u.reported = true
	if relinked {
		u.links = links
	}
	return changed
}

// reportTolerance is the relative difference up to which a measured value counts
// as unchanged. Each change rebuilds the graph and the plan of chains.
const reportTolerance = 0.2

// withinTolerance reports whether a new value counts as equal to the one in use.
func withinTolerance(used, reported float64) bool {
	return math.Abs(reported-used) <= reportTolerance*math.Abs(used)
}

// linkWithinTolerance reports whether a link counts as equal to the one in use.
func linkWithinTolerance(used, reported topology.Link) bool {
	return used.From == reported.From && used.To == reported.To &&
		withinTolerance(used.Rate, reported.Rate) &&
		withinTolerance(float64(used.Latency), float64(reported.Latency))
}

// convertLinks converts the links in the load report of the engine from.
func convertLinks(from ids.Upstream, reported []engineapi.Link) []topology.Link {
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

// rebuildAll rebuilds the upstreams and graphs of all services.
func (r *Router) rebuildAll() {
	for _, name := range r.serviceNames {
		r.dirty[name] = true
	}
	r.rebuildGraphs()
}

// rebuildGraphs rebuilds the upstreams and graphs of the services marked dirty.
func (r *Router) rebuildGraphs() {
	for _, name := range r.serviceNames {
		if r.dirty[name] {
			r.rebuild(name, r.services[name])
		}
	}
	clear(r.dirty)
}

// rebuild rebuilds the members, usable upstreams and graph of one service, and
// updates its members in the health tracker.
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
		u.leavingPerConfig = slices.Contains(svc.def.Leaving, id)
		if !u.usable() {
			continue
		}
		engines = append(engines, u.engine)
		links = append(links, u.links...)
	}
	svc.upstreams = engines
	svc.members = members
	svc.graph = nil
	if svc.isModel() && len(engines) > 0 {
		svc.graph = topology.NewGraph(svc.def.Layers, engines, links)
	}
	r.health.SetMembers(r.now, name, members)
	for _, id := range members {
		r.health.SetLeaving(id, r.upstreams[id].leaving())
	}
}

// usable reports whether the upstream may get new work, apart from its health.
func (u *upstream) usable() bool {
	return u.listed && !u.leaving() && (u.reported || !u.isModel)
}

// leaving reports whether any source says that the upstream is leaving.
func (u *upstream) leaving() bool {
	return u.leavingPerList || u.leavingPerReport || u.leavingPerConfig || len(u.leavingPerPeers) > 0
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
	return r.loads.Estimate(now, id)
}

// Weight implements balancer.View.
func (r *Router) Weight(id ids.Upstream) float64 { return r.health.Weight(r.now, id) }

// LinkWeight implements balancer.View.
func (r *Router) LinkWeight(from, to ids.Upstream) float64 {
	return r.health.LinkWeight(r.now, from, to)
}
