package load

import (
	"context"
	"sync/atomic"
	"time"

	"mimosaarch.example/core/outcome"
)

// counts are kept while a run goes on. Any goroutine may add to them.
type counts struct {
	sent, notSent             atomic.Int64
	complete, refused, failed atomic.Int64
	wrong, tokens             atomic.Int64
}

// done counts a request that ended.
func (c *counts) done(s *Sample) {
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

// Progress is how far a run has come.
type Progress struct {
	// Elapsed is the time since its start; 0 before it.
	Elapsed time.Duration
	// Sent requests are InFlight, or ended one way: Complete, Refused (not
	// run), Failed (another outcome) or Wrong. NotSent ones found no caller
	// free.
	Sent, NotSent, InFlight          int64
	Complete, Refused, Failed, Wrong int64
	// Tokens received.
	Tokens int64
}

// Progress tells how far the run has come. Any goroutine may call it.
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
	if began := r.began.Load(); began != nil {
		p.Elapsed = time.Since(*began)
	}
	return p
}

// progressEvery is the pace at which Watch tells of progress.
const progressEvery = time.Second

// RunWithProgress does a run and tells its progress each second, and at its end, from
// the goroutine that called it. A nil tell is not told.
func RunWithProgress(ctx context.Context, r *Run, tell func(Progress)) {
	if tell == nil {
		tell = func(Progress) {}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Do(ctx)
	}()
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			tell(r.Progress())
		case <-ended:
			tell(r.Progress())
			return
		}
	}
}
