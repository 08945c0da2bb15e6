package node

import (
	"mimosaarch.example/adapter/orders"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
)

// ordersTask names the orders to engines in the shares of a zone's nodes. Each
// zone has one candidate for the fleet's one lease.
const ordersTask = "orders"

// newOrders makes the duty that gives engines their orders while it holds the
// lease.
func (n *Node) newOrders(store orders.Platform) *orders.Controller {
	return orders.New(orders.Options{
		Lease:     lease.Options{Holder: string(n.newID())},
		Platform:  store,
		Address:   n.polls.address,
		Candidate: func() bool { return n.ownsTask(ordersTask) },
		Count:     func(c orders.Counter, by int64) { n.telemetry.Add(string(c), by) },
	})
}

// orderReported tells the duty what an engine holds. One report lost is made
// good by the next.
func (n *Node) orderReported(report engineapi.LoadReport) {
	if err := n.orders.Reported(report); err != nil {
		n.telemetry.CountError("order_report_not_taken")
	}
}

// address gives a listed engine's address; empty when it is not listed.
func (p *fleetPoller) address(id ids.Upstream) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[id].Address
}
