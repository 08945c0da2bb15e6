package forward

// lateCause is why a response missed an objective of its route. Only the first cause of
// a response is logged and counted.
type lateCause string

// Causes of late responses.
const (
	// lateSlow: a stage reported that it is slow.
	lateSlow lateCause = "slow_stage"
	// lateDead: a stage did not answer a probe, and the request was not rerouted in time.
	lateDead lateCause = "dead_stage"
	// lateBusy: all stages answered their probes and reported no slowdown.
	lateBusy lateCause = "busy_stage"
	// lateUnprobed: the wait was too short for the stages to be probed, or the node was
	// delayed and probes had no result.
	lateUnprobed lateCause = "unasked"
	// lateReroute: the request was rerouted around a stage.
	lateReroute lateCause = "reroute"
	// lateRetry: the request was sent again.
	lateRetry lateCause = "retry"
	// latePlain: the upstream of a plain request responded late.
	latePlain lateCause = "plain_upstream"
)

// markLate records why the response is late, unless a cause is already recorded.
func (x *exchange) markLate(cause lateCause) {
	if x.lateCause != "" {
		return
	}
	x.lateCause = cause
	x.count("late." + string(cause))
}

// delayCause returns the cause of the wait that has just ended. firstOfAttempt is true
// if the wait was for the first event of an attempt.
func (w *stallWatch) delayCause(firstOfAttempt bool) lateCause {
	switch {
	case firstOfAttempt && w.s.x.sends > 1:
		return lateRetry
	case w.reroutes > 0:
		return lateReroute
	case w.probeResult == "":
		return lateUnprobed
	}
	return w.probeResult
}
