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

// Counters of claims.
const (
	// ClaimsSent counts operations on keys handed to peers, and
	// ClaimsReceived those taken from peers.
	ClaimsSent     Counter = "peer_claims_sent"
	ClaimsReceived Counter = "peer_claims_received"
	// ClaimsNoClock counts operations refused for want of the clock; each
	// connection begins with one.
	ClaimsNoClock Counter = "peer_claims_no_clock"
	// ClaimsNotPreferred counts operations refused since another VM is
	// preferred here.
	ClaimsNotPreferred Counter = "peer_claims_not_preferred"
)

const (
	// avoidRefusing and avoidSilent are how long a VM gets no operations
	// after it refused one, or gave no answer.
	avoidRefusing = 500 * time.Millisecond
	avoidSilent   = 2 * time.Second
	// acceptRanks is how many of the first VMs by rank take a shard's
	// operations: where the first is known here to be in trouble, or is
	// believed to be by another VM, the next is asked.
	acceptRanks = 3
	// freshConn is the part of the idle timeout, one in so many, after which
	// a connection is not used again: its other end may be about to close it.
	freshConn = 2
)

// ClaimForwarder hands operations on idempotency keys to the VMs that are preferred
// for their shards. It implements claims.Peers. Each VM asked has a connection
// of its own: the calls wait for the platform, and digests must not wait with
// them. Any goroutine may call its methods.
type ClaimForwarder struct {
	service *Service
	ctx     context.Context
	mu      sync.Mutex
	conns   map[string]*claimConn
	avoid   map[ids.VM]time.Time
}

// NewClaimForwarder makes a Claims whose connections end with ctx.
func NewClaimForwarder(ctx context.Context, s *Service) *ClaimForwarder {
	return &ClaimForwarder{service: s, ctx: ctx, conns: make(map[string]*claimConn), avoid: make(map[ids.VM]time.Time)}
}

// Preferred implements claims.Peers: the VM of the highest rank for a shard,
// by rendezvous hash, among this one and those that are heard from, or are
// listed and not known to be in trouble.
func (c *ClaimForwarder) Preferred(shard int) (ids.VM, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.service.opts.VM
	best, most := own, claimRank(shard, own)
	for _, p := range c.service.Peers() {
		if !commits(p) || now.Before(c.avoid[p.VM]) {
			continue
		}
		if rank := claimRank(shard, p.VM); rank > most {
			best, most = p.VM, rank
		}
	}
	return best, best != own
}

// commits reports whether a peer can be relied on to commit claims.
func commits(p member.Peer) bool {
	heard := p.State == member.Alive || p.State == member.Candidate && p.Listed
	return heard && !p.Draining && p.Address != ""
}

// claimRank is a VM's weight for a shard.
func claimRank(shard int, vm ids.VM) uint64 {
	data := make([]byte, 0, len(vm)+2)
	data = append(data, byte(shard>>8), byte(shard))
	return xxhash.Sum64(append(data, vm...))
}

// takesClaims reports whether this VM is among the first for a shard.
func (s *Service) takesClaims(shard int) bool {
	own := claimRank(shard, s.opts.VM)
	above := 0
	for _, p := range s.Peers() {
		if commits(p) && claimRank(shard, p.VM) > own {
			above++
		}
	}
	return above < acceptRanks
}

// Forward implements claims.Peers.
func (c *ClaimForwarder) Forward(ctx context.Context, f claim.Forward) claim.ForwardAnswer {
	answer := c.forward(ctx, f)
	switch answer.Kind {
	case claim.ForwardRefused:
		c.shun(f.VM, avoidRefusing)
	case claim.ForwardUncertain:
		c.shun(f.VM, avoidSilent)
	}
	return answer
}

// forward hands an operation to a VM.
func (c *ClaimForwarder) forward(ctx context.Context, f claim.Forward) claim.ForwardAnswer {
	refused := claim.ForwardAnswer{Kind: claim.ForwardRefused}
	conn := c.conn(f.VM)
	if conn == nil || !conn.wait(ctx) {
		return refused
	}
	c.service.opts.Count(ClaimsSent, 1)
	reply, answer := conn.ask(ctx, c.service, f)
	if reply.State == peerapi.ClaimNoClock {
		_, answer = conn.ask(ctx, c.service, f)
	}
	return answer
}

// shun passes over a VM for a time.
func (c *ClaimForwarder) shun(vm ids.VM, d time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, until := range c.avoid {
		if !now.Before(until) {
			delete(c.avoid, other)
		}
	}
	c.avoid[vm] = now.Add(d)
}

// conn gives the connection to a VM, newly opened if need be; nil when no
// address of it is known.
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
		if !k.usable(now, c.service.opts.IdleTimeout/freshConn) {
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
	k.used = now
	return k
}
