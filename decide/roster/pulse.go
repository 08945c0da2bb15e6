package roster

import "time"

// Times of pulses.
const (
	// PulseEvery is the time between two pulses of a node.
	PulseEvery = 600 * time.Millisecond
	// pulseLate is how long the store may take to answer one, a hundred times what it
	// usually takes; pulseLatest is the most where it has become slow.
	pulseLate   = 400 * time.Millisecond
	pulseLatest = time.Second
	// pulseSlack times the last answer's time is how long the next may take.
	pulseSlack = 3
)

// Pulse decides whether the store still answers a node that waits at it for changes. It
// answers the load of a node that is cut off without a reset: a watch that waits looks the
// same whether nothing changes or nothing comes through, while a cheap read that gets no
// answer shows it in a fraction of a second.
//
// A Pulse is used by one goroutine at a time and reads no clock. Its zero value has sent
// nothing.
type Pulse struct {
	sentAt time.Time
	took   time.Duration
}

// Sent tells that a pulse was sent.
func (p *Pulse) Sent(now time.Time) { p.sentAt = now }

// Answered tells that the store answered, in whatever way.
func (p *Pulse) Answered(now time.Time) { p.took = now.Sub(p.sentAt) }

// Allowed is how long the store may take to answer the pulse.
func (p *Pulse) Allowed() time.Duration {
	return min(max(pulseLate, pulseSlack*p.took), pulseLatest)
}
