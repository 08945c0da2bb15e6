package router

import (
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/platformapi"
)

// vmListReceived applies the platform's list of VMs, unless it is older than the
// one in use.
func (r *Router) vmListReceived(ev VMListReceived) {
	if ev.List.Revision < r.vmsRevision {
		return
	}
	if r.vmsRevision == 0 {
		r.firstVMList = r.now
	}
	r.vmsRevision = ev.List.Revision
	for _, u := range r.upstreams {
		u.listed = false
	}
	r.entryVMs = make(map[ids.VM]bool)
	for _, vm := range ev.List.VMs {
		r.addVM(vm)
	}
	for id, u := range r.upstreams {
		if !u.listed && len(u.running) == 0 {
			delete(r.upstreams, id)
			r.loads.Forget(id)
		}
	}
	r.limiter.SetVMCount(r.now, max(1, len(r.entryVMs)))
	r.rebuildAll()
}

// addVM adds one VM of the list.
func (r *Router) addVM(vm platformapi.VM) {
	switch vm.Role {
	case platformapi.RoleEntry:
		if vm.State == platformapi.StateLive {
			r.entryVMs[ids.VM(vm.ID)] = true
		}
	case platformapi.RoleEngine, platformapi.RolePlain:
		r.addUpstream(vm)
	}
}

// addUpstream adds or updates one upstream of the list.
func (r *Router) addUpstream(vm platformapi.VM) {
	id := ids.Upstream(vm.ID)
	u := r.upstreams[id]
	if u == nil {
		u = &upstream{
			running:         make(map[ids.Request]*request),
			leavingPerPeers: make(map[ids.VM]bool),
			firstListed:     r.now,
		}
		r.upstreams[id] = u
	}
	u.listed = true
	u.isModel = vm.Role == platformapi.RoleEngine
	u.engine.ID = id
	u.engine.Address = vm.Address
	u.engine.Zone = ids.Zone(vm.Zone)
	u.engine.Service = ids.Service(vm.Service)
	u.leavingPerList = vm.State == platformapi.StateLeaving
}
