package queue

import (
	"math"
	"time"
)

// Constants of the drain rate.
const (
	// drainWindow is the busy time over which finished work fades.
	drainWindow = 5 * time.Second
	// minBusy and minItems are what must have been seen before the measured
	// rate is relied on.
	minBusy  = 500 * time.Millisecond
	minItems = 3
	// costFade is the weight of the newest item in the mean cost.
	costFade = 0.05
)

// drain measures how fast requests finish while others wait. Idle time does
// not count: a rate measured then would be that of arrivals, and would refuse
// the first burst after a quiet hour. Pops do not count either, since filling
// free places at the start of a burst says nothing of what follows.
type drain struct {
	busy     bool
	last     time.Time
	seconds  float64
	items    float64
	cost     float64
	inFlight int
	meanCost float64
}

// advance accounts for the time since the last event.
func (d *drain) advance(now time.Time) {
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

func (d *drain) popped(cost float64) {
	d.inFlight++
	if d.meanCost == 0 {
		d.meanCost = cost
	}
	d.meanCost += costFade * (cost - d.meanCost)
}

func (d *drain) finished(now time.Time, cost float64) {
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
	// Items and Cost are requests and tokens a second; zero means not known.
	Items, Cost float64
}

// rate gives the measured rate, else what the requests now being served
// finish at if each takes the service time, else zero.
func (d *drain) rate(service time.Duration) Rate {
	if d.seconds >= minBusy.Seconds() && d.items >= minItems {
		return Rate{Items: d.items / d.seconds, Cost: d.cost / d.seconds}
	}
	if service > 0 && d.inFlight > 0 {
		items := float64(d.inFlight) / service.Seconds()
		return Rate{Items: items, Cost: items * d.meanCost}
	}
	return Rate{}
}
