package node

import (
	"context"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// Ready reports whether the node takes requests: it has a configuration and
// has asked the engines for their load.
func (n *Node) Ready() bool { return n.loopState.Load().ready }

// WaitReady waits until the node is ready. The error is a *NotReadyError.
func (n *Node) WaitReady(ctx context.Context) error {
	if n.waitUntil(ctx, n.Ready) {
		return nil
	}
	return &NotReadyError{Cause: ctx.Err()}
}

// loopStatePollInterval is the pace at which the loop's view is looked at.
const loopStatePollInterval = 10 * time.Millisecond

// waitUntil looks until done is true; it reports false when ctx ends first.
func (n *Node) waitUntil(ctx context.Context, done func() bool) bool {
	ticker := time.NewTicker(loopStatePollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// Explain gives the decisions kept of a request; nil when none is kept.
func (n *Node) Explain(id ids.Request) []router.Decision { return n.records.Decisions(id) }
