// Package peer connects the nodes of a fleet by JSON-RPC 2.0 over TCP, with
// optional mutual TLS. In each round a Service sends the node's digest to the
// peers that decide/member chooses, and it receives their digests. It also
// fetches newer configuration and newer lists of VMs from peers, so that a node
// that cannot reach the platform still receives them.
//
// Each link, the event loop, the puller and the listener run in their own
// goroutines and communicate through bounded rings.
package peer

import (
	"cmp"
	"context"
	"time"

	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/peerapi"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/decide/configorder"
	"mimosaarch.example/decide/member"
	"mimosaarch.example/decide/router"
)

// Source supplies what the node reports to its peers.
type Source interface {
	// Digest returns the node's digest without VM, Zone, Boot, Seq, Address,
	// ConfigDigest and VMsRevision, which the Service sets. It is called once
	// per round, from one goroutine, and must return when ctx ends. If it
	// fails, no digest is sent in that round.
	Digest(ctx context.Context) (peerapi.Digest, error)
	// Explain returns the decisions that the node recorded for a request,
	// oldest first. It is called from any goroutine.
	Explain(id ids.Request) []router.Decision
}

// Sink receives what peers report. One goroutine calls it. It must not block
// and must not call the Service.
type Sink interface {
	// PeerDigest receives a peer's digest and the time it arrived. Digests of
	// one boot arrive in the order in which they were made.
	PeerDigest(d peerapi.Digest, at time.Time)
	// PeerGone reports that a peer's figures are no longer valid, and why.
	PeerGone(vm ids.VM, reason member.GoneReason)
	// PeerVMs receives a list of VMs that is newer than any that the Service
	// has seen.
	PeerVMs(list platformapi.VMList)
}

// Feed is the part of configfeed.Feed that a Service uses. Digest returns a
// hash of the configuration and Summary the version of each key. Newer returns
// the objects that are newer than those in peerSummary, up to maxBytes in
// total. Offer submits objects received from a peer.
type Feed interface {
	Digest(ctx context.Context) (uint64, error)
	Summary(ctx context.Context) ([]configorder.KeyVersion, error)
	Newer(ctx context.Context, peerSummary []configorder.KeyVersion, maxBytes int) ([]platformapi.Object, error)
	Offer(objects []platformapi.Object) error
}

// Counter is the name of a counter that Options.Count increments.
type Counter string

// Counters of a Service.
const (
	// BytesSent and BytesReceived count bytes on the wire, including TLS.
	BytesSent     Counter = "peer_bytes_sent"
	BytesReceived Counter = "peer_bytes_received"
	// DigestsSent counts digests that a peer acknowledged.
	DigestsSent Counter = "peer_digests_sent"
	// DigestsAccepted counts digests passed to the Sink.
	DigestsAccepted Counter = "peer_digests_taken"
	// DigestsStale counts digests refused because they were repeated or older
	// than one received before.
	DigestsStale Counter = "peer_digests_stale"
	// DigestsUnknownBase counts received deltas that could not be used because
	// their base was not stored.
	DigestsUnknownBase Counter = "peer_digests_unbased"
	// DigestsAfterPause counts digests refused because this process had been
	// suspended, so that their ages were unknown.
	DigestsAfterPause Counter = "peer_digests_after_pause"
	// DigestsReplaced counts digests that were replaced by a newer one before
	// they were sent.
	DigestsReplaced Counter = "peer_digests_replaced"
	// DigestsMissed counts digests that got no reply in time.
	DigestsMissed Counter = "peer_digests_missed"
	// DigestsSkipped counts rounds without a valid digest from the Source.
	DigestsSkipped Counter = "peer_digests_skipped"
	// MessagesInvalid counts messages that were malformed or failed validation.
	MessagesInvalid Counter = "peer_messages_invalid"
	// MessagesDropped counts events and pulls that were dropped because a ring
	// was full.
	MessagesDropped Counter = "peer_messages_busy"
	// VMIDConflicts counts digests from another process that uses this node's
	// VM ID.
	VMIDConflicts Counter = "peer_name_taken"
	// PeersRefused counts digests refused because the limit of peers is
	// reached.
	PeersRefused Counter = "peer_peers_refused"
	// HandshakesFailed counts failed TLS handshakes, as client or server.
	HandshakesFailed Counter = "peer_handshakes_failed"
	// DialsFailed counts TCP connections that could not be opened.
	DialsFailed Counter = "peer_dials_failed"
	// LinksRefused counts links and accepted connections beyond MaxLinks.
	LinksRefused Counter = "peer_links_refused"
	// LinksSilent counts links whose connection was closed after consecutive
	// missed replies.
	LinksSilent Counter = "peer_links_silent"
	// Pulls counts calls for configuration, and ObjectsPulled the objects that
	// they returned.
	Pulls         Counter = "peer_pulls"
	ObjectsPulled Counter = "peer_objects_pulled"
	// PullsFailed counts failed calls for configuration or lists of VMs.
	PullsFailed Counter = "peer_pulls_failed"
	// VMListsPulled counts newer lists of VMs received from peers.
	VMListsPulled Counter = "peer_vm_lists_pulled"
)

// Options configures a Service. VM, Zone, Listen, Source and Sink are required.
// Zero values of the other fields stand for their defaults.
type Options struct {
	VM   ids.VM
	Zone ids.Zone
	// Boot identifies this start of the process. Default random.
	Boot string
	// Listen is the IP address and port to listen on.
	Listen string
	// Advertise is the address that peers connect to. Default the address
	// listened on.
	Advertise string
	// Seeds are addresses of peers to contact first.
	Seeds []string
	// Interval is the time between rounds. Default 250ms.
	Interval time.Duration
	// Members limits the work per round. The Service overwrites its VM, Zone,
	// Boot, Address and Interval.
	Members member.Options
	// TLS is the identity of the node. Nil means plain TCP, which is only for
	// tests on one machine.
	TLS    *identity.Identity
	Source Source
	Sink   Sink
	// Feed is the configuration of the node. If it is nil, no configuration is
	// exchanged.
	Feed Feed
	// Count adds n to a counter. It may be nil. It is called from any
	// goroutine.
	Count func(counter Counter, n int64)
	// CallTimeout limits each call, dial, TLS handshake and write. Default
	// 500ms.
	CallTimeout time.Duration
	// IdleTimeout is the time after which unused links and connections are
	// closed. Default 30s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax limit the wait after a failed dial. The wait
	// doubles with each failure, and up to half of it is random. Defaults 100ms
	// and 2s.
	BackoffMin, BackoffMax time.Duration
	// PullInterval is the least time between two pulls from the same peer.
	// Default 250ms.
	PullInterval time.Duration
	// MaxLinks limits the links to peers, and separately the connections
	// accepted from peers. Default 512.
	MaxLinks int
	// RingCapacity is the capacity of the event ring. Default 1024.
	RingCapacity int
}

// Defaults of Options.
const (
	DefaultCallTimeout  = 500 * time.Millisecond
	DefaultIdleTimeout  = 30 * time.Second
	DefaultBackoffMin   = 100 * time.Millisecond
	DefaultBackoffMax   = 2 * time.Second
	DefaultPullInterval = 250 * time.Millisecond
	DefaultMaxLinks     = 512
	DefaultRingCapacity = 1024
)

// withDefaults returns o with defaults for unset fields.
func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, member.DefaultInterval)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.BackoffMin = cmp.Or(o.BackoffMin, DefaultBackoffMin)
	o.BackoffMax = cmp.Or(o.BackoffMax, DefaultBackoffMax)
	o.PullInterval = cmp.Or(o.PullInterval, DefaultPullInterval)
	o.MaxLinks = cmp.Or(o.MaxLinks, DefaultMaxLinks)
	o.RingCapacity = cmp.Or(o.RingCapacity, DefaultRingCapacity)
	if o.Boot == "" {
		o.Boot = randomBoot()
	}
	if o.Count == nil {
		o.Count = func(Counter, int64) {}
	}
	return o
}
