package entry

import (
	"context"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/decide/quarantine"
)

// maxQueuedVerdicts is the most verdicts that wait to be sent. Each verdict results from
// two crashed upstreams.
const maxQueuedVerdicts = 64

// ApplyVerdict implements relay.Source. It applies a verdict received from a peer.
func (n *Node) ApplyVerdict(v quarantine.Verdict) {
	n.log.Info().Str("event", "quarantine_heard").Str("fingerprint", string(v.Fingerprint)).Dur("for_ms", v.For).Send()
	n.server.AddVerdict(v)
}

// sendVerdict sends a verdict of this node's server to all other nodes. A node that it does
// not reach can reach the same verdict on its own.
func (n *Node) sendVerdict(ctx context.Context, v quarantine.Verdict) {
	n.broadcast(func(peer string) error { return relay.SendVerdict(ctx, peer, v) })
}
