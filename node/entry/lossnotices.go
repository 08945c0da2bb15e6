package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"mimosaarch.example/adapter/datagram"
	"mimosaarch.example/core/boottime"
	"mimosaarch.example/core/every"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/lossnotice"
	"mimosaarch.example/decide/roster"
)

// maxQueuedLosses is the most notices about lost engines that wait to be sent.
const maxQueuedLosses = 64

// foundLoss is an engine that this node has found lost, or silent.
type foundLoss struct {
	engine ids.Instance
	at     time.Time
	kind   datagram.Kind
}

// lossNotices sends notices about lost engines to the other nodes and takes theirs.
type lossNotices struct {
	node   *Node
	outbox *outbox[foundLoss]

	mu sync.Mutex
	// senders holds the addresses of the nodes as of the list with digest.
	senders map[netip.AddrPort]struct{}
	digest  uint64
}

// newLossNotices returns the notices of a node.
func newLossNotices(n *Node) *lossNotices {
	return &lossNotices{node: n, outbox: newOutbox[foundLoss](maxQueuedLosses, n.metrics, "loss_notices.dropped")}
}

// announce is the server's OnEngineLost.
func (l *lossNotices) announce(id ids.Instance) {
	_ = l.outbox.add(foundLoss{id, boottime.Now(), datagram.EngineLost}) // a dropped one is counted
}

// announceSilence is the server's OnEngineSilent.
func (l *lossNotices) announceSilence(id ids.Instance) {
	_ = l.outbox.add(foundLoss{id, boottime.Now(), datagram.EngineSilent}) // a dropped one is counted
}

// heard reports whether another node has told the same since it was found.
func (l *lossNotices) heard(loss foundLoss) bool {
	if loss.kind == datagram.EngineSilent {
		return l.node.server.HeardOfSilence(loss.engine, loss.at)
	}
	return l.node.server.HeardOfLoss(loss.engine, loss.at)
}

// send tells all other nodes that an engine is lost or silent, unless one of them does so within
// lossnotice.AnnounceDelay. A node that the notice does not reach detects the loss by the
// stall timeouts of its streams.
func (l *lossNotices) send(ctx context.Context, loss foundLoss) {
	members, _ := l.node.fleet.memberList()
	delay := lossnotice.AnnounceDelay(l.node.settings.VM, loss.engine, names(members))
	every.Sleep(ctx, loss.at.Add(delay).Sub(boottime.Now()))
	if ctx.Err() != nil || l.heard(loss) {
		return
	}
	if l.node.datagrams.Load() == nil {
		return
	}
	payload := lossnotice.Encode(loss.engine)
	others := l.node.fleet.others()
	for _, m := range others {
		l.node.sendDatagram(m, loss.kind, payload)
	}
	l.node.metrics.Add("loss_notices.sent", 1)
	l.node.log.Info().Str("event", "loss_notice").Str("step", "sent").Stringer("kind", loss.kind).Str("upstream", loss.engine.String()).Int("nodes", len(others)).Send()
}

// receive is the handler of notices of lost engines.
func (l *lossNotices) receive(from netip.AddrPort, payload []byte) {
	if id, ok := l.decode(payload); ok {
		l.node.server.EngineLossNoticed(id, l.isListed(from))
	}
}

// receiveSilence is the handler of notices of silent engines.
func (l *lossNotices) receiveSilence(from netip.AddrPort, payload []byte) {
	if id, ok := l.decode(payload); ok {
		l.node.server.EngineSilenceNoticed(id, l.isListed(from))
	}
}

// decode returns the engine of a notice, and counts a malformed one.
func (l *lossNotices) decode(payload []byte) (id ids.Instance, ok bool) {
	id, err := lossnotice.Decode(payload)
	if err != nil {
		l.node.metrics.Add("loss_notices.malformed", 1)
	}
	return id, err == nil
}

// isListed reports whether an address is that of a node of the fleet.
func (l *lossNotices) isListed(from netip.AddrPort) bool {
	members, digest := l.node.fleet.memberList()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.senders == nil || l.digest != digest {
		l.senders, l.digest = addressesOf(members), digest
	}
	_, listed := l.senders[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	return listed
}

// addressesOf returns the addresses of nodes, without those that are not valid.
func addressesOf(members []roster.Member) map[netip.AddrPort]struct{} {
	addresses := make(map[netip.AddrPort]struct{}, len(members))
	for _, m := range members {
		if addr, err := netip.ParseAddrPort(m.PeerAddress); err == nil {
			addresses[addr] = struct{}{}
		}
	}
	return addresses
}
