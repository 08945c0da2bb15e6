package entry

import (
	"context"
	"time"

	"mimosaarch.example/adapter/forward"
	"mimosaarch.example/adapter/relay"
)

// maxVerdicts is the most verdicts that wait to be told; further ones are
// dropped and counted. Each stands for two crashed upstreams.
const maxVerdicts = 64

// judged takes a verdict of the own server's, to be told to all other nodes.
func (n *Node) judged(v forward.Verdict) {
	select {
	case n.verdicts <- v:
	default:
		n.metrics.Add("verdicts.dropped", 1)
	}
}

// Judged implements relay.Source.
func (n *Node) Judged(v relay.Verdict) {
	n.log.Info().Str("event", "quarantine_heard").Str("fingerprint", string(v.Fingerprint)).Int64("for_ms", v.ForMs).Send()
	n.server.Told(forward.Verdict{Fingerprint: v.Fingerprint, For: time.Duration(v.ForMs) * time.Millisecond})
}

// tellVerdicts tells the other nodes of verdicts until ctx ends. One that does
// not answer finds out by itself.
func (n *Node) tellVerdicts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-n.verdicts:
			told := relay.Verdict{Fingerprint: v.Fingerprint, ForMs: v.For.Milliseconds()}
			for _, m := range n.watchers.others() {
				if err := relay.Tell(ctx, m.Peer, told); err != nil {
					n.log.Debug().Str("event", "peer_silent").Err(err).Send()
				}
			}
		}
	}
}
