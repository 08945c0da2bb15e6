package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/decide/claim"
	"mimosaarch.example/decide/member"
)

// Counters of claim operations.
const (
	// ClaimsSent counts operations forwarded to peers, and ClaimsReceived those
	// received from peers.
	ClaimsSent     Counter = "peer_claims_sent"
	ClaimsReceived Counter = "peer_claims_received"
	// ClaimsNoClock counts received operations that were refused because they
	// did not carry a valid reading of this node's clock. The first operation
	// on each connection is one of them.
	ClaimsNoClock Counter = "peer_claims_no_clock"
	// ClaimsNotPreferred counts received operations that were refused because
	// too many other VMs rank higher for the shard, or because this node does
	// not commit claims.
	ClaimsNotPreferred Counter = "peer_claims_not_preferred"
)

const (
	// refusedBackoff and unansweredBackoff are how long a VM is not preferred
	// after it refused an operation or left one unanswered.
	refusedBackoff    = 500 * time.Millisecond
	unansweredBackoff = 2 * time.Second
	// maxServingRanks is the number of highest-ranked VMs that accept
	// operations on a shard. A sender that considers the first VM unhealthy
	// asks the next one, so more than one VM must accept.
	maxServingRanks = 3
	// connReuseDivisor divides the idle timeout: a connection idle for longer
	// than that share is not reused, because the peer may be about to close it.
	connReuseDivisor = 2
)

// ClaimForwarder forwards operations on idempotency keys to the VMs preferred
// for their shards. It implements claims.Peers. It has a separate connection to
// each VM, because claim calls wait for the platform and must not delay
// digests. It is safe for concurrent use.
type ClaimForwarder struct {
	service    *Service
	ctx        context.Context
	mu         sync.Mutex
	conns      map[string]*claimConn
	avoidUntil map[ids.VM]time.Time
}

// NewClaimForwarder returns a ClaimForwarder whose connections are closed when
// ctx ends.
func NewClaimForwarder(ctx context.Context, s *Service) *ClaimForwarder {
	return &ClaimForwarder{service: s, ctx: ctx, conns: make(map[string]*claimConn), avoidUntil: make(map[ids.VM]time.Time)}
}

// Preferred implements claims.Peers. It returns the VM with the highest
// rendezvous hash for a shard, among this VM and the peers that are able to
// commit claims and are not being avoided. The result is false if that is this
// VM.
func (c *ClaimForwarder) Preferred(shard int) (ids.VM, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.service.opts.VM
	best, most := own, claimRank(shard, own)
	for _, p := range c.service.Peers() {
		if !canCommit(p) || now.Before(c.avoidUntil[p.VM]) {
			continue
		}
		if rank := claimRank(shard, p.VM); rank > most {
			best, most = p.VM, rank
		}
	}
	return best, best != own
}

// canCommit reports whether a peer is a candidate for committing claims: it is
// alive, or listed by the platform and not known to be failing, and it is not
// draining.
func canCommit(p member.Peer) bool {
	healthy := p.State == member.Alive || p.State == member.Candidate && p.Listed
	return healthy && !p.Draining && p.Address != ""
}

// claimRank returns the rendezvous hash of a VM for a shard.
func claimRank(shard int, vm ids.VM) uint64 {
	data := make([]byte, 0, len(vm)+2)
	data = append(data, byte(shard>>8), byte(shard))
	return xxhash.Sum64(append(data, vm...))
}

// servesShard reports whether this VM is among the maxServingRanks
// highest-ranked VMs of a shard.
func (s *Service) servesShard(shard int) bool {
	own := claimRank(shard, s.opts.VM)
	higherRanked := 0
	for _, p := range s.Peers() {
		if canCommit(p) && claimRank(shard, p.VM) > own {
			higherRanked++
		}
	}
	return higherRanked < maxServingRanks
}

// Forward implements claims.Peers. It avoids the VM for a while if the VM
// refused or did not answer.
func (c *ClaimForwarder) Forward(ctx context.Context, f claim.Forward) claim.ForwardAnswer {
	answer := c.forward(ctx, f)
	switch answer.Kind {
	case claim.ForwardRefused:
		c.avoid(f.VM, refusedBackoff)
	case claim.ForwardUncertain:
		c.avoid(f.VM, unansweredBackoff)
	}
	return answer
}

// forward sends an operation to a VM. If the VM refuses it only for lack of a
// clock reading, forward sends it once more with the clock from the reply.
func (c *ClaimForwarder) forward(ctx context.Context, f claim.Forward) claim.ForwardAnswer {
	refused := claim.ForwardAnswer{Kind: claim.ForwardRefused}
	conn := c.conn(f.VM)
	if conn == nil || !conn.waitOpen(ctx) {
		return refused
	}
	c.service.opts.Count(ClaimsSent, 1)
	reply, answer := conn.call(ctx, c.service, f)
	if reply.State == peerapi.ClaimNoClock {
		_, answer = conn.call(ctx, c.service, f)
	}
	return answer
}

// avoid excludes a VM from Preferred for a duration, and forgets the VMs whose
// time has passed.
func (c *ClaimForwarder) avoid(vm ids.VM, d time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, until := range c.avoidUntil {
		if !now.Before(until) {
			delete(c.avoidUntil, other)
		}
	}
	c.avoidUntil[vm] = now.Add(d)
}

// conn returns the connection to a VM and opens it if needed. It returns nil if
// the address of the VM is not known. It also closes unusable connections.
func (c *ClaimForwarder) conn(vm ids.VM) *claimConn {
	c.service.mu.Lock()
	peer, known := c.service.members.Peer(vm)
	c.service.mu.Unlock()
	if !known || peer.Address == "" {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, k := range c.conns {
		if !k.usable(now, c.service.opts.IdleTimeout/connReuseDivisor) {
			k.close()
			delete(c.conns, address)
		}
	}
	k := c.conns[peer.Address]
	if k == nil {
		k = &claimConn{opened: make(chan struct{})}
		c.conns[peer.Address] = k
		go k.open(c.ctx, c.service, peer.Address)
	}
	k.lastUsed = now
	return k
}
