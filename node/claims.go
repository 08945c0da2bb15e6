package node

import (
	"context"

	"mimosaarch.example/adapter/claims"
	"mimosaarch.example/decide/router"
)

// committer is the duty that claims idempotency keys through the platform.
type committer interface {
	// Offer takes a Claim, Release or Settle; an error means that it was not
	// taken. It does not wait.
	Offer(router.Command) error
	// Run works until ctx ends.
	Run(ctx context.Context)
}

// newClaims makes the duty that claims idempotency keys.
func (n *Node) newClaims(store claims.Platform) committer {
	return claims.New(store, n, claims.Settings{OnProblem: n.claimProblem})
}

// claimProblem counts and logs a claim object that cannot be used.
func (n *Node) claimProblem(err error) {
	n.telemetry.Failure("claim_object")
	n.log.Warn().Err(err).Msg("claims")
}

// claim hands a claim command to its duty. What that does not take is
// answered at once.
func (n *Node) claim(command router.Command) {
	err := n.claims.Offer(command)
	if err == nil {
		return
	}
	n.telemetry.Failure("claim_ring_full")
	switch c := command.(type) {
	case router.Claim:
		n.later(router.ClaimEnded{ID: c.ID, Result: router.ClaimFailed})
	case router.Release:
		n.later(router.ClaimReleased{ID: c.ID})
	}
}
