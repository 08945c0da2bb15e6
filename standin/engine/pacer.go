package engine

import (
	"sync"
	"time"
)

// pacer is a rate limiter that assigns consecutive time slots, one per step. It is
// safe for concurrent use.
type pacer struct {
	mu sync.Mutex
	// rate is in slots per second; zero means no limit. factor multiplies it.
	rate, factor float64
	// next is when the next slot may start.
	next time.Time
}

// newPacer returns a pacer with a rate in slots per second; zero means no limit.
func newPacer(rate float64) *pacer { return &pacer{rate: rate, factor: 1} }

// reserve takes the next free slot that starts at or after from and returns when it
// ends.
func (p *pacer) reserve(from time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 || p.factor <= 0 {
		return from
	}
	if p.next.Before(from) {
		p.next = from
	}
	p.next = p.next.Add(time.Duration(float64(time.Second) / (p.rate * p.factor)))
	return p.next
}

// setFactor sets the factor on the rate of further slots.
func (p *pacer) setFactor(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.factor = factor
}

// setRate sets the rate of further slots, in slots per second.
func (p *pacer) setRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// effectiveRate returns the rate times the factor, in slots per second.
func (p *pacer) effectiveRate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate * p.factor
}
