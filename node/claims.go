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

// claimCommitter is the duty that claims idempotency keys through the platform.
type claimCommitter interface {
	// Offer takes a Claim, Release or Settle; an error means that it was not
	// taken. It does not wait.
	Offer(router.Command) error
	// Serve commits an operation of another node, and waits for what came
	// of it.
	Serve(ctx context.Context, shard int, op claim.Op) claim.ForwardAnswer
	// Run works until ctx ends.
	Run(ctx context.Context)
}

// newClaims makes the duty that claims idempotency keys.
func (n *Node) newClaims(store claims.Platform) claimCommitter {
	return claims.New(store, n, claims.Settings{
		Peers:     &claimPeers{node: n},
		OnProblem: n.handleClaimError,
		OnCount:   func(name string, count int64) { n.telemetry.Add("claims."+name, count) },
	})
}

// claimPeers reaches the nodes preferred for the shards of claims. A node that
// stands alone prefers itself.
type claimPeers struct {
	node *Node
	once sync.Once
	// peers is nil until the first use, and in a node that stands alone.
	peers *peer.ClaimForwarder
}

// connections gives the connections to the others; nil when the node stands alone.
func (c *claimPeers) connections() *peer.ClaimForwarder {
	c.once.Do(func() {
		if c.node.peers != nil {
			c.peers = peer.NewClaimForwarder(c.node.ctx, c.node.peers)
		}
	})
	return c.peers
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

// ServeClaim implements peer.ClaimServer: it commits an operation of another
// node, unless this one is about to stop.
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

// submitClaim hands a submitClaim command to its duty. What that does not take is
// answered at once.
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
