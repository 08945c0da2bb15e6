package entry

import (
	"context"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/decide/backpressure"
)

// maxQueuedLimits is the most notices about rate limits that wait to be sent.
const maxQueuedLimits = 64

// ApplyLimit implements relay.Source. It applies a notice received from a peer.
func (n *Node) ApplyLimit(notice backpressure.LimitNotice) { n.server.AddLimit(notice) }

// sendLimit sends a notice to all other nodes. A node that it does not reach learns the
// limit, and its end, from the upstream's own responses.
func (n *Node) sendLimit(ctx context.Context, notice backpressure.LimitNotice) {
	n.broadcast(func(peer string) error { return relay.SendLimit(ctx, peer, notice) })
}
