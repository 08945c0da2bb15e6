package lossnotice

import (
	"slices"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/backpressure"
	"mimosaarch.example/decide/fnvhash"
)

const (
	// watchersPerEngine is how many nodes watch an engine, so that one may be cut off.
	watchersPerEngine = 2
	// watchDialInterval is the least time between two dials of a watch connection. An engine
	// may close connections on which nothing is sent after a few seconds.
	watchDialInterval = 5 * time.Second
	// announceSpread is the time over which the nodes that find a loss at once announce it. A
	// notice arrives within a few milliseconds, so most of them hear of it before their turn.
	announceSpread = 20 * time.Millisecond
)

// Watchers returns the nodes that watch an engine, two unless the fleet is smaller. They are
// the same for all nodes with the same list, and change for few engines when a node joins or
// leaves it.
func Watchers(id ids.Instance, nodes []ids.VM) []ids.VM {
	ranked := backpressure.Keepers(id, nodes)
	return ranked[:min(watchersPerEngine, len(ranked))]
}

// AnnounceDelay returns how long the node self waits for a notice of another node before it
// sends its own about an engine: not at all as a watcher of the engine, or else for a part of
// announceSpread that follows from the rendezvous hash.
func AnnounceDelay(self ids.VM, id ids.Instance, nodes []ids.VM) time.Duration {
	if slices.Contains(Watchers(id, nodes), self) {
		return 0
	}
	return time.Duration((1 - fnvhash.Rank(string(self), id.String())) * float64(announceSpread))
}

// WatchList holds the engines that one node watches. Create it with NewWatchList.
type WatchList struct {
	self ids.VM
	// digest is that of the list of nodes by which watched was decided.
	digest  uint64
	watched map[ids.Instance]bool
}

// NewWatchList returns the list of a node that watches no engine.
func NewWatchList(self ids.VM) *WatchList { return &WatchList{self: self} }

// Update returns those of the engines that the node watches, none in a fleet of fewer than
// MinNodes. nodes are the nodes of the fleet, and digest identifies that list. The decision on
// an engine is made again only when the list changes.
func (w *WatchList) Update(nodes []ids.VM, digest uint64, engines []ids.Instance) []ids.Instance {
	if len(nodes) < MinNodes {
		return nil
	}
	known := w.watched
	if w.digest != digest {
		known = nil
	}
	w.digest, w.watched = digest, make(map[ids.Instance]bool, len(engines))
	var mine []ids.Instance
	for _, id := range engines {
		watched, decided := known[id]
		if !decided {
			watched = slices.Contains(Watchers(id, nodes), w.self)
		}
		w.watched[id] = watched
		if watched {
			mine = append(mine, id)
		}
	}
	return mine
}

// Watch decides when the watch connection to one engine is dialed, and what a failed dial
// means. The zero value has not dialed yet.
type Watch struct {
	// dialedAt is when the latest dial began, zero before the first.
	dialedAt time.Time
	// hurriedAt is when a dial was last made before watchDialInterval had passed.
	hurriedAt time.Time
	// connected is true if the latest dial connected.
	connected bool
}

// Wait returns the time until the next dial, after the latest one failed or its connection
// ended. reset is true if the connection was reset, after which the dial may come earlier,
// once in watchDialInterval.
func (w *Watch) Wait(now time.Time, reset bool) time.Duration {
	if w.dialedAt.IsZero() {
		return 0
	}
	dueAt := w.dialedAt.Add(watchDialInterval)
	if reset && now.Before(dueAt) && (w.hurriedAt.IsZero() || now.Sub(w.hurriedAt) >= watchDialInterval) {
		w.hurriedAt = now
		dueAt = w.dialedAt.Add(minDialInterval)
	}
	return max(dueAt.Sub(now), 0)
}

// Dialed records the result of a dial that began at a time. It reports whether the engine is
// lost: the dial was refused, and the one before it connected. An engine that has never
// accepted a connection of this node may not have begun to listen.
func (w *Watch) Dialed(began time.Time, connected, refused bool) (lost bool) {
	lost = refused && w.connected
	w.dialedAt, w.connected = began, connected
	return lost
}
