package engine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// sampler serves load reports with a realistic delay: it takes a report once per
// interval and returns that report, with its age, until the next one.
type sampler struct {
	measure  func(now time.Time) engineapi.LoadReport
	interval time.Duration

	mu        sync.Mutex
	report    engineapi.LoadReport
	sampledAt time.Time
}

// newSampler takes the first report. With a negative interval, get measures on every
// call instead.
func newSampler(measure func(time.Time) engineapi.LoadReport, interval time.Duration) *sampler {
	s := &sampler{measure: measure, interval: interval}
	s.sample(time.Now())
	return s
}

// run takes a report per interval until done is closed.
func (s *sampler) run(done <-chan struct{}) {
	if s.interval < 0 {
		return
	}
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.sample(now)
		case <-done:
			return
		}
	}
}

// sample takes a report and stores it as the one taken at now.
func (s *sampler) sample(now time.Time) {
	report := s.measure(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.sampledAt = report, now
}

// get returns the latest report, with its age in AgeMs.
func (s *sampler) get(now time.Time) engineapi.LoadReport {
	if s.interval < 0 {
		return s.measure(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report
	report.AgeMs = max(now.Sub(s.sampledAt).Milliseconds(), 0)
	return report
}

// report returns the load of the engine at now, with AgeMs zero and the links sorted
// by target.
func (e *Engine) report(now time.Time) engineapi.LoadReport {
	e.mu.Lock()
	current := e.current
	e.mu.Unlock()
	report := engineapi.LoadReport{
		Engine:          e.cfg.ID,
		Epoch:           e.epoch,
		Model:           current.Model,
		First:           current.First,
		Last:            current.Last,
		Slots:           e.cfg.Slots,
		Running:         e.runs.countRunning(now),
		TokensPerSecond: e.pacer.effectiveRate(),
		Leaving:         e.faults.isLeaving(),
	}
	for to, l := range e.links {
		report.Links = append(report.Links, l.report(to))
	}
	slices.SortFunc(report.Links, func(a, b engineapi.Link) int { return cmp.Compare(a.To, b.To) })
	return report
}
