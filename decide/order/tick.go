package order

import (
	"cmp"
	"slices"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
)

// Reported takes an engine's report of itself, received at now. Reports of
// engines that no plan names are ignored.
func (p *Planner) Reported(now time.Time, r engineapi.LoadReport) {
	e := p.engines[ids.Upstream(r.Engine)]
	if e == nil {
		return
	}
	if e.applied && r.Epoch != e.epoch {
		// A new process life holds nothing of what was ordered.
		e.forget()
	}
	e.report = r
	e.reported = now
}

// Tick gives the orders to send now, under the lease's status at now.
func (p *Planner) Tick(now time.Time, status lease.Status) []Send {
	if !status.Held {
		return nil
	}
	p.enter(status)
	if status.Left < p.opts.MinLeaseRemaining {
		return nil
	}
	var out []Send
	for _, id := range p.names() {
		e := p.engines[id]
		if p.mayOrder(now, e, status) {
			out = append(out, p.order(now, e))
		}
	}
	return out
}

// enter begins a term: nothing was ordered in it yet. What an earlier holder
// loaded in the last minute is not known, so the rate counts as used up.
func (p *Planner) enter(status lease.Status) {
	if status.Fence == p.fence {
		return
	}
	p.fence = status.Fence
	for _, e := range p.engines {
		e.again()
	}
	p.loads = slices.Repeat([]time.Time{status.Since}, p.opts.LoadsPerMinute)
}

// names lists the engines in order.
func (p *Planner) names() []ids.Upstream {
	out := make([]ids.Upstream, 0, len(p.engines))
	for id := range p.engines {
		out = append(out, id)
	}
	slices.SortFunc(out, cmp.Compare[ids.Upstream])
	return out
}

// mayOrder reports whether an engine is to be given its order now.
func (p *Planner) mayOrder(now time.Time, e *engine, status lease.Status) bool {
	switch {
	case e.busy || e.confirmed() || !p.present(now, e) || now.Before(e.notBefore):
		return false
	case !p.plans[e.service].ChecksFence && now.Sub(status.Since) < p.opts.OrderTimeout:
		return false
	case e.repeat():
		return now.Sub(e.sent) >= p.opts.RetryInterval
	}
	return p.mayLoad(now, e)
}

// confirmed reports whether the engine holds what is wanted: its report shows
// the layers and it has taken the order. Reports don't show the version.
func (e *engine) confirmed() bool {
	return e.applied && e.holds()
}

// holds reports whether the engine's report shows what is wanted.
func (e *engine) holds() bool {
	r := e.report
	return r.Model == e.wanted.Model && r.First == e.wanted.First && r.Last == e.wanted.Last
}

// present reports whether the engine is there to be ordered.
func (p *Planner) present(now time.Time, e *engine) bool {
	return !e.reported.IsZero() && now.Sub(e.reported) < p.opts.ReportTTL && !e.report.Leaving
}

// repeat reports whether the engine was given this order in its process life.
func (e *engine) repeat() bool { return !e.sent.IsZero() && e.epoch == e.report.Epoch }

// loading reports whether the engine may be out of work for a load.
func (p *Planner) loading(now time.Time, e *engine) bool {
	return !e.began.IsZero() && !e.confirmed() && now.Sub(e.began) < p.opts.LoadTimeout
}

// mayLoad reports whether one more load may begin.
func (p *Planner) mayLoad(now time.Time, e *engine) bool {
	p.loads = slices.DeleteFunc(p.loads, func(at time.Time) bool { return now.Sub(at) >= rateWindow })
	atOnce := 0
	for _, other := range p.engines {
		if other != e && p.loading(now, other) {
			atOnce++
		}
	}
	return len(p.loads) < p.opts.LoadsPerMinute && atOnce < p.opts.MaxConcurrentLoads && p.chainStays(now, e)
}

// order gives an engine its order.
func (p *Planner) order(now time.Time, e *engine) Send {
	if !e.repeat() {
		e.began = now
		e.applied = false
		p.loads = append(p.loads, now)
	}
	e.busy = true
	e.sent = now
	e.epoch = e.report.Epoch
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

// Ended takes what came of a Send. It reports whether the lease's holder must
// step down: an engine has seen an order of a later term.
func (p *Planner) Ended(s Send, result Result) (stepDown bool) {
	e := p.engines[s.Engine]
	if e != nil {
		e.busy = false
	}
	if s.Order.Fence != p.fence {
		return false
	}
	if result == Stale {
		return true
	}
	if e == nil || e.sent.IsZero() || !e.asked(s.Order) {
		return false
	}
	switch result {
	case Applied:
		e.applied = true
	case Skipped, Refused:
		if !e.applied {
			e.notBefore = e.sent.Add(p.opts.RetryInterval)
			e.forget()
		}
	}
	return false
}

// asked reports whether an order is the one wanted now.
func (e *engine) asked(o engineapi.Order) bool {
	w := e.wanted
	return o.Model == w.Model && o.First == w.First && o.Last == w.Last && o.Version == w.Version
}
