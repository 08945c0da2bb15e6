package node

import (
	"context"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/router"
)

// Ready reports whether the node accepts requests: it has a configuration, has
// had upstreams that can serve, and is not draining. It stays true while
// upstreams fail.
func (n *Node) Ready() bool { return n.loopState.Load().ready }

// WaitReady blocks until the node is ready. The error is a *NotReadyError if
// ctx ends first.
func (n *Node) WaitReady(ctx context.Context) error {
	if n.waitUntil(ctx, n.Ready) {
		return nil
	}
	return &NotReadyError{Cause: ctx.Err()}
}

// loopStatePollInterval is the interval at which waitUntil evaluates its
// condition.
const loopStatePollInterval = 10 * time.Millisecond

// waitUntil blocks until done returns true. It returns false if ctx ends first.
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

// Explain returns the decisions of a request that this node stored, oldest
// first, or nil if there are none.
func (n *Node) Explain(id ids.Request) []router.Decision { return n.records.Decisions(id) }
