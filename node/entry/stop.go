package entry

import (
	"context"
	"net"
	"time"

	"mimosaarch.example/core/every"
)

// Times of a planned stop.
const (
	// readinessLag is how long callers may still be sent here after the node
	// says that it is not ready: two questions a second apart, and a slow one.
	readinessLag = 2300 * time.Millisecond
	// killSlack is left of the grace to cut what is still under way and exit.
	killSlack = 600 * time.Millisecond
	// lastPause lets answers that were just written leave the node.
	lastPause = 50 * time.Millisecond
)

// stop ends the node as planned: not ready first, and every connection ends with
// its answer; once no callers are sent here any more, no connections are taken
// and idle ones are closed, and work under way is finished as far as the grace
// allows.
func (n *Node) stop(ctx context.Context, l *listeners) {
	began := time.Now()
	n.stopping.Store(true)
	n.server.DisableKeepAlives()
	n.keeper.Resign()
	n.log.Info().Str("event", "stopping").Int64("active", n.server.Active()).Send()
	limit, done := context.WithDeadline(ctx, began.Add(n.settings.StopGrace-killSlack))
	defer done()
	every.Sleep(limit, readinessLag)
	// What comes later could no longer be finished within the grace.
	_ = l.callers.Close()
	whole := n.server.Drain(limit)
	for _, listener := range []net.Listener{l.ready, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close() // the process ends next
		}
	}
	n.log.Info().Str("event", "stopped").Bool("all_answered", whole).Int64("active", n.server.Active()).
		Dur("took_ms", time.Since(began)).Send()
	n.logCalls()
	time.Sleep(lastPause)
}
