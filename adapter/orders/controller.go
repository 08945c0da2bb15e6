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

// leaseTerm is the part of the lease on which orders depend. *leader.Elector
// implements it. Its methods may be called concurrently.
type leaseTerm interface {
	Status() lease.Status
	StepDown()
}

// Controller seeks the lease and sends the orders while it holds it. Create it with
// New and start it with Run.
type Controller struct {
	opts   Options
	events *ring.Ring[func(time.Time)]
	// sendSlots limits the orders in flight.
	sendSlots chan struct{}
	calls     sync.WaitGroup

	elector *leader.Elector
	lease   leaseTerm

	// The fields below belong to Run's goroutine.
	planner      *order.Planner
	planVersions map[ids.Service]int64
	// readingPlans reports that a read of the plans is in flight; lastRead is when
	// the last one ended.
	readingPlans bool
	lastRead     time.Time
	lastFence    int64
}

// New returns a Controller. It makes no calls before Run.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	elector := leader.New(leader.Options{
		Lease:     opts.Lease,
		Store:     &leaseObject{opts},
		Now:       time.Now,
		Candidate: opts.Candidate,
	})
	return &Controller{
		opts:         opts,
		events:       ring.New[func(time.Time)]("order events", opts.RingCapacity),
		sendSlots:    make(chan struct{}, opts.MaxInFlight),
		elector:      elector,
		lease:        elector,
		planner:      order.New(opts.Order),
		planVersions: make(map[ids.Service]int64),
	}
}

// Run seeks the lease and sends orders until ctx ends, and then waits for its
// calls. It must be called only once. The lease is not released but expires.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.opts.TickInterval)
	defer ticker.Stop()
	defer c.calls.Wait()
	c.calls.Go(func() { c.elector.Run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events.Out():
			event(time.Now())
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// Reported queues an engine's load report for the planner. If the queue is full, it
// returns a *ring.FullError and drops the report; a later report replaces it. It
// may be called concurrently.
func (c *Controller) Reported(r engineapi.LoadReport) error {
	err := c.events.Offer(func(now time.Time) { c.planner.Reported(now, r) })
	if err != nil {
		c.opts.Count(ReportsRefused, 1)
	}
	return err
}

// Status returns this node's current lease status. It may be called concurrently.
func (c *Controller) Status() lease.Status { return c.lease.Status() }

// tick starts the calls that are due.
func (c *Controller) tick(ctx context.Context) {
	status := c.Status()
	if !status.Held {
		return
	}
	if status.Fence != c.lastFence {
		c.lastFence = status.Fence
		c.opts.Count(TermsBegun, 1)
	}
	now := time.Now()
	if !c.readingPlans && now.Sub(c.lastRead) >= c.opts.PlanPollInterval {
		c.readPlans(ctx)
	}
	for _, s := range c.planner.Tick(now, c.Status()) {
		c.startSend(ctx, s)
	}
}

// post queues an event for Run's goroutine. It waits while the queue is full,
// because no result may be dropped, and gives up only when ctx ends.
func (c *Controller) post(ctx context.Context, event func(time.Time)) {
	_ = c.events.Put(ctx, event)
}

// startSend sends an order in its own goroutine. If too many orders are in flight,
// the result is Skipped.
func (c *Controller) startSend(ctx context.Context, s order.Send) {
	select {
	case c.sendSlots <- struct{}{}:
	default:
		c.finishOrder(s, order.Skipped)
		return
	}
	c.calls.Go(func() {
		defer func() { <-c.sendSlots }()
		result := c.sendIfHeld(ctx, s)
		c.post(ctx, func(time.Time) { c.finishOrder(s, result) })
	})
}

// sendIfHeld sends an order if the lease allows it at this moment.
func (c *Controller) sendIfHeld(ctx context.Context, s order.Send) order.Result {
	address := c.opts.Address(s.Engine)
	if address == "" {
		return order.Skipped
	}
	callCtx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	status := c.Status()
	if !status.Held || status.Fence != s.Order.Fence || status.Left < s.MinLeaseRemaining {
		return order.Skipped
	}
	return c.opts.Send(callCtx, address, s)
}

// finishOrder processes an order's result. It steps down if the engine has seen a
// later term.
func (c *Controller) finishOrder(s order.Send, result order.Result) {
	c.opts.Count(resultCounters[result], 1)
	if c.planner.Ended(s, result) {
		c.lease.StepDown()
	}
}
