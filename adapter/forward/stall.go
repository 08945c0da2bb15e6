package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/quarantine"
)

// Timeouts after which the engines of a stalled chain are probed. They are fractions of
// the route's objectives, so that a request can leave a chain before its caller
// notices.
const (
	// firstEventFraction is the timeout for the first event, as a fraction of its
	// objective.
	firstEventFraction = 0.4
	// pauseFraction bounds the timeout for later events, as a fraction of the pause
	// objective. Pauses of healthy chains are shorter, and a probe still ends before the
	// caller notices.
	pauseFraction = 0.5
	// meanGapFactor is the timeout for later events below that bound, in multiples of the
	// stream's mean pause.
	meanGapFactor = 3.0
	// minMeanGapFactor is the least timeout for later events, in multiples of the mean
	// pause, so that a stream which is slow throughout is not probed at each pause.
	minMeanGapFactor = 1.5
	// initialGapDivisor divides the pause objective to give the initial mean pause. The
	// pauses of fast chains are a sixth to a quarter of a 200 ms objective.
	initialGapDivisor = 4
	// gapSmoothing is the weight of a new pause in the moving average.
	gapSmoothing = 0.2
	// minStallTimeout prevents probes for usual pauses on routes with short objectives.
	minStallTimeout = 60 * time.Millisecond
	// alertedGapFactor is the timeout for later events of a stream that is alerted, in
	// multiples of the mean pause, and minAlertedTimeout the least such timeout. A healthy
	// stream that exceeds it costs probes.
	alertedGapFactor  = 1.25
	minAlertedTimeout = 45 * time.Millisecond
	// silenceFactor is the wait after which an attempt ends even if all engines are alive,
	// in multiples of the timeout. The connection itself may be dead.
	silenceFactor = 12
	// defaultObjective and defaultPauseObjective replace objectives that are not set.
	defaultObjective      = time.Second
	defaultPauseObjective = 500 * time.Millisecond
	// rerouteTimeout bounds the call that reroutes a request.
	rerouteTimeout = 100 * time.Millisecond
	// maxRerouteAttempts is how many chains are tried per repair, and
	// maxEarlyRerouteAttempts that while the objective for the next event is not used up.
	maxRerouteAttempts      = 2
	maxEarlyRerouteAttempts = 3
	// rerouteCooldown is how long a request stays on a chain after a reroute. The new
	// stages first have to read all its tokens.
	rerouteCooldown = 400 * time.Millisecond
)

// stallWatch sets how long an attempt waits for the next bytes of a stream, and reacts
// to stalls.
type stallWatch struct {
	s     *stream
	ctx   context.Context
	chain chain.Chain
	// released is true once the request was removed from the counts of its chain.
	released bool
	// started is true once the response has started.
	started bool
	// cooldownUntil is the time before which stalls are not acted upon.
	cooldownUntil time.Time
	// reroutedAt is when the request was moved to the present chain, zero if it was sent
	// there.
	reroutedAt time.Time
	// orderedAt is when the order to move it there was sent.
	orderedAt time.Time
	// reroutes is the number of reroutes since the last event.
	reroutes int
	// eventSeen is true once an event has come through the present chain, which proves
	// that its engines run the request and are alive.
	eventSeen bool
	// livedRecorded is true once the parts of the prompt were recorded to crash no upstreams: an
	// event came from the present chain quarantine.LivedTime after its first one. The time until
	// a loss is found shows nothing, since the upstreams may have ended long before.
	livedRecorded bool
	// probeResult is the result of the latest probe since the last event, empty if there
	// was none.
	probeResult lateCause
	// running is the stream as the losses of engines wake it, nil if they do not.
	running *runningStream
	// waitBegan is when the wait for the next bytes began, after the last event or the latest
	// diagnosis since; zero before the first. It is used for streams that may be woken.
	waitBegan time.Time
}

// progress records the arrival of an event, and logs and counts a pause that exceeds
// the route's objective.
func (w *stallWatch) progress() {
	x := w.s.x
	now := x.server.opts.Now()
	pause := now.Sub(w.s.lastEvent)
	if !w.started && x.route.LatencyObjective > 0 && now.Sub(x.arrived) > x.route.LatencyObjective {
		x.markLate(w.delayCause(true))
	}
	if w.started && x.route.PauseObjective > 0 && pause > x.route.PauseObjective {
		cause := w.delayCause(!w.eventSeen && w.reroutes == 0)
		x.markLate(cause)
		x.count("stream.long_pause")
		line := x.log("long_pause").Str("why", string(cause)).Dur("pause_ms", pause).Int("reroutes", w.reroutes).Int("sends", x.sends).
			Str("chain", w.chain.String()).Int64("after_event", w.s.seq.last)
		if w.reroutes > 0 {
			line.Dur("since_order_ms", now.Sub(w.orderedAt))
		}
		line.Send()
	}
	if w.started {
		x.server.observePause(pause)
		w.s.meanGap += time.Duration(gapSmoothing * float64(pause-w.s.meanGap))
	}
	w.started, w.eventSeen = true, true
	w.s.lastEvent = now
	if w.waitBegan = (time.Time{}); w.running != nil {
		w.running.lastEvent.Store(now.UnixNano())
	}
	w.recordWriting(now)
	w.reroutes, w.probeResult = 0, ""
}

// recordWriting records that an event has come from the present chain. Once per chain, it
// records that the parts of the prompt crash no upstreams.
func (w *stallWatch) recordWriting(now time.Time) {
	x := w.s.x
	if x.writingSince.IsZero() {
		x.writingSince = now
	}
	if !w.livedRecorded && len(x.partMarks) > 0 && now.Sub(x.writingSince) >= quarantine.LivedTime {
		w.livedRecorded = true
		x.server.crashes.partsLived(x.writingSince, x.service, x.partMarks)
	}
}

// stallTimeout returns how long to wait for the next event before the engines are
// probed.
func (w *stallWatch) stallTimeout() time.Duration {
	route := w.s.x.route
	if !w.started {
		objective := route.LatencyObjective
		if objective <= 0 {
			objective = defaultObjective
		}
		return max(time.Duration(float64(objective)*firstEventFraction), minStallTimeout)
	}
	pause := route.PauseObjective
	if pause <= 0 {
		pause = defaultPauseObjective
	}
	limit := time.Duration(float64(pause) * pauseFraction)
	timeout := min(max(time.Duration(float64(w.s.meanGap)*meanGapFactor), minStallTimeout), limit)
	return max(timeout, time.Duration(float64(w.s.meanGap)*minMeanGapFactor))
}

// alerted reports whether an engine of the chain is silent: it has not answered this node
// since a probe of it timed out, and no event of another stream through it has come since. All
// streams through such an engine stop at the same moment, so a stream with a pause is likely
// to be one of them.
func (w *stallWatch) alerted() bool {
	if w.running == nil || !w.started {
		return false
	}
	losses := w.s.x.server.losses
	return losses.anySilent.Load() && slices.ContainsFunc(w.chain, func(s chain.Stage) bool {
		since, silent := w.s.x.server.picker.silentSince(s.Engine.ID)
		return silent && !losses.progressSince(s.Engine.ID, since)
	})
}

// waitLeft returns the time until the engines of a stream that may be woken have to be probed,
// 0 if it has passed. An interrupted wait goes on where it was.
func (w *stallWatch) waitLeft(now time.Time, timeout time.Duration) time.Duration {
	cooling := now.Before(w.cooldownUntil)
	if w.waitBegan.IsZero() {
		w.waitBegan = now
	}
	wait := timeout
	if !cooling && w.alerted() {
		wait = w.alertedTimeout()
	}
	left := wait - now.Sub(w.waitBegan)
	switch {
	case left >= minWait:
		return left
	case cooling:
		w.waitBegan = now
		return timeout
	}
	return 0
}

// minWait is the least wait that is worth a timer.
const minWait = time.Millisecond

// alertedTimeout is the stall timeout of a stream that is alerted.
func (w *stallWatch) alertedTimeout() time.Duration {
	return min(max(time.Duration(float64(w.s.meanGap)*alertedGapFactor), minAlertedTimeout), w.stallTimeout())
}

// wait is the upconn.WaitFunc of a stream. When the stall timeout, or that of an alerted stream,
// has passed, it probes the engines of the chain. If one of them is dead or slow, it tries to
// reroute the request. If that fails, or if silenceFactor timeouts have passed although all
// engines are alive, it ends the attempt with an *upconn.ReadTimeoutError, provided that the
// request should be sent again. A request that may crash engines is not rerouted: the attempt
// ends if an engine is dead.
func (w *stallWatch) wait(waited time.Duration) (time.Duration, error) {
	timeout := w.stallTimeout()
	x := w.s.x
	now := x.server.opts.Now()
	switch {
	case w.running != nil:
		if left := w.waitLeft(now, timeout); left > 0 {
			return left, nil
		}
		defer func() { w.waitBegan = x.server.opts.Now() }()
	case waited == 0 || w.s.model == nil || now.Before(w.cooldownUntil):
		return timeout, nil
	}
	early := w.running != nil && now.Sub(w.stalledSince()) < timeout
	found := x.server.prober.diagnoseStall(w.ctx, x.id, w.chain, w.stalledSince())
	dead, faulty := len(found.dead) > 0, found.faulty()
	w.probeResult = found.cause()
	if early && (!dead || !w.running.conn.IsQuiet()) {
		return timeout, nil
	}
	silent := waited >= silenceFactor*timeout
	if len(faulty) == 0 && !silent {
		return timeout, nil
	}
	if w.mayCrash() {
		if dead {
			return 0, &upconn.ReadTimeoutError{Waited: waited}
		}
		return timeout, nil
	}
	if w.rerouteOrLeave(faulty, dead, silent || dead, triggerStall) == left {
		return 0, &upconn.ReadTimeoutError{Waited: waited}
	}
	return timeout, nil
}

// repairResult is what has become of a stream that has to leave engines.
type repairResult int

// Results of repairs.
const (
	// stayed is a stream that goes on waiting on its chain.
	stayed repairResult = iota
	// moved is a stream that was moved to another chain.
	moved
	// left is a stream whose attempt has to end, so that it is sent again.
	left
)

// rerouteOrLeave moves the request to a chain without the given engines, or else decides
// whether it should be sent again. dead is that of reroute, stuck is true if the present chain
// cannot be expected to make progress.
func (w *stallWatch) rerouteOrLeave(faulty []*directory.Upstream, dead, stuck bool, trigger repairTrigger) repairResult {
	done, declined := w.reroute(faulty, dead, trigger, true)
	switch {
	case done:
		return moved
	case w.leaves(faulty, stuck):
		return left
	case declined:
		// Another stream has taken the retry on which the move was declined.
		if done, _ = w.reroute(faulty, dead, trigger, false); done {
			return moved
		}
	}
	return stayed
}

// leaves reports whether the request should be sent again instead of waiting any longer on
// a chain with faulty engines. If so, these are not used again.
func (w *stallWatch) leaves(faulty []*directory.Upstream, dead bool) bool {
	if !w.shouldSwitch(instancesOf(faulty), dead) {
		return false
	}
	for _, u := range faulty {
		w.s.req.Avoid[u.ID] = true
	}
	return true
}

// mayCrash reports whether the request must not be moved to other engines, because it is
// quarantined, or no event of it has come and a decision on it is due.
func (w *stallWatch) mayCrash() bool {
	x := w.s.x
	return x.quarantined() || !w.hasStarted() && x.heldFor() > 0
}

// requestAvoiding returns a copy of a chain request that also avoids the given engines.
func requestAvoiding(req chain.Request, engines []ids.Instance) chain.Request {
	req.Avoid = maps.Clone(req.Avoid)
	for _, id := range engines {
		req.Avoid[id] = true
	}
	return req
}

// instancesOf returns the IDs of upstreams.
func instancesOf(upstreams []*directory.Upstream) []ids.Instance {
	out := make([]ids.Instance, len(upstreams))
	for i, u := range upstreams {
		out[i] = u.ID
	}
	return out
}

// repairTrigger is what starts the repair of a running stream's chain.
type repairTrigger string

// Triggers of repairs.
const (
	// triggerStall is a stream without events, whose engines were then probed.
	triggerStall repairTrigger = "stall"
	// triggerLossNotice is the news that an engine of the chain is lost.
	triggerLossNotice repairTrigger = "loss_notice"
)

// reroute moves the request to a chain without the given engines. The first stage
// stays, and so do the tokens that the remaining stages have read. Nothing is sent
// again, so it uses no retry budget. dead is true if one of the engines does not
// answer. If mayDecline is set, a request that may be sent again is not moved over busy links;
// declined is true if no chain was chosen for a request to which that applies.
func (w *stallWatch) reroute(faulty []*directory.Upstream, dead bool, trigger repairTrigger, mayDecline bool) (done, declined bool) {
	if len(faulty) == 0 || slices.Contains(instancesOf(faulty), w.chain[0].Engine.ID) {
		return false, false
	}
	rep := w.newRepair(faulty, dead)
	rep.resendable = mayDecline && rep.minimal && dead && w.mayResend(rep, instancesOf(faulty))
	order := &rerouteOrder{trigger: trigger, diagnosedAt: w.s.x.server.opts.Now()}
	// added are the stages that pipelines rejected without naming a stage have added.
	var added []ids.Instance
	for w.mayTryReroute(order.attempt) {
		order.attempt++
		other := w.selectRepair(rep, added)
		if other == nil {
			return false, rep.resendable && order.attempt == 1
		}
		err := w.sendReroute(order, rep, other)
		if err == nil {
			return true, false
		}
		var stage *StageError
		if !errors.As(err, &stage) {
			return false, false
		}
		if stage.Address == w.chain[0].Engine.Address {
			return false, false // the first stage cannot change
		}
		if !w.rejectedBy(rep, other, stage.Address) && rep.minimal {
			w.s.x.count("stream.reroute_unnamed")
			added = append(added, rep.NewStages(other).Engines()...)
		}
	}
	return false, false
}

// mayTryReroute reports whether another order may follow a number of failed ones.
func (w *stallWatch) mayTryReroute(failed int) bool {
	if failed < maxRerouteAttempts {
		return true
	}
	return w.s.x.route.PauseObjective > 0 && failed < maxEarlyRerouteAttempts && !w.objectiveUsedUp(w.s.x.server.opts.Now())
}

// objectiveUsedUp reports whether the objective for the next event has passed at now.
func (w *stallWatch) objectiveUsedUp(now time.Time) bool {
	x := w.s.x
	if !w.started {
		return now.Sub(x.arrived) >= x.route.LatencyObjective
	}
	return now.Sub(w.s.lastEvent) >= x.route.PauseObjective
}

// newRepair returns the repair of the present chain around the given engines. Engines
// that have rejected an earlier repair of the stream are avoided too.
func (w *stallWatch) newRepair(faulty []*directory.Upstream, dead bool) repair {
	s := w.s
	req := requestAvoiding(s.req, instancesOf(faulty))
	maps.Copy(req.Avoid, s.rejectedRepair)
	produced := float64(s.x.events * max(s.model.StepsPerPass, 1))
	return repair{
		Repair: chain.Repair{Present: w.chain, ProducedTokens: produced},
		model:  s.model, request: req, dead: dead, minimal: s.x.route.PauseObjective > 0,
	}
}

// mayResend reports whether the stream may be sent again instead of being moved. A move takes
// no retry, so a retry is borrowed only if moves may keep the links between zones busy. Where
// nodes do not lend each other retries, they are left to the streams that break off.
func (w *stallWatch) mayResend(rep repair, faulty []ids.Instance) bool {
	picker := w.s.x.server.picker
	if !picker.loans() {
		return false
	}
	if picker.linksBusy(w.s.x.server.opts.View(), rep) {
		return w.shouldSwitch(faulty, true)
	}
	return w.maySwitch(faulty, true)
}

// selectRepair chooses the chain of a repair without the engines of added. If there is
// none, it returns nil for a stream that is better sent again, over a chain without them.
// Any other stream tries them once more, since room may have come free. It also returns nil
// if there is no chain.
func (w *stallWatch) selectRepair(rep repair, added []ids.Instance) chain.Chain {
	x := w.s.x
	if len(added) > 0 {
		strict := rep
		strict.request = requestAvoiding(rep.request, added)
		other := x.server.picker.reroute(w.ctx, x.server.opts.View(), strict)
		if other != nil {
			return other
		}
		if rep.resendable && w.maySwitch(slices.Collect(maps.Keys(strict.request.Avoid)), true) {
			for _, id := range added {
				w.s.fullUntil[id] = x.server.opts.Now().Add(fullEngineCooldown)
			}
			return nil
		}
	}
	return x.server.picker.reroute(w.ctx, x.server.opts.View(), rep)
}

// rerouteOrder is what the log lines say of the orders of one repair.
type rerouteOrder struct {
	trigger     repairTrigger
	diagnosedAt time.Time
	// attempt is the number of the order, from 1.
	attempt int
}

// sendReroute orders the move of the request to another chain, and records the result.
// After a failed order, the request stays on its present chain.
func (w *stallWatch) sendReroute(order *rerouteOrder, rep repair, other chain.Chain) error {
	x := w.s.x
	selectedAt := x.server.opts.Now()
	rerouteCtx, cancel := context.WithTimeout(w.ctx, rerouteTimeout)
	err := x.server.opts.Engines.Reroute(rerouteCtx, x.id, other)
	cancel()
	answeredAt := x.server.opts.Now()
	w.logReroute(order, rep, other, selectedAt, answeredAt, err)
	if err != nil {
		x.count("stream.reroute_failed")
		x.server.picker.rerouteFailed(rep, other)
		return err
	}
	x.count("stream.rerouted")
	w.chain = other
	w.reroutes++
	w.recordBypassed(rep.Present, other)
	w.eventSeen, w.livedRecorded, x.writingSince = false, false, time.Time{}
	w.orderedAt, w.reroutedAt = selectedAt, answeredAt
	w.cooldownUntil = answeredAt.Add(rerouteCooldown)
	return nil
}

// logReroute logs the result of an order. Times are since the last event, or since the
// request was sent if there was none.
func (w *stallWatch) logReroute(order *rerouteOrder, rep repair, other chain.Chain, selectedAt, answeredAt time.Time, err error) {
	x := w.s.x
	since := w.waitingSince()
	changed, prefilled := rep.ChangedLayers(other), 0.0
	if changed > 0 {
		prefilled = rep.PrefillTokens(rep.request)
	}
	x.log("rerouted").Str("trigger", string(order.trigger)).Str("chain", other.String()).Str("was", rep.Present.String()).
		Int64("after_event", w.s.seq.last).Int("attempt", order.attempt).Dur("diagnosed_ms", order.diagnosedAt.Sub(since)).
		Dur("selected_ms", selectedAt.Sub(since)).Dur("answered_ms", answeredAt.Sub(since)).
		Int("layers_changed", changed).Int("tokens_prefilled", int(prefilled)).
		Stringer("directory", x.server.opts.View().Revision).AnErr("error", err).Send()
}

// stalledSince returns when the engines of the present chain last made progress as far as
// this node knows: at the last event, or when they got the request.
func (w *stallWatch) stalledSince() time.Time {
	if began := w.beganAt(); began.After(w.s.lastEvent) {
		return began
	}
	return w.s.lastEvent
}

// waitingSince returns when the wait for the next event began: at the last event, or when
// the request was sent if there was none.
func (w *stallWatch) waitingSince() time.Time {
	if w.s.lastEvent.IsZero() {
		return w.s.x.sentAt
	}
	return w.s.lastEvent
}

// beganAt returns when the engines of the present chain got the request.
func (w *stallWatch) beganAt() time.Time {
	if w.reroutedAt.IsZero() {
		return w.s.x.sentAt
	}
	return w.reroutedAt
}

// hasStarted reports whether an event of the response has come, through this chain or an
// earlier one.
func (w *stallWatch) hasStarted() bool { return w.eventSeen || w.s.x.events > 0 }

// recordBypassed records the engines that a reroute has removed from the chain as lost
// runs: they may have crashed because of the request.
func (w *stallWatch) recordBypassed(old, present chain.Chain) {
	kept := present.Engines()
	gone := slices.DeleteFunc(old.Engines(), func(id ids.Instance) bool { return slices.Contains(kept, id) })
	if len(gone) > 0 {
		w.s.x.recordLostRun(w.beganAt(), w.hasStarted(), w.livedRecorded, gone...)
	}
}

// rejectedBy excludes the engine with the given address, which has rejected chain c, from
// this repair. Minimal repairs of the stream exclude it from now on, and sends avoid it as if
// it had refused one. It returns false if no engine of the chain has the address, as when the
// rejection names no stage.
func (w *stallWatch) rejectedBy(rep repair, c chain.Chain, address string) bool {
	i := slices.IndexFunc(c, func(stage chain.Stage) bool { return stage.Engine.Address == address })
	if i < 0 {
		return false
	}
	id := c[i].Engine.ID
	rep.request.Avoid[id] = true
	if rep.minimal {
		w.s.rejectedRepair[id] = true
		w.s.avoidRefusing(id, outcome.UpstreamBusy)
	}
	return true
}

// shouldSwitch reports whether the request should be sent again instead of waiting any
// longer. dead is true if the present chain cannot be expected to make progress. Then a retry
// is borrowed if this node has none and there is another chain.
func (w *stallWatch) shouldSwitch(avoid []ids.Instance, dead bool) bool {
	x := w.s.x
	picker, claim := x.server.picker, x.switchClaim(dead)
	if dead && w.mayRepeat() && picker.mayBorrow() && !picker.covers(x.service, claim) && picker.hasChain(w.s.model, x.server.opts.View(), w.requestElsewhere(avoid)) {
		picker.borrowFor(w.ctx, x.service, claim)
	}
	return w.maySwitch(avoid, dead)
}

// requestElsewhere returns the request for another chain without the given engines.
func (w *stallWatch) requestElsewhere(avoid []ids.Instance) chain.Request {
	req := requestAvoiding(w.s.req, avoid)
	req.AllowedFirst = w.s.x.allowedUpstreams(w.chain[0].Engine.ID)
	return req
}

// mayRepeat reports whether the request may be sent again, apart from the retry budget.
func (w *stallWatch) mayRepeat() bool {
	x := w.s.x
	return x.route.MayRepeat() && x.sends < maxSends
}

// maySwitch is shouldSwitch with the retries that this node has. It is used for decisions on
// moves, which need no retry and must not wait for a loan.
func (w *stallWatch) maySwitch(avoid []ids.Instance, dead bool) bool {
	if !w.mayRepeat() {
		return false
	}
	x := w.s.x
	return x.server.picker.worthSwitching(w.s.model, x.server.opts.View(), w.requestElsewhere(avoid), x.switchClaim(dead), w.chain, dead)
}
