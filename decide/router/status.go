package router

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/health"
)

// StatusDue asks for a ReportStatus command.
type StatusDue struct{}

// ReportStatus is the reply to StatusDue.
type ReportStatus struct{ Status Status }

func (StatusDue) isEvent()      {}
func (ReportStatus) isCommand() {}

// Status is the part of a node's decision state that is shown to operators.
type Status struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Requests is the number of requests held, Waiting the number of those in
	// queues.
	Requests  int              `json:"requests"`
	Waiting   int              `json:"waiting"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is the state of one upstream as this node sees it.
type UpstreamStatus struct {
	ID      ids.Upstream `json:"id"`
	Zone    ids.Zone     `json:"zone"`
	Service ids.Service  `json:"service"`
	// State is up, ejected, half_open, returning, leaving, gone or not_reported.
	State string `json:"state"`
	// InFlight is the estimated number of requests there, from all VMs.
	InFlight float64 `json:"in_flight"`
	Slots    int     `json:"slots"`
	// Rate is the token steps per second that it reports at full batch.
	Rate float64 `json:"rate"`
	// Weight is the fraction of its normal share of work that this node gives it,
	// between 0 and 1. It is 0 while the upstream gets none.
	Weight float64 `json:"weight"`
	// Reason explains the state; empty if there is nothing to explain.
	Reason string `json:"reason,omitempty"`
}

// States of UpstreamStatus in addition to those of package health.
const (
	stateGone        = "gone"
	stateNotReported = "not_reported"
)

// Reasons of UpstreamStatus.
const (
	reasonList       = "by the platform's list"
	reasonReport     = "by its own word"
	reasonConfig     = "by the service's document"
	reasonPeers      = "by a peer's word"
	reasonOffList    = "no longer on the platform's list"
	reasonNoReport   = "no load report yet"
	reasonNotOnChain = "no chain of layers leads through it"
)

// statusDue emits the current status of this node.
func (r *Router) statusDue() {
	s := Status{
		Ready:    r.Ready(),
		Draining: r.draining,
		Requests: len(r.requests),
	}
	for _, name := range r.serviceNames {
		s.Waiting += r.services[name].queue.Len()
	}
	for _, id := range sortedKeys(r.upstreams) {
		s.Upstreams = append(s.Upstreams, r.upstreamStatus(id, r.upstreams[id]))
	}
	r.emit(ReportStatus{Status: s})
}

// upstreamStatus returns the status of one upstream.
func (r *Router) upstreamStatus(id ids.Upstream, u *upstream) UpstreamStatus {
	state, reason := r.upstreamState(id, u)
	return UpstreamStatus{
		ID:       id,
		Zone:     u.engine.Zone,
		Service:  u.engine.Service,
		State:    state,
		InFlight: r.loads.Estimate(r.now, id).InFlight,
		Slots:    u.engine.Slots,
		Rate:     u.engine.Rate,
		Weight:   r.health.Weight(r.now, id),
		Reason:   reason,
	}
}

// upstreamState returns the state of an upstream and the reason for it.
func (r *Router) upstreamState(id ids.Upstream, u *upstream) (state, reason string) {
	switch {
	case !u.listed:
		return stateGone, reasonOffList
	case u.leavingPerList:
		return health.Leaving.String(), reasonList
	case u.leavingPerReport:
		return health.Leaving.String(), reasonReport
	case u.leavingPerConfig:
		return health.Leaving.String(), reasonConfig
	case len(u.leavingPerPeers) > 0:
		return health.Leaving.String(), reasonPeers
	case u.isModel && !u.reported:
		return stateNotReported, reasonNoReport
	}
	return r.health.State(r.now, id).String(), r.offChainReason(id, u)
}

// offChainReason returns reasonNotOnChain if no chain leads through an engine in
// use, and otherwise an empty string.
func (r *Router) offChainReason(id ids.Upstream, u *upstream) string {
	svc := r.services[u.engine.Service]
	if !u.isModel || svc == nil || svc.graph == nil {
		return ""
	}
	if _, ok := svc.graph.Index(id); ok {
		return ""
	}
	return reasonNotOnChain
}
