package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
)

// Waits of streams, after which the engines of the chain are asked whether they
// live. They are parts of the route's own objectives, so that a chain is left
// before its caller notices.
const (
	// firstPart of the objective is waited for the first event.
	firstPart = 0.4
	// pausePart of the longest pause is waited for the next: pauses of calm chains
	// are shorter, and a question still comes before the caller notices.
	pausePart = 0.5
	// gapFactor times a stream's own mean pause is waited where that is less.
	gapFactor = 3.0
	// slowFactor times it is waited at least, so that a stream which is slow
	// throughout does not ask at each pause.
	slowFactor = 1.5
	// firstGapParts of the longest pause is the mean before a pause was seen:
	// fast chains take a sixth to a fourth of 200 ms.
	firstGapParts = 4
	// gapWeight is the weight of a new pause in that mean.
	gapWeight = 0.2
	// leastWait keeps short objectives from asking for usual pauses.
	leastWait = 60 * time.Millisecond
	// patienceFactor of these waits ends an attempt even if all engines live:
	// the connection itself may have gone silent.
	patienceFactor = 12
	// defaultObjective and defaultPause stand for objectives that are not set.
	defaultObjective = time.Second
	defaultPause     = 500 * time.Millisecond
	// rerouteTimeout bounds the order that leads a request around an engine.
	rerouteTimeout = 100 * time.Millisecond
	// rerouteTries is how many chains are tried for one stall.
	rerouteTries = 2
	// rerouteRest is how long a request stays on the chain it was led to
	// before it is led elsewhere: the new stages read all its tokens first.
	rerouteRest = 400 * time.Millisecond
)

// streamWait decides how long a stream waits for its next bytes, and what is
// done when they do not come.
type streamWait struct {
	s     *stream
	ctx   context.Context
	chain chain.Chain
	// off tells that the request was taken off its chain.
	off   bool
	begun bool
	// restUntil is until when the chain is left alone.
	restUntil time.Time
	// reroutes is how often the chain was changed since the last event.
	reroutes int
	// ran tells that an event came through the present chain: its engines have
	// begun to run the request and live.
	ran bool
	// found is what the stages said when they were asked since the last event.
	found lateness
}

// progress tells that an event came.
func (w *streamWait) progress() {
	x := w.s.x
	now := x.server.opts.Now()
	pause := now.Sub(w.s.last)
	if !w.begun && x.route.LatencyObjective > 0 && now.Sub(x.arrived) > x.route.LatencyObjective {
		x.lateFor(w.why(true))
	}
	if w.begun && x.route.PauseObjective > 0 && pause > x.route.PauseObjective {
		why := w.why(!w.ran && w.reroutes == 0)
		x.lateFor(why)
		x.count("stream.long_pause")
		x.log("long_pause").Str("why", string(why)).Dur("pause_ms", pause).Int("reroutes", w.reroutes).Int("sends", x.sends).
			Str("chain", w.chain.String()).Int64("after_event", w.s.seq.last).Send()
	}
	if w.begun {
		x.server.pauses(pause)
		w.s.gap += time.Duration(gapWeight * float64(pause-w.s.gap))
	}
	w.begun, w.ran = true, true
	w.s.last = now
	w.reroutes, w.found = 0, ""
}

// patience gives the usual wait.
func (w *streamWait) patience() time.Duration {
	route := w.s.x.route
	if !w.begun {
		objective := route.LatencyObjective
		if objective <= 0 {
			objective = defaultObjective
		}
		return max(time.Duration(float64(objective)*firstPart), leastWait)
	}
	pause := route.PauseObjective
	if pause <= 0 {
		pause = defaultPause
	}
	most := time.Duration(float64(pause) * pausePart)
	usual := min(max(time.Duration(float64(w.s.gap)*gapFactor), leastWait), most)
	return max(usual, time.Duration(float64(w.s.gap)*slowFactor))
}

// wait is the upconn.WaitFunc of a stream: once the usual wait is over, the
// engines of the chain are asked. If one is dead, or much slower than another
// that holds its layers, the request is led around it, or else the attempt
// ends, if the request may go on elsewhere.
func (w *streamWait) wait(waited time.Duration) (time.Duration, error) {
	patience := w.patience()
	x := w.s.x
	if waited == 0 || w.s.model == nil || x.server.opts.Now().Before(w.restUntil) {
		return patience, nil
	}
	dead, slow := x.server.probe.ask(w.ctx, x.id, w.chain)
	w.found = answered(dead, slow)
	silent := waited >= patienceFactor*patience
	if len(dead)+len(slow) == 0 && !silent {
		return patience, nil
	}
	if len(dead) > 0 && x.quarantined() {
		return 0, &upconn.ReadTimeoutError{Waited: waited}
	}
	bad := slices.Concat(dead, slow)
	if w.reroute(bad, len(dead) > 0) {
		return patience, nil
	}
	if !w.mayLeave(bad, silent || len(dead) > 0) {
		return patience, nil
	}
	for _, u := range bad {
		w.s.req.Avoid[u.ID] = true
	}
	return 0, &upconn.ReadTimeoutError{Waited: waited}
}

// answered tells what stages said that were asked.
func answered(dead, slow []*directory.Upstream) lateness {
	switch {
	case len(dead) > 0:
		return lateDead
	case len(slow) > 0:
		return lateSlow
	}
	return lateBusy
}

// without gives the request with engines to avoid.
func (w *streamWait) without(bad []*directory.Upstream) chain.Request {
	req := w.s.req
	req.Avoid = maps.Clone(req.Avoid)
	for _, u := range bad {
		req.Avoid[u.ID] = true
	}
	return req
}

// reroute leads the request around bad stages, with its first stage and what
// the others have read kept. It draws on no retry budget, as nothing is sent
// again.
func (w *streamWait) reroute(bad []*directory.Upstream, dead bool) bool {
	if len(bad) == 0 || slices.Contains(bad, w.chain[0].Engine) {
		return false
	}
	x := w.s.x
	req := w.without(bad)
	for range rerouteTries {
		other := x.server.picks.reroute(w.s.model, x.server.opts.View(), req, w.chain, dead)
		if other == nil {
			return false
		}
		old := w.chain
		w.chain = other
		limit, done := context.WithTimeout(w.ctx, rerouteTimeout)
		err := x.server.opts.Engines.Reroute(limit, x.id, other)
		done()
		x.log("rerouted").Str("chain", other.String()).Str("was", old.String()).Int64("after_event", w.s.seq.last).
			Int64("directory", x.server.opts.View().Revision).AnErr("error", err).Send()
		if err == nil {
			x.count("stream.rerouted")
			w.reroutes++
			w.left(old, other)
			w.ran = false
			w.restUntil = x.server.opts.Now().Add(rerouteRest)
			return true
		}
		x.count("stream.reroute_failed")
		var stage *StageError
		if !errors.As(err, &stage) {
			return false
		}
		w.avoid(req.Avoid, other, stage.Address)
	}
	return false
}

// left notes the engines of the chain before that the present one leads around,
// if they may have ended as they began to run the request.
func (w *streamWait) left(old, now chain.Chain) {
	if w.ran {
		return
	}
	kept := now.Engines()
	gone := slices.DeleteFunc(old.Engines(), func(id ids.Instance) bool { return slices.Contains(kept, id) })
	if len(gone) > 0 {
		w.s.x.lost(gone...)
	}
}

// avoid leaves out the engine of a chain that has an address.
func (w *streamWait) avoid(avoid map[ids.Instance]bool, c chain.Chain, address string) {
	for _, h := range c {
		if h.Engine.Address == address {
			avoid[h.Engine.ID] = true
		}
	}
}

// mayLeave reports whether the request may run once more, and whether that is
// better than to wait on.
func (w *streamWait) mayLeave(bad []*directory.Upstream, dead bool) bool {
	x := w.s.x
	if !x.route.MayRepeat() || x.sends >= maxSends {
		return false
	}
	req := w.without(bad)
	req.AllowedFirst = x.bound(w.chain[0].Engine.ID)
	return x.server.picks.worthLeaving(w.s.model, x.server.opts.View(), req, w.chain, dead)
}
