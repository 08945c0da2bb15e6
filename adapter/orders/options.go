// Package orders sends orders to model engines. Of a few candidate nodes, the one
// that holds the lease reads the operators' plans and sends the orders that
// decide/order returns. Every send checks the lease against the clock just before,
// so losing the lease delays orders but never causes a wrong one.
//
// One goroutine makes the decisions. Calls run in goroutines of their own and
// return their results over a bounded queue.
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

// Platform is the part of the platform client that a Controller needs.
type Platform interface {
	Get(ctx context.Context, key string) (platformapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error)
	List(ctx context.Context, prefix string) (platformapi.ListReply, error)
}

// SendFunc sends one order to the engine at an address and waits for its answer
// until ctx ends. Calls may be concurrent.
type SendFunc func(ctx context.Context, address string, s order.Send) order.Result

// Counter is the name of a metric counter passed to Options.Count.
type Counter string

// Names of counters.
const (
	// TermsBegun counts the lease terms that this node has held.
	TermsBegun Counter = "orders_terms_begun"
	// PlatformCallsFailed counts failed calls to the platform.
	PlatformCallsFailed Counter = "orders_platform_failed"
	// PlansRefused counts invalid plans.
	PlansRefused Counter = "orders_plans_refused"
	// Counters of orders by their result.
	OrdersApplied Counter = "orders_applied"
	OrdersStale   Counter = "orders_stale"
	OrdersRefused Counter = "orders_refused"
	OrdersLost    Counter = "orders_lost"
	OrdersSkipped Counter = "orders_skipped"
	// ReportsRefused counts load reports dropped because the queue was full.
	ReportsRefused Counter = "orders_reports_refused"
)

// resultCounters is indexed by order.Result.
var resultCounters = [...]Counter{OrdersApplied, OrdersStale, OrdersRefused, OrdersLost, OrdersSkipped}

// LeasePrefix is the key prefix of lease objects.
const LeasePrefix = "lease/"

// DefaultLeaseName is the default of Options.LeaseName.
const DefaultLeaseName = "orders"

// Options configure a Controller. Lease.Holder, Platform and Address are required;
// zero values of the other fields select the defaults.
type Options struct {
	// LeaseName is the name of the lease object after LeasePrefix. Default
	// "orders".
	LeaseName string
	// Lease and Order configure the decisions. Order.MinLeaseRemaining defaults to
	// a third of the lease's duration.
	Lease    lease.Options
	Order    order.Options
	Platform Platform
	// Address returns an engine's address; empty if it is unknown. Calls may be
	// concurrent.
	Address func(ids.Upstream) string
	// Candidate reports whether this node should seek the lease, so that not every
	// node of a large fleet reads the lease object. nil means always. It must not
	// block.
	Candidate func() bool
	// Send sends an order. Default is the Send function of this package.
	Send SendFunc
	// Count adds n to a counter; it may be nil. Calls may be concurrent.
	Count func(counter Counter, n int64)
	// TickInterval is the time between decisions. Default 100ms.
	TickInterval time.Duration
	// PlanPollInterval is the time between two reads of the plans. Default 5s.
	PlanPollInterval time.Duration
	// CallTimeout limits a call to the platform. Default 2s.
	CallTimeout time.Duration
	// MaxInFlight limits the orders in flight. Default 16.
	MaxInFlight int
	// RingCapacity is the capacity of the event queue. Default 1024.
	RingCapacity int
}

// Default values of Options.
const (
	DefaultTickInterval     = 100 * time.Millisecond
	DefaultPlanPollInterval = 5 * time.Second
	DefaultCallTimeout      = 2 * time.Second
	DefaultMaxInFlight      = 16
	DefaultRingCapacity     = 1024
	// minLeaseDivisor is the divisor of the lease duration that gives the default of
	// Order.MinLeaseRemaining.
	minLeaseDivisor = 3
)

// withDefaults returns the options with unset fields filled in.
func (o Options) withDefaults() Options {
	o.LeaseName = cmp.Or(o.LeaseName, DefaultLeaseName)
	o.TickInterval = cmp.Or(o.TickInterval, DefaultTickInterval)
	o.PlanPollInterval = cmp.Or(o.PlanPollInterval, DefaultPlanPollInterval)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	o.RingCapacity = cmp.Or(o.RingCapacity, DefaultRingCapacity)
	o.Lease.Duration = cmp.Or(o.Lease.Duration, lease.DefaultDuration)
	o.Order.MinLeaseRemaining = cmp.Or(o.Order.MinLeaseRemaining, o.Lease.Duration/minLeaseDivisor)
	if o.Send == nil {
		o.Send = Send
	}
	if o.Count == nil {
		o.Count = func(Counter, int64) {}
	}
	return o
}

// encodeRecord encodes a lease record as the value of its object.
func encodeRecord(record lease.Record) []byte {
	// Marshalling a struct of strings and integers cannot fail.
	value, _ := json.Marshal(record)
	return value
}
