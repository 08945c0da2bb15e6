package health

import (
	"time"

	"mimosaarch.example/core/fleet"
)

const (
	// maxEjectFactor bounds the doubling of ejections.
	maxEjectFactor = 10
	// forgetAfter is how many times EjectFor an upstream must be up for its
	// ejections to be forgotten.
	forgetAfter = 20
	// trialFor is the time a trial may stay unsettled.
	trialFor = 5 * time.Second
	// trialWeight is the weight of a half-open upstream whose trial is free.
	trialWeight = 0.5
	// returnWeight is the weight at the start of a return.
	returnWeight = 0.1
)

// circuit is the state machine of one upstream or link: up, ejected,
// half-open, returning, up.
type circuit struct {
	state     State
	score     int
	ejections int
	until     time.Time
	trial     bool
	trialAt   time.Time
	returnAt  time.Time
}

func newCircuit() circuit { return circuit{state: Up} }

// refresh brings the state up to now, and gives it.
func (c *circuit) refresh(now time.Time) State {
	if c.state == Ejected && !now.Before(c.until) {
		c.state = HalfOpen
		c.trial = false
	}
	if c.trial && now.Sub(c.trialAt) >= trialFor {
		c.trial = false
	}
	return c.state
}

// inUse reports whether it gets more than trials.
func (c *circuit) inUse(now time.Time) bool {
	s := c.refresh(now)
	return s == Up || s == Returning
}

// fail counts a failure of some weight and reports whether to eject. What
// fails while ejected was sent before, and tells nothing new.
func (c *circuit) fail(now time.Time, weight, threshold int) bool {
	switch c.refresh(now) {
	case Ejected:
		return false
	case HalfOpen:
		return true
	}
	c.score += weight
	return c.score >= threshold
}

// succeed counts a success. One that was sent before an ejection does not end
// it early, but settles a half-open circuit like a trial.
func (c *circuit) succeed(now time.Time, policy fleet.HealthPolicy) {
	c.score = 0
	switch c.refresh(now) {
	case HalfOpen:
		c.comeBack(now)
	case Returning, Up:
		if now.Sub(c.returnAt) > forgetAfter*policy.EjectFor.D() {
			c.ejections = 0
		}
	}
}

// comeBack starts a slow return.
func (c *circuit) comeBack(now time.Time) {
	c.state = Returning
	c.returnAt = now
	c.trial = false
	c.score = 0
}

// eject takes out of use, each time for twice as long. It is at most
// maxEjectFactor times EjectFor.
func (c *circuit) eject(now time.Time, policy fleet.HealthPolicy) {
	if c.refresh(now) == Ejected {
		return
	}
	factor := min(1<<min(c.ejections, 8), maxEjectFactor)
	c.ejections++
	c.state = Ejected
	c.until = now.Add(time.Duration(factor) * policy.EjectFor.D())
	c.trial = false
	c.score = 0
}

// reopen ends an ejection early: what was ejected has been replaced.
func (c *circuit) reopen() {
	if c.state == Ejected {
		c.state = HalfOpen
	}
	c.trial = false
	c.score = 0
}

// tryTrial takes the trial of a half-open circuit.
func (c *circuit) tryTrial(now time.Time) bool {
	if c.refresh(now) != HalfOpen || c.trial {
		return false
	}
	c.trial = true
	c.trialAt = now
	return true
}

// weight is trialWeight while a trial is free, grows from returnWeight to 1
// over a return, and is less after failures in a row.
func (c *circuit) weight(now time.Time, ramp time.Duration) float64 {
	w := 1.0
	switch c.refresh(now) {
	case Ejected:
		return 0
	case HalfOpen:
		if c.trial {
			return 0
		}
		return trialWeight
	case Returning:
		done := float64(now.Sub(c.returnAt)) / float64(ramp)
		if done >= 1 {
			c.state = Up
			break
		}
		w = returnWeight + (1-returnWeight)*max(done, 0)
	}
	return w / float64(1+c.score)
}
