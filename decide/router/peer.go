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

// Digest is what a node's decisions tell its peers. It is whole: what it does
// not name is zero or absent.
type Digest struct {
	Draining bool
	// InFlight counts the VM's own requests at each upstream; no zeros.
	InFlight   map[ids.Upstream]int
	Usage      []limit.AccountUsage
	Quarantine []quarantine.Event
	Health     []Observation
	// Leaving lists the upstreams that the VM itself knows to be leaving.
	Leaving []ids.Upstream
	// Loads are the newest reports that the VM asked for itself.
	Loads []LoadReport
}

// Observation is a VM's view of an upstream that is not simply in use.
type Observation struct {
	Upstream ids.Upstream
	State    health.State
}

// LoadReport is an engine's report.
type LoadReport struct {
	Report engineapi.LoadReport
	// Age is the time since the report was received, beside its own age.
	Age time.Duration
}

// DigestDue asks for a SendDigest command.
type DigestDue struct{}

// DigestReceived is a peer's digest, received at the given time. Digests of one peer
// come in the order they were made.
type DigestReceived struct {
	VM     ids.VM
	At     time.Time
	Digest Digest
}

// PeerGone tells that a peer's figures no longer stand, and why.
type PeerGone struct {
	VM  ids.VM
	Why member.Why
}

// SendDigest is the answer to DigestDue.
type SendDigest struct{ Digest Digest }

func (DigestDue) isEvent()      {}
func (DigestReceived) isEvent() {}
func (PeerGone) isEvent()       {}
func (SendDigest) isCommand()   {}

// seenLoad is the newest report of an upstream.
type seenLoad struct {
	report  engineapi.LoadReport
	at      time.Time
	relayed bool
}

// digestDue tells the newest of this node.
func (r *Router) digestDue() {
	d := Digest{
		Draining: r.draining,
		InFlight: make(map[ids.Upstream]int),
		Usage:    r.limiter.Usage(r.now),
	}
	for _, name := range r.serviceNames {
		d.Quarantine = append(d.Quarantine, r.services[name].blamer.Digest(r.now)...)
	}
	for _, id := range sortedKeys(r.upstreams) {
		r.describe(&d, id, r.upstreams[id])
	}
	r.emit(SendDigest{Digest: d})
}

// describe adds one upstream to a digest.
func (r *Router) describe(d *Digest, id ids.Upstream, u *upstream) {
	if len(u.running) > 0 {
		d.InFlight[id] = len(u.running)
	}
	if u.leavingListed || u.leavingSaid {
		d.Leaving = append(d.Leaving, id)
	}
	if state := r.health.State(r.now, id); state == health.Ejected || state == health.HalfOpen {
		d.Health = append(d.Health, Observation{Upstream: id, State: state})
	}
	if u.load != nil && !u.load.relayed && r.now.Sub(u.load.at) < loadTold {
		d.Loads = append(d.Loads, LoadReport{Report: u.load.report, Age: r.now.Sub(u.load.at)})
	}
}

// loadTold is how long a report is told to peers.
const loadTold = 2 * time.Second

// peerSeen takes in a peer's digest.
func (r *Router) peerSeen(ev DigestReceived) {
	delete(r.gone, ev.VM)
	// A digest that names more than the book keeps only loses precision.
	_ = r.book.ApplyPeerDigest(r.now, ev.VM, ev.Digest.InFlight)
	r.limiter.PeerUsage(r.now, ev.VM, ev.Digest.Usage)
	r.peerBlame(ev.VM, ev.Digest.Quarantine)
	for _, o := range ev.Digest.Health {
		r.health.PeerState(r.now, ev.VM, o.Upstream, o.State)
	}
	r.peerLeaving(ev.VM, ev.Digest.Leaving)
	for _, l := range ev.Digest.Loads {
		r.takeLoad(seenLoad{report: l.Report, at: ev.At.Add(-l.Age), relayed: true})
	}
}

// peerBlame hands a peer's evidence to the quarantine of each service.
func (r *Router) peerBlame(vm ids.VM, events []quarantine.Event) {
	byService := make(map[ids.Service][]quarantine.Event)
	for _, e := range events {
		if u := r.upstreams[e.Upstream]; u != nil {
			byService[u.engine.Service] = append(byService[u.engine.Service], e)
		}
	}
	for _, name := range sortedKeys(byService) {
		if svc := r.services[name]; svc != nil {
			svc.blamer.MergeDigest(r.now, vm, byService[name])
		}
	}
}

// peerLeaving takes in which upstreams a peer knows to be leaving.
func (r *Router) peerLeaving(vm ids.VM, leaving []ids.Upstream) {
	told := make(map[ids.Upstream]bool, len(leaving))
	for _, id := range leaving {
		told[id] = true
	}
	for id, u := range r.upstreams {
		if u.leavingPeers[vm] == told[id] {
			continue
		}
		if told[id] {
			u.leavingPeers[vm] = true
		} else {
			delete(u.leavingPeers, vm)
		}
		r.dirty[u.engine.Service] = true
	}
	r.rebuildGraphs()
}

// peerGone forgets what a peer told. The part of accounts' rates that a silent
// peer holds stays its own, since it may work on behind a cut.
func (r *Router) peerGone(ev PeerGone) {
	r.book.RemovePeer(r.now, ev.VM)
	r.peerLeaving(ev.VM, nil)
	if ev.Why != member.Restarted {
		r.gone[ev.VM] = true
	}
	if ev.Why != member.Silent {
		r.limiter.PeerGone(ev.VM)
	}
}

// alive reports whether an entry VM may still work on requests. The node's
// own earlier process life does not.
func (r *Router) alive(vm ids.VM) bool {
	return vm != r.opts.VM && r.vms[vm] && !r.gone[vm]
}
