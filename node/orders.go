package node

import (
	"mimosaarch.example/adapter/orders"
	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lease"
)

// ordersTask is the task of giving orders to engines. Each zone has one
// candidate for the lease that allows a single node of the fleet to do it.
const ordersTask = "orders"

// newOrders creates the controller that gives orders to engines while it holds
// the lease.
func (n *Node) newOrders(store orders.Platform) *orders.Controller {
	return orders.New(orders.Options{
		Lease:     lease.Options{Holder: string(n.newID())},
		Platform:  store,
		Address:   n.polls.address,
		Candidate: func() bool { return n.ownsTask(ordersTask) },
		Count:     func(c orders.Counter, by int64) { n.telemetry.Add(string(c), by) },
	})
}

// reportToOrders passes the load report of an engine to the orders controller. A
// report that the controller does not accept is only counted, because the next
// one replaces it.
func (n *Node) reportToOrders(report engineapi.LoadReport) {
	if err := n.orders.Reported(report); err != nil {
		n.telemetry.CountError("order_report_not_taken")
	}
}

// address returns the address of an engine in the list of VMs, or an empty
// string if it is not listed.
func (p *fleetPoller) address(id ids.Upstream) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[id].Address
}
