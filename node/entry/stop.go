package entry

import (
	"context"
	"net"
	"time"

	"mimosaarch.example/core/every"
)

// Time limits of a shutdown.
const (
	// readinessDelay is how long callers may still be sent to this node after
	// it reports that it is not ready: two readiness checks one second apart,
	// and a slow one.
	readinessDelay = 2300 * time.Millisecond
	// stopMargin is the part of the grace period reserved for cutting off
	// remaining requests and exiting.
	stopMargin = 600 * time.Millisecond
	// flushPause lets the last answers leave the node before the process exits.
	flushPause = 50 * time.Millisecond
)

// stop shuts the node down. It first reports that the node is not ready and
// closes each connection after its answer. When no more callers are sent to
// this node, it closes the listener and idle connections, and waits for
// requests in flight within the grace period.
func (n *Node) stop(ctx context.Context, l *listeners) {
	start := time.Now()
	n.stopping.Store(true)
	n.server.DisableKeepAlives()
	n.detours.server.Stop()
	n.elector.Resign()
	n.log.Info().Str("event", "stopping").Int64("active", n.server.Active()).Send()
	drainCtx, cancel := context.WithDeadline(ctx, start.Add(n.settings.StopGrace-stopMargin))
	defer cancel()
	every.Sleep(drainCtx, readinessDelay)
	// Requests that arrive later could not be finished within the grace period.
	_ = l.callers.Close()
	n.detours.server.Close()
	allAnswered := n.server.Drain(drainCtx)
	// Requests of peers go on over this node's connections.
	allAnswered = n.detours.drain(drainCtx) && allAnswered
	n.membership.handOver(ctx)
	for _, listener := range []net.Listener{l.ready, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close() // the process exits next
		}
	}
	n.log.Info().Str("event", "stopped").Bool("all_answered", allAnswered).Int64("active", n.server.Active()).
		Dur("took_ms", time.Since(start)).Send()
	n.logCalls()
	time.Sleep(flushPause)
}
