package upstream

import "sync"

// DefaultEpochCapacity is the default number of engines that an Epochs holds.
const DefaultEpochCapacity = 8192

// Epochs records the last known epoch of each engine by address. An epoch
// identifies one run of the engine's process.
//
// The reply "not started" to a cancel proves that a request did not run only if the
// engine is still in the epoch that was recorded before the send. With a missing or
// outdated record the proof fails, so the request counts as possibly run; it never
// counts as not run by mistake. Methods may be called from any goroutine.
type Epochs struct {
	mu        sync.Mutex
	capacity  int
	byAddress map[string]string
}

// NewEpochs returns an empty Epochs that holds at most capacity engines, at least
// one.
func NewEpochs(capacity int) *Epochs {
	return &Epochs{capacity: max(capacity, 1), byAddress: make(map[string]string)}
}

// Record stores the epoch seen at an address, for instance in a LoadReport. An
// empty epoch is ignored. If e is full, an arbitrary other address is dropped.
func (e *Epochs) Record(address, epoch string) {
	if epoch == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.byAddress[address]; !known && len(e.byAddress) >= e.capacity {
		e.dropAny()
	}
	e.byAddress[address] = epoch
}

// dropAny drops an arbitrary address.
func (e *Epochs) dropAny() {
	for address := range e.byAddress {
		delete(e.byAddress, address)
		return
	}
}

// Get returns the epoch last recorded for an address, or "" if there is none.
func (e *Epochs) Get(address string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byAddress[address]
}
