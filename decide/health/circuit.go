package health

import (
	"time"

	"mimosaarch.example/core/fleet"
)

const (
	// maxEjectMultiple bounds the duration of an ejection, in multiples of EjectFor.
	maxEjectMultiple = 10
	// ejectionResetMultiple is how long an upstream must be up for its ejections to be
	// forgotten, in multiples of EjectFor.
	ejectionResetMultiple = 20
	// trialTimeout is how long a trial may stay without a result before another may
	// start.
	trialTimeout = 5 * time.Second
	// trialWeight is the weight of a half-open upstream without a running trial.
	trialWeight = 0.5
	// initialReturnWeight is the weight at the start of a return.
	initialReturnWeight = 0.1
)

// circuit is the circuit breaker of one upstream or link. Its states are Up, Ejected,
// HalfOpen and Returning.
type circuit struct {
	state           State
	failureScore    int
	ejections       int
	ejectedUntil    time.Time
	trialTaken      bool
	trialStartedAt  time.Time
	returnStartedAt time.Time
}

// newCircuit returns a circuit in state Up.
func newCircuit() circuit { return circuit{state: Up} }

// refresh applies the timeouts of ejections and trials, and returns the state.
func (c *circuit) refresh(now time.Time) State {
	if c.state == Ejected && !now.Before(c.ejectedUntil) {
		c.state = HalfOpen
		c.trialTaken = false
	}
	if c.trialTaken && now.Sub(c.trialStartedAt) >= trialTimeout {
		c.trialTaken = false
	}
	return c.state
}

// inUse reports whether the circuit gets regular work, not only trials.
func (c *circuit) inUse(now time.Time) bool {
	s := c.refresh(now)
	return s == Up || s == Returning
}

// fail counts a failure of the given weight and reports whether to eject. A failure
// during an ejection belongs to a request sent earlier and is ignored.
func (c *circuit) fail(now time.Time, weight, threshold int) bool {
	switch c.refresh(now) {
	case Ejected:
		return false
	case HalfOpen:
		return true
	}
	c.failureScore += weight
	return c.failureScore >= threshold
}

// succeed counts a success. The success of a request sent before an ejection does not
// end the ejection, but it closes a half-open circuit as a trial does.
func (c *circuit) succeed(now time.Time, policy fleet.HealthPolicy) {
	c.failureScore = 0
	switch c.refresh(now) {
	case HalfOpen:
		c.startReturn(now)
	case Returning, Up:
		if now.Sub(c.returnStartedAt) > ejectionResetMultiple*policy.EjectFor.D() {
			c.ejections = 0
		}
	}
}

// startReturn starts the slow return to full weight.
func (c *circuit) startReturn(now time.Time) {
	c.state = Returning
	c.returnStartedAt = now
	c.trialTaken = false
	c.failureScore = 0
}

// eject ejects for EjectFor. The duration doubles with each ejection, up to
// maxEjectMultiple times EjectFor.
func (c *circuit) eject(now time.Time, policy fleet.HealthPolicy) {
	if c.refresh(now) == Ejected {
		return
	}
	factor := min(1<<min(c.ejections, 8), maxEjectMultiple)
	c.ejections++
	c.state = Ejected
	c.ejectedUntil = now.Add(time.Duration(factor) * policy.EjectFor.D())
	c.trialTaken = false
	c.failureScore = 0
}

// endEjection ends an ejection early, because the process that was ejected has been
// replaced.
func (c *circuit) endEjection() {
	if c.state == Ejected {
		c.state = HalfOpen
	}
	c.trialTaken = false
	c.failureScore = 0
}

// tryTrial starts the trial of a half-open circuit and reports whether it may run.
func (c *circuit) tryTrial(now time.Time) bool {
	if c.refresh(now) != HalfOpen || c.trialTaken {
		return false
	}
	c.trialTaken = true
	c.trialStartedAt = now
	return true
}

// weight returns the share of work. It is trialWeight while a half-open circuit has no
// running trial. During a return it grows from initialReturnWeight to 1 over ramp.
// Failures in a row reduce it.
func (c *circuit) weight(now time.Time, ramp time.Duration) float64 {
	w := 1.0
	switch c.refresh(now) {
	case Ejected:
		return 0
	case HalfOpen:
		if c.trialTaken {
			return 0
		}
		return trialWeight
	case Returning:
		done := float64(now.Sub(c.returnStartedAt)) / float64(ramp)
		if done >= 1 {
			c.state = Up
			break
		}
		w = initialReturnWeight + (1-initialReturnWeight)*max(done, 0)
	}
	return w / float64(1+c.failureScore)
}
