// Package report gathers what became of requests and tells it: throughput
// against a bound, latencies as HDR histograms, outcomes, shares of accounts,
// as text, JSON and a plot.
package report

import (
	"sync"
	"time"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/load"
)

// DefaultBucket is the width of a point of the series.
const DefaultBucket = 500 * time.Millisecond

// maxBuckets bounds the series; later tokens count in the last point.
const maxBuckets = 1 << 16

// Options of a Recorder.
type Options struct {
	// Start is the run's start.
	Start time.Time
	// WindowStart and WindowEnd are the steady window, counted from Start. Throughput
	// counts tokens that came in it; latencies those of requests due in it.
	WindowStart, WindowEnd time.Duration
	// Bucket is the width of a point of the series. Default 500ms.
	Bucket time.Duration
	// Bound is the tokens a second that the hardware allows; 0: not known.
	Bound float64
}

// Recorder gathers samples. Any goroutine may call any method.
type Recorder struct {
	options Options

	mu        sync.Mutex
	sent      int
	notSent   int
	returns   int
	wrong     int
	outcomes  map[outcome.Outcome]int
	reasons   map[outcome.Reason]int
	accounts  []Account
	delivered series
	good      series
	inWindow  struct{ delivered, good int }
	// fine is the delivered tokens by the steps of recovery.
	fine                series
	failure             *failure
	cutOff, notComplete int

	first, interval, whole, plain, delay *histogram
}

// New makes a Recorder.
func New(o Options) *Recorder {
	if o.Bucket <= 0 {
		o.Bucket = DefaultBucket
	}
	return &Recorder{
		options:  o,
		outcomes: make(map[outcome.Outcome]int),
		reasons:  make(map[outcome.Reason]int),
		first:    newHistogram(),
		interval: newHistogram(),
		whole:    newHistogram(),
		plain:    newHistogram(),
		delay:    newHistogram(),
	}
}

// Observe implements load.Observer.
func (r *Recorder) Observe(s *load.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.NotSent {
		r.notSent++
		return
	}
	r.count(s)
	r.countTokens(s)
	if after := s.Due.Sub(r.options.Start); after >= r.options.WindowStart && after < r.options.WindowEnd {
		r.latencies(s)
	}
}

// count counts a request and its outcome.
func (r *Recorder) count(s *load.Sample) {
	r.sent++
	r.returns += s.Retries
	if s.Wrong {
		r.wrong++
	}
	r.outcomes[s.Outcome]++
	r.countFailed(s)
	if s.Reason != "" {
		r.reasons[s.Reason]++
	}
	for len(r.accounts) <= s.Account {
		r.accounts = append(r.accounts, Account{})
	}
	a := &r.accounts[s.Account]
	a.Sent++
	if s.Complete() {
		a.Complete++
	}
}

// countTokens counts a request's tokens. Those of a wrong answer are no
// delivered work.
func (r *Recorder) countTokens(s *load.Sample) {
	if s.Wrong {
		return
	}
	complete := s.Complete()
	for _, at := range s.Tokens {
		after := at.Sub(r.options.Start)
		r.delivered.add(after, r.options.Bucket)
		r.fine.add(after, recoveryStep)
		steady := after >= r.options.WindowStart && after < r.options.WindowEnd
		if steady {
			r.inWindow.delivered++
			r.accounts[s.Account].Tokens++
		}
		if !complete {
			continue
		}
		r.good.add(after, r.options.Bucket)
		if steady {
			r.inWindow.good++
		}
	}
}

// latencies takes in the times of a request due in the window. The whole
// counts for complete answers only.
func (r *Recorder) latencies(s *load.Sample) {
	r.delay.add(s.Sent.Sub(s.Due))
	for i, at := range s.Tokens {
		if i == 0 {
			r.first.add(at.Sub(s.Due))
			continue
		}
		r.interval.add(at.Sub(s.Tokens[i-1]))
	}
	switch {
	case !s.Complete():
	case s.Plain:
		r.plain.add(s.End.Sub(s.Due))
	default:
		r.whole.add(s.End.Sub(s.Due))
	}
}

// series counts tokens by the time they came.
type series []int

// add counts a token that came after a time.
func (s *series) add(after, bucket time.Duration) {
	at := min(max(int(after/bucket), 0), maxBuckets-1)
	for len(*s) <= at {
		*s = append(*s, 0)
	}
	(*s)[at]++
}

// at gives the count of a bucket.
func (s series) at(i int) int {
	if i < len(s) {
		return s[i]
	}
	return 0
}
