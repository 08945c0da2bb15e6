package load

import (
	"math/rand/v2"
	"time"
)

// Shape is the course of the request rate over a run.
type Shape string

// Shapes. Any value but Evening means a constant rate.
const (
	// Constant keeps the rate.
	Constant Shape = "constant"
	// Evening is a burst: the rate rises linearly from a tenth of its peak,
	// stays at the peak, and falls back to a tenth. It models the hour in which
	// the bookings for an evening open.
	Evening Shape = "evening"
)

// The peak of the Evening shape, as fractions of the run's duration, and its
// lowest rate, as a fraction of the peak rate.
const (
	eveningPeakStart = 0.3
	eveningPeakEnd   = 0.7
	eveningMinRate   = 0.1
)

// Schedule sets when requests are sent.
type Schedule struct {
	// Rate is the rate at the peak of the shape, in requests per second.
	Rate  float64
	Shape Shape
	// Duration is the length of the run.
	Duration time.Duration
}

// RateAt returns the rate at a time since the start, in requests per second; 0
// outside the run.
func (s Schedule) RateAt(elapsed time.Duration) float64 {
	if elapsed < 0 || elapsed >= s.Duration {
		return 0
	}
	if s.Shape != Evening {
		return s.Rate
	}
	return s.Rate * eveningRate(float64(elapsed)/float64(s.Duration))
}

// eveningRate returns the rate of the Evening shape, as a fraction of the peak
// rate, at a fraction of the run's duration.
func eveningRate(at float64) float64 {
	switch {
	case at < eveningPeakStart:
		return eveningMinRate + (1-eveningMinRate)*at/eveningPeakStart
	case at <= eveningPeakEnd:
		return 1
	default:
		return eveningMinRate + (1-eveningMinRate)*(1-at)/(1-eveningPeakEnd)
	}
}

// arrivals generates the times of a schedule's requests, as a Poisson process
// whose rate follows the shape.
type arrivals struct {
	schedule Schedule
	random   *rand.Rand
	// last is the time of the last candidate, counted from the start.
	last time.Duration
}

// next returns the due time of the next request, counted from the start; false
// at the end of the run.
func (a *arrivals) next() (time.Duration, bool) {
	if a.schedule.Rate <= 0 {
		return 0, false
	}
	for {
		gap := a.random.ExpFloat64() / a.schedule.Rate
		a.last += time.Duration(gap * float64(time.Second))
		if a.last >= a.schedule.Duration {
			return 0, false
		}
		// Thinning: candidates arrive at the peak rate, and each is kept with
		// the probability of the current rate divided by the peak rate.
		if a.random.Float64()*a.schedule.Rate < a.schedule.RateAt(a.last) {
			return a.last, true
		}
	}
}
