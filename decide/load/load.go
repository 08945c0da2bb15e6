// Package load estimates the number of requests in flight at each upstream.
// Engines report their load with a delay, so an Estimator adds to the last
// report the requests that this VM and its peers have started since, and
// subtracts those that have ended.
//
// The requests of this VM are known exactly, those of its peers as of their last
// digest. A load report measured at time t includes both, and also requests from
// senders that this VM has no digest of. The Estimator therefore takes from a
// report only the unattributed load: the running requests that were not in the
// counts of this VM and its peers at time t. It estimates
//
//	in flight now = own count now + counts of the peers' last digests + unattributed load
//
// so that no request is counted twice.
//
// Package router feeds it with each request, poll and digest, and reads the
// estimates whenever it picks an upstream.
//
// In fleets of nodes that choose chains of engines (package chain), Exchange and View answer
// another load: dozens to hundreds of nodes that each have a few streams on an engine, from
// which none can tell the load of all. Each node sends its counts to a collector of its zone,
// which answers with the sums over all other nodes. See docs/design/load-view.md.
package load

import (
	"fmt"
	"time"
)

// Settings bounds the memory of an Estimator and describes its peers. A zero
// field gets its default.
type Settings struct {
	// MaxUpstreams is the maximum number of upstreams. Default 8192.
	MaxUpstreams int
	// MaxPeers is the maximum number of peer VMs. Default 512.
	MaxPeers int
	// DigestInterval is the time between two digests of a peer. Default 200ms.
	DigestInterval time.Duration
}

// Defaults of Settings.
const (
	defaultMaxUpstreams   = 8192
	defaultMaxPeers       = 512
	defaultDigestInterval = 200 * time.Millisecond
)

// Estimate is the estimated load of one upstream.
type Estimate struct {
	// InFlight is the estimated number of requests in flight.
	InFlight float64
	// OwnInFlight is the exact number of requests in flight from this VM.
	OwnInFlight int
	// ReportedRunning is the number of running requests in the last report.
	ReportedRunning int
	// Slots is the maximum number of requests that the upstream runs at once;
	// 0 when not known.
	Slots int
	// Rate is the number of token steps per second at full batch size; 0 when
	// not known.
	Rate float64
	// Epoch identifies the upstream's process and changes when it restarts; empty
	// when not known.
	Epoch string
	// Leaving is set when the upstream reports that it is about to leave and
	// takes no new requests.
	Leaving bool
	// Age is the time since the last report was measured; 0 without a report.
	Age time.Duration
	// FailedPolls is the number of failed polls since the last report.
	FailedPolls int
	// HasReport is set when there is a load report.
	HasReport bool
}

// ReportError reports a load report with a missing or impossible value.
type ReportError struct {
	// Engine is the sender of the report, Field the JSON name of the value.
	Engine, Field string
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of %q: invalid value of %s", e.Engine, e.Field)
}

// FullError reports that an Estimator holds the maximum number of upstreams or
// peers and cannot add another one.
type FullError struct {
	// Limit is the maximum number of upstreams or peers.
	Limit int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("load estimator is full: limit of %d entries reached", e.Limit)
}
