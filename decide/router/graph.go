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

// describe takes the engine's layers, capacity and links from its report, and
// reports whether anything changed.
func (u *upstream) describe(report engineapi.LoadReport) bool {
	before := u.engine
	u.engine.First = report.First
	u.engine.Last = report.Last
	u.engine.Slots = report.Slots
	if !near(before.Rate, report.TokensPerSecond) {
		u.engine.Rate = report.TokensPerSecond
	}
	links := linksOf(u.engine.ID, report.Links)
	relinked := !slices.EqualFunc(u.links, links, nearLink)
	changed := !u.reported || u.engine != before || u.leavingSaid != report.Leaving || relinked
	u.leavingSaid = report.Leaving
	u.reported = true
	if relinked {
		u.links = links
	}
	return changed
}

// nearPart is the part by which a measured figure may differ from the one in
// use before it counts as another: each change makes a graph and a plan anew.
const nearPart = 0.2

// near reports whether a figure is close to the one in use.
func near(used, now float64) bool {
	return math.Abs(now-used) <= nearPart*math.Abs(used)
}

// nearLink reports whether a link is close to the one in use.
func nearLink(used, now topology.Link) bool {
	return used.From == now.From && used.To == now.To &&
		near(used.Rate, now.Rate) &&
		near(float64(used.Latency), float64(now.Latency))
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
