package node

import (
	"context"
	"sync"
	"time"

	"mimosaarch.example/adapter/upstream"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/router"
)

// pollTimeout limits one load poll of an engine and one read of the list of
// VMs.
const pollTimeout = 500 * time.Millisecond

// fleetPoller reads the list of VMs from the platform and polls the load of
// engines.
type fleetPoller struct {
	node   *Node
	poller *upstream.Poller
	// vmListTicks counts the intervals of the list of VMs. Only one goroutine
	// uses it.
	vmListTicks int
	mu          sync.Mutex
	// engines holds the engines of the newest list of VMs, and revision is the
	// revision of that list.
	engines  map[ids.Upstream]platformapi.VM
	revision int64
	// pending marks the engines with a poll in progress, and extra those that are to be polled
	// once although another node polls them.
	pending, extra map[ids.Upstream]bool
}

// newFleetPoller creates the poller of a node.
func newFleetPoller(n *Node) *fleetPoller {
	return &fleetPoller{
		node:    n,
		poller:  upstream.NewPoller(pollTimeout),
		engines: make(map[ids.Upstream]platformapi.VM),
		pending: make(map[ids.Upstream]bool),
		extra:   make(map[ids.Upstream]bool),
	}
}

// runVMList reads the list of VMs at intervals until the node stops.
func (p *fleetPoller) runVMList() {
	p.runEvery(p.node.settings.VMListInterval, p.pollVMList)
}

// runLoads polls the load of engines at intervals until the node stops.
func (p *fleetPoller) runLoads() {
	p.runEvery(p.node.settings.PollInterval, p.pollLoads)
}

// runEvery calls do at once and then at each interval until the node stops.
func (p *fleetPoller) runEvery(interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-p.node.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fallbackReadTicks is the number of intervals after which a node reads the
// list of VMs although another node of the zone is responsible, in case that
// node fails to.
const fallbackReadTicks = 10

// pollVMList reads the list of VMs if it is this node's turn. One node of each
// zone reads it at each interval and passes it to the others. If the platform
// does not answer, the previous list remains in use.
func (p *fleetPoller) pollVMList() {
	p.vmListTicks++
	following := !p.node.ownsTask(vmListTask)
	after := p.knownRevision()
	if following && after > 0 && p.vmListTicks%fallbackReadTicks != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(p.node.ctx, pollTimeout)
	defer cancel()
	list, err := p.node.platform.VMs(ctx, after)
	if err != nil {
		p.node.telemetry.CountError("vm_list")
		return
	}
	if list.Revision <= after {
		return
	}
	if p.node.peers != nil {
		if err := p.node.peers.SetVMs(list); err != nil {
			p.node.telemetry.CountError("vm_list_ring_full")
		}
	}
	p.applyVMList(list)
}

// knownRevision returns the revision of the list in use, or 0 if there is none.
func (p *fleetPoller) knownRevision() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// applyVMList takes over a list of VMs and passes it to the router, which
// ignores a list older than its own. It is safe for concurrent use.
func (p *fleetPoller) applyVMList(list platformapi.VMList) {
	p.setEngines(list)
	p.node.postEvent(router.VMListReceived{List: list})
}

// setEngines replaces the engines by those of the list, unless a newer list is
// in use.
func (p *fleetPoller) setEngines(list platformapi.VMList) {
	engines := make(map[ids.Upstream]platformapi.VM)
	addresses := make(map[string]bool)
	for _, vm := range list.VMs {
		if vm.Role == platformapi.RoleEngine {
			engines[ids.Upstream(vm.ID)] = vm
			addresses[vm.Address] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Revision < p.revision {
		return
	}
	p.revision = list.Revision
	p.engines = engines
	p.poller.Retain(addresses)
}

// pollLoads starts a load poll for each engine assigned to this node, or in extra, that has
// no poll in progress.
func (p *fleetPoller) pollLoads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, vm := range p.engines {
		if p.extra[id] || p.isAssigned(id, vm) {
			p.startPoll(id)
		}
	}
}

// pollAlso has an engine polled at once, or when the poll in progress has ended.
func (p *fleetPoller) pollAlso(id ids.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extra[id] = true
	p.startPoll(id)
}

// startPoll starts a load poll of an engine unless one is in progress. If the pool is full, an
// engine in extra stays there until the next interval. The caller must hold mu.
func (p *fleetPoller) startPoll(id ids.Upstream) {
	vm, known := p.engines[id]
	if !known {
		delete(p.extra, id)
		return
	}
	if p.pending[id] {
		return
	}
	if err := p.node.pool.Go(func() { p.pollEngine(id, vm.Address) }); err == nil {
		p.pending[id] = true
		delete(p.extra, id)
	}
}

// pollEnded records the end of a load poll, and starts the next one if one is wanted.
func (p *fleetPoller) pollEnded(id ids.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
	if p.extra[id] {
		p.startPoll(id)
	}
}

// isAssigned reports whether this node polls the engine. The other nodes
// receive its load reports from this one.
func (p *fleetPoller) isAssigned(id ids.Upstream, vm platformapi.VM) bool {
	return p.node.peers == nil || p.node.peers.Polls(id, ids.Zone(vm.Zone))
}

// pollEngine polls the load of one engine and reports the result to the
// decision loop.
func (p *fleetPoller) pollEngine(id ids.Upstream, address string) {
	ctx, cancel := context.WithTimeout(p.node.ctx, pollTimeout)
	defer cancel()
	reported, err := p.fetch(ctx, address)
	report := reported.Report
	p.pollEnded(id)
	if err != nil || report.Engine != string(id) {
		p.node.telemetry.CountError("load_poll")
		p.node.postEvent(router.LoadPollFailed{Upstream: id})
		return
	}
	p.node.epochs.Record(address, report.Epoch)
	p.node.reportToOrders(report)
	p.node.postEvent(reported)
}

// fetch requests an engine's load report. The report is dated at the start of
// the request, because the engine may fail between sending the report and its
// arrival here.
func (p *fleetPoller) fetch(ctx context.Context, address string) (router.LoadReported, error) {
	start := time.Now()
	report, err := p.poller.Fetch(ctx, address)
	return router.LoadReported{Report: report, At: start}, err
}
