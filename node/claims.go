package node

import (
	"context"
	"sync"

	"mimosaarch.example/adapter/claims"
	"mimosaarch.example/adapter/peer"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/router"
)

// claimCommitter claims idempotency keys through the platform.
type claimCommitter interface {
	// Offer queues a Claim, Release or Settle command without blocking. It
	// returns an error if the command was not queued.
	Offer(router.Command) error
	// Serve commits an operation on behalf of another node and waits for the
	// result.
	Serve(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer
	// Run processes operations until ctx ends.
	Run(ctx context.Context)
}

// newClaims creates the component that claims idempotency keys.
func (n *Node) newClaims(store claims.Platform) claimCommitter {
	return claims.New(store, n, claims.Settings{
		Peers:   &claimPeers{node: n},
		OnError: n.handleClaimError,
		Count:   func(name string, count int64) { n.telemetry.Add("claims."+name, count) },
	})
}

// claimPeers finds and calls the nodes preferred for the shards of claims. A
// node without peers has no preferred node and commits every claim itself.
type claimPeers struct {
	node *Node
	once sync.Once
	// claims is nil until the first use, and always in a node without peers.
	claims *peer.ClaimForwarder
}

// connections returns the connections to other nodes, or nil in a node without
// peers.
func (c *claimPeers) connections() *peer.ClaimForwarder {
	c.once.Do(func() {
		if c.node.peers != nil {
			c.claims = peer.NewClaimForwarder(c.node.ctx, c.node.peers)
		}
	})
	return c.claims
}

// Preferred implements claims.Peers.
func (c *claimPeers) Preferred(shard int) (ids.VM, bool) {
	if peers := c.connections(); peers != nil {
		return peers.Preferred(shard)
	}
	return "", false
}

// Forward implements claims.Peers.
func (c *claimPeers) Forward(ctx context.Context, f claim.Forward) claim.ForwardAnswer {
	if peers := c.connections(); peers != nil {
		return peers.Forward(ctx, f)
	}
	return claim.ForwardAnswer{Kind: claim.ForwardRefused}
}

// ServeClaim implements peer.ClaimServer. It commits an operation on behalf of
// another node, and refuses it if this node is not ready or is draining.
func (n *Node) ServeClaim(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer {
	if !n.Ready() {
		return claim.ForwardAnswer{Kind: claim.ForwardRefused}
	}
	return n.claims.Serve(ctx, shard, op)
}

// handleClaimError counts and logs a claim object that cannot be used.
func (n *Node) handleClaimError(err error) {
	n.telemetry.CountError("claim_object")
	n.log.Warn().Err(err).Msg("claims")
}

// submitClaim queues a claim command. If the queue is full, a Claim fails at
// once and a Release is reported as done.
func (n *Node) submitClaim(command router.Command) {
	err := n.claims.Offer(command)
	if err == nil {
		return
	}
	n.telemetry.CountError("claim_ring_full")
	switch c := command.(type) {
	case router.Claim:
		n.queueSelfEvent(router.ClaimEnded{ID: c.ID, Result: router.ClaimFailed})
	case router.Release:
		n.queueSelfEvent(router.ClaimReleased{ID: c.ID})
	}
}
