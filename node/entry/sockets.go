package entry

import (
	"net"

	"mimosaarch.example/adapter/connlimit"
)

// Parts of the process's sockets. The rest is for the store, and for calls to peers and engines.
const (
	// callerSocketFraction is the part of the sockets for callers, and upstreamSocketFraction that
	// for connections to upstreams, about one for each request that is being served.
	callerSocketFraction   = 0.45
	upstreamSocketFraction = 0.3
	// peerSocketFraction is the part for connections of peers, and detourSocketFraction that for
	// connections to upstreams for peers.
	peerSocketFraction   = 0.12
	detourSocketFraction = 0.06
	// simpleSocketFraction is the part for each of the listeners for readiness checks and metrics.
	simpleSocketFraction = 0.02
	// mostSimpleConnections bounds the connections to each of these listeners.
	mostSimpleConnections = 16
)

// part returns a part of the sockets, 0 if their number is not known.
func part(sockets int, fraction float64) int { return int(float64(sockets) * fraction) }

// maxSimpleConnections returns the most connections to the listener for readiness checks or
// metrics.
func maxSimpleConnections(sockets int) int {
	if sockets == 0 {
		return mostSimpleConnections
	}
	return min(max(part(sockets, simpleSocketFraction), 1), mostSimpleConnections)
}

// boundConnections bounds the open connections of a listener, unless the bound is 0. It counts
// those that new ones replace.
func (n *Node) boundConnections(l net.Listener, maxOpen int) net.Listener {
	if maxOpen == 0 {
		return l
	}
	return connlimit.New(l, maxOpen, func() { n.metrics.Add("connections.replaced", 1) })
}
