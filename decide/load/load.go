// Package load estimates the work in flight at each upstream. Engines report
// their own load with a lag; a Book adds to the last report what this VM and
// its peers have sent since, less what has ended.
//
// What this VM has in flight is known exactly, what its peers have is known
// as of their last digest. A report measured at time t covers both and also
// work of senders not heard of. The Book therefore takes from a report only
// the part that was not accounted for at time t (the unexplained part), and
// estimates
//
//	in flight now = own now + peers' last digests + unexplained part
//
// so that no request is counted twice.
package load

import (
	"fmt"
	"time"
)

// Settings bound a Book. A zero field gets its default.
type Settings struct {
	// MaxUpstreams is the most upstreams kept. Default 8192.
	MaxUpstreams int
	// MaxPeers is the most peer VMs kept. Default 512.
	MaxPeers int
	// DigestInterval is how often peers send their counts. Default 200ms.
	DigestInterval time.Duration
}

// Defaults of Settings.
const (
	defaultMaxUpstreams   = 8192
	defaultMaxPeers       = 512
	defaultDigestInterval = 200 * time.Millisecond
)

// Estimate is what is believed of one upstream.
type Estimate struct {
	// InFlight is the estimated count of requests running now.
	InFlight float64
	// OwnInFlight is the count this VM has in flight; exact.
	OwnInFlight int
	// ReportedRunning is the running count of the last report as it came.
	ReportedRunning int
	// Slots is the most requests the upstream runs at once; 0 when not known.
	Slots int
	// Rate is the token steps a second at full batch; 0 when not known.
	Rate float64
	// Epoch names the upstream's process life; empty when not known.
	Epoch string
	// Leaving is the upstream's own word.
	Leaving bool
	// Age is the time since the last report was measured; 0 when Known is false.
	Age time.Duration
	// Failures counts polls failed since the last report.
	Failures int
	// HasReport tells whether any report has come.
	HasReport bool
}

// ReportError refuses a report with impossible figures.
type ReportError struct {
	// Engine is the report's sender, Field the figure at fault.
	Engine, Field string
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of %q: bad %s", e.Engine, e.Field)
}

// FullError refuses news of one upstream or VM more than a Book may keep.
type FullError struct {
	// Limit is the bound met.
	Limit int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("load book is full at %d entries", e.Limit)
}
