package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/decide/shutdown"
)

// Time limits of a shutdown.
const (
	// cutTimeout bounds the wait for the answers to requests that are cut off. Budgets are handed
	// over at the same time. Both end well before the platform kills the process.
	cutTimeout = handoverTimeout
	// flushPause lets the last answers leave the node before the process exits.
	flushPause = 50 * time.Millisecond
)

// stop shuts the node down. It first reports that the node is not ready and
// closes each connection after its answer. When no more callers are sent to
// this node, it closes the listener and idle connections, and waits for
// requests in flight within the grace period. What is left then is answered as it is.
func (n *Node) stop(ctx context.Context, l *listeners) {
	start := time.Now()
	n.stopping.Store(true)
	plan := shutdown.NewPlan(boottime.Now(), n.settings.StopGrace)
	n.server.BeginStop(plan)
	n.detours.server.Stop()
	n.elector.Resign()
	n.log.Info().Str("event", "stopping").Int64("active", n.server.Active()).Send()
	drainCtx, cancel := context.WithTimeout(ctx, plan.CutAt.Sub(boottime.Now()))
	defer cancel()
	every.Sleep(drainCtx, plan.ListenUntil.Sub(boottime.Now()))
	_ = l.callers.Close() // callers are sent to other nodes by now
	n.detours.server.Close()
	allAnswered := n.server.Drain(drainCtx)
	// Requests of peers go on over this node's connections.
	allAnswered = n.detours.drain(drainCtx) && allAnswered
	n.cutOff(ctx)
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

// cutOff answers the requests that are left, and hands over the retry budgets.
func (n *Node) cutOff(ctx context.Context) {
	var handedOver sync.WaitGroup
	handedOver.Go(func() { n.membership.handOver(ctx) })
	cutCtx, cancel := context.WithTimeout(ctx, cutTimeout)
	defer cancel()
	n.server.CutOff(cutCtx)
	handedOver.Wait()
}
