// Package retryafter decides when callers who were refused should come back, where no
// chain of engines holds a model. It answers times in which layers are missing for
// seconds: an engine has to load them, and how long that takes is seen, not known.
//
// A caller returns once or twice. One who comes back while layers are still missing is
// refused for good; one who comes back later than need be only waits longer. A time in
// which layers are missing is therefore expected to last as long as the last ones did,
// and one that has lasted longer is expected to last as long again.
//
// A Book is used by one goroutine at a time and reads no clock.
package retryafter

import (
	"time"

	"mimosaarch.example/core/ids"
)

const (
	// least is the shortest advice: an engine needs it to load a part of a model.
	least = 800 * time.Millisecond
	// weight is the weight of the latest time without a chain in the mean of them.
	weight = 0.5
	// heededPart is the part of its time left that a caller waits at most.
	heededPart = 1.0 / 3
)

// Estimator knows, for each service, how long no chain was found. Make it with New.
type Estimator struct {
	services map[ids.Service]*state
}

// state is what is known of one service.
type state struct {
	// since is when the first choice found no chain, zero while chains are found.
	since time.Time
	// lasted is the mean of how long that lasted, 0 before the first time.
	lasted time.Duration
}

// New makes an empty Book.
func New() *Estimator { return &Estimator{services: make(map[ids.Service]*state)} }

// ChainFound tells that a chain was found.
func (b *Estimator) ChainFound(now time.Time, service ids.Service) {
	s := b.services[service]
	if s == nil || s.since.IsZero() {
		return
	}
	passed := now.Sub(s.since)
	s.since = time.Time{}
	if s.lasted == 0 {
		s.lasted = passed
		return
	}
	s.lasted += time.Duration(weight * float64(passed-s.lasted))
}

// ChainMissing tells that no chain was found, and gives the time after which a caller with so
// much time left should come back.
func (b *Estimator) ChainMissing(now time.Time, service ids.Service, left time.Duration) time.Duration {
	s := b.services[service]
	if s == nil {
		s = &state{}
		b.services[service] = s
	}
	if s.since.IsZero() {
		s.since = now
	}
	passed := now.Sub(s.since)
	rest := s.lasted - passed
	if rest <= 0 {
		rest = passed
	}
	heeded := time.Duration(heededPart * float64(left))
	return max(min(max(rest, least), heeded), 0)
}
