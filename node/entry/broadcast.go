package entry

import (
	"context"

	"github.com/alitto/pond/v2"

	"mimosaarch.example/node/telemetry"
)

// outbox queues messages for all other nodes, so that those who have them do not wait for
// calls.
type outbox[M any] struct {
	queue   chan M
	metrics *telemetry.Telemetry
	// dropped is the counter of messages that were dropped because the queue was full.
	dropped string
}

// newOutbox returns an empty outbox for up to size messages.
func newOutbox[M any](size int, metrics *telemetry.Telemetry, dropped string) *outbox[M] {
	return &outbox[M]{queue: make(chan M, size), metrics: metrics, dropped: dropped}
}

// add queues a message. It drops and counts the message if the queue is full, and reports whether
// it was queued.
func (o *outbox[M]) add(m M) bool {
	select {
	case o.queue <- m:
		return true
	default:
		o.metrics.Add(o.dropped, 1)
		return false
	}
}

// run calls send with one message after another until ctx ends.
func (o *outbox[M]) run(ctx context.Context, send func(context.Context, M)) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.queue:
			send(ctx, m)
		}
	}
}

// maxBroadcastCalls is how many calls of a broadcast run at once. A peer that does not
// answer keeps one of them for a second.
const maxBroadcastCalls = 8

// broadcast calls send with the address of each other node. It returns when all calls have
// ended. A call that fails is not repeated.
func (n *Node) broadcast(send func(peer string) error) {
	pool := pond.NewPool(maxBroadcastCalls)
	for _, m := range n.fleet.others() {
		pool.Submit(func() {
			if err := send(m.PeerAddress); err != nil {
				n.log.Debug().Str("event", "peer_silent").Err(err).Send()
			}
		})
	}
	pool.StopAndWait()
}
