package upstream

import "sync"

// DefaultEpochCapacity is the most engines whose epoch a Runner remembers by itself.
const DefaultEpochCapacity = 8192

// Epochs remembers the newest known process life of each engine, by address.
// A cancel's "not started" proves that a request did not run only when the
// engine still lives the life that was noted before the send. A lost or old
// note costs a proof, never the truth. Any goroutine may call it.
type Epochs struct {
	mu        sync.Mutex
	capacity  int
	byAddress map[string]string
}

// NewEpochs makes an empty Epochs that holds at most capacity engines.
func NewEpochs(capacity int) *Epochs {
	return &Epochs{capacity: max(capacity, 1), byAddress: make(map[string]string)}
}

// Record remembers the epoch seen at an address, for instance in a LoadReport.
// An empty epoch is not noted. When full, some other address is forgotten.
func (e *Epochs) Record(address, epoch string) {
	if epoch == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.byAddress[address]; !known && len(e.byAddress) >= e.capacity {
		e.forgetOne()
	}
	e.byAddress[address] = epoch
}

// forgetOne drops any one address.
func (e *Epochs) forgetOne() {
	for address := range e.byAddress {
		delete(e.byAddress, address)
		return
	}
}

// Get gives the epoch noted last for an address; empty when none is known.
func (e *Epochs) Get(address string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byAddress[address]
}
