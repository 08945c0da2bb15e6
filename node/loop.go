package node

import (
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// runDecisionLoop passes events to the router one at a time and executes the
// commands that it returns, until the node stops.
func (n *Node) runDecisionLoop() {
	ticker := time.NewTicker(router.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case ev := <-n.events.Out():
			n.handleEvent(ev)
		case <-ticker.C:
			n.handleEvent(router.Tick{})
		}
		n.handleSelfEvents()
		n.publishLoopState()
	}
}

// handleEvent passes one event to the router and executes the resulting
// commands.
func (n *Node) handleEvent(ev router.Event) {
	start := time.Now()
	commands := n.router.Step(start, ev)
	n.telemetry.ObserveDuration("decision", time.Since(start))
	for _, command := range commands {
		n.execute(command)
	}
}

// handleSelfEvents handles the events that the loop queued for itself,
// including those that it queues meanwhile.
func (n *Node) handleSelfEvents() {
	for len(n.selfEvents) > 0 {
		ev := n.selfEvents[0]
		n.selfEvents = n.selfEvents[1:]
		n.handleEvent(ev)
	}
}

// queueSelfEvent queues an event for the decision loop. Only the loop may call
// it.
func (n *Node) queueSelfEvent(ev router.Event) { n.selfEvents = append(n.selfEvents, ev) }

// publishLoopState publishes the loop's state to other goroutines if it
// changed.
func (n *Node) publishLoopState() {
	now := loopState{requests: n.router.Requests(), ready: n.router.Ready()}
	if old := n.loopState.Load(); *old != now {
		n.loopState.Store(&now)
	}
}

// failUnsent ends an attempt that the worker pool rejected. Nothing was sent
// upstream.
func (n *Node) failUnsent(c router.Send) {
	n.queueSelfEvent(router.AttemptEnded{
		ID:      c.ID,
		Attempt: c.Attempt,
		Phase:   outcome.NotSent,
		Reason:  outcome.RingFull,
	})
}
