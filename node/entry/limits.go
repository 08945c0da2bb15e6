package entry

import (
	"context"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/decide/backpressure"
)

// maxQueuedLimits is the capacity of the queue of limits to send to other nodes. Further
// ones are dropped and counted.
const maxQueuedLimits = 64

// queueLimit queues a notice about the rate limit of an upstream for all other nodes.
func (n *Node) queueLimit(notice backpressure.LimitNotice) {
	select {
	case n.limits <- notice:
	default:
		n.metrics.Add("limits.dropped", 1)
	}
}

// ApplyLimit implements relay.Source. It applies a notice received from a peer.
func (n *Node) ApplyLimit(notice backpressure.LimitNotice) { n.server.AddLimit(notice) }

// sendLimits sends queued notices to all other nodes until ctx ends. A node that a notice
// does not reach learns the limit, and its end, from the upstream's own responses.
func (n *Node) sendLimits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case notice := <-n.limits:
			n.broadcast(func(peer string) error { return relay.SendLimit(ctx, peer, notice) })
		}
	}
}
