package order

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
)

// Reported processes an engine's load report that arrived at now. Reports of
// engines that no plan lists are ignored.
func (p *Planner) Reported(now time.Time, r engineapi.LoadReport) {
	e := p.engines[ids.Upstream(r.Engine)]
	if e == nil {
		return
	}
	if e.applied && r.Epoch != e.orderEpoch {
		// A restarted process does not hold what the earlier one was ordered to load.
		e.resetOrderAndLoad()
	}
	e.report = r
	e.reportedAt = now
}

// Tick returns the orders to send now, given the lease's status at now. It returns
// nil unless this node holds the lease with at least Options.MinLeaseRemaining
// left.
func (p *Planner) Tick(now time.Time, status lease.Status) []Send {
	if !status.Held {
		return nil
	}
	p.startTerm(status)
	if status.Left < p.opts.MinLeaseRemaining {
		return nil
	}
	var out []Send
	for _, id := range p.sortedIDs() {
		e := p.engines[id]
		if p.mayOrder(now, e, status) {
			out = append(out, p.issueOrder(now, e))
		}
	}
	return out
}

// startTerm resets the state if a new term of the lease has begun: no order was
// sent in it yet. The loads that an earlier holder started in the last minute are
// unknown, so the rate limit counts as used up.
func (p *Planner) startTerm(status lease.Status) {
	if status.Fence == p.fence {
		return
	}
	p.fence = status.Fence
	for _, e := range p.engines {
		e.resetOrder()
	}
	p.loadStarts = slices.Repeat([]time.Time{status.Since}, p.opts.LoadsPerMinute)
}

// sortedIDs returns the engines' IDs in ascending order.
func (p *Planner) sortedIDs() []ids.Upstream {
	out := make([]ids.Upstream, 0, len(p.engines))
	for id := range p.engines {
		out = append(out, id)
	}
	slices.SortFunc(out, cmp.Compare[ids.Upstream])
	return out
}

// mayOrder reports whether an order to the engine is due and allowed now.
func (p *Planner) mayOrder(now time.Time, e *engine, status lease.Status) bool {
	switch {
	case e.inFlight || e.confirmed() || !p.present(now, e) || now.Before(e.notBefore):
		return false
	case !p.plans[e.service].ChecksFence && now.Sub(status.Since) < p.opts.OrderTimeout:
		return false
	case e.alreadyOrdered():
		return now.Sub(e.sentAt) >= p.opts.RetryInterval
	}
	return p.mayLoad(now, e)
}

// confirmed reports whether the engine holds its assignment: it accepted the order
// and its report shows the layers. Reports do not show the version.
func (e *engine) confirmed() bool {
	return e.applied && e.holds()
}

// holds reports whether the engine's report shows its assigned model and layers.
func (e *engine) holds() bool {
	r := e.report
	return r.Model == e.wanted.Model && r.First == e.wanted.First && r.Last == e.wanted.Last
}

// present reports whether the engine has a current report and is not leaving.
func (p *Planner) present(now time.Time, e *engine) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < p.opts.ReportTTL && !e.report.Leaving
}

// alreadyOrdered reports whether the current order was already sent to this engine
// process in this term.
func (e *engine) alreadyOrdered() bool { return !e.sentAt.IsZero() && e.orderEpoch == e.report.Epoch }

// loading reports whether the engine may be out of service because of a load.
func (p *Planner) loading(now time.Time, e *engine) bool {
	return !e.loadStart.IsZero() && !e.confirmed() && now.Sub(e.loadStart) < p.opts.LoadTimeout
}

// mayLoad reports whether the engine may start a load within the limits on rate and
// concurrency and without breaking the last complete chain.
func (p *Planner) mayLoad(now time.Time, e *engine) bool {
	p.loadStarts = slices.DeleteFunc(p.loadStarts, func(at time.Time) bool { return now.Sub(at) >= rateWindow })
	loading := 0
	for _, other := range p.engines {
		if other != e && p.loading(now, other) {
			loading++
		}
	}
	return len(p.loadStarts) < p.opts.LoadsPerMinute && loading < p.opts.MaxConcurrentLoads && p.chainSurvivesLoad(now, e)
}

// issueOrder returns the send of the engine's order and records it.
func (p *Planner) issueOrder(now time.Time, e *engine) Send {
	if !e.alreadyOrdered() {
		e.loadStart = now
		e.applied = false
		p.loadStarts = append(p.loadStarts, now)
	}
	e.inFlight = true
	e.sentAt = now
	e.orderEpoch = e.report.Epoch
	return Send{
		Engine: e.wanted.Engine,
		Order: engineapi.Order{
			Fence:   p.fence,
			Model:   e.wanted.Model,
			First:   e.wanted.First,
			Last:    e.wanted.Last,
			Version: e.wanted.Version,
		},
		Timeout:           p.opts.OrderTimeout,
		MinLeaseRemaining: p.opts.MinLeaseRemaining,
	}
}

// Ended processes the result of a Send. It reports whether the holder must step
// down because an engine has seen an order of a later term.
func (p *Planner) Ended(s Send, result Result) (stepDown bool) {
	e := p.engines[s.Engine]
	if e != nil {
		e.inFlight = false
	}
	if s.Order.Fence != p.fence {
		return false
	}
	if result == Stale {
		return true
	}
	if e == nil || e.sentAt.IsZero() || !e.wants(s.Order) {
		return false
	}
	switch result {
	case Applied:
		e.applied = true
	case Skipped, Refused:
		if !e.applied {
			e.notBefore = e.sentAt.Add(p.opts.RetryInterval)
			e.resetOrderAndLoad()
		}
	}
	return false
}

// wants reports whether the order is for the current assignment.
func (e *engine) wants(o engineapi.Order) bool {
	w := e.wanted
	return o.Model == w.Model && o.First == w.First && o.Last == w.Last && o.Version == w.Version
}
