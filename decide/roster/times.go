package roster

import "time"

// A change must take effect on every node within 2 s of its acknowledgement. After that,
// an upstream that leaves the fleet must get no new requests. Half a second of the 2 s is
// reserved for links and requests in flight. An update passes up to two nodes on its
// way, and each node polls its sources in turn, so a limit on one poll limits the whole
// delay.
const (
	// PeerPollWait is how long a peer may hold a poll open until it has an update. After
	// it the node polls the next source, in case this one is cut off.
	PeerPollWait = 300 * time.Millisecond
	// PeerReadTimeout is how long a peer may send nothing, once the wait of the poll is
	// over, before it counts as frozen. A peer that is still sending does not time out.
	PeerReadTimeout = 300 * time.Millisecond
	// MaxAge is the maximum age of the view of a watcher whose probes are answered in
	// time.
	MaxAge = 1500 * time.Millisecond
	// maxHopDelay is the age that each node on the way may add: its poll wait and the
	// network delay.
	maxHopDelay = time.Second
	// MaxHops is the maximum number of nodes between the store and a peer that may be
	// polled. One allows polling watchers and zone relays. Without the limit, nodes with
	// different lists of the fleet could poll each other in a cycle.
	MaxHops = 1
)

// Fresh reports whether a peer's view of the store is recent enough to use. age is the
// time since the store last answered, and hops the number of nodes between the store and
// that peer.
func Fresh(age time.Duration, hops int) bool {
	return hops <= MaxHops && age <= MaxAge+time.Duration(hops)*maxHopDelay
}
