// Package order decides which orders the lease holder sends to model engines, so
// that they come to hold what the operators' plans assign.
//
// An order states the desired result, never a step, so repeating it is harmless. It
// is sent only while enough of the lease remains for the answer to arrive within
// the lease, and it is repeated until the engine's own report confirms it. Loads of
// weights are limited in rate and in concurrency, and never put so many engines out
// of service that no complete chain of stages is left.
//
// Orders carry the fencing token of the lease's term. Engines that do not check it
// get no order until the last orders of an earlier holder have timed out.
//
// The package is pure: the same events result in the same commands. A Planner is not
// safe for concurrent use.
package order

import (
	"cmp"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
)

// Assignment is the model, layers and version that one engine is to hold.
type Assignment struct {
	Engine ids.Upstream `json:"engine"`
	Model  string       `json:"model"`
	// First and Last are the first and last layer, inclusive, counted from 0.
	First   int    `json:"first"`
	Last    int    `json:"last"`
	Version string `json:"version"`
}

// Plan holds the assignments of one service's engines. It is the JSON value of the
// object at Key.
type Plan struct {
	// Layers is the number of layers of the model.
	Layers int `json:"layers"`
	// ChecksFence is set if the service's engines refuse orders with an old
	// fencing token. Default false.
	ChecksFence bool         `json:"checks_fence,omitempty"`
	Engines     []Assignment `json:"engines"`
}

// KeyPrefix is the prefix of the keys of plan objects on the platform.
const KeyPrefix = "orders/"

// Key returns the key of a service's plan object.
func Key(service ids.Service) string { return KeyPrefix + string(service) }

// Options configure a Planner. Zero values select the defaults.
type Options struct {
	// MinLeaseRemaining is the time that must remain of the lease when an order is
	// sent. Default a third of lease.DefaultDuration; values below OrderTimeout are
	// raised to it.
	MinLeaseRemaining time.Duration
	// OrderTimeout limits the wait for the answer to an order. Default 2s.
	OrderTimeout time.Duration
	// RetryInterval is the time after which an unconfirmed order is sent again, and
	// a refused one tried again. Default 10s.
	RetryInterval time.Duration
	// LoadTimeout is the time after which an engine that has not confirmed its
	// order no longer counts as loading. Default 10m.
	LoadTimeout time.Duration
	// LoadsPerMinute limits the loads started within a minute. Default 6.
	LoadsPerMinute int
	// MaxConcurrentLoads limits the engines that load at the same time. Default 2.
	MaxConcurrentLoads int
	// ReportTTL is the age at which an engine's report expires. Default 10s.
	ReportTTL time.Duration
	// MaxEngines limits the number of engines in all plans together. Default 4096.
	MaxEngines int
}

// Default values of Options.
const (
	DefaultMinLeaseRemaining  = lease.DefaultDuration / 3
	DefaultOrderTimeout       = 2 * time.Second
	DefaultRetryInterval      = 10 * time.Second
	DefaultLoadTimeout        = 10 * time.Minute
	DefaultLoadsPerMinute     = 6
	DefaultMaxConcurrentLoads = 2
	DefaultReportTTL          = 10 * time.Second
	DefaultMaxEngines         = 4096
)

// rateWindow is the period to which LoadsPerMinute applies.
const rateWindow = time.Minute

// withDefaults returns the options with unset fields filled in.
func (o Options) withDefaults() Options {
	o.MinLeaseRemaining = cmp.Or(o.MinLeaseRemaining, DefaultMinLeaseRemaining)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, DefaultOrderTimeout)
	o.MinLeaseRemaining = max(o.MinLeaseRemaining, o.OrderTimeout)
	o.RetryInterval = cmp.Or(o.RetryInterval, DefaultRetryInterval)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, DefaultLoadTimeout)
	o.LoadsPerMinute = cmp.Or(o.LoadsPerMinute, DefaultLoadsPerMinute)
	o.MaxConcurrentLoads = cmp.Or(o.MaxConcurrentLoads, DefaultMaxConcurrentLoads)
	o.ReportTTL = cmp.Or(o.ReportTTL, DefaultReportTTL)
	o.MaxEngines = cmp.Or(o.MaxEngines, DefaultMaxEngines)
	return o
}

// Send is a command to send an order to an engine. The caller must report its
// result to Planner.Ended exactly once.
type Send struct {
	Engine ids.Upstream
	Order  engineapi.Order
	// Timeout limits the call. The caller must skip the order if less than
	// MinLeaseRemaining of the lease remains just before it.
	Timeout, MinLeaseRemaining time.Duration
}

// Result is the outcome of an order.
type Result int

// Outcomes of an order.
const (
	// Applied means that the engine accepted the order.
	Applied Result = iota
	// Stale means that the engine has seen a higher fencing token.
	Stale
	// Refused means that the engine refused the order for another reason.
	Refused
	// Lost means that no answer arrived: the engine may have accepted the order or
	// may still do so.
	Lost
	// Skipped means that the order was not sent.
	Skipped
)

// Planner decides which orders to send. Create it with New.
type Planner struct {
	opts  Options
	plans map[ids.Service]Plan
	// engines holds the state of each engine listed in a plan.
	engines map[ids.Upstream]*engine
	// fence is the fencing token of the term to which the sends below belong.
	fence int64
	// loadStarts holds the start times of recent loads, oldest first.
	loadStarts []time.Time
}

// engine is the state of one engine.
type engine struct {
	service ids.Service
	wanted  Assignment
	report  engineapi.LoadReport
	// reportedAt is when the last report arrived; zero if there is none.
	reportedAt time.Time
	// inFlight is set while the result of a sent order is outstanding.
	inFlight bool
	// sentAt is when the current assignment was last ordered in this term; zero if
	// it was not.
	sentAt time.Time
	// loadStart is when the load for the order started; orderEpoch is the epoch of
	// the engine process at the last send.
	loadStart  time.Time
	orderEpoch string
	// notBefore is the earliest time to try an order again after it was refused or
	// skipped.
	notBefore time.Time
	// applied is set once the engine process of orderEpoch has accepted the order.
	applied bool
}

// New returns a Planner without plans.
func New(opts Options) *Planner {
	return &Planner{
		opts:    opts.withDefaults(),
		plans:   make(map[ids.Service]Plan),
		engines: make(map[ids.Upstream]*engine),
	}
}
