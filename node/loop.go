package node

import (
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// loop is the decision duty: it feeds the router one event at a time and
// hands its commands to the other duties.
func (n *Node) loop() {
	ticker := time.NewTicker(router.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case ev := <-n.events.Out():
			n.step(ev)
		case <-ticker.C:
			n.step(router.Tick{})
		}
		n.stepOwn()
		n.show()
	}
}

// step takes one event.
func (n *Node) step(ev router.Event) {
	began := time.Now()
	commands := n.router.Step(began, ev)
	n.telemetry.ObserveDuration("decision", time.Since(began))
	for _, command := range commands {
		n.do(command)
	}
}

// stepOwn takes the events that the loop told itself.
func (n *Node) stepOwn() {
	for len(n.own) > 0 {
		ev := n.own[0]
		n.own = n.own[1:]
		n.step(ev)
	}
}

// later hands the loop an event of its own; only the loop calls it.
func (n *Node) later(ev router.Event) { n.own = append(n.own, ev) }

// show publishes what other goroutines may know of the loop.
func (n *Node) show() {
	now := view{requests: n.router.Requests(), ready: n.router.Ready()}
	if old := n.view.Load(); *old != now {
		n.view.Store(&now)
	}
}

// refusedByPool ends an attempt that the pool did not take: nothing was sent.
func (n *Node) refusedByPool(c router.Send) {
	n.later(router.AttemptEnded{
		ID:      c.ID,
		Attempt: c.Attempt,
		Phase:   outcome.NotSent,
		Reason:  outcome.RingFull,
	})
}
