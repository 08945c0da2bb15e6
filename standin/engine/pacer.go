package engine

import (
	"sync"
	"time"
)

// pacer hands out service slots at a rate. It is safe for concurrent use.
type pacer struct {
	mu sync.Mutex
	// rate is in slots a second; zero means no limit. factor multiplies it.
	rate, factor float64
	next         time.Time
}

// newPacer makes a pacer of a rate.
func newPacer(rate float64) *pacer { return &pacer{rate: rate, factor: 1} }

// reserve takes the next slot that starts at or after from, and gives its end.
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

// setFactor multiplies the rate from now on.
func (p *pacer) setFactor(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.factor = factor
}

// setRate changes the rate from now on.
func (p *pacer) setRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// effective gives the rate with its factor.
func (p *pacer) effective() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate * p.factor
}
