// Package orders is the duty that gives orders to model engines. Of a few
// candidate nodes the one that holds a lease object reads the operators'
// plans and sends the orders that decide/order names. Losing the lease costs
// time, never a wrong order: each send reads the clock and asks the lease
// just before.
//
// One goroutine decides; calls run in others and answer over a bounded ring.
package orders

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/lease"
	"mimosaarch.example/decide/order"
)

// Platform is the part of the platform's client that a Controller needs.
type Platform interface {
	Get(ctx context.Context, key string) (platformapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error)
	List(ctx context.Context, prefix string) (platformapi.ListReply, error)
}

// SendFunc gives one order to the engine at an address and waits for its
// answer, at most until ctx ends. Any goroutine calls it.
type SendFunc func(ctx context.Context, address string, s order.Send) order.Result

// Counter names a count that Options.Count is told of.
type Counter string

// Counters.
const (
	// TermsBegun counts the terms of the lease that this node has held.
	TermsBegun Counter = "orders_terms_begun"
	// PlatformCallsFailed counts calls of the platform that failed.
	PlatformCallsFailed Counter = "orders_platform_failed"
	// PlansRefused counts plans that are not valid.
	PlansRefused Counter = "orders_plans_refused"
	// The results of orders.
	OrdersApplied Counter = "orders_applied"
	OrdersStale   Counter = "orders_stale"
	OrdersRefused Counter = "orders_refused"
	OrdersLost    Counter = "orders_lost"
	OrdersSkipped Counter = "orders_skipped"
	// ReportsRefused counts load reports refused by a full ring.
	ReportsRefused Counter = "orders_reports_refused"
)

// resultCounters are indexed by order.Result.
var resultCounters = [...]Counter{OrdersApplied, OrdersStale, OrdersRefused, OrdersLost, OrdersSkipped}

// LeasePrefix is the prefix of lease objects' keys.
const LeasePrefix = "lease/"

// DefaultLeaseName is the name of the lease.
const DefaultLeaseName = "orders"

// Options set up a Controller. Lease.Holder, Platform and Address are required;
// zero values of the rest stand for the defaults.
type Options struct {
	// LeaseName is the lease's. Default "orders".
	LeaseName string
	// Lease and Order set up the decisions. An Order.MinLeaseRemaining of 0 stands for
	// a third of the lease's duration.
	Lease    lease.Options
	Order    order.Options
	Platform Platform
	// Address gives an engine's address; empty when it is not known. Any
	// goroutine calls it.
	Address func(ids.Upstream) string
	// Candidate tells whether this node is to seek the lease, so that not
	// each node of a large fleet reads it; nil means always. The duty's
	// goroutine calls it; it must not wait.
	Candidate func() bool
	// Send gives an order. Default Send of this package.
	Send SendFunc
	// Count is told of events; may be nil. Any goroutine calls it.
	Count func(counter Counter, n int64)
	// TickInterval is the pace of decisions. Default 100ms.
	TickInterval time.Duration
	// PlanPollInterval is how often the holder reads the plans. Default 5s.
	PlanPollInterval time.Duration
	// CallTimeout bounds a call of the platform. Default 2s.
	CallTimeout time.Duration
	// MaxInFlight bounds the orders under way. Default 16.
	MaxInFlight int
	// RingCapacity is the capacity of the ring of events. Default 1024.
	RingCapacity int
}

// Defaults of Options.
const (
	DefaultTickInterval     = 100 * time.Millisecond
	DefaultPlanPollInterval = 5 * time.Second
	DefaultCallTimeout      = 2 * time.Second
	DefaultMaxInFlight      = 16
	DefaultRingCapacity     = 1024
	minLeftPart             = 3
)

// withDefaults fills in unset options.
func (o Options) withDefaults() Options {
	o.LeaseName = cmp.Or(o.LeaseName, DefaultLeaseName)
	o.TickInterval = cmp.Or(o.TickInterval, DefaultTickInterval)
	o.PlanPollInterval = cmp.Or(o.PlanPollInterval, DefaultPlanPollInterval)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	o.RingCapacity = cmp.Or(o.RingCapacity, DefaultRingCapacity)
	o.Lease.Duration = cmp.Or(o.Lease.Duration, lease.DefaultDuration)
	o.Order.MinLeaseRemaining = cmp.Or(o.Order.MinLeaseRemaining, o.Lease.Duration/minLeftPart)
	if o.Send == nil {
		o.Send = Send
	}
	if o.Count == nil {
		o.Count = func(Counter, int64) {}
	}
	return o
}

// encode writes a lease record as its object's value.
func encode(record lease.Record) []byte {
	// A struct of strings and integers always encodes.
	value, _ := json.Marshal(record)
	return value
}
