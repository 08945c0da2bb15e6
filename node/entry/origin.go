package entry

import (
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
)

// origin describes where a change came from, for logs.
type origin struct {
	// from is "store", "peer", or the event on this node that caused the
	// change.
	from string
	// peer is the node that reported the change. age is the time since the
	// store had last answered that node, hops the number of nodes that passed
	// the answer on, and took the duration of the request to the peer.
	peer ids.VM
	age  time.Duration
	hops int
	took time.Duration
}

// fromStore is the origin of changes read from the store.
var fromStore = origin{from: "store"}

// fromPeer returns the origin of a peer's update. askedAt is the time at which
// the peer was asked.
func fromPeer(peer ids.VM, update *relay.Update, askedAt time.Time) origin {
	return origin{
		from: "peer", peer: peer, age: time.Duration(update.AgeMs) * time.Millisecond, hops: update.Hops,
		took: boottime.Now().Sub(askedAt),
	}
}

// addTo adds the origin to a log line.
func (o origin) addTo(line *zerolog.Event) *zerolog.Event {
	line.Str("from", o.from)
	if o.peer != "" {
		line.Str("peer", string(o.peer)).Dur("age_ms", o.age).Int("hops", o.hops).Dur("took_ms", o.took)
	}
	return line
}
