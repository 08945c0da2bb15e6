// Package peer joins the nodes of a fleet by JSON-RPC 2.0 over TCP, with
// mutual TLS where it is set. A Service sends the node's digest to the peers
// that decide/member names, takes in theirs, and fetches from peers newer
// configuration and lists of VMs than the node has, so that a node cut off
// from the platform still gets them.
//
// Each link and each duty is a goroutine; bounded rings join them.
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

// Source gives what the node tells its peers.
type Source interface {
	// Digest gives the node's own part of a digest: all but VM, Zone, Boot,
	// Seq, Address, ConfigDigest and VMsRevision, which the Service sets. It
	// is called once a round, from one goroutine, and must end with ctx. On
	// an error nothing is sent in this round.
	Digest(ctx context.Context) (peerapi.Digest, error)
	// Explain gives what the node recorded of a request, oldest first; any
	// goroutine calls it.
	Explain(id ids.Request) []router.Decision
}

// Sink takes what peers tell. One goroutine calls it; it must not wait and
// must not call the Service.
type Sink interface {
	// PeerDigest takes a peer's digest, received at the given time. Digests
	// of one boot come in the order they were made.
	PeerDigest(d peerapi.Digest, at time.Time)
	// PeerGone tells that a peer's figures no longer stand, and why.
	PeerGone(vm ids.VM, why member.GoneReason)
	// PeerVMs takes a list of VMs newer than all that the Service has seen.
	PeerVMs(list platformapi.VMList)
}

// Feed is the part of configfeed.Feed that a Service needs.
type Feed interface {
	Digest(ctx context.Context) (uint64, error)
	Summary(ctx context.Context) ([]configorder.KeyVersion, error)
	Newer(ctx context.Context, theirs []configorder.KeyVersion, maxBytes int) ([]platformapi.Object, error)
	Offer(objects []platformapi.Object) error
}

// Counter names a count that Options.Count is told of.
type Counter string

// Counters.
const (
	// BytesSent and BytesReceived count bytes on the wire, TLS included.
	BytesSent     Counter = "peer_bytes_sent"
	BytesReceived Counter = "peer_bytes_received"
	// DigestsSent counts digests that a peer confirmed.
	DigestsSent Counter = "peer_digests_sent"
	// DigestsAccepted counts digests handed to the Sink.
	DigestsAccepted Counter = "peer_digests_taken"
	// DigestsStale counts digests refused as repeated or older.
	DigestsStale Counter = "peer_digests_stale"
	// DigestsUnknownBase counts digests that referred to one not held, so that
	// they could not be used.
	DigestsUnknownBase Counter = "peer_digests_unbased"
	// DigestsAfterPause counts digests refused since this process had stood
	// still, so that their ages are not known.
	DigestsAfterPause Counter = "peer_digests_after_pause"
	// DigestsReplaced counts digests that a newer one replaced unsent.
	DigestsReplaced Counter = "peer_digests_replaced"
	// DigestsMissed counts digests without a reply in time.
	DigestsMissed Counter = "peer_digests_missed"
	// DigestsSkipped counts rounds in which the Source gave no digest.
	DigestsSkipped Counter = "peer_digests_skipped"
	// MessagesInvalid counts messages refused for their form.
	MessagesInvalid Counter = "peer_messages_invalid"
	// MessagesDropped counts messages refused by a full ring.
	MessagesDropped Counter = "peer_messages_busy"
	// VMIDConflicts counts digests of another process under this node's name.
	VMIDConflicts Counter = "peer_name_taken"
	// PeersRefused counts digests of peers beyond the bound.
	PeersRefused Counter = "peer_peers_refused"
	// HandshakesFailed counts connections refused for their certificate, on
	// either side.
	HandshakesFailed Counter = "peer_handshakes_failed"
	// DialsFailed counts connections that could not be opened.
	DialsFailed Counter = "peer_dials_failed"
	// LinksRefused counts connections and links beyond the bound.
	LinksRefused Counter = "peer_links_refused"
	// LinksSilent counts links closed since replies stayed away.
	LinksSilent Counter = "peer_links_silent"
	// Pulls counts calls for configuration, ObjectsPulled what they brought.
	Pulls         Counter = "peer_pulls"
	ObjectsPulled Counter = "peer_objects_pulled"
	// PullsFailed counts calls for configuration or VMs that failed.
	PullsFailed Counter = "peer_pulls_failed"
	// VMListsPulled counts lists of VMs taken from peers.
	VMListsPulled Counter = "peer_vm_lists_pulled"
)

// Options set up a Service. VM, Zone, Listen, Source and Sink are required;
// zero values of the rest stand for the defaults.
type Options struct {
	VM   ids.VM
	Zone ids.Zone
	// Boot tells this start of the process from others. Default random.
	Boot string
	// Listen is the IP address and port to take peers' calls on.
	Listen string
	// Advertise is the address peers use. Default the one listened on.
	Advertise string
	// Seeds are peers' addresses to start from.
	Seeds []string
	// Interval is the time between two rounds. Default 250ms.
	Interval time.Duration
	// Members bounds the work of a round; its VM, Zone, Boot, Address and
	// Interval are set by the Service.
	Members member.Options
	// TLS is the node's identity; nil means plain TCP, for tests on one
	// machine only.
	TLS    *identity.Identity
	Source Source
	Sink   Sink
	// Feed is the node's configuration; nil means that none is exchanged.
	Feed Feed
	// Count is told of events; may be nil. Any goroutine calls it.
	Count func(counter Counter, n int64)
	// CallTimeout bounds a call, opening a connection and writing a message.
	// Default 500ms.
	CallTimeout time.Duration
	// IdleTimeout closes links and connections not used. Default 30s.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause after a connection could not
	// be opened; it doubles and is spread by half. Default 100ms and 2s.
	BackoffMin, BackoffMax time.Duration
	// PullInterval is the least time between two calls for news to the same
	// peer. Default 250ms.
	PullInterval time.Duration
	// MaxLinks bounds the links to peers, and the connections from peers.
	// Default 512.
	MaxLinks int
	// RingCapacity is the capacity of the ring of events. Default 1024.
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

// withDefaults fills in unset options.
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
