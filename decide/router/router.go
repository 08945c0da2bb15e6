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

// Options sets up a Router. All fields but Seed are required.
type Options struct {
	// VM and Zone are the node's own.
	VM   ids.VM
	Zone ids.Zone
	// MaxRequests bounds the requests held at once, waiting ones included.
	MaxRequests int
	// Seed starts the Router's own random source.
	Seed uint64
}

// Router holds every decision of one node. Make it with New.
type Router struct {
	opts     Options
	rand     *rand.Rand
	config   *Config
	draining bool
	requests map[ids.Request]*request
	services map[ids.Service]*service
	// serviceNames are the keys of services, sorted.
	serviceNames []ids.Service
	// upstreams holds what is known of each back end, by the VM list and by
	// its own reports.
	upstreams map[ids.Upstream]*upstream
	book      *load.Estimator
	health    *health.Tracker
	limiter   *limit.Limiter
	// vms are the entry VMs of the platform's newest list.
	vms         map[ids.VM]bool
	vmsRevision int64
	// firstList is the time of the first list of VMs.
	firstList time.Time
	// gone are the peers that are not heard from any more.
	gone map[ids.VM]bool
	// warm is set once the node could serve.
	warm bool
	// dirty names the services whose upstreams have to be made anew.
	dirty map[ids.Service]bool
	out   []Command
	now   time.Time
}

// New makes a Router without configuration; it refuses requests until it has
// seen one.
func New(opts Options) *Router {
	return &Router{
		opts:      opts,
		rand:      rand.New(rand.NewPCG(opts.Seed, seedStream)),
		requests:  make(map[ids.Request]*request),
		services:  make(map[ids.Service]*service),
		upstreams: make(map[ids.Upstream]*upstream),
		vms:       make(map[ids.VM]bool),
		gone:      make(map[ids.VM]bool),
		dirty:     make(map[ids.Service]bool),
		book:      load.New(load.Settings{}),
		health:    health.New(health.Options{}),
		limiter:   limit.New(limit.Options{}),
	}
}

// seedStream is the second half of the random source's seed.
const seedStream = 0x726f75746572

// Step takes one event that happened at now and returns what is to be done,
// in order. Times must not go backwards. The slice is valid until the next
// call.
func (r *Router) Step(now time.Time, event Event) []Command {
	r.now = now
	r.out = r.out[:0]
	switch ev := event.(type) {
	case RequestArrived:
		r.arrive(ev)
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
		r.loadSeen(ev)
	case LoadPollFailed:
		r.loadFailed(ev)
	case VMListReceived:
		r.vmsSeen(ev)
	case ConfigReceived:
		r.configSeen(ev)
	case DigestDue:
		r.digestDue()
	case StatusDue:
		r.statusDue()
	case DigestReceived:
		r.peerSeen(ev)
	case PeerGone:
		r.peerGone(ev)
	case Drain:
		r.draining = true
	case Tick:
		r.tick()
	}
	return r.out
}

// Requests is the count of requests held; a draining node may stop at zero.
func (r *Router) Requests() int { return len(r.requests) }

// Ready reports whether the node can take requests: it has a configuration,
// knows upstreams that can serve, and is not draining. Once ready, a node stays
// so when its upstreams fail: to take it from callers would not help them.
func (r *Router) Ready() bool {
	r.warm = r.warm || (r.asked() && len(r.dirty) == 0 && r.serves())
	return r.config != nil && r.warm && !r.draining
}

// serves reports whether some service has upstreams that can serve it.
func (r *Router) serves() bool {
	for _, svc := range r.services {
		if svc.servable() {
			return true
		}
	}
	return false
}

// warmUp is how long the first list of VMs may be in use before the node is
// ready although some engines' load is still not known.
const warmUp = 2 * time.Second

// asked reports whether every listed engine has answered a poll or failed to.
func (r *Router) asked() bool {
	if r.vmsRevision > 0 && r.now.Sub(r.firstList) > warmUp {
		return true
	}
	for _, u := range r.upstreams {
		if u.model && u.listed && !u.asked {
			return false
		}
	}
	return r.vmsRevision > 0
}

// emit adds a command to the current step's.
func (r *Router) emit(c Command) { r.out = append(r.out, c) }

// note records a decision about a request.
func (r *Router) note(req *request, step DecisionStep, reason outcome.Reason, detail string) {
	r.emit(RecordDecision{Decision: r.decision(req, step, reason, detail)})
}

// decision describes a step of a request.
func (r *Router) decision(req *request, step DecisionStep, reason outcome.Reason, detail string) Decision {
	return Decision{
		At:      r.now,
		ID:      req.arrive.ID,
		Account: req.account.ID,
		Step:    step,
		Attempt: req.attempt,
		Chain:   chainIDs(req.chain),
		Reason:  reason,
		Detail:  detail,
		Wait:    r.now.Sub(req.arrived),
	}
}
