package load

import (
	"cmp"
	"math"
	"time"

	"mimosaarch.example/core/engineapi"
	"mimosaarch.example/core/ids"
)

// Estimator estimates the load of all upstreams. Create it with New. It is not
// safe for concurrent use.
type Estimator struct {
	settings  Settings
	upstreams map[ids.Upstream]*entry
	// peers holds the counts of each peer VM's last digest, without zeros.
	peers map[ids.VM]map[ids.Upstream]int
}

// New returns an Estimator that knows no upstream.
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

// ApplyReport applies an engine's load report that was received at time
// receivedAt. A report measured before the last one applied is ignored. The
// error is a *ReportError or a *FullError; the report then had no effect.
func (est *Estimator) ApplyReport(now time.Time, r engineapi.LoadReport, receivedAt time.Time) error {
	if err := validate(r); err != nil {
		return err
	}
	e, err := est.entry(ids.Upstream(r.Engine))
	if err != nil {
		return err
	}
	measuredAt := receivedAt.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	e.applyReport(now, r, measuredAt, est.settings.DigestInterval/2)
	return nil
}

// RequestStarted counts a request that this VM has sent to an upstream. If it
// returns nil, RequestEnded must be called once when the request ends. The
// error is a *FullError; the request was then not counted.
func (est *Estimator) RequestStarted(now time.Time, id ids.Upstream) error {
	e, err := est.entry(id)
	if err != nil {
		return err
	}
	e.own++
	e.recordCounts(now)
	return nil
}

// RequestEnded removes a request of this VM from the count of an upstream.
func (est *Estimator) RequestEnded(now time.Time, id ids.Upstream) {
	e := est.upstreams[id]
	if e == nil || e.own == 0 {
		return
	}
	e.own--
	e.recordCounts(now)
	est.deleteIfEmpty(id, e)
}

// ApplyPeerDigest replaces the in-flight counts of a peer VM by those of its
// latest digest; upstreams missing in counts have a count of 0. The map is not
// kept. The error is a *FullError: the limit of peers or of upstreams was
// reached, and the digest, or the counts of the upstreams beyond the limit, had
// no effect.
func (est *Estimator) ApplyPeerDigest(now time.Time, vm ids.VM, counts map[ids.Upstream]int) error {
	last, known := est.peers[vm]
	if !known {
		if len(est.peers) >= est.settings.MaxPeers {
			return &FullError{Limit: est.settings.MaxPeers}
		}
		last = make(map[ids.Upstream]int, len(counts))
		est.peers[vm] = last
	}
	est.removeMissing(now, last, counts)
	var full error
	for id, n := range counts {
		if err := est.setPeerCount(now, last, id, max(n, 0), !known); err != nil {
			full = err
		}
	}
	return full
}

// removeMissing removes a peer's last counts of upstreams that its new digest
// does not contain.
func (est *Estimator) removeMissing(now time.Time, last, counts map[ids.Upstream]int) {
	for id, n := range last {
		if _, ok := counts[id]; ok {
			continue
		}
		delete(last, id)
		e := est.upstreams[id]
		e.peers -= n
		e.recordCounts(now)
		est.deleteIfEmpty(id, e)
	}
}

// setPeerCount sets a peer's count for one upstream. In a peer's first digest,
// the count is moved from the unattributed load, which has included it so far.
func (est *Estimator) setPeerCount(now time.Time, last map[ids.Upstream]int, id ids.Upstream, n int, first bool) error {
	before := last[id]
	if n == before {
		return nil
	}
	e, err := est.entry(id)
	if err != nil {
		return err
	}
	if first {
		e.shiftUnattributed(now, -float64(n))
	}
	e.peers += n - before
	e.recordCounts(now)
	if n == 0 {
		delete(last, id)
		est.deleteIfEmpty(id, e)
		return nil
	}
	last[id] = n
	return nil
}

// RemovePeer removes a VM that no longer sends digests. Its requests in flight
// may still run, so they count as unattributed load until load reports correct
// that.
func (est *Estimator) RemovePeer(now time.Time, vm ids.VM) {
	for id, n := range est.peers[vm] {
		e := est.upstreams[id]
		e.peers -= n
		e.shiftUnattributed(now, float64(n))
		e.recordCounts(now)
		est.deleteIfEmpty(id, e)
	}
	delete(est.peers, vm)
}

// PollFailed counts a poll for a load report that the upstream did not answer.
func (est *Estimator) PollFailed(_ time.Time, id ids.Upstream) {
	if e := est.upstreams[id]; e != nil {
		e.failedPolls++
	}
}

// Forget drops the reports of an upstream that has left. The counts of requests
// in flight there stay until the requests end.
func (est *Estimator) Forget(id ids.Upstream) {
	e := est.upstreams[id]
	if e == nil {
		return
	}
	e.forgetReports()
	est.deleteIfEmpty(id, e)
}

// Estimate returns the estimated load of an upstream at time now, the zero
// Estimate for one that is not known.
func (est *Estimator) Estimate(now time.Time, id ids.Upstream) Estimate {
	e := est.upstreams[id]
	if e == nil {
		return Estimate{}
	}
	return e.estimate(now)
}

// CopyOwnCounts stores this VM's number of requests in flight at each upstream
// in counts, for its digest to peers. Upstreams without any are left out.
func (est *Estimator) CopyOwnCounts(counts map[ids.Upstream]int) {
	for id, e := range est.upstreams {
		if e.own > 0 {
			counts[id] = e.own
		}
	}
}

// UpstreamCount returns the number of upstreams that the Estimator holds data
// of.
func (est *Estimator) UpstreamCount() int { return len(est.upstreams) }

// entry returns the entry of an upstream, created if missing. The error is a
// *FullError.
func (est *Estimator) entry(id ids.Upstream) (*entry, error) {
	if e := est.upstreams[id]; e != nil {
		return e, nil
	}
	if len(est.upstreams) >= est.settings.MaxUpstreams {
		return nil, &FullError{Limit: est.settings.MaxUpstreams}
	}
	e := &entry{}
	est.upstreams[id] = e
	return e, nil
}

// deleteIfEmpty deletes the entry of an upstream without reports and counts.
func (est *Estimator) deleteIfEmpty(id ids.Upstream, e *entry) {
	if !e.hasReport && e.own == 0 && e.peers == 0 {
		delete(est.upstreams, id)
	}
}

// validate returns a *ReportError for a load report with a missing or impossible
// value.
func validate(r engineapi.LoadReport) error {
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
