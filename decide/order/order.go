// Package order decides which orders a node that holds the lease gives to
// model engines, so that they come to hold what operators want.
//
// An order states a wanted end, never a step, so that repeating it is
// harmless. It goes out only while enough of the lease is left for it to be
// answered within the lease, and it is repeated until the engine's own report
// confirms it. Loading weights keeps to a rate and to a count at once, and
// never takes so many engines out of work that no chain of stages is left.
//
// Orders carry the fencing number of the lease's term. Engines that ignore it
// get none until the time for the last orders of an earlier holder has
// passed.
//
// The package is pure. A Planner is not safe for concurrent use. The same
// events give the same commands.
package order

import (
	"cmp"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
)

// Assignment is what one engine is to hold.
type Assignment struct {
	Engine ids.Upstream `json:"engine"`
	Model  string       `json:"model"`
	// First and Last are the layers, inclusive, counted from 0.
	First   int    `json:"first"`
	Last    int    `json:"last"`
	Version string `json:"version"`
}

// Plan is what the engines of one service are to hold. It is the JSON value
// of the object at Key.
type Plan struct {
	// Layers is the model's count of layers.
	Layers int `json:"layers"`
	// ChecksFence tells that the service's engines refuse orders with an old
	// fencing number. Default false.
	ChecksFence bool         `json:"checks_fence,omitempty"`
	Engines     []Assignment `json:"engines"`
}

// KeyPrefix is the prefix of the platform's objects that hold plans.
const KeyPrefix = "orders/"

// Key is the key of a service's plan.
func Key(service ids.Service) string { return KeyPrefix + string(service) }

// Options bound a Planner. Zero values stand for the defaults.
type Options struct {
	// MinLeaseRemaining is the least time of the lease left at a send. Default a third
	// of lease.DefaultDuration. It is never below OrderTimeout.
	MinLeaseRemaining time.Duration
	// OrderTimeout bounds the wait for the answer to an order. Default 2s.
	OrderTimeout time.Duration
	// RetryInterval is the time after which an unconfirmed order is sent
	// again. Default 10s.
	RetryInterval time.Duration
	// LoadTimeout is how long an engine may take to confirm before it no
	// longer counts as loading. Default 10m.
	LoadTimeout time.Duration
	// LoadsPerMinute is the most loads begun in a minute. Default 6.
	LoadsPerMinute int
	// MaxConcurrentLoads is the most engines loading at once. Default 2.
	MaxConcurrentLoads int
	// ReportTTL is how long a report counts. Default 10s.
	ReportTTL time.Duration
	// MaxEngines bounds the engines of all plans. Default 4096.
	MaxEngines int
}

// Defaults of Options.
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

// rateWindow is the window of LoadsPerMinute.
const rateWindow = time.Minute

// withDefaults fills in unset options.
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

// Send is an order to give. Exactly one Ended follows each.
type Send struct {
	Engine ids.Upstream
	Order  engineapi.Order
	// Timeout bounds the call; MinLeaseRemaining is what must be left of the lease when
	// the clock is read just before it.
	Timeout, MinLeaseRemaining time.Duration
}

// Result is what came of an order.
type Result int

// Results of an order.
const (
	// Applied: the engine took it.
	Applied Result = iota
	// Stale: the engine has seen a higher fencing number.
	Stale
	// Refused: the engine refused it for another reason.
	Refused
	// Lost: no answer came; the order may have been taken, or may yet.
	Lost
	// Skipped: it was not sent.
	Skipped
)

// Planner plans the orders. Make it with New.
type Planner struct {
	opts  Options
	plans map[ids.Service]Plan
	// engines holds what is known of each engine named by a plan.
	engines map[ids.Upstream]*engine
	// fence is the term that the sends below belong to.
	fence int64
	// loads are the times at which loads began, the oldest first.
	loads []time.Time
}

// engine is what is known of one engine.
type engine struct {
	service ids.Service
	wanted  Assignment
	report  engineapi.LoadReport
	// reported is when the last report came; zero if none did.
	reported time.Time
	// busy tells that an order is under way.
	busy bool
	// sent is when the wanted end was last ordered in this term; zero if it
	// was not.
	sent time.Time
	// began is when its load began, epoch the process life it began in.
	began time.Time
	epoch string
	// notBefore is when an engine that refused may be asked again.
	notBefore time.Time
	// applied tells that the engine took the order, in that process life.
	applied bool
}

// New makes a Planner without plans.
func New(opts Options) *Planner {
	return &Planner{
		opts:    opts.withDefaults(),
		plans:   make(map[ids.Service]Plan),
		engines: make(map[ids.Upstream]*engine),
	}
}
