package entry

import (
	"net/netip"

	"mimosaarch.example/adapter/datagram"
	"mimosaarch.example/decide/roster"
)

// listenDatagrams opens the socket for datagrams on an address. It returns nil if that fails,
// for instance because another process uses the UDP port. The node then neither sends nor
// receives datagrams: its view of the load of engines is an estimate from its own requests,
// and its streams wait for their stall timeouts after the loss of an engine that it did not
// find itself.
func (n *Node) listenDatagrams(address string) *datagram.Socket {
	s, err := datagram.Listen(address, n.metrics)
	if err != nil {
		n.metrics.Add("datagrams.listen_failed", 1)
		n.log.Error().Str("event", "datagrams_unavailable").Str("address", address).Err(err).Send()
		return nil
	}
	return s
}

// handleDatagrams registers the handlers of the messages between nodes that are sent as
// datagrams. It must be called before the socket is served.
func (n *Node) handleDatagrams(s *datagram.Socket) {
	s.Handle(datagram.EngineLost, n.lossNotices.receive)
	s.Handle(datagram.EngineSilent, n.lossNotices.receiveSilence)
	n.loads.handle(s)
	n.datagrams.Store(s)
}

// sendDatagram sends a message to a node. A node that is not listed with a valid address
// gets none. Messages that cannot be sent are counted.
func (n *Node) sendDatagram(to roster.Member, kind datagram.Kind, payload []byte) {
	socket := n.datagrams.Load()
	if socket == nil {
		return // the node is not started, or has no socket
	}
	addr, err := netip.ParseAddrPort(to.PeerAddress)
	if err == nil {
		err = socket.Send(addr, kind, payload)
	}
	if err != nil {
		n.metrics.Add("datagrams.send_failed", 1)
		n.log.Debug().Str("event", "datagram_failed").Str("peer", string(to.Name)).Err(err).Send()
	}
}
