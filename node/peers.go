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

// explainTimeout bounds the question to another node for its record.
const explainTimeout = 2 * time.Second

// newPeers opens the port for peers; without an address the node stands alone
// and gets nil. Errors: *peer.ListenError, *identity.FileError.
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

// loadIdentity reads the node's keys; nil when none are set.
func (n *Node) loadIdentity() error {
	t := n.settings.TLS
	if t == nil {
		return nil
	}
	loaded, err := identity.Load(t.CA, t.Cert, t.Key)
	n.identity = loaded
	return err
}

// Digest implements peer.Source: it asks the decision loop for its newest.
func (n *Node) Digest(ctx context.Context) (peerapi.Digest, error) {
	// An answer that came too late for an earlier question is dropped.
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

// deliverDigest hands the newest digest to the duty that asked.
func (n *Node) deliverDigest(c router.SendDigest) {
	if err := n.digests.Offer(c.Digest); err != nil {
		n.telemetry.CountError("digest_not_taken")
	}
}

// PeerDigest implements peer.Sink.
func (n *Node) PeerDigest(d peerapi.Digest, at time.Time) {
	for _, l := range d.Loads {
		if !l.Relayed {
			n.orderReported(l.Report)
		}
	}
	n.postEvent(router.DigestReceived{VM: d.VM, At: at, Digest: decodeDigest(d)})
}

// PeerGone implements peer.Sink.
func (n *Node) PeerGone(vm ids.VM, why member.GoneReason) {
	n.postEvent(router.PeerGone{VM: vm, Why: why})
}

// PeerVMs implements peer.Sink: a newer list of VMs came from a peer.
func (n *Node) PeerVMs(list platformapi.VMList) { n.polls.applyVMList(list) }

// encodeDigest converts what the decisions tell to its message.
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

// decodeDigest converts a peer's message. A state with an unknown name is
// passed over: it may come from a newer version.
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

// ExplainFleetWide gives the decisions kept of a request on this node, or else
// on the node that its name tells; nil when none is found.
func (n *Node) ExplainFleetWide(ctx context.Context, id ids.Request) []router.Decision {
	if steps := n.records.Decisions(id); steps != nil || n.peers == nil {
		return steps
	}
	vm, ok := requestVM(id)
	if !ok {
		return nil
	}
	ctx, done := context.WithTimeout(ctx, explainTimeout)
	defer done()
	steps, err := n.peers.Explain(ctx, vm, id)
	if err != nil {
		n.telemetry.CountError("explain")
		return nil
	}
	return steps
}

// requestVM takes the VM out of a request's name, made by requestNamer.
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
