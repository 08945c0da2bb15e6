// Package placer is the duty that has engines load the layers which
// decide/placement gives them. One node of the fleet does it at a time, the
// holder of a lease, whose term's number goes with each order.
//
// An order is sent only after the engine's own report, with the count of orders
// from it: one that is carried out late, after a newer one, then has no effect.
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
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/placement"
	"mimosaarch.example/decide/routing"
)

// Order has an engine hold a range of layers.
type Order struct {
	Layers layered.Range
	// Fence is the number of the lease's term.
	Fence int64
	// After is the count of orders the engine had begun.
	After int64
}

// Result is what came of an order.
type Result string

// Results of orders.
const (
	// Begun: the engine carries it out, or has done so.
	Begun Result = "begun"
	// Unfit: it does not fit the engine's state.
	Unfit Result = "unfit"
	// Fenced: the engine has seen a later term.
	Fenced Result = "fenced"
	// Unknown: it may be carried out.
	Unknown Result = "unknown"
)

// Engines gives orders to engines.
type Engines interface {
	// Probe asks an engine for its report.
	Probe(ctx context.Context, u *directory.Upstream) (layered.Report, error)
	// Place gives an order; the error tells more of results other than Begun.
	Place(ctx context.Context, u *directory.Upstream, o Order) (Result, error)
}

// Lease tells whether this node may give orders.
type Lease interface {
	Status() lease.Status
	// LastTerm tells of a term whose lease has run out and that nobody is known
	// to have followed.
	LastTerm() lease.Status
	StepDown()
}

// Options set up a Placer.
type Options struct {
	Table   func() *routing.Table
	View    func() *directory.View
	Engines Engines
	Lease   Lease
	Plan    placement.Options
	// Fenced tells that engines refuse orders of an earlier term than one they
	// have seen. Orders then go on while the store is away and the lease cannot
	// be renewed.
	Fenced bool
	Now    func() time.Time
	Log    zerolog.Logger
	// Count adds to a counter.
	Count func(name string, n int64)
	// SilentFor tells how long an engine has not answered this node's requests.
	SilentFor func(*directory.Upstream) time.Duration
	// Restarted is told of an engine that says it began later than the life that
	// the directory knows. Any goroutine calls it.
	Restarted func(ids.Life)
}

// Times of the duty.
const (
	// tick is the time between two looks at the engines.
	tick = 100 * time.Millisecond
	// settleFirst is how long no engine may have come before the first plan of
	// a fleet that holds nothing: engines enter the directory over some
	// seconds, and a plan made from a part of them is not changed later.
	settleFirst = 1500 * time.Millisecond
	// settle is the same once engines hold layers.
	settle = 300 * time.Millisecond
	// callTimeout bounds one call to an engine.
	callTimeout = 400 * time.Millisecond
	// leastLeft of the lease must remain when an order is sent, so that the
	// order arrives within it.
	leastLeft = callTimeout + 100*time.Millisecond
	// loadSlack is added to the time a load should take before an order that
	// shows no effect is given up.
	loadSlack = 3 * time.Second
	// loadFactor stretches that time, as loads that run at once share the
	// weight store.
	loadFactor = 2.0
	// unfitPause is the wait before an engine that refused is asked again.
	unfitPause = 700 * time.Millisecond
)

// Placer does the duty. Make it with New, and let Run run.
type Placer struct {
	opts  Options
	calls sync.WaitGroup

	mu sync.Mutex
	// under is what engines were told and have not shown yet.
	under map[ids.Life]pending
	// known are the engines of each service at the last look; grownAt is when
	// one was new.
	known   map[ids.Service]map[ids.Life]bool
	grownAt time.Time
	// holeSince tells since when zones lack layers. Run's alone.
	holeSince map[zoneOf]time.Time
	// leftAt tells when an engine of a zone was last seen to leave; answering are
	// those that were not silent at the last look. Run's alone.
	leftAt    map[zoneOf]time.Time
	answering map[ids.Service]map[ids.Life]ids.Zone
	// rest holds, for services whose last plan found nothing to do, what that
	// was made for. Run's alone.
	rest map[ids.Service]question
}

// zoneOf is a zone as far as one service is concerned.
type zoneOf struct {
	service ids.Service
	zone    ids.Zone
}

// pending is an order under way.
type pending struct {
	layers layered.Range
	until  time.Time
	// sending is true until its answer is there.
	sending bool
}

// New makes a Placer.
func New(o Options) *Placer {
	return &Placer{
		opts:      o,
		under:     make(map[ids.Life]pending),
		known:     make(map[ids.Service]map[ids.Life]bool),
		holeSince: make(map[zoneOf]time.Time),
		leftAt:    make(map[zoneOf]time.Time),
		answering: make(map[ids.Service]map[ids.Life]ids.Zone),
		rest:      make(map[ids.Service]question),
	}
}

// Run does the duty until ctx ends, and waits for its calls.
func (p *Placer) Run(ctx context.Context) {
	defer p.calls.Wait()
	every.Do(ctx, tick, func() { p.turn(ctx) })
}

// turn looks at the engines of every model.
func (p *Placer) turn(ctx context.Context) {
	table, view := p.opts.Table(), p.opts.View()
	if table == nil || view == nil {
		return
	}
	for i := range table.Services() {
		service := &table.Services()[i]
		if service.Model != nil {
			p.place(ctx, service, view.Of(service.Name))
		}
	}
}

// place gives the orders that one model's engines need.
func (p *Placer) place(ctx context.Context, service *routing.Service, engines []*directory.Upstream) {
	now := p.opts.Now()
	m := service.Model
	settled := p.settled(now, service.Name, engines)
	if _, ok := p.term(); !ok || !settled {
		return
	}
	state, whole, urgent := p.situation(now, m, engines)
	plan := p.opts.Plan
	p.notePlanned(now, service.Name, engines)
	left := leftZones(m, engines)
	plan.Move = p.movable(now, service.Name, whole, left, urgent)
	plan.Reassign = p.reassignable(now, service.Name, whole, left, plan.Move)
	q := question{m, state, plan.Reassign, plan.Move}
	if p.atRest(service.Name, q) {
		return
	}
	orders := placement.Plan(m, state, plan)
	if len(orders) == 0 {
		p.rest[service.Name] = q
	}
	for _, order := range orders {
		for _, u := range engines {
			if u.ID == order.Engine {
				p.send(ctx, m, u, order.Layers)
			}
		}
	}
}

// question is what a plan was made for.
type question struct {
	model          *layered.Model
	state          []placement.Engine
	reassign, move map[ids.Zone]bool
}

// atRest reports whether the last plan for the same found nothing to do. A plan
// takes 8 ms for 3,100 engines, and a look is due ten times a second.
func (p *Placer) atRest(service ids.Service, q question) bool {
	last, ok := p.rest[service]
	return ok && last.model == q.model && slices.Equal(last.state, q.state) &&
		maps.Equal(last.reassign, q.reassign) && maps.Equal(last.move, q.move)
}

// settled reports whether the list of engines has come to rest.
func (p *Placer) settled(now time.Time, service ids.Service, engines []*directory.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := settleFirst
	known := make(map[ids.Life]bool, len(engines))
	for _, u := range engines {
		known[u.ID] = true
		if !p.known[service][u.ID] {
			p.grownAt = now
		}
		if !u.Layers.Empty() {
			wait = settle
		}
	}
	p.known[service] = known
	return now.Sub(p.grownAt) >= wait
}

// state gives the engines as the plan sees them: with what they were told to
// hold, and without those that are leaving.
func (p *Placer) state(now time.Time, engines []*directory.Upstream) []placement.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var state []placement.Engine
	for _, u := range engines {
		if u.Leaving {
			continue
		}
		e := placement.Engine{ID: u.ID, Zone: u.Zone, Card: u.Card, Slots: u.Slots, Holds: u.Layers, Fixed: u.Busy}
		told, underway := p.under[u.ID]
		switch {
		case underway && !told.sending && (u.Layers == told.layers || !now.Before(told.until)):
			delete(p.under, u.ID)
		case underway:
			e.Told, e.Fixed = told.layers, true
		}
		state = append(state, e)
	}
	return state
}

// send gives one order in a goroutine of its own.
func (p *Placer) send(ctx context.Context, m *layered.Model, u *directory.Upstream, layers layered.Range) {
	if !m.Fits(m.Cards[u.Card], layers.Len()) {
		p.opts.Log.Error().Str("event", "order_too_large").Str("upstream", u.ID.String()).Str("layers", layers.String()).Send()
		return
	}
	p.set(u.ID, pending{layers: layers, sending: true})
	p.calls.Go(func() {
		result, err := p.give(ctx, u, layers)
		p.opts.Count("orders."+string(result), 1)
		p.opts.Log.Info().Str("event", "order").Str("upstream", u.ID.String()).Str("address", u.Address).
			Str("layers", layers.String()).Str("held", u.Layers.String()).
			Int64("entry_revision", u.Revision).Str("result", string(result)).AnErr("error", err).Send()
		wait := unfitPause
		if result == Begun || result == Unknown {
			share := float64(layers.Len()) / float64(max(m.Layers, 1))
			wait = time.Duration(m.LoadSeconds*share*loadFactor*float64(time.Second)) + loadSlack
		}
		if result == Fenced {
			p.opts.Lease.StepDown()
		}
		p.set(u.ID, pending{layers: layers, until: p.opts.Now().Add(wait)})
	})
}

// set notes an order.
func (p *Placer) set(id ids.Life, o pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.under[id] = o
}

// LeaseError tells that an order was not sent since the lease had ended, or had
// too little time left.
type LeaseError struct{}

// Error implements error.
func (*LeaseError) Error() string { return "the lease has ended or is about to" }

// give asks the engine and sends it the order, if the lease allows it then.
func (p *Placer) give(ctx context.Context, u *directory.Upstream, layers layered.Range) (Result, error) {
	limit, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	report, err := p.opts.Engines.Probe(limit, u)
	if err != nil {
		return Unfit, err
	}
	if now := report.Life(u.ID); now != u.ID {
		p.opts.Restarted(now)
		return Unfit, &directory.RestartedError{Known: u.ID, Now: now}
	}
	if report.ExecutingOrder {
		return Unfit, nil
	}
	limit, done = context.WithTimeout(ctx, callTimeout)
	defer done()
	fence, ok := p.term()
	if !ok {
		return Unfit, &LeaseError{}
	}
	return p.opts.Engines.Place(limit, u, Order{Layers: layers, Fence: fence, After: report.OrdersStarted})
}

// term gives the number of the own term, if orders may be given in it now.
func (p *Placer) term() (fence int64, ok bool) {
	status := p.opts.Lease.Status()
	if status.Held && status.Left >= leastLeft {
		return status.Fence, true
	}
	if !p.opts.Fenced {
		return 0, false
	}
	lapsed := p.opts.Lease.LastTerm()
	return lapsed.Fence, lapsed.Held
}
