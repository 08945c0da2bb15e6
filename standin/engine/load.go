package engine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"mimosaarch.example/core/engineapi"
)

// sampler gives load reports that lag: a copy is taken at a fixed pace.
type sampler struct {
	take func(now time.Time) engineapi.LoadReport
	lag  time.Duration

	mu     sync.Mutex
	report engineapi.LoadReport
	at     time.Time
}

// newSampler takes a first copy; a negative lag means none.
func newSampler(take func(time.Time) engineapi.LoadReport, lag time.Duration) *sampler {
	s := &sampler{take: take, lag: lag}
	s.sample(time.Now())
	return s
}

// run takes copies until done is closed.
func (s *sampler) run(done <-chan struct{}) {
	if s.lag < 0 {
		return
	}
	ticker := time.NewTicker(s.lag)
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

// sample takes a copy.
func (s *sampler) sample(now time.Time) {
	report := s.take(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report, s.at = report, now
}

// get gives the last copy with its age.
func (s *sampler) get(now time.Time) engineapi.LoadReport {
	if s.lag < 0 {
		return s.take(now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report
	report.AgeMs = max(now.Sub(s.at).Milliseconds(), 0)
	return report
}

// report gives the engine's state at present.
func (e *Engine) report(now time.Time) engineapi.LoadReport {
	e.mu.Lock()
	held := e.held
	e.mu.Unlock()
	report := engineapi.LoadReport{
		Engine:          e.cfg.ID,
		Epoch:           e.epoch,
		Model:           held.Model,
		First:           held.First,
		Last:            held.Last,
		Slots:           e.cfg.Slots,
		Running:         e.runs.running(now),
		TokensPerSecond: e.pacer.effective(),
		Leaving:         e.faults.isLeaving(),
	}
	for to, l := range e.links {
		report.Links = append(report.Links, l.report(to))
	}
	slices.SortFunc(report.Links, func(a, b engineapi.Link) int { return cmp.Compare(a.To, b.To) })
	return report
}
