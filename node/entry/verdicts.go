package entry

import (
	"context"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/decide/quarantine"
)

// maxQueuedVerdicts is the capacity of the queue of verdicts to send to other
// nodes. Further verdicts are dropped and counted. Each verdict results from
// two crashed upstreams.
const maxQueuedVerdicts = 64

// queueVerdict queues a verdict of this node's server for all other nodes.
func (n *Node) queueVerdict(v quarantine.Verdict) {
	select {
	case n.verdicts <- v:
	default:
		n.metrics.Add("verdicts.dropped", 1)
	}
}

// ApplyVerdict implements relay.Source. It applies a verdict received from a peer.
func (n *Node) ApplyVerdict(v quarantine.Verdict) {
	n.log.Info().Str("event", "quarantine_heard").Str("fingerprint", string(v.Fingerprint)).Dur("for_ms", v.For).Send()
	n.server.AddVerdict(v)
}

// sendVerdicts sends queued verdicts to all other nodes until ctx ends. A
// failed call is not repeated, because that node can reach the same verdict on
// its own.
func (n *Node) sendVerdicts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-n.verdicts:
			n.broadcast(func(peer string) error { return relay.SendVerdict(ctx, peer, v) })
		}
	}
}
