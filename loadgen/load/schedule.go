package load

import (
	"math/rand/v2"
	"time"
)

// Shape is how the rate of requests changes over a run.
type Shape string

// Shapes.
const (
	// Constant keeps the rate.
	Constant Shape = "constant"
	// Evening is a burst: a ramp from a tenth of the rate up to it, a peak,
	// and a ramp down, as when the bookings of an evening open.
	Evening Shape = "evening"
)

// The evening, in parts of a run and of the rate.
const (
	eveningPeakFrom  = 0.3
	eveningPeakUntil = 0.7
	eveningLeast     = 0.1
)

// Schedule says when requests are sent.
type Schedule struct {
	// Rate is the requests a second, at the peak of the shape.
	Rate  float64
	Shape Shape
	// Duration is the length of the run.
	Duration time.Duration
}

// RateAt gives the rate after a time, in requests a second; 0 outside the run.
func (s Schedule) RateAt(after time.Duration) float64 {
	if after < 0 || after >= s.Duration {
		return 0
	}
	if s.Shape != Evening {
		return s.Rate
	}
	return s.Rate * evening(float64(after)/float64(s.Duration))
}

// evening gives the part of the peak rate at a part of the run.
func evening(at float64) float64 {
	switch {
	case at < eveningPeakFrom:
		return eveningLeast + (1-eveningLeast)*at/eveningPeakFrom
	case at <= eveningPeakUntil:
		return 1
	default:
		return eveningLeast + (1-eveningLeast)*(1-at)/(1-eveningPeakUntil)
	}
}

// arrivals draws the times of a schedule's requests: independent arrivals (a
// Poisson process) whose rate follows the shape.
type arrivals struct {
	schedule Schedule
	random   *rand.Rand
	last     time.Duration
}

// next gives when the next request is due after the start; false at the end
// of the run.
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
		// Thinning: a candidate at the peak rate is kept with the part that
		// the shape has there.
		if a.random.Float64()*a.schedule.Rate < a.schedule.RateAt(a.last) {
			return a.last, true
		}
	}
}
