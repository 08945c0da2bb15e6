package entry

import "github.com/alitto/pond/v2"

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
