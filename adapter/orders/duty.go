package orders

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/adapter/leader"
	"mimosaarch.example/adapter/ring"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/order"
)

// term is the part of the lease that orders depend on; a *leader.Keeper is one.
// Any goroutine may call it.
type term interface {
	Status() lease.Status
	StepDown()
}

// Controller seeks the lease and gives the orders. Make it with New, and let Run
// run.
type Controller struct {
	opts   Options
	events *ring.Ring[func(time.Time)]
	// sends has room for each order that may be under way.
	sends chan struct{}
	calls sync.WaitGroup

	keeper *leader.Keeper
	lease  term

	// The rest is Run's.
	planner *order.Planner
	plans   map[ids.Service]int64
	// reading tells that the plans are being read; readAt is when last.
	reading bool
	readAt  time.Time
	fence   int64
}

// New makes a Controller; it calls nothing before Run.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	keeper := leader.New(leader.Options{
		Lease:     opts.Lease,
		Store:     &leaseObject{opts},
		Now:       time.Now,
		Candidate: opts.Candidate,
	})
	return &Controller{
		opts:    opts,
		events:  ring.New[func(time.Time)]("order events", opts.RingCapacity),
		sends:   make(chan struct{}, opts.MaxInFlight),
		keeper:  keeper,
		lease:   keeper,
		planner: order.New(opts.Order),
		plans:   make(map[ids.Service]int64),
	}
}

// Run works until ctx ends, and then waits for its calls to end. It is called
// once. The lease lapses by itself afterwards.
func (d *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(d.opts.TickInterval)
	defer ticker.Stop()
	defer d.calls.Wait()
	d.calls.Go(func() { d.keeper.Run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-d.events.Out():
			event(time.Now())
		case <-ticker.C:
			d.tick(ctx)
		}
	}
}

// Reported takes an engine's report of itself. Any goroutine may call it. A
// *ring.FullError means that it was not taken; a later one will do.
func (d *Controller) Reported(r engineapi.LoadReport) error {
	err := d.events.Offer(func(now time.Time) { d.planner.Reported(now, r) })
	if err != nil {
		d.opts.Count(ReportsRefused, 1)
	}
	return err
}

// Status tells whether this node holds the lease now. Any goroutine may call
// it.
func (d *Controller) Status() lease.Status { return d.lease.Status() }

// tick makes the calls that are due.
func (d *Controller) tick(ctx context.Context) {
	status := d.Status()
	if !status.Held {
		return
	}
	if status.Fence != d.fence {
		d.fence = status.Fence
		d.opts.Count(TermsBegun, 1)
	}
	now := time.Now()
	if !d.reading && now.Sub(d.readAt) >= d.opts.PlanPollInterval {
		d.readPlans(ctx)
	}
	for _, s := range d.planner.Tick(now, d.Status()) {
		d.send(ctx, s)
	}
}

// put hands an answer to Run; it waits for room, since no answer may be
// missed, and gives up only when the duty ends.
func (d *Controller) put(ctx context.Context, event func(time.Time)) {
	_ = d.events.Put(ctx, event)
}

// send gives one order, in a goroutine of its own.
func (d *Controller) send(ctx context.Context, s order.Send) {
	select {
	case d.sends <- struct{}{}:
	default:
		d.ended(s, order.Skipped)
		return
	}
	d.calls.Go(func() {
		defer func() { <-d.sends }()
		result := d.give(ctx, s)
		d.put(ctx, func(time.Time) { d.ended(s, result) })
	})
}

// give sends an order if the lease allows it at this moment.
func (d *Controller) give(ctx context.Context, s order.Send) order.Result {
	address := d.opts.Address(s.Engine)
	if address == "" {
		return order.Skipped
	}
	limit, done := context.WithTimeout(ctx, s.Timeout)
	defer done()
	status := d.Status()
	if !status.Held || status.Fence != s.Order.Fence || status.Left < s.MinLeaseRemaining {
		return order.Skipped
	}
	return d.opts.Send(limit, address, s)
}

// ended takes what came of an order. An engine that has seen a later term
// ends this one.
func (d *Controller) ended(s order.Send, result order.Result) {
	d.opts.Count(resultCounters[result], 1)
	if d.planner.Ended(s, result) {
		d.lease.StepDown()
	}
}
