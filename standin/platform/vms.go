package platform

import (
	"sync"
	"time"

	"mimosaarch.example/core/platformapi"
)

// VMsControl replaces the published list of VMs LagMs milliseconds later.
type VMsControl struct {
	VMs   []platformapi.VM `json:"vms"`
	LagMs int64            `json:"lag_ms,omitempty"`
}

// vmList holds the published list of VMs. It is safe for concurrent use.
type vmList struct {
	mu   sync.Mutex
	list platformapi.VMList
	// sequence is the number of the latest replacement requested, applied that of the
	// published one. They prevent a replacement with a long lag from undoing one that
	// was requested later.
	sequence, applied int64
}

// get returns the published list.
func (l *vmList) get() platformapi.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

// newerThan returns the published list, without its VMs if its revision is not above
// the given one. A revision of zero always returns the VMs.
func (l *vmList) newerThan(revision int64) platformapi.VMList {
	list := l.get()
	if revision > 0 && list.Revision <= revision {
		list.VMs = nil
	}
	return list
}

// set replaces the list after the lag of c. The caller must not modify c.VMs
// afterwards.
func (l *vmList) set(c VMsControl) {
	l.mu.Lock()
	l.sequence++
	sequence := l.sequence
	l.mu.Unlock()
	if c.LagMs <= 0 {
		l.apply(sequence, c.VMs)
		return
	}
	time.AfterFunc(time.Duration(c.LagMs)*time.Millisecond, func() { l.apply(sequence, c.VMs) })
}

// apply publishes a list under the next revision, unless a replacement with a higher
// sequence number was already published.
func (l *vmList) apply(sequence int64, vms []platformapi.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sequence <= l.applied {
		return
	}
	l.applied = sequence
	if vms == nil {
		vms = []platformapi.VM{}
	}
	l.list = platformapi.VMList{Revision: l.list.Revision + 1, VMs: vms}
}
