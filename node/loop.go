package node

import (
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// runDecisionLoop is the decision duty: it feeds the router one event at a time and
// hands its commands to the other duties.
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

// handleEvent takes one event.
func (n *Node) handleEvent(ev router.Event) {
	began := time.Now()
	commands := n.router.Step(began, ev)
	n.telemetry.ObserveDuration("decision", time.Since(began))
	for _, command := range commands {
		n.execute(command)
	}
}

// handleSelfEvents takes the events that the loop told itself.
func (n *Node) handleSelfEvents() {
	for len(n.selfEvents) > 0 {
		ev := n.selfEvents[0]
		n.selfEvents = n.selfEvents[1:]
		n.handleEvent(ev)
	}
}

// queueSelfEvent hands the loop an event of its own; only the loop calls it.
func (n *Node) queueSelfEvent(ev router.Event) { n.selfEvents = append(n.selfEvents, ev) }

// publishLoopState publishes what other goroutines may know of the loop.
func (n *Node) publishLoopState() {
	now := loopState{requests: n.router.Requests(), ready: n.router.Ready()}
	if old := n.loopState.Load(); *old != now {
		n.loopState.Store(&now)
	}
}

// failUnsent ends an attempt that the pool did not take: nothing was sent.
func (n *Node) failUnsent(c router.Send) {
	n.queueSelfEvent(router.AttemptEnded{
		ID:      c.ID,
		Attempt: c.Attempt,
		Phase:   outcome.NotSent,
		Reason:  outcome.RingFull,
	})
}
