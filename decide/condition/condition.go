// Package condition keeps what a node believes of the health of upstreams from
// its own calls: which did not answer, and how slow the others are. Beliefs
// end by themselves, since an upstream that gets no work shows nothing new.
//
// A Table is used by one goroutine at a time and reads no clock.
package condition

import (
	"time"

	"mimosaarch.example/core/ids"
)

// Table holds the beliefs. Make it with New.
type Table struct {
	upstreams map[ids.Upstream]*belief
}

// belief is about one upstream.
type belief struct {
	suspectUntil time.Time
	// strikes counts suspicions without an answer between them.
	strikes   int
	pace      float64
	paceUntil time.Time
	// ended: its process is gone, since nothing listens at its address.
	ended bool
}

// New makes a Table that believes every upstream well.
func New() *Table { return &Table{upstreams: make(map[ids.Upstream]*belief)} }

// Durations of beliefs.
const (
	// suspectFor is how long an upstream that did not answer gets nothing; it
	// doubles with each further time, up to suspectMost. Crashed upstreams
	// leave the directory within a few seconds, so this only has to bridge
	// that time without a request each second being lost on them.
	suspectFor  = 400 * time.Millisecond
	suspectMost = 3200 * time.Millisecond
	// paceFor is how long an upstream's word about its pace is believed.
	paceFor = 2 * time.Second
)

// of gives the belief about an upstream.
func (t *Table) of(id ids.Upstream) *belief {
	b := t.upstreams[id]
	if b == nil {
		b = &belief{pace: 1}
		t.upstreams[id] = b
	}
	return b
}

// Failed tells that an upstream did not answer at now. It reports whether that
// is news.
func (t *Table) Failed(now time.Time, id ids.Upstream) bool {
	b := t.of(id)
	if now.Before(b.suspectUntil) {
		return false
	}
	wait := min(suspectFor<<min(b.strikes, 8), suspectMost)
	b.strikes++
	b.suspectUntil = now.Add(wait)
	return true
}

// Ended tells that an upstream's process is certainly gone.
func (t *Table) Ended(id ids.Upstream) { t.of(id).ended = true }

// HasEnded reports whether an upstream's process is certainly gone.
func (t *Table) HasEnded(id ids.Upstream) bool {
	b := t.upstreams[id]
	return b != nil && b.ended
}

// Answered tells that an upstream answered. It reports whether that ends a
// suspicion.
func (t *Table) Answered(now time.Time, id ids.Upstream) bool {
	b := t.upstreams[id]
	if b == nil || b.strikes == 0 {
		return false
	}
	b.strikes = 0
	b.suspectUntil = time.Time{}
	return true
}

// Paced takes an upstream's word that it takes so many times as long as usual.
func (t *Table) Paced(now time.Time, id ids.Upstream, pace float64) {
	b := t.of(id)
	b.pace = max(pace, 1)
	b.paceUntil = now.Add(paceFor)
}

// Suspected reports whether an upstream should get nothing at now.
func (t *Table) Suspected(now time.Time, id ids.Upstream) bool {
	b := t.upstreams[id]
	return b != nil && now.Before(b.suspectUntil)
}

// Pace gives by how much an upstream is slower than usual, at least 1.
func (t *Table) Pace(now time.Time, id ids.Upstream) float64 {
	b := t.upstreams[id]
	if b == nil || !now.Before(b.paceUntil) {
		return 1
	}
	return b.pace
}

// Forget drops the belief about an upstream that is gone.
func (t *Table) Forget(id ids.Upstream) { delete(t.upstreams, id) }
