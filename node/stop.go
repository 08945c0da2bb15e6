package node

import (
	"context"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/router"
)

// Shutdown is the planned stop: no new requests, those in flight end, then
// the node stops. When ctx ends first it stops at once and gives a
// *CutOffError.
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

// waitIdle waits until no request is held.
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

// Close stops the node at once. Requests in flight are cut off: what becomes of
// them is not known here any more, and their callers are told so.
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
