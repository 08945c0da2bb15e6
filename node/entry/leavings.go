package entry

import (
	"context"
	"time"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/ids"
)

const (
	// maxQueuedLeavings is the most leaving upstreams that wait to be told to other nodes.
	maxQueuedLeavings = 256
	// leavingNoticeDelay is how long a node waits for the store, which normally tells all
	// nodes, before it tells them itself that an upstream is leaving.
	leavingNoticeDelay = 300 * time.Millisecond
)

// saidLeaving is an upstream that has told this node that it is leaving.
type saidLeaving struct {
	upstream ids.Instance
	at       time.Time
}

// recordLeaving applies an upstream's own word that it is leaving, and queues it for all
// other nodes if it is news.
func (n *Node) recordLeaving(instance ids.Instance) {
	if n.upstreams.recordLeaving(instance) {
		_ = n.leavings.add(saidLeaving{instance, time.Now()}) // a dropped one is counted
	}
}

// ApplyLeaving implements relay.Source. It applies a notice received from a peer.
func (n *Node) ApplyLeaving(instance ids.Instance) { n.upstreams.toldLeaving(instance) }

// sendLeaving tells all other nodes of an upstream that is leaving, unless the store or a
// peer does so within leavingNoticeDelay. A node that the notice does not reach learns it
// from the store or from the upstream.
func (n *Node) sendLeaving(ctx context.Context, said saidLeaving) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(said.at.Add(leavingNoticeDelay))):
	}
	if !n.upstreams.leavingConfirmed(said.upstream) {
		n.broadcast(func(peer string) error { return relay.SendLeaving(ctx, peer, said.upstream) })
	}
}
