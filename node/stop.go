package node

import (
	"context"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// Shutdown drains and stops the node: it refuses new requests, waits for those
// in flight and then closes the node. If ctx ends first, it closes the node at
// once and returns a *DrainIncompleteError.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Info().Msg("draining")
	n.postEvent(router.Drain{})
	err := n.waitIdle(ctx)
	if shutdownErr := n.callers.Shutdown(ctx); err == nil && shutdownErr != nil {
		err = &DrainIncompleteError{Requests: n.loopState.Load().requests}
	}
	n.Close()
	return err
}

// waitIdle blocks until no request is in flight and no event is queued. The
// error is a *DrainIncompleteError if ctx ends first.
func (n *Node) waitIdle(ctx context.Context) error {
	idle := func() bool {
		v := n.loopState.Load()
		return !v.ready && v.requests == 0 && n.events.Len() == 0
	}
	if n.waitUntil(ctx, idle) {
		return nil
	}
	return &DrainIncompleteError{Requests: n.loopState.Load().requests}
}

// Close stops the node at once. Callers with requests in flight receive an
// error with outcome unknown, because the requests may still complete upstream.
func (n *Node) Close() {
	n.stop()
	n.operator.close()
	_ = n.callerListener.Close()
	n.tasks.Wait()
	n.calls.finishAll(&outcome.Error{
		Outcome: outcome.Unknown,
		Reason:  outcome.Draining,
		Detail:  "the node stopped before the answer was whole",
	})
	n.platform.Close()
	n.log.Info().Msg("node stopped")
}
