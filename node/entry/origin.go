package entry

import (
	"time"

	"github.com/rs/zerolog"

	"mimosaarch.example/adapter/relay"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/ids"
)

// origin is whom news came from.
type origin struct {
	// from is "store", "peer", or what the node itself noticed.
	from string
	// peer is the node that told it, with how long ago the store had last answered
	// that one, over how many hops, and how long the question to it took.
	peer ids.VM
	age  time.Duration
	hops int
	took time.Duration
}

// fromStore is the origin of the store's own answers.
var fromStore = origin{from: "store"}

// fromPeer is the origin of a peer's news, asked for at a moment.
func fromPeer(peer ids.VM, news *relay.Update, asked time.Time) origin {
	return origin{
		from: "peer", peer: peer, age: time.Duration(news.AgeMs) * time.Millisecond, hops: news.Hops,
		took: boottime.Now().Sub(asked),
	}
}

// log adds the origin to a line.
func (o origin) log(line *zerolog.Event) *zerolog.Event {
	line.Str("from", o.from)
	if o.peer != "" {
		line.Str("peer", string(o.peer)).Dur("age_ms", o.age).Int("hops", o.hops).Dur("took_ms", o.took)
	}
	return line
}
