package router

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/health"
)

// StatusDue asks for a ReportStatus command.
type StatusDue struct{}

// ReportStatus is the answer to StatusDue.
type ReportStatus struct{ Status Status }

func (StatusDue) isEvent()      {}
func (ReportStatus) isCommand() {}

// Status is what a node shows operators of its decisions.
type Status struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Requests counts those held, Waiting those of them in queues.
	Requests  int              `json:"requests"`
	Waiting   int              `json:"waiting"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is one upstream as this node sees it.
type UpstreamStatus struct {
	ID      ids.Upstream `json:"id"`
	Zone    ids.Zone     `json:"zone"`
	Service ids.Service  `json:"service"`
	// State is up, ejected, half_open, returning, leaving, gone or
	// not_reported.
	State string `json:"state"`
	// InFlight estimates the requests there, of all VMs.
	InFlight float64 `json:"in_flight"`
	Slots    int     `json:"slots"`
	// Rate is the token steps a second it reports at full batch.
	Rate float64 `json:"rate"`
	// Weight is the part of its capacity in use, 0 to 1.
	Weight float64 `json:"weight"`
	// Reason tells why it is not simply in use; may be empty.
	Reason string `json:"reason,omitempty"`
}

// States of UpstreamStatus beside those of health.
const (
	stateGone        = "gone"
	stateNotReported = "not_reported"
)

// Reasons of UpstreamStatus.
const (
	reasonListed     = "by the platform's list"
	reasonSaid       = "by its own word"
	reasonOperators  = "by the service's document"
	reasonPeers      = "by a peer's word"
	reasonOffList    = "no longer on the platform's list"
	reasonNoReport   = "no load report yet"
	reasonNotOnChain = "no chain of layers leads through it"
)

// statusDue shows the newest of this node.
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

// upstreamStatus shows one upstream.
func (r *Router) upstreamStatus(id ids.Upstream, u *upstream) UpstreamStatus {
	state, reason := r.upstreamState(id, u)
	return UpstreamStatus{
		ID:       id,
		Zone:     u.engine.Zone,
		Service:  u.engine.Service,
		State:    state,
		InFlight: r.book.Estimate(r.now, id).InFlight,
		Slots:    u.engine.Slots,
		Rate:     u.engine.Rate,
		Weight:   r.health.Weight(r.now, id),
		Reason:   reason,
	}
}

// upstreamState tells how an upstream is used and why.
func (r *Router) upstreamState(id ids.Upstream, u *upstream) (state, reason string) {
	switch {
	case !u.listed:
		return stateGone, reasonOffList
	case u.leavingListed:
		return health.Leaving.String(), reasonListed
	case u.leavingSaid:
		return health.Leaving.String(), reasonSaid
	case u.leavingOperators:
		return health.Leaving.String(), reasonOperators
	case len(u.leavingPeers) > 0:
		return health.Leaving.String(), reasonPeers
	case u.model && !u.reported:
		return stateNotReported, reasonNoReport
	}
	return r.health.State(r.now, id).String(), r.offChain(id, u)
}

// offChain tells when no chain leads through an engine in use.
func (r *Router) offChain(id ids.Upstream, u *upstream) string {
	svc := r.services[u.engine.Service]
	if !u.model || svc == nil || svc.graph == nil {
		return ""
	}
	if _, ok := svc.graph.Index(id); ok {
		return ""
	}
	return reasonNotOnChain
}
