package forward

import (
	"errors"
	"sync"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/replica"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/retryafter"
)

// picker holds the decisions that requests share, behind one lock.
type picker struct {
	opts     Options
	culprits *culprits

	mu          sync.Mutex
	nodes       int
	conditions  *condition.Table
	chains      *chain.Picker
	retryAfters *retryafter.Estimator
	replicas    *replica.Picker
	budgets     map[ids.Service]*retry.Budget
}

// newPicker makes a picker for a node that does not know the fleet yet.
func newPicker(o Options, c *culprits) *picker {
	conditions := condition.New()
	return &picker{
		opts:        o,
		culprits:    c,
		conditions:  conditions,
		chains:      chain.New(conditions),
		retryAfters: retryafter.New(),
		replicas:    replica.New(conditions),
		budgets:     make(map[ids.Service]*retry.Budget),
	}
}

// setNodes tells how many nodes share upstreams and budget.
func (p *picker) setNodes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = n
	p.chains.SetNodeCount(n)
	p.replicas.SetNodeCount(n)
	for _, b := range p.budgets {
		p.limit(b)
	}
}

// limit gives a budget the node's part of the fleet's.
func (p *picker) limit(b *retry.Budget) {
	ratio, perSecond := p.opts.Budget.share(p.nodes)
	b.SetPolicy(fleet.RetryPolicy{BudgetRatio: ratio, BudgetMin: perSecond})
	b.LimitWindow(p.opts.Budget.bound(p.nodes))
}

// budget gives the budget of a service.
func (p *picker) budget(service ids.Service) *retry.Budget {
	b := p.budgets[service]
	if b == nil {
		b = retry.NewBudget(fleet.RetryPolicy{})
		p.limit(b)
		p.budgets[service] = b
	}
	return b
}

// first counts the first send of a request.
func (p *picker) first(service ids.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service).RecordFirst(p.opts.Now())
}

// newPart is the part of the retry budget that requests may use whose answer
// has not begun. The rest is for streams that would break off midway.
const newPart = 0.6

// again takes one further send from the budget; begun tells that part of the
// answer is with the caller.
func (p *picker) again(service ids.Service, reason outcome.Reason, begun bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	b := p.budget(service)
	if !begun && !b.AvailableWithin(now, newPart) {
		return false
	}
	return b.Allow(now, reason)
}

// chain chooses the chain of a request and counts it there.
func (p *picker) chain(m *layered.Model, view *directory.View, r chain.Request) (chain.Chain, error) {
	began := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.opts.Metrics.ObserveDuration("decision.chain", p.opts.Now().Sub(began)) }()
	c, err := p.chains.Pick(p.opts.Now(), m, view, r)
	if err != nil {
		return nil, err
	}
	p.retryAfters.ChainFound(began, r.Service)
	if !p.tiles(c, m.Layers) {
		return nil, &chain.TilingError{Chain: c.String(), Layers: m.Layers}
	}
	if full := p.chains.FullEngine(began, c); full != nil && !r.OutputStarted {
		return nil, &chain.FullError{Service: r.Service, Engine: full.ID}
	}
	p.chains.RequestStarted(p.opts.Now(), c, r)
	return c, nil
}

// retryAfter gives the time after which a caller with so much time left should come back,
// as no chain was found.
func (p *picker) retryAfter(service ids.Service, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryAfters.ChainMissing(p.opts.Now(), service, left)
}

// due gives the slow upstreams whose report should be asked for again.
func (p *picker) due() []ids.Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions.ProbesDue(p.opts.Now())
}

// silentFor tells how long an upstream has not answered.
func (p *picker) silentFor(u *directory.Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions.SilentFor(p.opts.Now(), u.ID, u.Zone)
}

// tiles checks a chain before it leaves. One that does not tile the model is a
// fault of the choice, so it is logged wherever it is met.
func (p *picker) tiles(c chain.Chain, layers int) bool {
	err := chain.Check(c, layers)
	if err != nil {
		p.opts.Metrics.Add("chain.not_tiling", 1)
		p.opts.Log.Error().Str("event", "chain_not_tiling").Err(err).Send()
	}
	return err == nil
}

// leaveGain is the part of its present chain's expected time that another must
// stay below for a request to leave a chain that is slow but alive: it has to
// be read anew there, and draws on the retry budget.
const leaveGain = 0.5

// worthLeaving reports whether a request that stalls on a chain should go on
// elsewhere: the retry budget allows it, and a chain without the engines in
// avoid is there, much better than the present one unless that is dead. A request
// whose chain is slow but lives leaves the last retries to those that would end.
func (p *picker) worthLeaving(m *layered.Model, view *directory.View, r chain.Request, now chain.Chain, dead bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.opts.Now()
	part := newPart
	if dead {
		part = 1
	}
	if !p.budget(r.Service).AvailableWithin(at, part) {
		return false
	}
	other, err := p.chains.Pick(at, m, view, r)
	if err != nil {
		return false
	}
	return dead || p.chains.Cost(at, m, r, other) < leaveGain*p.chains.Cost(at, m, r, now)
}

// reroute chooses the stages after the first for a request that stalls on a
// chain, and counts it there instead; nil if there are none, or none so much
// better that it is worth the way, the present ones being alive.
func (p *picker) reroute(m *layered.Model, view *directory.View, r chain.Request, now chain.Chain, dead bool) chain.Chain {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.opts.Now()
	r.PinnedFirst = &now[0]
	other, err := p.chains.Pick(at, m, view, r)
	if err != nil || !p.tiles(other, m.Layers) {
		return nil
	}
	if !dead && p.chains.Cost(at, m, r, other) >= leaveGain*p.chains.Cost(at, m, r, now) {
		return nil
	}
	p.chains.RequestEnded(at, now, r)
	p.chains.RequestStarted(at, other, r)
	return other
}

// chainEnded takes a request off its chain.
func (p *picker) chainEnded(c chain.Chain, r chain.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chains.RequestEnded(p.opts.Now(), c, r)
}

// replica chooses the upstream of a plain request and counts it there; nil if
// none may take it.
func (p *picker) replica(list []*directory.Upstream, avoid map[ids.Life]bool, draw float64) *directory.Upstream {
	began := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.opts.Metrics.ObserveDuration("decision.replica", p.opts.Now().Sub(began)) }()
	u := p.replicas.Pick(p.opts.Now(), list, p.opts.Zone, avoid, draw)
	if u != nil {
		p.replicas.RequestStarted(u.ID)
	}
	return u
}

// replicaEnded takes a request off its upstream.
func (p *picker) replicaEnded(id ids.Life, took time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas.RequestEnded(p.opts.Now(), id, took, failed)
}

// failed tells that an upstream did not answer.
func (p *picker) failed(u *directory.Upstream, reason outcome.Reason) {
	p.mu.Lock()
	now := p.opts.Now()
	news := p.conditions.Failed(now, u.ID)
	cut := reason == outcome.Unreachable && p.conditions.Unreachable(now, u.ID, u.Zone)
	p.mu.Unlock()
	if cut {
		p.opts.Metrics.Add("zone.suspected", 1)
		p.opts.Log.Info().Str("event", "zone_suspected").Str("zone", string(u.Zone)).Send()
	}
	if news {
		p.opts.Metrics.Add("upstream.suspected", 1)
		p.opts.Log.Info().Str("event", "upstream_suspected").Str("upstream", u.ID.String()).
			Str("address", u.Address).Str("reason", string(reason)).Send()
	}
}

// answered tells that an upstream answered.
func (p *picker) answered(u *directory.Upstream) {
	p.mu.Lock()
	news := p.conditions.Answered(u.ID, u.Zone)
	p.mu.Unlock()
	if news {
		p.opts.Log.Info().Str("event", "upstream_back").Str("upstream", u.ID.String()).Str("address", u.Address).Send()
	}
}

// reached tells that the node is no longer cut off.
func (p *picker) reached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.ConnectivityRestored()
}

// paced takes the pace that an upstream reports of itself.
func (p *picker) paced(u *directory.Upstream, pace float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.SetSlowdown(p.opts.Now(), u.ID, pace)
}

// notReached tells that no connection to an upstream could be made: its process
// is gone or has too many, or its VM or the way there is gone.
func (p *picker) notReached(u *directory.Upstream, err error) {
	var dialed *upconn.DialError
	if !errors.As(err, &dialed) {
		p.failed(u, outcome.UpstreamLost)
		return
	}
	if !dialed.Refused {
		p.failed(u, outcome.Unreachable)
		return
	}
	p.failed(u, outcome.ConnectFailed)
	p.culprits.died(u)
}

// reported takes the number of requests that an engine works on and queues.
func (p *picker) reported(u *directory.Upstream, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chains.LoadReported(p.opts.Now(), u.ID, requests)
}

// full tells that an upstream refused for want of room.
func (p *picker) full(u *directory.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.RefusedFull(p.opts.Now(), u.ID)
}

// refused tells that an upstream refused though it has room.
func (p *picker) refused(u *directory.Upstream) {
	p.mu.Lock()
	p.conditions.Refused(p.opts.Now(), u.ID)
	p.mu.Unlock()
	p.opts.Metrics.Add("upstream.refusing", 1)
	p.opts.Log.Info().Str("event", "upstream_refusing").Str("upstream", u.ID.String()).Str("address", u.Address).Send()
}

// forget drops what is known of an upstream that is gone.
func (p *picker) forget(id ids.Life) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.Forget(id)
	p.chains.Forget(id)
	p.replicas.Forget(id)
}
