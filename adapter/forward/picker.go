package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"mimosaarch.example/adapter/upconn"
	"mimosaarch.example/core/fleet"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/core/outcome"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/chain"
	"mimosaarch.example/decide/condition"
	"mimosaarch.example/decide/directory"
	"mimosaarch.example/decide/replica"
	"mimosaarch.example/decide/retry"
	"mimosaarch.example/decide/retryafter"
)

// picker holds the decision state that all requests share, protected by one lock.
type picker struct {
	opts    Options
	crashes *crashTracker
	// onRefused is called with each upstream whose host refused a connection, without mu.
	onRefused func(*directory.Upstream)
	// onSilent is called with each upstream that did not answer a probe in time, without mu.
	onSilent func(*directory.Upstream)
	// onAnswer is called with each upstream that answers, without mu.
	onAnswer func(ids.Instance)

	mu sync.Mutex
	// nodes is the number of nodes in the list, and sharedAmong that by which the limits on
	// retries are divided, of sharers.
	nodes, sharedAmong int
	sharers            retry.Sharers
	// retryTerms determine which part of its limits the node grants and lends, nil for all.
	retryTerms   *retry.Terms
	conditions   *condition.Table
	backpressure *backpressure.Table
	chains       *chain.Picker
	retryAfters  *retryafter.Estimator
	replicas     *replica.Picker
	budgets      map[ids.Service]*retry.Budget
	borrower     *borrower
}

// newPicker returns a picker for a node that does not know the number of nodes yet.
func newPicker(o Options, c *crashTracker) *picker {
	conditions := condition.New()
	p := &picker{
		opts:         o,
		crashes:      c,
		onRefused:    func(*directory.Upstream) {},
		onSilent:     func(*directory.Upstream) {},
		onAnswer:     func(ids.Instance) {},
		conditions:   conditions,
		backpressure: backpressure.New(o.Seed),
		chains:       chain.New(conditions),
		retryAfters:  retryafter.New(),
		replicas:     replica.New(conditions),
		budgets:      make(map[ids.Service]*retry.Budget),
	}
	p.borrower = newBorrower(p)
	return p
}

// setNodes sets the number of nodes that share the upstreams and the retry budget.
func (p *picker) setNodes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes = n
	p.sharers.SetListed(p.opts.Now(), n)
	p.chains.SetNodeCount(n)
	p.replicas.SetNodeCount(n)
	p.backpressure.SetNodeCount(n)
	p.applyBudgets(p.sharers.Count(p.opts.Now()))
}

// applyBudgets sets this node's share of the fleet's limits on all retry budgets.
func (p *picker) applyBudgets(sharers int) {
	p.sharedAmong = sharers
	for _, b := range p.budgets {
		p.applyBudget(b)
	}
	ratio, slack := p.windowLimit()
	p.opts.Log.Info().Str("event", "retry_share").Int("nodes", p.nodes).Int("sharers", sharers).Float64("per_request", ratio).Float64("slack", slack).Bool("loans", p.loansOn()).Send()
}

// applyBudget sets this node's share of the fleet's limits on a retry budget.
func (p *picker) applyBudget(b *retry.Budget) {
	ratio, perSecond := p.opts.Budget.nodeAllowance(p.sharedAmong)
	b.SetPolicy(fleet.RetryPolicy{BudgetRatio: ratio, BudgetMin: perSecond})
	b.LimitWindow(p.windowLimit())
	b.SetLoans(p.loansOn())
	if p.retryTerms != nil {
		b.SetTerms(*p.retryTerms)
	}
}

// windowLimit returns the limit of this node within any retry.BudgetWindow: retries per request, and
// further ones. The requests of nodes that have left come to the others, while the retries that were
// granted for earlier ones are still in the window.
func (p *picker) windowLimit() (ratio, slack float64) {
	ratio, slack = p.opts.Budget.nodeWindowLimit(p.sharedAmong)
	if p.nodes < p.sharedAmong {
		ratio *= float64(p.nodes) / float64(p.sharedAmong)
	}
	return ratio, slack
}

// budget returns the retry budget of a service, and creates it if there is none.
func (p *picker) budget(service ids.Service) *retry.Budget {
	if n := p.sharers.Count(p.opts.Now()); n != p.sharedAmong {
		p.applyBudgets(n)
	}
	b := p.budgets[service]
	if b == nil {
		b = retry.NewBudget(fleet.RetryPolicy{})
		p.applyBudget(b)
		p.budgets[service] = b
	}
	return b
}

// recordFirstSend counts a new request, which adds to the retry budget.
func (p *picker) recordFirstSend(service ids.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service).RecordFirst(p.opts.Now())
}

// allowRetry takes one retry from the budget of a service for a claim, and returns how it
// was granted.
func (p *picker) allowRetry(service ids.Service, reason outcome.Reason, claim retry.Claim) retry.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.noticeRetries(service)
	return p.budget(service).Take(p.opts.Now(), reason, claim)
}

// holdRetry is allowRetry for a request that may wait before it is sent.
func (p *picker) holdRetry(service ids.Service, reason outcome.Reason, claim retry.Claim) retry.Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.noticeRetries(service)
	return p.budget(service).Hold(p.opts.Now(), reason, claim)
}

// retryUsage returns the state of the retry budget of a service.
func (p *picker) retryUsage(service ids.Service) retry.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).Usage(p.opts.Now())
}

// renewRetry reports whether a retry that was taken before a wait may be used now.
func (p *picker) renewRetry(service ids.Service, held *retry.Holding) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).Renew(p.opts.Now(), held)
}

// chooseChain chooses the chain of a request and counts the request on it. id is the ID of
// the request in the log.
func (p *picker) chooseChain(ctx context.Context, id string, m *layered.Model, view *directory.View, r chain.Request) (chain.Chain, error) {
	ch := newChoice(r.OutputStarted, nil)
	for {
		c, need, err := p.tryChain(id, m, view, r, ch)
		if len(need) == 0 {
			return c, err
		}
		p.acquirePermits(ctx, need, ch)
	}
}

// tryChain chooses the chain of a request. It counts the request on it, unless need is not
// empty: then the request needs permits for these engines.
func (p *picker) tryChain(id string, m *layered.Model, view *directory.View, r chain.Request, ch *choice) (c chain.Chain, need []ids.Instance, err error) {
	began := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.opts.Processor.Begin("chain.choose")()
	defer func() { p.opts.Metrics.ObserveDuration("decision.chain", p.opts.Now().Sub(began)) }()
	r.Avoid = p.withHeld(r.Avoid, ch)
	now := p.opts.Now()
	c, err = p.chains.Pick(now, m, view, r)
	if err != nil {
		return nil, nil, err
	}
	if need = p.needPermits(c, ch); len(need) > 0 {
		return nil, need, nil
	}
	p.retryAfters.ChainFound(began, r.Service)
	if !p.checkTiling(c, m.Layers) {
		return nil, nil, &chain.TilingError{Chain: c.String(), Layers: m.Layers}
	}
	if full := p.chains.FullEngine(now.Add(r.FullHeadStart), c); full != nil && !r.OutputStarted {
		return nil, nil, &chain.FullError{Service: r.Service, Engine: full.ID, Until: p.conditions.FullUntil(full.ID)}
	}
	p.recordAffinity(began, id, m, r, c)
	p.chains.RequestStarted(p.opts.Now(), c, r)
	p.recordSends(c, nil)
	return c, nil, nil
}

// retryAfter returns the Retry-After for a caller for which no chain was found. left is
// the time until the caller's deadline.
func (p *picker) retryAfter(service ids.Service, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryAfters.ChainMissing(p.opts.Now(), service, left)
}

// probesDue returns the slow or silent upstreams that are due for another probe.
func (p *picker) probesDue() []ids.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions.ProbesDue(p.opts.Now())
}

// silentFor returns for how long an upstream has not answered.
func (p *picker) silentFor(u *directory.Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions.SilentFor(p.opts.Now(), u.ID, u.Zone)
}

// checkTiling reports whether the stages of a chain cover the model's layers exactly
// once. A chain that does not is due to a fault in decide/chain, so it is always logged.
func (p *picker) checkTiling(c chain.Chain, layers int) bool {
	err := chain.Check(c, layers)
	if err != nil {
		p.opts.Metrics.Add("chain.not_tiling", 1)
		p.opts.Log.Error().Str("event", "chain_not_tiling").Err(err).Send()
	}
	return err == nil
}

// maxSwitchCostRatio bounds the expected time of another chain, as a fraction of that
// of the present one, for which a request leaves a chain that is slow but alive.
// Leaving costs a retry, and the new chain has to read the prompt again.
const maxSwitchCostRatio = 0.5

// worthSwitching reports whether a request that stalls on a chain should be sent again
// on another one. There must be a retry left for the claim, and a chain without the engines
// to avoid, which is much cheaper unless the present chain is dead.
func (p *picker) worthSwitching(m *layered.Model, view *directory.View, r chain.Request, claim retry.Claim, present chain.Chain, dead bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	if !p.budget(r.Service).Covers(now, claim) {
		return false
	}
	r.Prefix = nil // the request itself runs on the present chain
	other, err := p.pickOther(now, m, view, r)
	if err != nil {
		return false
	}
	return dead || p.chains.Cost(now, m, r, other) < maxSwitchCostRatio*p.chains.Cost(now, m, r, present)
}

// pickOther chooses a chain for a request that runs on another one, without counting the
// request on it. The caller holds mu.
func (p *picker) pickOther(now time.Time, m *layered.Model, view *directory.View, r chain.Request) (chain.Chain, error) {
	r.Avoid = p.withHeld(r.Avoid, newChoice(r.OutputStarted, nil))
	return p.chains.PickCheapest(now, m, view, r)
}

// hasChain reports whether there is a chain for a request that runs on another one.
func (p *picker) hasChain(m *layered.Model, view *directory.View, r chain.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.pickOther(p.opts.Now(), m, view, r)
	return err == nil
}

// linksBusy reports whether repairs may keep the links between zones busy for too long if
// all streams like this one are moved over them.
func (p *picker) linksBusy(view *directory.View, rep repair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	rep.request.PinnedFirst = &rep.Present[0]
	return p.chains.LinkBacklogMs(p.opts.Now(), rep.model, view, rep.request, rep.Repair) > maxLinkBacklogMs
}

// repair is the move of a running stream to another chain.
type repair struct {
	chain.Repair
	model   *layered.Model
	request chain.Request
	// dead is true if an engine of the present chain does not answer.
	dead bool
	// minimal is true if as many stages as possible are to be kept. Otherwise the stages
	// after the first are chosen as for a new request.
	minimal bool
	// resendable is true if the stream may be sent again and the retry budget covers that.
	resendable bool
}

// maxLinkBacklogMs is the longest time for which repairs may keep a link between zones
// busy, in ms. Together with the detection of a failure and one decoding pass it stays
// below the pause objective of 250 ms; a link that is busy for longer delays every stream
// that crosses it.
const maxLinkBacklogMs = 100.0

// reroute chooses new stages after the first for a stream that stalls on a chain, and
// moves the request's count to the new chain, which rerouteFailed undoes. It returns nil
// if there is no other chain, or if the present one is alive and no other is much cheaper.
func (p *picker) reroute(ctx context.Context, view *directory.View, rep repair) chain.Chain {
	ch := newChoice(true, rep.Present)
	rep.request.PinnedFirst = &rep.Present[0]
	for {
		other, need := p.tryReroute(view, rep, ch)
		if len(need) == 0 {
			return other
		}
		p.acquirePermits(ctx, need, ch)
	}
}

// tryReroute is reroute, except that the request stays where it is if need is not empty:
// then it needs permits for these engines.
func (p *picker) tryReroute(view *directory.View, rep repair, ch *choice) (other chain.Chain, need []ids.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.opts.Processor.Begin("chain.reroute")()
	now := p.opts.Now()
	rep.request.Avoid = p.withHeld(rep.request.Avoid, ch)
	// A stream that is sent again elsewhere prefills all layers but crosses no link.
	rep.WithinZones = rep.resendable && p.chains.LinkBacklogMs(now, rep.model, view, rep.request, rep.Repair) > maxLinkBacklogMs
	other, err := p.pickRepair(now, view, rep)
	if err != nil || !p.checkTiling(other, rep.model.Layers) || !p.worthMoving(now, rep, other) {
		return nil, nil
	}
	if need = p.needPermits(other, ch); len(need) > 0 {
		return nil, need
	}
	p.chains.RepairStarted(now, rep.model, other, rep.request, rep.Repair)
	p.recordSends(other, rep.Present)
	return other, nil
}

// pickRepair chooses the chain to which a stream moves. The caller holds mu.
func (p *picker) pickRepair(now time.Time, view *directory.View, rep repair) (chain.Chain, error) {
	if rep.minimal {
		return p.chains.PickRepair(now, rep.model, view, rep.request, rep.Repair)
	}
	return p.chains.PickCheapest(now, rep.model, view, rep.request)
}

// worthMoving reports whether a stream should move to another chain: the present one is
// dead or much more expensive. The caller holds mu.
func (p *picker) worthMoving(now time.Time, rep repair, other chain.Chain) bool {
	if len(rep.NewStages(other)) == 0 {
		return false
	}
	if rep.dead {
		return true
	}
	if rep.minimal {
		cost := func(c chain.Chain) float64 {
			return p.chains.RepairCost(now, rep.model, rep.request, rep.Repair, c)
		}
		return cost(other) < maxSwitchCostRatio*cost(rep.Present)
	}
	return p.chains.Cost(now, rep.model, rep.request, other) < maxSwitchCostRatio*p.chains.Cost(now, rep.model, rep.request, rep.Present)
}

// rerouteFailed moves the count of a request back after the order to move it to another
// chain has failed.
func (p *picker) rerouteFailed(rep repair, other chain.Chain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chains.RepairFailed(p.opts.Now(), rep.model, other, rep.request, rep.Repair)
}

// chainEnded removes a request from the counts of its chain.
func (p *picker) chainEnded(c chain.Chain, r chain.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chains.RequestEnded(p.opts.Now(), c, r)
}

// chooseReplica chooses the upstream of a plain request and counts the request on it.
// It returns nil if no upstream may take it.
func (p *picker) chooseReplica(ctx context.Context, list []*directory.Upstream, avoid map[ids.Instance]bool, draw float64) *directory.Upstream {
	ch := newChoice(false, nil)
	for {
		u, need := p.tryReplica(list, avoid, draw, ch)
		if len(need) == 0 {
			return u
		}
		p.acquirePermits(ctx, need, ch)
	}
}

// tryReplica is chooseReplica, except that the request is not counted if need is not
// empty: then it needs a permit for this upstream.
func (p *picker) tryReplica(list []*directory.Upstream, avoid map[ids.Instance]bool, draw float64, ch *choice) (u *directory.Upstream, need []ids.Instance) {
	began := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.opts.Metrics.ObserveDuration("decision.replica", p.opts.Now().Sub(began)) }()
	u = p.replicas.Pick(p.opts.Now(), list, p.opts.Zone, p.withHeld(avoid, ch), draw)
	if u == nil {
		return nil, nil
	}
	chosen := chain.Chain{{Engine: u}}
	if need = p.needPermits(chosen, ch); len(need) > 0 {
		return nil, need
	}
	p.replicas.RequestStarted(u.ID)
	p.recordSends(chosen, nil)
	return u, nil
}

// replicaEnded removes a request from the count of its upstream, and records how long
// it took.
func (p *picker) replicaEnded(id ids.Instance, took time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas.RequestEnded(p.opts.Now(), id, took, failed)
}

// recordFailure records that an upstream did not answer. It logs and counts a new
// suspicion of the upstream or of its zone.
func (p *picker) recordFailure(u *directory.Upstream, reason outcome.Reason) {
	p.mu.Lock()
	now := p.opts.Now()
	suspected := p.conditions.Failed(now, u.ID)
	zoneSuspected := reason == outcome.Unreachable && p.conditions.Unreachable(now, u.ID, u.Zone)
	p.mu.Unlock()
	if zoneSuspected {
		p.opts.Metrics.Add("zone.suspected", 1)
		p.opts.Log.Info().Str("event", "zone_suspected").Str("zone", string(u.Zone)).Send()
	}
	if suspected {
		p.opts.Metrics.Add("upstream.suspected", 1)
		p.opts.Log.Info().Str("event", "upstream_suspected").Str("upstream", u.ID.String()).
			Str("address", u.Address).Str("reason", string(reason)).Send()
	}
}

// recordAnswer records that an upstream answered, which ends a suspicion.
func (p *picker) recordAnswer(u *directory.Upstream) {
	p.mu.Lock()
	recovered := p.conditions.Answered(u.ID, u.Zone)
	p.mu.Unlock()
	p.onAnswer(u.ID)
	if recovered {
		p.opts.Log.Info().Str("event", "upstream_back").Str("upstream", u.ID.String()).Str("address", u.Address).Send()
	}
}

// silentSince returns since when an engine has not answered this node, and false if it has
// answered since it last failed.
func (p *picker) silentSince(id ids.Instance) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conditions.SilentSince(id)
}

// connectivityRestored records that this node is no longer cut off.
func (p *picker) connectivityRestored() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.ConnectivityRestored()
}

// setSlowdown records the slowdown that an upstream reports, 1 for a normal speed.
func (p *picker) setSlowdown(u *directory.Upstream, slowdown float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.SetSlowdown(p.opts.Now(), u.ID, slowdown)
}

// connectFailed records that no connection to an upstream could be made, and passes a refusal
// on.
func (p *picker) connectFailed(u *directory.Upstream, err error) {
	p.recordConnectFailure(u, err)
	if isRefused(err) {
		p.onRefused(u)
	}
}

// recordConnectFailure records that no connection to an upstream could be made. A refused
// connection means that the process has ended or has too many connections. Otherwise
// the VM or the network path to it has failed.
func (p *picker) recordConnectFailure(u *directory.Upstream, err error) {
	var dialed *upconn.DialError
	if !errors.As(err, &dialed) {
		p.recordFailure(u, outcome.UpstreamLost)
		return
	}
	if !dialed.Refused {
		p.recordFailure(u, outcome.Unreachable)
		return
	}
	p.recordFailure(u, outcome.ConnectFailed)
	p.crashes.upstreamDied(u)
}

// loadReported records the number of running and queued requests that an engine
// reports.
func (p *picker) loadReported(u *directory.Upstream, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chains.LoadReported(p.opts.Now(), u.ID, requests)
}

// refusedFull records that an upstream refused a request because it is full.
func (p *picker) refusedFull(u *directory.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.RefusedFull(p.opts.Now(), u.ID)
}

// refusedNotFull records that an upstream refused a request although it is not full.
func (p *picker) refusedNotFull(u *directory.Upstream) {
	p.mu.Lock()
	p.conditions.Refused(p.opts.Now(), u.ID)
	p.chains.RequestRefused(p.opts.Now(), u.ID)
	p.mu.Unlock()
	p.opts.Metrics.Add("upstream.refusing", 1)
	p.opts.Log.Info().Str("event", "upstream_refusing").Str("upstream", u.ID.String()).Str("address", u.Address).Send()
}

// brokeOff records that an engine that answers probes closed a new connection before it
// responded to the request. This node goes on using the engine: one that has too many
// connections closes some of them. If it does so often, its refusal rate leads requests of
// all nodes elsewhere.
func (p *picker) brokeOff(u *directory.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chains.RequestRefused(p.opts.Now(), u.ID)
	p.opts.Metrics.Add("upstream.broke_off", 1)
}

// forget drops the state of an upstream that has left the directory.
func (p *picker) forget(id ids.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions.Forget(id)
	p.backpressure.Removed(p.opts.Now(), id)
	p.chains.Forget(id)
	p.replicas.Forget(id)
}
