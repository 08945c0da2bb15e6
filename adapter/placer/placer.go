// Package placer sends engines the orders of decide/placement to load layers. Only
// one node of the fleet does so at a time: the holder of a lease, whose fencing
// token goes with each order.
//
// Before an order the engine is asked for its report. The order carries the
// report's count of orders, so that an order that is carried out late, after a
// newer one, has no effect.
package placer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/processor"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/placement"
	"mimosaarch.example/decide/routing"
)

// Order tells an engine to hold a range of layers.
type Order struct {
	Layers layered.Range
	// Fence is the fencing token of the lease's term.
	Fence int64
	// ExpectedOrderCount is the number of orders that the engine must have begun
	// since its start for this one to be valid.
	ExpectedOrderCount int64
}

// Result is the outcome of an order.
type Result string

// Outcomes of an order.
const (
	// Begun means that the engine is carrying it out or has done so.
	Begun Result = "begun"
	// Unfit means that the order was not sent, or does not fit the engine's state.
	Unfit Result = "unfit"
	// Fenced means that the engine has seen a later term.
	Fenced Result = "fenced"
	// Unknown means that the engine may or may not carry it out.
	Unknown Result = "unknown"
)

// Engines calls engines.
type Engines interface {
	// Probe returns an engine's report of its state.
	Probe(ctx context.Context, u *directory.Upstream) (layered.Report, error)
	// Place sends an order to an engine. The error gives details of results other
	// than Begun; it may be nil.
	Place(ctx context.Context, u *directory.Upstream, o Order) (Result, error)
}

// Lease is the lease for sending orders.
type Lease interface {
	Status() lease.Status
	// LastTerm returns this node's term even if its lease has expired, as long as no
	// other node is known to have taken the lease over. Otherwise Held is false.
	LastTerm() lease.Status
	StepDown()
}

// Options configure a Placer.
type Options struct {
	Table   func() *routing.Table
	View    func() *directory.View
	Engines Engines
	Lease   Lease
	Plan    placement.Options
	// EnginesCheckFence is true if engines refuse orders of an earlier term than the
	// latest they have seen. Orders then continue while the store is unreachable
	// and the lease cannot be renewed.
	EnginesCheckFence bool
	Now               func() time.Time
	Log               zerolog.Logger
	// Count adds n to a counter.
	Count func(name string, n int64)
	// SilentFor returns how long an engine has left this node's requests
	// unanswered; 0 if it answers or if that is unknown.
	SilentFor func(*directory.Upstream) time.Duration
	// Processor measures how long plans take. It may be nil.
	Processor *processor.Monitor
	// OnRestart is called with the new instance of an engine that reports a later
	// start than the directory knows. Calls may be concurrent.
	OnRestart func(ids.Instance)
}

// Intervals and timeouts.
const (
	// planInterval is the time between two planning rounds.
	planInterval = 100 * time.Millisecond
	// maxPlanShare is the largest share of the time that rounds may take, so that callers of the
	// node are served meanwhile. maxPlanPause bounds the pause after a round.
	maxPlanShare = 0.2
	maxPlanPause = time.Second
	// initialSettleTime is the time that must pass after the last engine was added
	// before a plan is made for a service whose engines hold no layers yet. Engines
	// enter the directory over some seconds, and a plan made for only some of them is
	// not changed later.
	initialSettleTime = 1500 * time.Millisecond
	// settleTime replaces initialSettleTime as soon as one engine of the service holds
	// layers.
	settleTime = 300 * time.Millisecond
	// callTimeout limits a call to an engine.
	callTimeout = 400 * time.Millisecond
	// minLeaseRemaining is the time that must remain of the lease when an order is
	// sent, so that the order arrives within the lease.
	minLeaseRemaining = callTimeout + 100*time.Millisecond
	// loadTimeSlack is added to the expected load time before an order without
	// visible effect is given up.
	loadTimeSlack = 3 * time.Second
	// loadTimeFactor multiplies the expected load time, because concurrent loads
	// share the weight store.
	loadTimeFactor = 2.0
	// unfitBackoff is the wait before an engine is tried again after an Unfit or
	// Fenced result.
	unfitBackoff = 700 * time.Millisecond
)

// Placer sends engines the orders to load layers. Create it with New and start it
// with Run.
type Placer struct {
	opts  Options
	calls sync.WaitGroup

	mu sync.Mutex
	// pending holds the orders whose effect the directory does not show yet.
	pending map[ids.Instance]pendingOrder
	// knownEngines holds the engines of each service in the last round;
	// lastAddition is when one was added.
	knownEngines map[ids.Service]map[ids.Instance]bool
	lastAddition time.Time
	// gapSince is when a zone was first found to lack layers. Only Run's goroutine
	// uses it.
	gapSince map[serviceZone]time.Time
	// lastDeparture is when an engine of a zone was last seen to leave as planned;
	// responsive holds the engines that were not silent in the last round. Only
	// Run's goroutine uses them.
	lastDeparture map[serviceZone]time.Time
	responsive    map[ids.Service]map[ids.Instance]ids.Zone
	// pausedUntil is the end of the pause after the last round. Only Run's goroutine uses it.
	pausedUntil time.Time
	// emptyPlans holds, for services whose last plan gave no orders, the input of
	// that plan. Only Run's goroutine uses it.
	emptyPlans map[ids.Service]planInput
}

// serviceZone identifies the engines of one service in one zone.
type serviceZone struct {
	service ids.Service
	zone    ids.Zone
}

// pendingOrder is an order that is being sent or carried out.
type pendingOrder struct {
	layers    layered.Range
	expiresAt time.Time
	// inFlight is true until the call returns.
	inFlight bool
}

// New returns a Placer.
func New(o Options) *Placer {
	return &Placer{
		opts:          o,
		pending:       make(map[ids.Instance]pendingOrder),
		knownEngines:  make(map[ids.Service]map[ids.Instance]bool),
		gapSince:      make(map[serviceZone]time.Time),
		lastDeparture: make(map[serviceZone]time.Time),
		responsive:    make(map[ids.Service]map[ids.Instance]ids.Zone),
		emptyPlans:    make(map[ids.Service]planInput),
	}
}

// Run plans and sends orders until ctx ends, and then waits for its calls.
func (p *Placer) Run(ctx context.Context) {
	defer p.calls.Wait()
	every.Do(ctx, planInterval, func() { p.planAll(ctx) })
}

// planAll plans for every service with a model.
func (p *Placer) planAll(ctx context.Context) {
	began := p.opts.Now()
	if began.Before(p.pausedUntil) {
		return
	}
	defer func() {
		now := p.opts.Now()
		p.pausedUntil = now.Add(planPause(now.Sub(began)))
	}()
	table, view := p.opts.Table(), p.opts.View()
	if table == nil || view == nil {
		return
	}
	for i := range table.Services() {
		service := &table.Services()[i]
		if service.Model != nil {
			p.planService(ctx, service, view.ByService(service.Name))
		}
	}
}

// planPause returns the pause after a round that took some time.
func planPause(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)*(1/maxPlanShare-1)), maxPlanPause)
}

// planService plans for the engines of one service and sends the orders.
func (p *Placer) planService(ctx context.Context, service *routing.Service, engines []*directory.Upstream) {
	now := p.opts.Now()
	m := service.Model
	settled := p.settled(now, service.Name, engines)
	if _, ok := p.fenceToken(); !ok || !settled {
		return
	}
	state, complete, urgent := p.assess(now, m, engines)
	plan := p.opts.Plan
	p.recordDepartures(now, service.Name, engines)
	leaving := leavingZones(m, engines)
	plan.Move = p.movableZones(now, service.Name, complete, leaving, urgent)
	plan.Reassign = p.reassignableZones(now, service.Name, complete, leaving, plan.Move)
	input := planInput{m, state, plan.Reassign, plan.Move}
	if p.planWasEmpty(service.Name, input) {
		return
	}
	planned := p.opts.Processor.Begin("placement.plan")
	orders := placement.Plan(m, state, plan)
	planned()
	if len(orders) == 0 {
		p.emptyPlans[service.Name] = input
	}
	for _, order := range orders {
		for _, u := range engines {
			if u.ID == order.Engine {
				p.sendOrder(ctx, m, u, order.Layers)
			}
		}
	}
}

// planInput is the input of a plan.
type planInput struct {
	model          *layered.Model
	state          []placement.Engine
	reassign, move map[ids.Zone]bool
}

// planWasEmpty reports whether the last plan with the same input gave no orders, and need not be
// made again.
func (p *Placer) planWasEmpty(service ids.Service, input planInput) bool {
	last, ok := p.emptyPlans[service]
	return ok && last.model == input.model && slices.Equal(last.state, input.state) &&
		maps.Equal(last.reassign, input.reassign) && maps.Equal(last.move, input.move)
}

// settled reports whether enough time has passed since the last engine was added, so
// that the list of engines counts as complete.
func (p *Placer) settled(now time.Time, service ids.Service, engines []*directory.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := initialSettleTime
	known := make(map[ids.Instance]bool, len(engines))
	for _, u := range engines {
		known[u.ID] = true
		if !p.knownEngines[service][u.ID] {
			p.lastAddition = now
		}
		if !u.Layers.Empty() {
			wait = settleTime
		}
	}
	p.knownEngines[service] = known
	return now.Sub(p.lastAddition) >= wait
}

// engineStates returns the planner's view of the engines, with their pending orders
// and without engines that are leaving. It forgets pending orders that have taken
// effect or expired.
func (p *Placer) engineStates(now time.Time, engines []*directory.Upstream) []placement.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var state []placement.Engine
	for _, u := range engines {
		if u.Leaving {
			continue
		}
		e := placement.Engine{ID: u.ID, Zone: u.Zone, Card: u.Card, Slots: u.Slots, Holds: u.Layers, Fixed: u.Busy}
		order, found := p.pending[u.ID]
		switch {
		case found && !order.inFlight && (u.Layers == order.layers || !now.Before(order.expiresAt)):
			delete(p.pending, u.ID)
		case found:
			e.Target, e.Fixed = order.layers, true
		}
		state = append(state, e)
	}
	return state
}

// sendOrder sends one order in its own goroutine.
func (p *Placer) sendOrder(ctx context.Context, m *layered.Model, u *directory.Upstream, layers layered.Range) {
	if !m.Fits(m.Cards[u.Card], layers.Len()) {
		p.opts.Log.Error().Str("event", "order_too_large").Str("upstream", u.ID.String()).Str("layers", layers.String()).Send()
		return
	}
	p.setPending(u.ID, pendingOrder{layers: layers, inFlight: true})
	p.calls.Go(func() {
		result, err := p.probeAndPlace(ctx, u, layers)
		p.opts.Count("orders."+string(result), 1)
		p.opts.Log.Info().Str("event", "order").Str("upstream", u.ID.String()).Str("address", u.Address).
			Str("layers", layers.String()).Str("held", u.Layers.String()).
			Stringer("entry_revision", u.Revision).Str("result", string(result)).AnErr("error", err).Send()
		wait := unfitBackoff
		if result == Begun || result == Unknown {
			share := float64(layers.Len()) / float64(max(m.Layers, 1))
			wait = time.Duration(m.LoadSeconds*share*loadTimeFactor*float64(time.Second)) + loadTimeSlack
		}
		if result == Fenced {
			p.opts.Lease.StepDown()
		}
		p.setPending(u.ID, pendingOrder{layers: layers, expiresAt: p.opts.Now().Add(wait)})
	})
}

// setPending records an order as pending.
func (p *Placer) setPending(id ids.Instance, o pendingOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[id] = o
}

// LeaseError reports that an order was not sent because the lease had expired or
// too little of it remained.
type LeaseError struct{}

// Error implements error.
func (*LeaseError) Error() string { return "lease not held or too little time left on it" }

// probeAndPlace asks the engine for its report and then sends it the order, if the
// lease still allows it.
func (p *Placer) probeAndPlace(ctx context.Context, u *directory.Upstream, layers layered.Range) (Result, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := p.opts.Engines.Probe(callCtx, u)
	if err != nil {
		return Unfit, err
	}
	if current := report.Instance(u.ID); current != u.ID {
		p.opts.OnRestart(current)
		return Unfit, &directory.RestartedError{Known: u.ID, Current: current}
	}
	if report.ExecutingOrder {
		return Unfit, nil
	}
	callCtx, cancel = context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence, ok := p.fenceToken()
	if !ok {
		return Unfit, &LeaseError{}
	}
	return p.opts.Engines.Place(callCtx, u, Order{Layers: layers, Fence: fence, ExpectedOrderCount: report.OrdersStarted})
}

// fenceToken returns the fencing token of this node's term; ok is false if orders
// may not be sent now.
func (p *Placer) fenceToken() (fence int64, ok bool) {
	status := p.opts.Lease.Status()
	if status.Held && status.Left >= minLeaseRemaining {
		return status.Fence, true
	}
	if !p.opts.EnginesCheckFence {
		return 0, false
	}
	lastTerm := p.opts.Lease.LastTerm()
	return lastTerm.Fence, lastTerm.Held
}
