package router

import (
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/health"
	"mimosaarch.example/decide/limit"
	"mimosaarch.example/decide/member"
	"mimosaarch.example/decide/quarantine"
)

// Digest is the state that a node shares with its peers. It is complete: counts
// that it omits are zero and entries that it omits are absent.
type Digest struct {
	Draining bool
	// InFlight is the number of the VM's own requests in flight at each upstream.
	// Upstreams with none are omitted.
	InFlight   map[ids.Upstream]int
	Usage      []limit.AccountUsage
	Quarantine []quarantine.Event
	Health     []Observation
	// Leaving lists the upstreams that are leaving according to the platform or
	// their own reports to this VM.
	Leaving []ids.Upstream
	// Loads are the newest reports that the VM polled itself.
	Loads []LoadReport
}

// Observation is a VM's view of an upstream that is ejected or half-open.
type Observation struct {
	Upstream ids.Upstream
	State    health.State
}

// LoadReport is an engine's load report with its age.
type LoadReport struct {
	Report engineapi.LoadReport
	// Age is the time since the report was requested. It adds to any age in the
	// report itself.
	Age time.Duration
}

// DigestDue asks for a SendDigest command.
type DigestDue struct{}

// DigestReceived is a peer's digest, received at At. Digests of one peer must be
// passed in the order they were made.
type DigestReceived struct {
	VM     ids.VM
	At     time.Time
	Digest Digest
}

// PeerGone reports that a peer's digests are no longer valid, and why.
type PeerGone struct {
	VM     ids.VM
	Reason member.GoneReason
}

// SendDigest is the reply to DigestDue: the digest to send to all peers.
type SendDigest struct{ Digest Digest }

func (DigestDue) isEvent()      {}
func (DigestReceived) isEvent() {}
func (PeerGone) isEvent()       {}
func (SendDigest) isCommand()   {}

// receivedLoad is the newest load report of an upstream. relayed is true if a
// peer polled it.
type receivedLoad struct {
	report  engineapi.LoadReport
	at      time.Time
	relayed bool
}

// digestDue emits the current digest of this node.
func (r *Router) digestDue() {
	d := Digest{
		Draining: r.draining,
		InFlight: make(map[ids.Upstream]int),
		Usage:    r.limiter.Usage(r.now),
	}
	for _, name := range r.serviceNames {
		d.Quarantine = append(d.Quarantine, r.services[name].quarantine.Digest(r.now)...)
	}
	for _, id := range sortedKeys(r.upstreams) {
		r.addToDigest(&d, id, r.upstreams[id])
	}
	r.emit(SendDigest{Digest: d})
}

// addToDigest adds the state of one upstream to a digest.
func (r *Router) addToDigest(d *Digest, id ids.Upstream, u *upstream) {
	if len(u.running) > 0 {
		d.InFlight[id] = len(u.running)
	}
	if u.leavingPerList || u.leavingPerReport {
		d.Leaving = append(d.Leaving, id)
	}
	if state := r.health.State(r.now, id); state == health.Ejected || state == health.HalfOpen {
		d.Health = append(d.Health, Observation{Upstream: id, State: state})
	}
	if u.load != nil && !u.load.relayed && r.now.Sub(u.load.at) < maxSharedLoadAge {
		d.Loads = append(d.Loads, LoadReport{Report: u.load.report, Age: r.now.Sub(u.load.at)})
	}
}

// maxSharedLoadAge is the age up to which a load report is included in digests.
const maxSharedLoadAge = 2 * time.Second

// digestReceived applies a peer's digest.
func (r *Router) digestReceived(ev DigestReceived) {
	delete(r.gonePeers, ev.VM)
	// An error means that the digest names more upstreams than are tracked. The
	// load estimates are then less precise.
	_ = r.loads.ApplyPeerDigest(r.now, ev.VM, ev.Digest.InFlight)
	r.limiter.PeerUsage(r.now, ev.VM, ev.Digest.Usage)
	r.applyPeerQuarantine(ev.VM, ev.Digest.Quarantine)
	for _, o := range ev.Digest.Health {
		r.health.PeerState(r.now, ev.VM, o.Upstream, o.State)
	}
	r.applyPeerLeaving(ev.VM, ev.Digest.Leaving)
	for _, l := range ev.Digest.Loads {
		r.applyLoad(receivedLoad{report: l.Report, at: ev.At.Add(-l.Age), relayed: true})
	}
}

// applyPeerQuarantine passes a peer's quarantine events to the quarantine of each
// service.
func (r *Router) applyPeerQuarantine(vm ids.VM, events []quarantine.Event) {
	byService := make(map[ids.Service][]quarantine.Event)
	for _, e := range events {
		if u := r.upstreams[e.Upstream]; u != nil {
			byService[u.engine.Service] = append(byService[u.engine.Service], e)
		}
	}
	for _, name := range sortedKeys(byService) {
		if svc := r.services[name]; svc != nil {
			svc.quarantine.MergeDigest(r.now, vm, byService[name])
		}
	}
}

// applyPeerLeaving records the upstreams that a peer knows to be leaving.
func (r *Router) applyPeerLeaving(vm ids.VM, leaving []ids.Upstream) {
	isLeaving := make(map[ids.Upstream]bool, len(leaving))
	for _, id := range leaving {
		isLeaving[id] = true
	}
	for id, u := range r.upstreams {
		if u.leavingPerPeers[vm] == isLeaving[id] {
			continue
		}
		if isLeaving[id] {
			u.leavingPerPeers[vm] = true
		} else {
			delete(u.leavingPerPeers, vm)
		}
		r.dirty[u.engine.Service] = true
	}
	r.rebuildGraphs()
}

// peerGone discards the state received from a peer. A silent peer keeps its share
// of the accounts' rate limits, because it may still be working behind a network
// partition.
func (r *Router) peerGone(ev PeerGone) {
	r.loads.RemovePeer(r.now, ev.VM)
	r.applyPeerLeaving(ev.VM, nil)
	if ev.Reason != member.Restarted {
		r.gonePeers[ev.VM] = true
	}
	if ev.Reason != member.Silent {
		r.limiter.PeerGone(ev.VM)
	}
}

// alive reports whether another entry VM may still be working on requests. It
// returns false for this VM: a claim that names it comes from an earlier process.
func (r *Router) alive(vm ids.VM) bool {
	return vm != r.opts.VM && r.entryVMs[vm] && !r.gonePeers[vm]
}
