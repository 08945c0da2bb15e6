package load

import (
	"cmp"
	"math"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
)

// Estimator holds the estimates of all upstreams. It is not safe for concurrent
// use: the goroutine of the decision loop owns it.
type Estimator struct {
	settings  Settings
	upstreams map[ids.Upstream]*entry
	peers     map[ids.VM]map[ids.Upstream]int
}

// New makes an empty Book.
func New(s Settings) *Estimator {
	s.MaxUpstreams = cmp.Or(s.MaxUpstreams, defaultMaxUpstreams)
	s.MaxPeers = cmp.Or(s.MaxPeers, defaultMaxPeers)
	s.DigestInterval = cmp.Or(s.DigestInterval, defaultDigestInterval)
	return &Estimator{
		settings:  s,
		upstreams: make(map[ids.Upstream]*entry),
		peers:     make(map[ids.VM]map[ids.Upstream]int),
	}
}

// ApplyReport takes an engine's report of itself, received at the given time. A
// report measured before the last one taken is ignored. The error is a
// *ReportError or *FullError and means that nothing was changed.
func (b *Estimator) ApplyReport(now time.Time, r engineapi.LoadReport, at time.Time) error {
	if err := check(r); err != nil {
		return err
	}
	e, err := b.at(ids.Upstream(r.Engine))
	if err != nil {
		return err
	}
	measured := at.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	e.report(now, r, measured, b.settings.DigestInterval/2)
	return nil
}

// RequestStarted tells that this VM has sent a request to the upstream. Each RequestStarted is
// followed by one Ended. A *FullError means that it was not counted.
func (b *Estimator) RequestStarted(now time.Time, id ids.Upstream) error {
	e, err := b.at(id)
	if err != nil {
		return err
	}
	e.own++
	e.note(now)
	return nil
}

// RequestEnded tells that a request of this VM at the upstream has ended.
func (b *Estimator) RequestEnded(now time.Time, id ids.Upstream) {
	e := b.upstreams[id]
	if e == nil || e.own == 0 {
		return
	}
	e.own--
	e.note(now)
	b.drop(id, e)
}

// ApplyPeerDigest takes a peer's digest: all that VM has in flight now, by upstream. It
// replaces the VM's digest before; an upstream it doesn't name counts 0. The
// map is read, not kept. A *FullError means that the digest, or the part of
// it about upstreams beyond the bound, was not taken.
func (b *Estimator) ApplyPeerDigest(now time.Time, vm ids.VM, counts map[ids.Upstream]int) error {
	last, known := b.peers[vm]
	if !known {
		if len(b.peers) >= b.settings.MaxPeers {
			return &FullError{Limit: b.settings.MaxPeers}
		}
		last = make(map[ids.Upstream]int, len(counts))
		b.peers[vm] = last
	}
	b.removeMissing(now, last, counts)
	var full error
	for id, n := range counts {
		if err := b.setPeer(now, last, id, max(n, 0), !known); err != nil {
			full = err
		}
	}
	return full
}

// removeMissing zeroes the upstreams that a newer digest doesn't name.
func (b *Estimator) removeMissing(now time.Time, last, counts map[ids.Upstream]int) {
	for id, n := range last {
		if _, ok := counts[id]; ok {
			continue
		}
		delete(last, id)
		e := b.upstreams[id]
		e.peers -= n
		e.note(now)
		b.drop(id, e)
	}
}

// setPeer sets one figure of a peer's digest. The first digest of a VM moves
// work from the unexplained part to the peers' part.
func (b *Estimator) setPeer(now time.Time, last map[ids.Upstream]int, id ids.Upstream, n int, first bool) error {
	before := last[id]
	if n == before {
		return nil
	}
	e, err := b.at(id)
	if err != nil {
		return err
	}
	if first {
		e.shift(now, -float64(n))
	}
	e.peers += n - before
	e.note(now)
	if n == 0 {
		delete(last, id)
		b.drop(id, e)
		return nil
	}
	last[id] = n
	return nil
}

// RemovePeer forgets a VM that sends no digests any more. What it had in flight
// may still run, so it moves to the unexplained part until reports tell.
func (b *Estimator) RemovePeer(now time.Time, vm ids.VM) {
	for id, n := range b.peers[vm] {
		e := b.upstreams[id]
		e.peers -= n
		e.shift(now, float64(n))
		e.note(now)
		b.drop(id, e)
	}
	delete(b.peers, vm)
}

// PollFailed tells that the upstream did not answer a poll.
func (b *Estimator) PollFailed(_ time.Time, id ids.Upstream) {
	if e := b.upstreams[id]; e != nil {
		e.failures++
	}
}

// Forget drops the reports of an upstream that has left. Counts of work still
// in flight stay until it ends.
func (b *Estimator) Forget(id ids.Upstream) {
	e := b.upstreams[id]
	if e == nil {
		return
	}
	e.forget()
	b.drop(id, e)
}

// Estimate gives what is believed of an upstream now.
func (b *Estimator) Estimate(now time.Time, id ids.Upstream) Estimate {
	e := b.upstreams[id]
	if e == nil {
		return Estimate{}
	}
	return e.estimate(now)
}

// CopyOwnCounts adds this VM's counts in flight to the map, for its digest to peers.
func (b *Estimator) CopyOwnCounts(counts map[ids.Upstream]int) {
	for id, e := range b.upstreams {
		if e.own > 0 {
			counts[id] = e.own
		}
	}
}

// UpstreamCount gives the count of upstreams kept.
func (b *Estimator) UpstreamCount() int { return len(b.upstreams) }

// at gives the entry of an upstream, made when missing.
func (b *Estimator) at(id ids.Upstream) (*entry, error) {
	if e := b.upstreams[id]; e != nil {
		return e, nil
	}
	if len(b.upstreams) >= b.settings.MaxUpstreams {
		return nil, &FullError{Limit: b.settings.MaxUpstreams}
	}
	e := &entry{}
	b.upstreams[id] = e
	return e, nil
}

// drop deletes an entry that holds nothing.
func (b *Estimator) drop(id ids.Upstream, e *entry) {
	if !e.known && e.own == 0 && e.peers == 0 {
		delete(b.upstreams, id)
	}
}

// check refuses impossible figures.
func check(r engineapi.LoadReport) error {
	switch {
	case r.Engine == "":
		return &ReportError{Engine: r.Engine, Field: "engine"}
	case r.Slots < 0:
		return &ReportError{Engine: r.Engine, Field: "slots"}
	case r.Running < 0:
		return &ReportError{Engine: r.Engine, Field: "running"}
	case r.AgeMs < 0 || r.AgeMs > math.MaxInt32:
		return &ReportError{Engine: r.Engine, Field: "age_ms"}
	case !(r.TokensPerSecond >= 0) || math.IsInf(r.TokensPerSecond, 1):
		return &ReportError{Engine: r.Engine, Field: "tokens_per_second"}
	}
	return nil
}
