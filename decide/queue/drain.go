package queue

import (
	"math"
	"time"
)

// Parameters of the drain rate measurement.
const (
	// drainWindow is the time constant, in busy time, with which finished work decays
	// in the average.
	drainWindow = 5 * time.Second
	// The measured rate is used once minBusy of busy time and minItems finished
	// items have been seen.
	minBusy  = 500 * time.Millisecond
	minItems = 3
	// costSmoothing is the weight of the newest item in the moving average of cost.
	costSmoothing = 0.05
)

// drainMeter measures how fast requests finish while others wait. Idle time doesn't
// count: a rate measured then would be the arrival rate, and the first burst after a
// quiet period would be refused. Pops don't count either, because those at the start
// of a burst only fill free capacity and say nothing about the rate after that.
type drainMeter struct {
	// busy is true while requests wait.
	busy bool
	// last is the time up to which seconds, items and cost are decayed.
	last time.Time
	// seconds, items and cost are decaying sums of busy time, finished requests and
	// their cost.
	seconds float64
	items   float64
	cost    float64
	// inFlight is the number of popped requests that have not finished.
	inFlight int
	// meanCost is a moving average of the cost of popped requests.
	meanCost float64
}

// advance decays the sums over the busy time since the last call.
func (d *drainMeter) advance(now time.Time) {
	elapsed := now.Sub(d.last)
	if elapsed <= 0 {
		return
	}
	d.last = now
	if !d.busy {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / drainWindow.Seconds())
	d.seconds = d.seconds*keep + elapsed.Seconds()
	d.items *= keep
	d.cost *= keep
}

// popped counts a request of the given cost as in flight.
func (d *drainMeter) popped(cost float64) {
	d.inFlight++
	if d.meanCost == 0 {
		d.meanCost = cost
	}
	d.meanCost += costSmoothing * (cost - d.meanCost)
}

// finished counts an in-flight request as finished with the given cost.
func (d *drainMeter) finished(now time.Time, cost float64) {
	d.advance(now)
	d.inFlight = max(d.inFlight-1, 0)
	if !d.busy {
		return
	}
	d.items++
	d.cost += max(cost, 0)
}

// Rate is how fast a queue drains.
type Rate struct {
	// Items is in requests per second, Cost in tokens per second. Zero means
	// unknown.
	Items, Cost float64
}

// rate returns the measured rate if there is enough data. Otherwise it estimates the
// rate from the requests in flight and the service time of each; it returns zero if
// either is unknown.
func (d *drainMeter) rate(service time.Duration) Rate {
	if d.seconds >= minBusy.Seconds() && d.items >= minItems {
		return Rate{Items: d.items / d.seconds, Cost: d.cost / d.seconds}
	}
	if service > 0 && d.inFlight > 0 {
		items := float64(d.inFlight) / service.Seconds()
		return Rate{Items: items, Cost: items * d.meanCost}
	}
	return Rate{}
}
