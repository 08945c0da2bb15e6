package entry

import (
	"mimosaarch.example/core/revision"
)

// ObserveEpoch records that the store is in an epoch, as a response of the store or a peer
// has told. A later one than the known one means that the store was restored from an older
// copy: it has lost its latest changes, leases among them. It does not block, and is safe for
// concurrent use.
func (n *Node) ObserveEpoch(epoch int64) {
	for {
		known := n.epoch.Load()
		if epoch <= known {
			return
		}
		if n.epoch.CompareAndSwap(known, epoch) {
			break
		}
	}
	n.elector.ObserveEpoch(epoch)
	n.membership.listNow()
}

// DroppedResponse counts and logs a response of the store that was dropped because of its
// epoch.
func (n *Node) DroppedResponse(err error) {
	n.metrics.Add("store.responses_dropped", 1)
	n.log.Warn().Str("event", "response_dropped").Err(err).Send()
}

// epochChange describes how the directory has entered a later epoch of the store.
type epochChange struct {
	// before and after are the revisions of the directory.
	before, after revision.Revision
	// missing is the number of active entries that the store lacks, and deferred that of
	// listed entries that are older than what the node knows.
	missing, deferred int
	from              origin
}

// logEpoch counts and logs a change of the store's epoch.
func (n *Node) logEpoch(c epochChange) {
	n.metrics.Add("store.epochs_began", 1)
	version, _ := n.configs.version()
	c.from.addTo(n.log.Warn().Str("event", "store_restored")).Int64("epoch_before", c.before.Epoch).Int64("epoch", c.after.Epoch).
		Int64("revision_before", c.before.Number).Int64("revision", c.after.Number).
		Int("awaited", c.missing).Int("deferred", c.deferred).Int64("version", version).Send()
}
