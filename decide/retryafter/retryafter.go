// Package retryafter estimates when refused callers should retry while no chain
// of engines serves a model. It handles outages of seconds in which layers are
// missing because an engine has to load them. The load time is not known in
// advance and is estimated from earlier outages.
//
// A caller retries once or twice. If it retries while layers are still missing,
// its request fails permanently; if it retries too late, it only waits longer. An
// outage is therefore expected to last as long as recent ones on average, and
// one that has already lasted longer is expected to last as long again.
//
// An Estimator is not safe for concurrent use and reads no clock.
package retryafter

import (
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// minAdvice is the shortest advice, because an engine needs this long to
	// load a part of a model.
	minAdvice = 800 * time.Millisecond
	// latestWeight is the weight of the latest outage in the moving average.
	latestWeight = 0.5
	// maxTimeLeftFraction is the maximum fraction of a caller's remaining time that it
	// is advised to wait.
	maxTimeLeftFraction = 1.0 / 3
)

// Estimator tracks the outages of each service. Create it with New.
type Estimator struct {
	services map[ids.Service]*state
}

// state is the outage history of one service.
type state struct {
	// outageStart is when the current outage began. It is zero while chains are
	// found.
	outageStart time.Time
	// meanOutage is the moving average of outage durations. It is zero before
	// the end of the first outage.
	meanOutage time.Duration
}

// New returns an Estimator without history.
func New() *Estimator { return &Estimator{services: make(map[ids.Service]*state)} }

// ChainFound records that a chain was found, which ends an outage of the
// service.
func (e *Estimator) ChainFound(now time.Time, service ids.Service) {
	s := e.services[service]
	if s == nil || s.outageStart.IsZero() {
		return
	}
	outage := now.Sub(s.outageStart)
	s.outageStart = time.Time{}
	if s.meanOutage == 0 {
		s.meanOutage = outage
		return
	}
	s.meanOutage += time.Duration(latestWeight * float64(outage-s.meanOutage))
}

// ChainMissing records that no chain was found. It returns how long a caller
// with the given time left should wait before it retries.
func (e *Estimator) ChainMissing(now time.Time, service ids.Service, timeLeft time.Duration) time.Duration {
	s := e.services[service]
	if s == nil {
		s = &state{}
		e.services[service] = s
	}
	if s.outageStart.IsZero() {
		s.outageStart = now
	}
	outage := now.Sub(s.outageStart)
	remaining := s.meanOutage - outage
	if remaining <= 0 {
		remaining = outage
	}
	limit := time.Duration(maxTimeLeftFraction * float64(timeLeft))
	return max(min(max(remaining, minAdvice), limit), 0)
}
