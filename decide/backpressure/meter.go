package backpressure

import (
	"math"
	"time"
)

// meterPeriod is the time constant of a meter.
const meterPeriod = 5 * time.Second

// meter measures the rate of events as an exponential moving average.
type meter struct {
	rate float64
	at   time.Time
}

// add records an event.
func (m *meter) add(now time.Time) {
	m.rate = m.perSecond(now) + 1/meterPeriod.Seconds()
	m.at = now
}

// perSecond returns the rate of events at a time, in events per second.
func (m *meter) perSecond(at time.Time) float64 {
	return m.rate * math.Exp(-max(at.Sub(m.at), 0).Seconds()/meterPeriod.Seconds())
}
