package load

import (
	"context"
	"sync/atomic"
	"time"

	"mimosaarch.example/core/outcome"
)

// counts are the counters behind Progress, safe for concurrent use.
type counts struct {
	sent, notSent             atomic.Int64
	complete, refused, failed atomic.Int64
	wrong, tokens             atomic.Int64
}

// addEnded counts a request that has ended.
func (c *counts) addEnded(s *Sample) {
	switch {
	case s.Wrong:
		c.wrong.Add(1)
	case s.Outcome == outcome.Complete:
		c.complete.Add(1)
	case s.Outcome == outcome.NotRun:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

// Progress holds the counts of a run up to now.
type Progress struct {
	// Elapsed is the time since the run's start; 0 before it.
	Elapsed time.Duration
	// Sent is the sum of InFlight, Complete, Refused, Failed and Wrong. Refused
	// requests were not run, and Failed ones have another outcome than
	// complete. Wrong ones had a wrong answer, whatever their outcome. NotSent
	// counts requests that were due while MaxInFlight requests were in flight.
	Sent, NotSent, InFlight          int64
	Complete, Refused, Failed, Wrong int64
	// Tokens is the number of tokens received.
	Tokens int64
}

// Progress returns the counts up to now. It is safe for concurrent use.
func (r *Run) Progress() Progress {
	p := Progress{
		Complete: r.counts.complete.Load(),
		Refused:  r.counts.refused.Load(),
		Failed:   r.counts.failed.Load(),
		Wrong:    r.counts.wrong.Load(),
		NotSent:  r.counts.notSent.Load(),
		Tokens:   r.counts.tokens.Load(),
	}
	p.Sent = r.counts.sent.Load()
	p.InFlight = p.Sent - p.Complete - p.Refused - p.Failed - p.Wrong
	if started := r.started.Load(); started != nil {
		p.Elapsed = time.Since(*started)
	}
	return p
}

// progressInterval is the time between two reports of RunWithProgress.
const progressInterval = time.Second

// RunWithProgress calls r.Do and passes the progress to report each second and
// once at the end, in the calling goroutine. A nil report is not called.
func RunWithProgress(ctx context.Context, r *Run, report func(Progress)) {
	if report == nil {
		report = func(Progress) {}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Do(ctx)
	}()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			report(r.Progress())
		case <-ended:
			report(r.Progress())
			return
		}
	}
}
