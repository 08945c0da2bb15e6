package entry

import (
	"context"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/decide/quarantine"
)

// maxVerdicts is the most verdicts that wait to be told; further ones are
// dropped and counted. Each stands for two crashed upstreams.
const maxVerdicts = 64

// judged takes a verdict of the own server's, to be told to all other nodes.
func (n *Node) judged(v quarantine.Verdict) {
	select {
	case n.verdicts <- v:
	default:
		n.metrics.Add("verdicts.dropped", 1)
	}
}

// ApplyVerdict implements relay.Source.
func (n *Node) ApplyVerdict(v quarantine.Verdict) {
	n.log.Info().Str("event", "quarantine_heard").Str("fingerprint", string(v.Fingerprint)).Dur("for_ms", v.For).Send()
	n.server.AddVerdict(v)
}

// tellVerdicts tells the other nodes of verdicts until ctx ends. One that does
// not answer finds out by itself.
func (n *Node) tellVerdicts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-n.verdicts:
			for _, m := range n.fleet.others() {
				if err := relay.SendVerdict(ctx, m.PeerAddress, v); err != nil {
					n.log.Debug().Str("event", "peer_silent").Err(err).Send()
				}
			}
		}
	}
}
