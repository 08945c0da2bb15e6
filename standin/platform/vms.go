package platform

import (
	"sync"
	"time"

	"mimosaarch.example/core/platformapi"
)

// VMsControl replaces the list of VMs, after a lag.
type VMsControl struct {
	VMs   []platformapi.VM `json:"vms"`
	LagMs int64            `json:"lag_ms,omitempty"`
}

// vmList is the published list of VMs. It is safe for concurrent use.
type vmList struct {
	mu   sync.Mutex
	list platformapi.VMList
	// order counts the replacements asked for; applied is the newest in force,
	// so that one with a long lag can't undo a later one.
	order, applied int64
}

// get gives the list in force.
func (l *vmList) get() platformapi.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

// after gives the list in force, without VMs when it is not above a revision.
func (l *vmList) after(revision int64) platformapi.VMList {
	list := l.get()
	if revision > 0 && list.Revision <= revision {
		list.VMs = nil
	}
	return list
}

// set replaces the list after a lag; the slice must not be changed afterwards.
func (l *vmList) set(c VMsControl) {
	l.mu.Lock()
	l.order++
	order := l.order
	l.mu.Unlock()
	if c.LagMs <= 0 {
		l.apply(order, c.VMs)
		return
	}
	time.AfterFunc(time.Duration(c.LagMs)*time.Millisecond, func() { l.apply(order, c.VMs) })
}

// apply puts a list in force unless a later one already is.
func (l *vmList) apply(order int64, vms []platformapi.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if order <= l.applied {
		return
	}
	l.applied = order
	if vms == nil {
		vms = []platformapi.VM{}
	}
	l.list = platformapi.VMList{Revision: l.list.Revision + 1, VMs: vms}
}
