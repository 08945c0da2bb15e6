package forward

// lateness is why an answer came later than its route's objectives. The first
// reason of an answer is the one that is logged and counted.
type lateness string

// Reasons of late answers.
const (
	// lateSlow: a stage reported that it is slow.
	lateSlow lateness = "slow_stage"
	// lateDead: a stage did not answer, and the request could not be led around
	// it in time.
	lateDead lateness = "dead_stage"
	// lateBusy: all stages answered that they are well.
	lateBusy lateness = "busy_stage"
	// lateUnasked: the wait was too short for the stages to be asked.
	lateUnasked lateness = "unasked"
	// lateReroute: the request was led around a stage.
	lateReroute lateness = "reroute"
	// lateRetry: it was sent once more.
	lateRetry lateness = "retry"
	// latePlain: a plain upstream took long.
	latePlain lateness = "plain_upstream"
)

// lateFor notes why an answer is late, unless it was late before.
func (x *exchange) lateFor(why lateness) {
	if x.late != "" {
		return
	}
	x.late = why
	x.count("late." + string(why))
}

// why gives the reason of a wait that has just ended.
func (w *streamWait) why(firstOfAttempt bool) lateness {
	switch {
	case firstOfAttempt && w.s.x.sends > 1:
		return lateRetry
	case w.reroutes > 0:
		return lateReroute
	case w.found == "":
		return lateUnasked
	}
	return w.found
}
