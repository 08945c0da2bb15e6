package entry

import (
	"context"
	"sync"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
)

// NotKeeperError reports that this node does not issue the permits for an upstream.
type NotKeeperError struct {
	Upstream ids.Instance
	// Keeper is the node that does, empty if no node is known.
	Keeper ids.VM
}

// Error implements error.
func (e *NotKeeperError) Error() string {
	return "the keeper of " + e.Upstream.String() + " is " + string(e.Keeper)
}

// permits asks for permits to send requests to upstreams that name a rate limit, and
// issues those of which this node is the keeper. It implements forward.Permits and is safe
// for concurrent use.
type permits struct {
	self  ids.VM
	fleet *fleet
	// limit returns the limit that an upstream names, in requests per second, 0 if it is
	// not known. notify makes it known to this node.
	limit  func(ids.Instance) float64
	notify func(backpressure.LimitNotice)

	mu     sync.Mutex
	issuer *backpressure.Issuer
}

// newPermits returns a source of permits that has issued none.
func newPermits(self ids.VM, f *fleet, limit func(ids.Instance) float64, notify func(backpressure.LimitNotice)) *permits {
	return &permits{self: self, fleet: f, limit: limit, notify: notify, issuer: backpressure.NewIssuer()}
}

// Acquire implements forward.Permits.
func (p *permits) Acquire(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	r.Node = p.self
	keeper, ok := p.fleet.keeper(r.Upstream)
	switch {
	case !ok:
		return backpressure.PermitReply{}, &NotKeeperError{Upstream: r.Upstream}
	case keeper.Name == p.self:
		return p.issue(r), nil
	}
	return relay.AcquirePermit(ctx, keeper.PeerAddress, r)
}

// issueTo answers a peer's request. The error is a *NotKeeperError.
func (p *permits) issueTo(r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	if keeper, _ := p.fleet.keeper(r.Upstream); keeper.Name != p.self {
		return backpressure.PermitReply{}, &NotKeeperError{Upstream: r.Upstream, Keeper: keeper.Name}
	}
	return p.issue(r), nil
}

// issue answers a request as the keeper of its upstream.
func (p *permits) issue(r backpressure.PermitRequest) backpressure.PermitReply {
	limit := p.limit(r.Upstream)
	if limit == 0 {
		// The notice for this node was lost, or has not arrived yet.
		limit = r.PerSecond
		p.notify(backpressure.LimitNotice{Upstream: r.Upstream, PerSecond: limit})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.issuer.Issue(boottime.Now(), r, limit)
}

// IssuePermit implements relay.Source.
func (n *Node) IssuePermit(r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	return n.permits.issueTo(r)
}
