package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/roster"
)

const (
	// keeperTimeout is the usual bound of a call to a keeper.
	keeperTimeout = 20 * time.Millisecond
	// keeperSilence is how long a keeper that did not answer is not asked again.
	keeperSilence = time.Second
)

// NoKeeperError reports that no node has answered that may issue the permits for an
// upstream.
type NoKeeperError struct{ Upstream ids.Instance }

// Error implements error.
func (e *NoKeeperError) Error() string { return "no keeper of " + e.Upstream.String() + " answers" }

// permits asks for permits to send requests to upstreams that name a rate limit, and
// issues those of which this node is the keeper. It implements forward.Permits and is safe
// for concurrent use.
type permits struct {
	self ids.VM
	// keepers returns the nodes that may issue the permits for an upstream.
	keepers func(ids.Instance) []roster.Member
	// limit returns the limit that an upstream names, in requests per second, 0 if it is
	// not known. notify makes it known to this node.
	limit  func(ids.Instance) float64
	notify func(backpressure.LimitNotice)
	// timeout bounds a call to a keeper.
	timeout time.Duration

	mu     sync.Mutex
	issuer *backpressure.Issuer
	// silentUntil holds the nodes that did not answer, with the time until which they are
	// not asked.
	silentUntil map[ids.VM]time.Time
}

// newPermits returns a source of permits that has issued none.
func newPermits(self ids.VM, keepers func(ids.Instance) []roster.Member, limit func(ids.Instance) float64, notify func(backpressure.LimitNotice)) *permits {
	return &permits{
		self: self, keepers: keepers, limit: limit, notify: notify, timeout: keeperTimeout,
		issuer: backpressure.NewIssuer(), silentUntil: make(map[ids.VM]time.Time),
	}
}

// Acquire implements forward.Permits. It asks the keepers of the upstream one after another
// until one of them answers. The error is a *NoKeeperError.
func (p *permits) Acquire(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	r.Node = p.self
	return p.askInTurn(ctx, r)
}

// askInTurn asks the keepers of an upstream in the order of backpressure.AskOrder.
func (p *permits) askInTurn(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	members := p.keepers(r.Upstream)
	names := make([]ids.VM, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	for _, name := range backpressure.AskOrder(p.self, names, r.Hops > 0 || p.askedByOthers(r.Upstream)) {
		if name == p.self {
			return p.issue(r), nil
		}
		if reply, err := p.ask(ctx, members[slices.Index(names, name)], r); err == nil {
			return reply, nil
		}
	}
	return backpressure.PermitReply{}, &NoKeeperError{r.Upstream}
}

// answer answers a peer's request. It is an error if this node may not issue permits for
// the upstream and none that may answers.
func (p *permits) answer(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	isSelf := func(m roster.Member) bool { return m.Name == p.self }
	if r.Hops > backpressure.MaxHops || !slices.ContainsFunc(p.keepers(r.Upstream), isSelf) {
		return backpressure.PermitReply{}, &NoKeeperError{r.Upstream}
	}
	return p.askInTurn(ctx, r)
}

// ask asks one keeper. One that has not answered lately is not asked.
func (p *permits) ask(ctx context.Context, keeper roster.Member, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	p.mu.Lock()
	silent := boottime.Now().Before(p.silentUntil[keeper.Name])
	p.mu.Unlock()
	if silent {
		return backpressure.PermitReply{}, &NoKeeperError{r.Upstream}
	}
	r.Hops++
	callCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	reply, err := relay.AcquirePermit(callCtx, keeper.PeerAddress, r)
	if err != nil && ctx.Err() == nil {
		p.mu.Lock()
		p.silentUntil[keeper.Name] = boottime.Now().Add(keeperSilence)
		p.mu.Unlock()
	}
	return reply, err
}

// askedByOthers reports whether other nodes have asked this one for permits lately.
func (p *permits) askedByOthers(id ids.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.issuer.AskedByOthers(boottime.Now(), id, p.self)
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
func (n *Node) IssuePermit(ctx context.Context, r backpressure.PermitRequest) (backpressure.PermitReply, error) {
	return n.permits.answer(ctx, r)
}
