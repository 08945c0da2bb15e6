// Package load generates load: it sends requests to nodes at scheduled times
// (open loop) or from a fixed number of callers (closed loop), checks the
// answers, and passes a Sample of each request to an Observer.
package load

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"mimosaarch.example/loadgen/client"
)

// Defaults of Settings.
const (
	DefaultMaxInFlight = 4096
	DefaultTimeout     = time.Minute
)

// Settings configure a run. Zero fields take the defaults.
type Settings struct {
	// Nodes are the addresses of the nodes, which get the attempts in round
	// robin. Required.
	Nodes []string
	Mix   Mix
	// Schedule sets when requests are sent. With Callers only its duration is
	// used.
	Schedule Schedule
	// Callers, if above 0, selects the closed loop: this many callers each
	// send their next request as soon as the last one has ended.
	Callers int
	// Seed is the seed of all random numbers of the run.
	Seed uint64
	// MaxInFlight bounds the requests in flight in the open loop. A request
	// that is due beyond it is not sent; the Observer gets a Sample with
	// NotSent. Default 4096.
	MaxInFlight int
	// Timeout bounds each attempt of a request, also beyond the end of the
	// schedule. Default 60s.
	Timeout time.Duration
	// Deadline is the remaining time that is sent with each request; 0 sends
	// none.
	Deadline time.Duration
	// MaxRetries is how often a request that was not run is retried after the
	// delay that the node advised. A refusal without an advised delay is not
	// retried. Default 0.
	MaxRetries int
	// Checker checks answers. If nil, no answer counts as wrong.
	Checker Checker
	// Observer receives a Sample of each request. Required.
	Observer Observer
}

// SettingError reports a setting with an invalid value.
type SettingError struct{ Setting, Expected string }

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("load: %s: expected %s", e.Setting, e.Expected)
}

// validate checks the settings and fills in defaults. The error is a
// *SettingError.
func (s Settings) validate() (Settings, error) {
	switch {
	case len(s.Nodes) == 0:
		return s, &SettingError{Setting: "nodes", Expected: "at least one address"}
	case s.Schedule.Duration <= 0:
		return s, &SettingError{Setting: "for", Expected: "a duration above 0"}
	case s.Callers <= 0 && s.Schedule.Rate <= 0:
		return s, &SettingError{Setting: "rate", Expected: "a rate above 0, or callers"}
	case s.Observer == nil:
		return s, &SettingError{Setting: "observer", Expected: "an observer"}
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = DefaultMaxInFlight
	}
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	return s, nil
}

// Run is one run of the load generator. Create it with New.
type Run struct {
	settings Settings
	// clients are indexed by node, then by account.
	clients [][]*client.Client
	// nextNode counts attempts; modulo the number of nodes it is the index of
	// the next node.
	nextNode atomic.Uint64
	// started is nil until Do is called.
	started atomic.Pointer[time.Time]
	counts  counts
}

// New returns a run that has not started. The error is a *SettingError.
func New(s Settings) (*Run, error) {
	s, err := s.validate()
	if err != nil {
		return nil, err
	}
	if len(s.Mix.Accounts) == 0 {
		s.Mix.Accounts = []Account{{Weight: 1}}
	}
	r := &Run{settings: s}
	for _, node := range s.Nodes {
		var row []*client.Client
		for _, account := range s.Mix.Accounts {
			row = append(row, client.New(client.Options{Address: node, Key: account.Key, Timeout: s.Timeout}))
		}
		r.clients = append(r.clients, row)
	}
	return r, nil
}

// Do sends requests until the end of the schedule and returns when every request
// has ended. When ctx is cancelled it starts no more requests and closes the
// connections of those in flight. It must be called only once.
func (r *Run) Do(ctx context.Context) {
	start := time.Now()
	r.started.Store(&start)
	if r.settings.Callers > 0 {
		r.closedLoop(ctx, start)
	} else {
		r.openLoop(ctx, start)
	}
	for _, row := range r.clients {
		for _, c := range row {
			c.Close()
		}
	}
}

// openLoop sends requests at their scheduled times, whether or not earlier ones
// have ended.
func (r *Run) openLoop(ctx context.Context, start time.Time) {
	s := r.settings
	pool := pond.NewPool(s.MaxInFlight, pond.WithQueueSize(0), pond.WithNonBlocking(true))
	defer pool.StopAndWait()
	items := newSource(s.Mix, s.Seed)
	schedule := &arrivals{schedule: s.Schedule, random: newRandom(s.Seed, arrivalStream)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		offset, ok := schedule.next()
		if !ok {
			return
		}
		due, it := start.Add(offset), items.next()
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if err := pool.Go(func() { r.send(ctx, it, due) }); err != nil {
			r.observeNotSent(due)
		}
	}
}

// closedLoop runs the callers, each of which sends one request after the other.
// A request that is in flight at the end of the schedule runs to its end.
func (r *Run) closedLoop(ctx context.Context, start time.Time) {
	s := r.settings
	pool := pond.NewPool(s.Callers)
	defer pool.StopAndWait()
	end := start.Add(s.Schedule.Duration)
	for i := range s.Callers {
		mix := s.Mix
		mix.RunID = fmt.Sprintf("%s-c%d", s.Mix.RunID, i)
		items := newSource(mix, s.Seed+uint64(i))
		pool.Submit(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				r.send(ctx, items.next(), time.Now())
			}
		})
	}
}
