// Package load sends requests to nodes by a schedule, or with a fixed count of
// callers, checks every answer, and tells an observer what became of each.
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

// Settings of a run. Zero fields take the defaults.
type Settings struct {
	// Nodes are the addresses requests go to in rotation. Required.
	Nodes []string
	Mix   Mix
	// Schedule says when requests are sent. With Callers its rate and shape
	// are not used.
	Schedule Schedule
	// Callers, above 0, is the count of callers who each send a request when
	// the last one has ended (closed loop).
	Callers int
	// Seed of all that is drawn.
	Seed uint64
	// MaxInFlight is the most requests in flight. Default 4096. One that
	// comes due beyond it is not sent, and observed as such.
	MaxInFlight int
	// Timeout bounds each try of a request, also after the schedule's end.
	// Default 60s.
	Timeout time.Duration
	// Deadline is told to nodes; 0 tells none.
	Deadline time.Duration
	// MaxRetries is how often a caller who is refused with advice when to come
	// back does so. Default 0: never.
	MaxRetries int
	// Checker checks answers; nil checks nothing.
	Checker Checker
	// Observer is told of each request. Required.
	Observer Observer
}

// SettingError tells that a setting can't be used.
type SettingError struct{ Setting, Expected string }

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("load: %s: expected %s", e.Setting, e.Expected)
}

// check checks the settings and fills in defaults.
func (s Settings) check() (Settings, error) {
	switch {
	case len(s.Nodes) == 0:
		return s, &SettingError{Setting: "nodes", Expected: "at least one address"}
	case s.Schedule.Duration <= 0:
		return s, &SettingError{Setting: "for", Expected: "a time above 0"}
	case s.Callers <= 0 && s.Schedule.Rate <= 0:
		return s, &SettingError{Setting: "rate", Expected: "a rate above 0, or callers"}
	case s.Observer == nil:
		return s, &SettingError{Setting: "observer", Expected: "one"}
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = DefaultMaxInFlight
	}
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	return s, nil
}

// Run is one run of load. Make it with New.
type Run struct {
	settings Settings
	// clients are by node, then by account.
	clients [][]*client.Client
	turn    atomic.Uint64
	began   atomic.Pointer[time.Time]
	counts  counts
}

// New makes a run. The error is a *SettingError.
func New(s Settings) (*Run, error) {
	s, err := s.check()
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

// Do runs to the end and returns when every request has ended. When ctx ends
// it starts no more requests, and cuts the streams that have begun. It may be
// called once.
func (r *Run) Do(ctx context.Context) {
	start := time.Now()
	r.began.Store(&start)
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

// openLoop sends requests when the schedule wants, whatever became of earlier
// ones.
func (r *Run) openLoop(ctx context.Context, start time.Time) {
	s := r.settings
	pool := pond.NewPool(s.MaxInFlight, pond.WithQueueSize(0), pond.WithNonBlocking(true))
	defer pool.StopAndWait()
	items := newSource(s.Mix, s.Seed)
	due := &arrivals{schedule: s.Schedule, random: newRandom(s.Seed, arrivalStream)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		after, ok := due.next()
		if !ok {
			return
		}
		at, it := start.Add(after), items.next()
		timer.Reset(time.Until(at))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if err := pool.Go(func() { r.one(ctx, it, at) }); err != nil {
			r.notSent(at)
		}
	}
}

// closedLoop lets each caller send one request after the other.
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
				r.one(ctx, items.next(), time.Now())
			}
		})
	}
}
