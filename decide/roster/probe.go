package roster

import "time"

// Times of probes.
const (
	// ProbeInterval is the time between two probes of a node.
	ProbeInterval = 600 * time.Millisecond
	// probeLate is how long the store may take to answer one, a hundred times what it
	// usually takes; probeLatest is the most where it has become slow.
	probeLate   = 400 * time.Millisecond
	probeLatest = time.Second
	// probeSlack times the last answer's time is how long the next may take.
	probeSlack = 3
)

// Probe decides whether the store still answers a node that waits at it for changes. It
// answers the load of a node that is cut off without a reset: a watch that waits looks the
// same whether nothing changes or nothing comes through, while a cheap read that gets no
// answer shows it in a fraction of a second.
//
// A Probe is used by one goroutine at a time and reads no clock. Its zero value has sent
// nothing.
type Probe struct {
	sentAt time.Time
	took   time.Duration
}

// Sent tells that a probe was sent.
func (p *Probe) Sent(now time.Time) { p.sentAt = now }

// Answered tells that the store answered, in whatever way.
func (p *Probe) Answered(now time.Time) { p.took = now.Sub(p.sentAt) }

// Timeout is how long the store may take to answer the probe.
func (p *Probe) Timeout() time.Duration {
	return min(max(probeLate, probeSlack*p.took), probeLatest)
}
