package node

import (
	"context"
	"strings"
	"time"

	"mimosaarch.example/adapter/peer"
	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/health"
	"mimosaarch.example/decide/member"
	"mimosaarch.example/decide/router"
)

// explainTimeout limits a call that asks another node for the decisions of a
// request.
const explainTimeout = 2 * time.Second

// newPeers opens the peer port. It returns nil if no peer address is set. The
// error is a *peer.ListenError.
func (n *Node) newPeers() (*peer.Service, error) {
	if n.settings.Listen.Peers == "" {
		return nil, nil
	}
	return peer.New(peer.Options{
		VM:     ids.VM(n.settings.VM),
		Zone:   ids.Zone(n.settings.Zone),
		Listen: n.settings.Listen.Peers,
		Seeds:  n.settings.Peers,
		TLS:    n.identity,
		Source: n,
		Sink:   n,
		Feed:   n.feed,
		Count:  func(c peer.Counter, by int64) { n.telemetry.Add(string(c), by) },
	})
}

// loadIdentity loads the node's TLS identity if the settings name one. The
// error is an *identity.FileError.
func (n *Node) loadIdentity() error {
	t := n.settings.TLS
	if t == nil {
		return nil
	}
	loaded, err := identity.Load(t.CA, t.Cert, t.Key)
	n.identity = loaded
	return err
}

// Digest implements peer.Source. It requests the current digest from the
// decision loop. The error is a *NoDigestError, or that of the event ring if
// ctx ends before the request is queued.
func (n *Node) Digest(ctx context.Context) (peerapi.Digest, error) {
	// Drop an answer to an earlier request that had timed out.
	select {
	case <-n.digests.Out():
	default:
	}
	if err := n.events.Put(ctx, router.DigestDue{}); err != nil {
		return peerapi.Digest{}, err
	}
	select {
	case d := <-n.digests.Out():
		return encodeDigest(d), nil
	case <-ctx.Done():
		return peerapi.Digest{}, &NoDigestError{Cause: ctx.Err()}
	}
}

// deliverDigest passes a digest to the waiting call of Digest.
func (n *Node) deliverDigest(c router.SendDigest) {
	if err := n.digests.Offer(c.Digest); err != nil {
		n.telemetry.CountError("digest_not_taken")
	}
}

// PeerDigest implements peer.Sink.
func (n *Node) PeerDigest(d peerapi.Digest, at time.Time) {
	for _, l := range d.Loads {
		if !l.Relayed {
			n.reportToOrders(l.Report)
		}
	}
	n.postEvent(router.DigestReceived{VM: d.VM, At: at, Digest: decodeDigest(d)})
}

// PeerGone implements peer.Sink.
func (n *Node) PeerGone(vm ids.VM, reason member.GoneReason) {
	n.postEvent(router.PeerGone{VM: vm, Reason: reason})
}

// PeerVMs implements peer.Sink. It takes over a newer list of VMs from a peer.
func (n *Node) PeerVMs(list platformapi.VMList) { n.polls.applyVMList(list) }

// encodeDigest converts the router's digest to a peer message.
func encodeDigest(d router.Digest) peerapi.Digest {
	out := peerapi.Digest{
		Draining:   d.Draining,
		InFlight:   d.InFlight,
		Usage:      peer.EncodeUsage(d.Usage),
		Quarantine: peer.EncodeQuarantineEvents(d.Quarantine),
		Leaving:    d.Leaving,
	}
	for _, o := range d.Health {
		out.Health = append(out.Health, peerapi.Observation{Upstream: o.Upstream, State: o.State.String()})
	}
	for _, l := range d.Loads {
		out.Loads = append(out.Loads, peerapi.Load{Report: l.Report, AgeNs: int64(l.Age)})
	}
	return out
}

// decodeDigest converts a peer message to the router's digest. Observations
// with an unknown health state are skipped because a newer version may have
// sent them. Relayed loads are skipped too.
func decodeDigest(d peerapi.Digest) router.Digest {
	out := router.Digest{
		Draining:   d.Draining,
		InFlight:   d.InFlight,
		Usage:      peer.DecodeUsage(d.Usage),
		Quarantine: peer.DecodeQuarantineEvents(d.Quarantine),
		Leaving:    d.Leaving,
	}
	for _, o := range d.Health {
		if state, ok := health.ParseState(o.State); ok {
			out.Health = append(out.Health, router.Observation{Upstream: o.Upstream, State: state})
		}
	}
	for _, l := range d.Loads {
		if !l.Relayed {
			out.Loads = append(out.Loads, router.LoadReport{Report: l.Report, Age: time.Duration(l.AgeNs)})
		}
	}
	return out
}

// ExplainFleetWide returns the decisions of a request, oldest first, from this
// node or, if it has none, from the node whose name the request ID contains. It
// returns nil if there are none or the call fails.
func (n *Node) ExplainFleetWide(ctx context.Context, id ids.Request) []router.Decision {
	if decisions := n.records.Decisions(id); decisions != nil || n.peers == nil {
		return decisions
	}
	vm, ok := requestVM(id)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	decisions, err := n.peers.Explain(ctx, vm, id)
	if err != nil {
		n.telemetry.CountError("explain")
		return nil
	}
	return decisions
}

// requestVM extracts the VM name from a request ID created by
// requestIDGenerator.
func requestVM(id ids.Request) (ids.VM, bool) {
	rest := string(id)
	for range 2 {
		cut := strings.LastIndexByte(rest, '-')
		if cut < 0 {
			return "", false
		}
		rest = rest[:cut]
	}
	return ids.VM(rest), rest != ""
}
