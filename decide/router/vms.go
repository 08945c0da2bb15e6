package router

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
)

// vmsSeen takes in the platform's list of VMs, unless it is older than the
// one in use.
func (r *Router) vmsSeen(ev VMListReceived) {
	if ev.List.Revision < r.vmsRevision {
		return
	}
	if r.vmsRevision == 0 {
		r.firstList = r.now
	}
	r.vmsRevision = ev.List.Revision
	for _, u := range r.upstreams {
		u.listed = false
	}
	r.vms = make(map[ids.VM]bool)
	for _, vm := range ev.List.VMs {
		r.vmSeen(vm)
	}
	for id, u := range r.upstreams {
		if !u.listed && len(u.running) == 0 {
			delete(r.upstreams, id)
			r.book.Forget(id)
		}
	}
	r.limiter.SetFleet(r.now, max(1, len(r.vms)))
	r.rebuildAll()
}

// vmSeen takes in one VM of the list.
func (r *Router) vmSeen(vm platformapi.VM) {
	switch vm.Role {
	case platformapi.RoleEntry:
		if vm.State == platformapi.StateLive {
			r.vms[ids.VM(vm.ID)] = true
		}
	case platformapi.RoleEngine, platformapi.RolePlain:
		r.upstreamSeen(vm)
	}
}

// upstreamSeen takes in one upstream of the list.
func (r *Router) upstreamSeen(vm platformapi.VM) {
	id := ids.Upstream(vm.ID)
	u := r.upstreams[id]
	if u == nil {
		u = &upstream{
			running:      make(map[ids.Request]*request),
			leavingPeers: make(map[ids.VM]bool),
			firstListed:  r.now,
		}
		r.upstreams[id] = u
	}
	u.listed = true
	u.model = vm.Role == platformapi.RoleEngine
	u.engine.ID = id
	u.engine.Address = vm.Address
	u.engine.Zone = ids.Zone(vm.Zone)
	u.engine.Service = ids.Service(vm.Service)
	u.leavingListed = vm.State == platformapi.StateLeaving
}
