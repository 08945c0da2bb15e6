package roster

import "time"

// Timing of probes.
const (
	// ProbeInterval is the time between two probes of the store by one node.
	ProbeInterval = 600 * time.Millisecond
	// minProbeTimeout is the time that the store has for an answer, a hundred times its
	// usual latency. maxProbeTimeout is the limit when the store has become slow.
	minProbeTimeout = 400 * time.Millisecond
	maxProbeTimeout = time.Second
	// probeTimeoutFactor is the timeout of a probe as a multiple of the last probe's
	// latency.
	probeTimeoutFactor = 3
)

// Probe sets the timeout of the calls that check whether the store still answers a node
// with an open watch. It answers the load of a node that is cut off without a connection
// reset: an open watch looks the same whether nothing changes or no packet arrives,
// while a cheap read without an answer shows the fault in a fraction of a second.
//
// A Probe must be used by one goroutine at a time. It reads no clock. The zero value is
// a Probe that has sent nothing.
type Probe struct {
	sentAt  time.Time
	latency time.Duration
}

// Sent records that a probe was sent.
func (p *Probe) Sent(now time.Time) { p.sentAt = now }

// Answered records that the store answered the last probe, with whatever status.
func (p *Probe) Answered(now time.Time) { p.latency = now.Sub(p.sentAt) }

// Timeout returns how long to wait for the answer to the current probe: a multiple of
// the last probe's latency, within fixed limits.
func (p *Probe) Timeout() time.Duration {
	return min(max(minProbeTimeout, probeTimeoutFactor*p.latency), maxProbeTimeout)
}
