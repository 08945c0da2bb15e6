package router

import (
	"math/rand/v2"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/health"
	"mimosaarch.example/decide/limit"
	"mimosaarch.example/decide/load"
)

// Options configures a Router. All fields except Seed are required.
type Options struct {
	// VM and Zone identify this node.
	VM   ids.VM
	Zone ids.Zone
	// MaxRequests is the maximum number of requests held at once, including
	// waiting ones.
	MaxRequests int
	// Seed seeds the Router's random source.
	Seed uint64
}

// Router holds the decision state of one node. Create it with New.
type Router struct {
	opts     Options
	rand     *rand.Rand
	config   *Config
	draining bool
	requests map[ids.Request]*request
	services map[ids.Service]*service
	// serviceNames holds the keys of services, sorted.
	serviceNames []ids.Service
	// upstreams holds the state of each upstream, from the VM list and load
	// reports.
	upstreams map[ids.Upstream]*upstream
	loads     *load.Estimator
	health    *health.Tracker
	limiter   *limit.Limiter
	// entryVMs holds the live entry VMs in the platform's newest list.
	entryVMs    map[ids.VM]bool
	vmsRevision int64
	// firstVMList is when the first VM list arrived.
	firstVMList time.Time
	// gonePeers holds the peers whose digests no longer arrive.
	gonePeers map[ids.VM]bool
	// wasReady is set once the node could serve requests, and stays set.
	wasReady bool
	// dirty holds the services whose upstreams and graph must be rebuilt.
	dirty map[ids.Service]bool
	// commands and now are the result and the time of the current step.
	commands []Command
	now      time.Time
}

// New returns a Router without configuration. It refuses requests until it
// receives one.
func New(opts Options) *Router {
	return &Router{
		opts:      opts,
		rand:      rand.New(rand.NewPCG(opts.Seed, seedStream)),
		requests:  make(map[ids.Request]*request),
		services:  make(map[ids.Service]*service),
		upstreams: make(map[ids.Upstream]*upstream),
		entryVMs:  make(map[ids.VM]bool),
		gonePeers: make(map[ids.VM]bool),
		dirty:     make(map[ids.Service]bool),
		loads:     load.New(load.Settings{}),
		health:    health.New(health.Options{}),
		limiter:   limit.New(limit.Options{}),
	}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x726f75746572

// Step processes an event that happened at now and returns the commands to carry
// out, in order. Times must not decrease. The slice is valid until the next call.
func (r *Router) Step(now time.Time, event Event) []Command {
	r.now = now
	r.commands = r.commands[:0]
	switch ev := event.(type) {
	case RequestArrived:
		r.requestArrived(ev)
	case CallerGone:
		r.callerGone(ev)
	case AttemptStarted:
		r.attemptStarted(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case ClaimEnded:
		r.claimEnded(ev)
	case ClaimReleased:
		r.claimReleased(ev)
	case StreamCancelled:
		r.streamCancelled(ev)
	case LoadReported:
		r.loadReported(ev)
	case LoadPollFailed:
		r.loadPollFailed(ev)
	case VMListReceived:
		r.vmListReceived(ev)
	case ConfigReceived:
		r.configReceived(ev)
	case DigestDue:
		r.digestDue()
	case StatusDue:
		r.statusDue()
	case DigestReceived:
		r.digestReceived(ev)
	case PeerGone:
		r.peerGone(ev)
	case Drain:
		r.draining = true
	case Tick:
		r.tick()
	}
	return r.commands
}

// Requests returns the number of requests held. A draining node may stop when it
// is zero.
func (r *Router) Requests() int { return len(r.requests) }

// Ready reports whether the node can take requests: it has a configuration, knows
// upstreams that can serve, and is not draining. A node stays ready when its
// upstreams fail, because withdrawing it from callers would not help them.
func (r *Router) Ready() bool {
	r.wasReady = r.wasReady || (r.allPolled() && len(r.dirty) == 0 && r.anyServable())
	return r.config != nil && r.wasReady && !r.draining
}

// anyServable reports whether some service has upstreams that can serve it.
func (r *Router) anyServable() bool {
	for _, svc := range r.services {
		if svc.servable() {
			return true
		}
	}
	return false
}

// warmUpTimeout is how long the node waits, after the first VM list, for every
// engine to be polled before it reports ready without them. It is also how long
// requests wait for a newly listed engine to report.
const warmUpTimeout = 2 * time.Second

// allPolled reports whether a VM list has arrived and every listed engine has
// answered a load poll or failed to. After warmUpTimeout it returns true in any
// case.
func (r *Router) allPolled() bool {
	if r.vmsRevision > 0 && r.now.Sub(r.firstVMList) > warmUpTimeout {
		return true
	}
	for _, u := range r.upstreams {
		if u.isModel && u.listed && !u.polled {
			return false
		}
	}
	return r.vmsRevision > 0
}

// emit adds a command to the result of the current step.
func (r *Router) emit(c Command) { r.commands = append(r.commands, c) }

// note records a decision about a request.
func (r *Router) note(req *request, step DecisionStep, reason outcome.Reason, detail string) {
	r.emit(RecordDecision{Decision: r.decision(req, step, reason, detail)})
}

// decision returns the record of a step of a request.
func (r *Router) decision(req *request, step DecisionStep, reason outcome.Reason, detail string) Decision {
	return Decision{
		At:      r.now,
		ID:      req.arrival.ID,
		Account: req.account.ID,
		Step:    step,
		Attempt: req.attempt,
		Chain:   chainIDs(req.chain),
		Reason:  reason,
		Detail:  detail,
		Wait:    r.now.Sub(req.arrived),
	}
}
